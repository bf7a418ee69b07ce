//! The gateway instance's side: batches its requests for each shard, with one batch in flight per shard.
//!
//! The caller owns the sockets and the clock. After each event it drains [`LeaseClient::poll_outputs`] and sets a timer
//! to [`LeaseClient::poll_timeout`]. All times are seconds of Unix time.
mod batch;
mod connection;
mod pending;
mod responses;
mod settings;
mod types;

pub use settings::ClientSettings;
pub use types::{ClientOutput, LeaseOutcome, LeaseRequest, RequestId};

use crate::protocol_violation::ProtocolViolation;
use crate::shard_map::{ShardId, ShardMap, ShardMapError, ShardMapSchedule, TenantId};
use crate::wire::{encode, Frame, FrameDecoder, PROTOCOL_VERSION};
use connection::{ConnectionState, ShardConnection};
use pending::{PendingEntry, PendingRequest};
use std::collections::BTreeMap;

/// The state machine of one gateway instance.
#[derive(Debug)]
pub struct LeaseClient {
    settings: ClientSettings,
    maps: ShardMapSchedule,
    connections: BTreeMap<ShardId, ShardConnection>,
    next_request_id: u64,
    outputs: Vec<ClientOutput>,
}

impl LeaseClient {
    /// A client without connections; they are opened when needed.
    ///
    /// # Errors
    /// [`ShardMapError`] if the map is invalid or lacks the client's region.
    pub fn new(settings: ClientSettings, map: ShardMap) -> Result<LeaseClient, ShardMapError> {
        map.validate()?;
        map.region(&settings.region)?;
        Ok(LeaseClient {
            maps: ShardMapSchedule::new(map, settings.injected_fault),
            settings,
            connections: BTreeMap::new(),
            next_request_id: 1,
            outputs: vec![],
        })
    }

    /// Requests or reports units; the outcome follows as [`ClientOutput::Completed`].
    pub fn submit(&mut self, now: f64, request: LeaseRequest) -> RequestId {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let mut pending = PendingRequest {
            id: Some(id),
            requested_units: request.requested_units.max(0.0),
            spent_units: request.spent_units,
            deadline: request.deadline,
        };
        let shard = self.owner(request.tenant);
        // A shard that was down may be due for an attempt to connect.
        self.drive_connection(now, shard);
        let connection = self.connections.entry(shard).or_default();
        if connection.is_down() && pending.requests_units() {
            pending.complete(LeaseOutcome::NotApplied, &mut self.outputs);
            return id;
        }
        let delay =
            if pending.requests_units() { self.settings.batch_delay } else { self.settings.report_delay };
        connection.enqueue(PendingEntry {
            tenant: request.tenant,
            plan: request.plan,
            requests: vec![pending],
            send_at: now + delay,
        });
        self.drive_connection(now, shard);
        id
    }

    /// The connection that [`ClientOutput::Connect`] requested is open.
    pub fn handle_connected(&mut self, now: f64, shard: ShardId) {
        let hello = Frame::Hello {
            version: PROTOCOL_VERSION,
            gateway: self.settings.gateway,
            incarnation: self.settings.incarnation,
            epoch: self.epoch(),
        };
        let Some(connection) = self.connections.get_mut(&shard) else { return };
        if !matches!(connection.state, ConnectionState::Connecting { .. }) {
            return;
        }
        connection.expire_requests(now, &mut self.outputs);
        connection.state = ConnectionState::Connected;
        connection.disconnects = 0;
        connection.decoder = FrameDecoder::default();
        let mut bytes = encode(&hello);
        if let Some(batch) = &mut connection.in_flight {
            bytes.extend_from_slice(&batch.bytes);
            batch.sent_at = Some(now);
        }
        self.outputs.push(ClientOutput::Send { shard, bytes });
        self.drive_connection(now, shard);
    }

    /// The connection was lost, or could not be opened.
    pub fn handle_disconnected(&mut self, now: f64, shard: ShardId) {
        let Some(connection) = self.connections.get_mut(&shard) else { return };
        if matches!(connection.state, ConnectionState::Disconnected { .. }) {
            return;
        }
        let connect_failed = matches!(connection.state, ConnectionState::Connecting { .. });
        connection.disconnects = connection.disconnects.wrapping_add(1);
        // An open connection that broke is reopened at once: the shard may have been replaced.
        let backoff = if connect_failed { self.settings.backoff(connection.disconnects) } else { 0.0 };
        connection.state = ConnectionState::Disconnected { retry_at: now + backoff, connect_failed };
        if let Some(batch) = &mut connection.in_flight {
            batch.sent_at = None;
        }
        if connect_failed {
            connection.fail_unit_requests(&mut self.outputs);
        }
        self.drive_connection(now, shard);
    }

