//! Calls to the counter service, which all gateway instances share, and their results.

/// Index that the caller has assigned to a customer. The caller may reuse it once
/// [`PollOutput::evicted_customers`](super::PollOutput::evicted_customers) contains it.
pub type CustomerIndex = usize;

/// Identifies one counter of the counter service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterKey {
    /// The customer whose units or permits are counted.
    pub customer: CustomerIndex,
    /// Number of the time window that the counter belongs to. Counters of units and of permits have separate number ranges.
    pub series: u32,
}

/// A call that adds to a counter and returns its new total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The counter.
    pub key: CounterKey,
    /// Quota units or permits to add; negative to return some, 0 to only read the total.
    pub delta: f64,
    /// Seconds after which the counter service may drop the counter.
    pub lifetime: f64,
}

/// The result of a [`CounterCall`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    /// The delta was added, and the total is now this.
    Total(f64),
    /// The delta was not added.
    NotApplied,
    /// The delta was added, but the answer contains no readable total.
    AppliedTotalUnknown,
    /// The counter did not answer: the delta may have been added or not.
    Unanswered,
}
