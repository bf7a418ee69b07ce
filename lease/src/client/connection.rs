//! The client's state for one shard: the connection, the queue of entries and the batch in flight.
use super::batch::InFlightBatch;
use super::pending::{PendingEntry, PendingRequest};
use super::settings::ClientSettings;
use super::types::{ClientOutput, LeaseOutcome};
use crate::protocol_violation::ProtocolViolation;
use crate::shard_map::TenantId;
use crate::wire::{FrameDecoder, MAX_BATCH_ENTRIES};
use std::collections::BTreeMap;

/// State of the connection to a shard. Times are Unix time in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    /// Not connected. The client connects at `retry_at` if it has entries to send or if the last attempt to
    /// connect failed. In the latter case new requests for units fail immediately, so the client needs the
    /// attempt to detect that the shard is back.
    Disconnected {
        retry_at: f64,
        connect_failed: bool,
    },
    /// Waiting for the connection to open, from time `since` on.
    Connecting {
        since: f64,
    },
    Connected,
}

/// Connection to one shard, with the entries queued for it and the batch in flight.
#[derive(Debug)]
pub(super) struct ShardConnection {
    pub(super) state: ConnectionState,
    pub(super) decoder: FrameDecoder,
    next_sequence: u32,
    /// Number of disconnections since the last successful connect. Seeds the jitter of the backoff.
    pub(super) disconnects: u32,
    pub(super) in_flight: Option<InFlightBatch>,
    pub(super) queue: BTreeMap<TenantId, PendingEntry>,
}

impl Default for ShardConnection {
    fn default() -> ShardConnection {
        ShardConnection {
            state: ConnectionState::Disconnected { retry_at: 0.0, connect_failed: false },
            decoder: FrameDecoder::default(),
            next_sequence: 1,
            disconnects: 0,
            in_flight: None,
            queue: BTreeMap::new(),
        }
    }
}

impl ShardConnection {
    /// Queues an entry, or merges it into the tenant's entry if one is queued.
    pub(super) fn enqueue(&mut self, entry: PendingEntry) {
        match self.queue.get_mut(&entry.tenant) {
            Some(queued) => queued.merge(entry),
            None => {
                self.queue.insert(entry.tenant, entry);
            }
        }
    }

    pub(super) fn has_work(&self) -> bool {
        self.in_flight.is_some() || !self.queue.is_empty()
    }

    /// Whether the shard is disconnected and the last attempt to connect to it failed.
    pub(super) fn is_down(&self) -> bool {
        matches!(self.state, ConnectionState::Disconnected { connect_failed: true, .. })
    }

    /// Whether the batch in flight has been unanswered for at least `response_timeout` seconds.
    pub(super) fn is_unresponsive(&self, now: f64, response_timeout: f64) -> bool {
        let sent_at = self.in_flight.as_ref().and_then(|batch| batch.sent_at);
        sent_at.is_some_and(|sent_at| now >= sent_at + response_timeout)
    }

    /// Completes the requests whose deadline has passed: as not applied if queued, as unconfirmed if in
    /// flight. Drops the batch in flight if it is abandoned.
    pub(super) fn expire_requests(&mut self, now: f64, outputs: &mut Vec<ClientOutput>) {
        self.fail_queued(outputs, |request| request.deadline <= now);
        let Some(batch) = &mut self.in_flight else { return };
        batch.expire_requests(now, outputs);
        if batch.is_abandoned(now) {
            self.in_flight = None;
        }
    }

    /// Completes the queued requests for units as not applied, because the shard is unreachable. Reports stay
    /// queued.
    pub(super) fn fail_unit_requests(&mut self, outputs: &mut Vec<ClientOutput>) {
        self.fail_queued(outputs, PendingRequest::requests_units);
    }

    /// Completes the queued requests selected by `should_fail` as not applied, and removes entries left
    /// empty.
    fn fail_queued(
        &mut self,
        outputs: &mut Vec<ClientOutput>,
        should_fail: impl Fn(&PendingRequest) -> bool,
    ) {
        self.queue.retain(|_, entry| {
            entry.requests.retain_mut(|request| {
                let failed = should_fail(request);
                if failed {
                    request.complete(LeaseOutcome::NotApplied, outputs);
                }
                !failed
            });
            !entry.requests.is_empty()
        });
    }