    /// Bytes arrived on the shard's connection, in arbitrary pieces.
    pub fn receive(&mut self, now: f64, shard: ShardId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&shard) else { return };
        if connection.state != ConnectionState::Connected {
            return;
        }
        connection.decoder.extend(bytes);
        match self.handle_frames(now, shard) {
            Ok(()) => self.drive_connection(now, shard),
            Err(_) => self.close_connection(now, shard),
        }
    }

    /// Takes over a newer map, which is used from its `active_at` on.
    ///
    /// # Errors
    /// [`ShardMapError`] if the map is invalid, lacks the client's region or is not newer than the newest one known.
    pub fn update_map(&mut self, now: f64, map: ShardMap) -> Result<(), ShardMapError> {
        map.validate()?;
        map.region(&self.settings.region)?;
        self.maps.check_newer(&map)?;
        self.maps.schedule(map);
        self.handle_timeout(now);
        Ok(())
    }

    /// Does whatever is due by now.
    pub fn handle_timeout(&mut self, now: f64) {
        if let Some(former) = self.maps.activate_if_due(now) {
            self.apply_map_change(now, &former);
        }
        let shards: Vec<ShardId> = self.connections.keys().copied().collect();
        for shard in shards {
            self.drive_connection(now, shard);
        }
    }

    /// When [`LeaseClient::handle_timeout`] has something to do next, Unix time in seconds.
    pub fn poll_timeout(&self) -> Option<f64> {
        let activation = self.maps.next_activation().into_iter();
        let connections = self.connections.values();
        activation
            .chain(connections.filter_map(|connection| connection.next_timeout(&self.settings)))
            .reduce(f64::min)
    }

    /// What the caller has to do, in order.
    pub fn poll_outputs(&mut self) -> Vec<ClientOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Epoch of the map in force.
    pub fn epoch(&self) -> u32 {
        self.maps.active().epoch
    }

    fn owner(&self, tenant: TenantId) -> ShardId {
        let region = self.maps.active().region(&self.settings.region);
        region.expect("checked with the map").owner(tenant)
    }

    fn enqueue_at_owner(&mut self, entry: PendingEntry) {
        let shard = self.owner(entry.tenant);
        self.connections.entry(shard).or_default().enqueue(entry);
    }

    /// Queued entries move to the owners under the new map; a batch in flight stays with its shard.
    fn apply_map_change(&mut self, now: f64, former: &ShardMap) {
        let map = self.maps.active();
        for (shard, connection) in &mut self.connections {
            // A shard at another address is another process.
            let has_moved = former.shard_address(*shard) != map.shard_address(*shard);
            if has_moved && connection.state != ConnectionState::Connected {
                connection.state = ConnectionState::Disconnected { retry_at: now, connect_failed: false };
            }
        }
        let connections = self.connections.values_mut();
        let queued: Vec<PendingEntry> =
            connections.flat_map(|connection| std::mem::take(&mut connection.queue).into_values()).collect();
        for entry in queued {
            self.enqueue_at_owner(entry);
        }
    }

    fn handle_frames(&mut self, now: f64, shard: ShardId) -> Result<(), ProtocolViolation> {
        while let Some(connection) = self.connections.get_mut(&shard) {
            match connection.decoder.next_frame()? {
                None => break,
                Some(Frame::BatchResponse { sequence, responses }) => {
                    self.handle_batch_response(now, shard, sequence, &responses)?;
                }
                Some(_) => return Err(ProtocolViolation::UnexpectedFrame),
            }
        }
        Ok(())
    }

    /// Closes a connection that is of no use any more, as if it had been lost.
    fn close_connection(&mut self, now: f64, shard: ShardId) {
        self.outputs.push(ClientOutput::Close { shard });
        self.handle_disconnected(now, shard);
    }

    /// Does whatever is possible now for one shard: ends overdue requests, connects, sends the next batch.
    fn drive_connection(&mut self, now: f64, shard: ShardId) {
        let Some(connection) = self.connections.get_mut(&shard) else { return };
        connection.expire_requests(now, &mut self.outputs);
        match connection.state {
            ConnectionState::Disconnected { retry_at, connect_failed } => {
                if retry_at <= now && (connect_failed || connection.has_work()) {
                    self.connect(now, shard);
                }
            }
            ConnectionState::Connecting { since } => {
                if now >= since + self.settings.connect_timeout {
                    self.close_connection(now, shard);
                }
            }
            ConnectionState::Connected => {
                if connection.is_unresponsive(now, self.settings.response_timeout) {
                    self.close_connection(now, shard);
                } else if let Some(bytes) = connection.start_batch(now) {
                    self.outputs.push(ClientOutput::Send { shard, bytes });
                }
            }
        }
    }

    fn connect(&mut self, now: f64, shard: ShardId) {
        let Some(connection) = self.connections.get_mut(&shard) else { return };
        let Some(address) = self.maps.active().shard_address(shard) else {
            connection.fail_all(&mut self.outputs);
            connection.state = ConnectionState::Disconnected { retry_at: now, connect_failed: false };
            return;
        };
        connection.state = ConnectionState::Connecting { since: now };
        self.outputs.push(ClientOutput::Connect { shard, address });
    }
}
