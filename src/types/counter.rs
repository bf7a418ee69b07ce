//! The counter service that all gateway instances share: calls to it and their results.

/// Index of a customer that the caller knows. It is free again once
/// [`PollOutput::evicted_customers`](super::PollOutput::evicted_customers) names it.
pub type CustomerIndex = usize;

/// Names one count on the counter service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterKey {
    /// Whose count it is.
    pub customer: CustomerIndex,
    /// Number of the time window that the count belongs to. Units and permits are counted in separate ranges of numbers.
    pub series: u32,
}

/// A call that adds to a count and reads its new total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The count.
    pub key: CounterKey,
    /// What is added: units of the quota, or permits; negative to give some back, 0 to read only.
    pub delta: f64,
    /// Seconds after which the counter service may drop the count.
    pub lifetime: f64,
}

/// What came of a [`CounterCall`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    /// The delta was added; this is the new total.
    Total(f64),
    /// The delta was not added.
    NotApplied,
    /// The delta was added, but the new total cannot be read.
    AppliedTotalUnknown,
    /// No answer came: the delta may have been added or not.
    Unanswered,
}
