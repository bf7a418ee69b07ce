//! The client of a gateway instance, which batches requests by shard and keeps at most one batch in flight
//! per shard.
//!
//! The caller owns the sockets and the clock. After each event it drains [`LeaseClient::poll_outputs`] and
//! sets a timer to [`LeaseClient::poll_timeout`]. All times are Unix time in seconds.
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

/// State machine of a gateway instance's lease client.
#[derive(Debug)]
pub struct LeaseClient {
    settings: ClientSettings,
    maps: ShardMapSchedule,
    connections: BTreeMap<ShardId, ShardConnection>,
    next_request_id: u64,
    outputs: Vec<ClientOutput>,
}

impl LeaseClient {
    /// Creates a client without connections. The client connects to a shard when it has a request for it.
    ///
    /// # Errors
    /// Returns [`ShardMapError`] if the map is invalid or does not contain the client's region.
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

    /// Submits a request for units or a report. Its outcome is output as [`ClientOutput::Completed`].
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
        // If the shard was down and its backoff has expired, this starts an attempt to connect, and the
        // request is queued.
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

    /// Handles an open connection that [`ClientOutput::Connect`] requested. Sends `Hello` and retransmits the
    /// batch in flight.
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

    /// Handles a connection that was lost or could not be opened.
    pub fn handle_disconnected(&mut self, now: f64, shard: ShardId) {
        let Some(connection) = self.connections.get_mut(&shard) else { return };
        if matches!(connection.state, ConnectionState::Disconnected { .. }) {
            return;
        }
        let connect_failed = matches!(connection.state, ConnectionState::Connecting { .. });
        connection.disconnects = connection.disconnects.wrapping_add(1);
        // Reconnect immediately after the loss of an open connection, since a new shard process may have
        // replaced the old one. Back off only after a failed attempt to connect.
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

    /// Handles bytes received on the shard's connection, which may be split at any position.
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

    /// Schedules a newer map, which takes effect at its `active_at`.
    ///
    /// # Errors
    /// Returns [`ShardMapError`] if the map is invalid, does not contain the client's region or has no higher
    /// epoch than the newest map accepted.
    pub fn update_map(&mut self, now: f64, map: ShardMap) -> Result<(), ShardMapError> {
        map.validate()?;
        map.region(&self.settings.region)?;
        self.maps.check_newer(&map)?;
        self.maps.schedule(map);
        self.handle_timeout(now);
        Ok(())
    }

    /// Performs the actions due at `now`: activates a scheduled map, expires requests, connects and sends
    /// batches.
    pub fn handle_timeout(&mut self, now: f64) {
        if let Some(former) = self.maps.activate_if_due(now) {
            self.apply_map_change(now, &former);
        }
        let shards: Vec<ShardId> = self.connections.keys().copied().collect();
        for shard in shards {
            self.drive_connection(now, shard);
        }
    }

    /// Returns the Unix time in seconds at which to call [`LeaseClient::handle_timeout`], or `None` if no
    /// timer is needed.
    pub fn poll_timeout(&self) -> Option<f64> {
        let activation = self.maps.next_activation().into_iter();
        let connections = self.connections.values();
        activation
            .chain(connections.filter_map(|connection| connection.next_timeout(&self.settings)))
            .reduce(f64::min)
    }

    /// Drains the outputs, which the caller must perform in order.
    pub fn poll_outputs(&mut self) -> Vec<ClientOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the epoch of the active map.
    pub fn epoch(&self) -> u32 {
        self.maps.active().epoch
    }

    /// Returns the shard that owns the tenant under the active map.
    fn owner(&self, tenant: TenantId) -> ShardId {
        let region = self.maps.active().region(&self.settings.region);
        region.expect("the client's region is in every accepted map").owner(tenant)
    }

    fn enqueue_at_owner(&mut self, entry: PendingEntry) {
        let shard = self.owner(entry.tenant);
        self.connections.entry(shard).or_default().enqueue(entry);
    }

    /// Moves queued entries to the tenants' owners under the new map. A batch in flight stays with its shard.
    fn apply_map_change(&mut self, now: f64, former: &ShardMap) {
        let map = self.maps.active();
        for (shard, connection) in &mut self.connections {
            // A shard whose address has changed is another process: connect to it without waiting for the
            // backoff.
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

    /// Closes a connection that has failed or timed out, and handles it like a lost one.
    fn close_connection(&mut self, now: f64, shard: ShardId) {
        self.outputs.push(ClientOutput::Close { shard });
        self.handle_disconnected(now, shard);
    }

    /// Performs all actions due for one shard: expires requests, connects, closes a connection that has timed
    /// out and sends the next batch.
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

    /// Requests a connection to the shard, or fails all its requests if the active map no longer contains it.
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
