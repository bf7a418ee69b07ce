//! One shard as a client sees it: the connection, the queue and the batch in flight.
use super::batch::InFlightBatch;
use super::pending::{PendingEntry, PendingRequest};
use super::settings::ClientSettings;
use super::types::{ClientOutput, LeaseOutcome};
use crate::protocol_violation::ProtocolViolation;
use crate::shard_map::TenantId;
use crate::wire::{FrameDecoder, MAX_BATCH_ENTRIES};
use std::collections::BTreeMap;

/// State of the connection to a shard; times in seconds of Unix time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    /// The next attempt is made at `retry_at`, if there is something to send or the last attempt failed: requests fail
    /// at once until a connection shows that the shard is back.
    Disconnected {
        retry_at: f64,
        connect_failed: bool,
    },
    Connecting {
        since: f64,
    },
    Connected,
}

#[derive(Debug)]
pub(super) struct ShardConnection {
    pub(super) state: ConnectionState,
    pub(super) decoder: FrameDecoder,
    next_sequence: u32,
    /// Disconnections since the last successful connect; the backoff is drawn from it.
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
    /// Queues an entry, merged with the tenant's entry if there is one.
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

    /// Whether the last attempt to connect failed and no further one has succeeded.
    pub(super) fn is_down(&self) -> bool {
        matches!(self.state, ConnectionState::Disconnected { connect_failed: true, .. })
    }

    /// Whether the batch in flight has not been answered in time.
    pub(super) fn is_unresponsive(&self, now: f64, response_timeout: f64) -> bool {
        let sent_at = self.in_flight.as_ref().and_then(|batch| batch.sent_at);
        sent_at.is_some_and(|sent_at| now >= sent_at + response_timeout)
    }

    /// Ends the requests whose deadline has passed, and drops a batch that nobody awaits and that cannot be
    /// retransmitted.
    pub(super) fn expire_requests(&mut self, now: f64, outputs: &mut Vec<ClientOutput>) {
        self.fail_queued(outputs, |request| request.deadline <= now);
        let Some(batch) = &mut self.in_flight else { return };
        batch.expire_requests(now, outputs);
        if batch.is_abandoned(now) {
            self.in_flight = None;
        }
    }

    /// The shard cannot be reached: requests for units fail at once, reports stay queued.
    pub(super) fn fail_unit_requests(&mut self, outputs: &mut Vec<ClientOutput>) {
        self.fail_queued(outputs, PendingRequest::requests_units);
    }

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

    /// The shard is no longer in the map: ends everything that is queued or in flight.
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

    /// Builds the next batch and returns its bytes, if none is in flight and an entry's time has come; other queued
    /// entries go along.
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

    /// Takes as many entries as fit a batch, in the order in which they are to be sent.
    fn take_earliest_entries(&mut self) -> Vec<PendingEntry> {
        let mut order: Vec<&PendingEntry> = self.queue.values().collect();
        order.sort_by(|a, b| a.send_at.total_cmp(&b.send_at).then(a.tenant.cmp(&b.tenant)));
        let tenants: Vec<TenantId> = order.iter().take(MAX_BATCH_ENTRIES).map(|entry| entry.tenant).collect();
        tenants.iter().filter_map(|tenant| self.queue.remove(tenant)).collect()
    }

    /// Takes the batch that a response answers; `None`: the response is obsolete.
    ///
    /// # Errors
    /// [`ProtocolViolation`] if the response does not fit the batch in flight, which then stays in flight.
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

    /// Unix time in seconds at which something has to be done for this shard.
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

    fn in_flight_timeout(&self, settings: &ClientSettings) -> Option<f64> {
        let batch = self.in_flight.as_ref()?;
        let awaited = batch.requests().filter(|request| request.is_awaited());
        let batch_timeout = match batch.sent_at {
            Some(sent_at) => sent_at + settings.response_timeout,
            None => batch.deadline,
        };
        Some(awaited.map(|request| request.deadline).fold(batch_timeout, f64::min))
    }

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
