//! A batch in flight to a shard.
use super::pending::{PendingEntry, PendingRequest};
use super::types::{ClientOutput, LeaseOutcome};
use crate::wire::{encode, Frame};

/// A batch whose response has not arrived. Its encoded bytes are kept, so that it can be retransmitted
/// unchanged.
#[derive(Debug)]
pub(super) struct InFlightBatch {
    pub(super) sequence: u32,
    /// The encoded frame of the batch.
    pub(super) bytes: Vec<u8>,
    pub(super) entries: Vec<PendingEntry>,
    /// Unix time in seconds of the last transmission, `None` while the shard is not connected.
    pub(super) sent_at: Option<f64>,
    /// Latest deadline of the requests in the batch, as Unix time in seconds.
    pub(super) deadline: f64,
}

impl InFlightBatch {
    /// Encodes a batch that is sent at `now` (Unix time in seconds).
    pub(super) fn new(now: f64, sequence: u32, entries: Vec<PendingEntry>) -> InFlightBatch {
        let frame = Frame::Batch { sequence, entries: entries.iter().map(PendingEntry::to_wire).collect() };
        let bytes = encode(&frame);
        let deadlines = entries.iter().flat_map(|entry| &entry.requests).map(|request| request.deadline);
        let deadline = deadlines.fold(now, f64::max);
        InFlightBatch { sequence, bytes, entries, sent_at: Some(now), deadline }
    }

    pub(super) fn requests(&self) -> impl Iterator<Item = &PendingRequest> {
        self.entries.iter().flat_map(|entry| &entry.requests)
    }

    /// Completes the requests whose deadline has passed as unconfirmed, since the shard may have applied
    /// them.
    pub(super) fn expire_requests(&mut self, now: f64, outputs: &mut Vec<ClientOutput>) {
        for request in self.entries.iter_mut().flat_map(|entry| &mut entry.requests) {
            if request.deadline <= now {
                request.complete(LeaseOutcome::Unconfirmed, outputs);
            }
        }
    }

    /// Whether the batch can be dropped: the deadlines of all its requests have passed, and there is no
    /// connection on which its response could arrive.
    pub(super) fn is_abandoned(&self, now: f64) -> bool {
        self.deadline <= now && self.sent_at.is_none()
    }
}
