//! Calls on the counter.

/// The count of a group of instances in one interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Count {
    /// The group's number.
    pub group: usize,
    /// The lower 32 bits of the interval's number.
    pub interval: u32,
}

/// A call that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// What it adds to.
    pub count: Count,
    /// What it adds; 0 to read.
    pub amount: f64,
    /// How long a new count lives, seconds.
    pub lifetime: f64,
}
