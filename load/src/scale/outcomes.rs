//! Counts of request outcomes.
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of request outcomes, shared between threads.
#[derive(Default)]
pub struct OutcomeCounters {
    /// Requests that were sent.
    pub sent: AtomicU64,
    /// Requests that were answered with a value.
    pub served: AtomicU64,
    /// Requests that were rejected.
    pub throttled: AtomicU64,
    /// Requests that were answered with an error.
    pub errored: AtomicU64,
}

/// Values of `OutcomeCounters` at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were answered with a value.
    pub served: u64,
    /// Requests that were rejected.
    pub throttled: u64,
    /// Requests that were answered with an error.
    pub errored: u64,
}

impl OutcomeCounters {
    /// Returns the current values.
    pub fn read(&self) -> OutcomeCounts {
        let value = |count: &AtomicU64| count.load(Ordering::Relaxed);
        OutcomeCounts {
            sent: value(&self.sent),
            served: value(&self.served),
            throttled: value(&self.throttled),
            errored: value(&self.errored),
        }
    }
}

impl OutcomeCounts {
    /// Returns the sum of both counts.
    pub fn plus(&self, other: &OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            throttled: self.throttled + other.throttled,
            errored: self.errored + other.errored,
        }
    }

    /// Returns the increase since an earlier reading.
    pub fn since(&self, earlier: &OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            sent: self.sent - earlier.sent,
            served: self.served - earlier.served,
            throttled: self.throttled - earlier.throttled,
            errored: self.errored - earlier.errored,
        }
    }
}
