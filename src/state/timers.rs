//! When which decision is due again.
use super::PendingRequest;
use crate::types::{CustomerIndex, RequestIndex};
use std::collections::BTreeMap;

/// What is due when a timer fires.
#[derive(Clone, Copy)]
pub enum TimerKind {
    /// The request is decided on again.
    Request(RequestIndex),
    /// A customer's lease expires, or the customer is forgotten.
    Customer(CustomerIndex),
    /// The endpoint list is requested.
    FetchEndpoints,
}

/// Orders timers by time, and timers of one time by the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    /// Bits of the time: of non-negative numbers these sort as the numbers do.
    at_bits: u64,
    sequence: u64,
}

impl TimerKey {
    fn at(self) -> f64 {
        f64::from_bits(self.at_bits)
    }
}

/// All timers that are set. Timers are never cancelled: those that have nothing to do any more are skipped.
#[derive(Default)]
pub struct Timers {
    due: BTreeMap<TimerKey, TimerKind>,
    sequence: u64,
}

impl Timers {
    /// Sets a timer for a time, seconds.
    pub fn schedule(&mut self, at: f64, kind: TimerKind) {
        self.sequence += 1;
        let key = TimerKey { at_bits: at.max(0.0).to_bits(), sequence: self.sequence };
        self.due.insert(key, kind);
    }

    /// When the next timer fires.
    pub fn next(&self) -> Option<f64> {
        self.due.keys().next().map(|key| key.at())
    }

    /// Takes the first timer if it is due, or if nobody need wake for it.
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

/// Whether the timer has nothing to do: its request is over, or waits for an attempt and is checked later.
fn is_obsolete(at: f64, kind: TimerKind, requests: &BTreeMap<RequestIndex, PendingRequest>) -> bool {
    let TimerKind::Request(index) = kind else { return false };
    let Some(request) = requests.get(&index) else { return true };
    let is_checked_later =
        request.in_flight() > 0 && at < request.next_check_at && at != request.final_check_at;
    request.closed || is_checked_later
}