    /// Completes all requests, because the shard is no longer in the map: queued ones as not applied, those
    /// in flight as unconfirmed.
    pub(super) fn fail_all(&mut self, outputs: &mut Vec<ClientOutput>) {
        for entry in std::mem::take(&mut self.queue).values_mut() {
            entry.complete_all(&LeaseOutcome::NotApplied, outputs);
        }
        if let Some(mut batch) = self.in_flight.take() {
            for entry in &mut batch.entries {
                entry.complete_all(&LeaseOutcome::Unconfirmed, outputs);
            }
        }
    }

    /// Builds the next batch and returns its bytes, if no batch is in flight and the `send_at` of an entry
    /// has passed. The batch also carries queued entries that are not due yet.
    pub(super) fn start_batch(&mut self, now: f64) -> Option<Vec<u8>> {
        let is_due = self.queue.values().any(|entry| entry.send_at <= now);
        if self.in_flight.is_some() || !is_due {
            return None;
        }
        let entries = self.take_earliest_entries();
        let sequence = self.next_sequence;
        self.next_sequence = self.next_sequence.checked_add(1)?;
        let batch = InFlightBatch::new(now, sequence, entries);
        let bytes = batch.bytes.clone();
        self.in_flight = Some(batch);
        Some(bytes)
    }

    /// Removes up to [`MAX_BATCH_ENTRIES`] entries from the queue, in the order of their `send_at`.
    fn take_earliest_entries(&mut self) -> Vec<PendingEntry> {
        let mut sorted_entries: Vec<&PendingEntry> = self.queue.values().collect();
        sorted_entries.sort_by(|a, b| a.send_at.total_cmp(&b.send_at).then(a.tenant.cmp(&b.tenant)));
        let tenants: Vec<TenantId> =
            sorted_entries.iter().take(MAX_BATCH_ENTRIES).map(|entry| entry.tenant).collect();
        tenants.iter().filter_map(|tenant| self.queue.remove(tenant)).collect()
    }

    /// Takes the batch in flight if a response answers it. Returns `None` if the response is to an earlier
    /// batch or no batch is in flight.
    ///
    /// # Errors
    /// Returns [`ProtocolViolation`] if the response does not match the batch in flight, which then stays in
    /// flight.
    pub(super) fn take_answered_batch(
        &mut self,
        sequence: u32,
        response_count: usize,
    ) -> Result<Option<InFlightBatch>, ProtocolViolation> {
        let Some(batch) = &self.in_flight else { return Ok(None) };
        if sequence < batch.sequence {
            return Ok(None);
        }
        if sequence > batch.sequence {
            return Err(ProtocolViolation::UnknownBatch { expected: batch.sequence, found: sequence });
        }
        let entry_count = batch.entries.len();
        if entry_count != response_count {
            return Err(ProtocolViolation::ResponseCount { expected: entry_count, found: response_count });
        }
        Ok(self.in_flight.take())
    }

    /// Returns the Unix time in seconds at which the client next has to act on this shard: at a deadline, a
    /// timeout, a reconnect or the start of a batch.
    pub(super) fn next_timeout(&self, settings: &ClientSettings) -> Option<f64> {
        let queued_requests = self.queue.values().flat_map(|entry| &entry.requests);
        let queued_deadlines = queued_requests.map(|request| request.deadline);
        let can_send = self.in_flight.is_none() && self.state == ConnectionState::Connected;
        let send_times = self.queue.values().map(|entry| entry.send_at).filter(|_| can_send);
        queued_deadlines
            .chain(self.in_flight_timeout(settings))
            .chain(send_times)
            .chain(self.state_timeout(settings))
            .reduce(f64::min)
    }

    /// Returns the Unix time in seconds of the first deadline or timeout of the batch in flight.
    fn in_flight_timeout(&self, settings: &ClientSettings) -> Option<f64> {
        let batch = self.in_flight.as_ref()?;
        let awaited = batch.requests().filter(|request| request.is_awaited());
        let batch_timeout = match batch.sent_at {
            Some(sent_at) => sent_at + settings.response_timeout,
            None => batch.deadline,
        };
        Some(awaited.map(|request| request.deadline).fold(batch_timeout, f64::min))
    }

    /// Returns the Unix time in seconds of the next attempt to connect, or of the timeout of the current one.
    fn state_timeout(&self, settings: &ClientSettings) -> Option<f64> {
        match self.state {
            ConnectionState::Disconnected { retry_at, connect_failed } => {
                (connect_failed || self.has_work()).then_some(retry_at)
            }
            ConnectionState::Connecting { since } => Some(since + settings.connect_timeout),
            ConnectionState::Connected => None,
        }
    }
}
