//! Timers of the policy engine.
use super::PendingRequest;
use crate::types::{CustomerIndex, RequestIndex};
use std::collections::BTreeMap;

/// The action that is due when a timer fires.
#[derive(Clone, Copy)]
pub enum TimerKind {
    /// Route the request again.
    Request(RequestIndex),
    /// Return the customer's expired lease, or evict an idle customer.
    Customer(CustomerIndex),
    /// Request the endpoint list.
    FetchEndpoints,
}

/// Sort key of a timer: its time, then the order in which timers were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    /// Bit pattern of the time, which sorts like the time itself because times are not negative.
    at_bits: u64,
    sequence: u64,
}

impl TimerKey {
    fn at(self) -> f64 {
        f64::from_bits(self.at_bits)
    }
}

/// All timers that are set. Timers are never cancelled; obsolete ones are skipped.
#[derive(Default)]
pub struct Timers {
    due: BTreeMap<TimerKey, TimerKind>,
    sequence: u64,
}

impl Timers {
    /// Sets a timer that fires at the time `at`, in seconds.
    pub fn schedule(&mut self, at: f64, kind: TimerKind) {
        self.sequence += 1;
        let key = TimerKey { at_bits: at.max(0.0).to_bits(), sequence: self.sequence };
        self.due.insert(key, kind);
    }

    /// Returns the time at which the next timer fires; `None` if no timer is set.
    pub fn next(&self) -> Option<f64> {
        self.due.keys().next().map(|key| key.at())
    }

    /// Removes and returns the first timer if it is due or obsolete.
    pub fn pop_due(
        &mut self,
        now: f64,
        requests: &BTreeMap<RequestIndex, PendingRequest>,
    ) -> Option<TimerKind> {
        let first = self.due.first_entry()?;
        let is_due = first.key().at_bits <= now.to_bits();
        (is_due || is_obsolete(first.key().at(), *first.get(), requests)).then(|| first.remove())
    }
}

/// Whether a timer has nothing to do: its request is closed, or waits for an attempt and has a later check.
fn is_obsolete(at: f64, kind: TimerKind, requests: &BTreeMap<RequestIndex, PendingRequest>) -> bool {
    let TimerKind::Request(index) = kind else { return false };
    let Some(request) = requests.get(&index) else { return true };
    let is_checked_later =
        request.in_flight() > 0 && at < request.next_check_at && at != request.final_check_at;
    request.closed || is_checked_later
}
