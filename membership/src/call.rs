//! Counter calls of the membership.

/// The count of a group of instances in one interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Count {
    /// Index of the group.
    pub group: usize,
    /// The low 32 bits of the interval's index.
    pub interval: u32,
}

/// A counter call that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The count to add to.
    pub count: Count,
    /// The amount to add; 0 only reads.
    pub amount: f64,
    /// Lifetime of the count if it is new, seconds.
    pub lifetime: f64,
}
