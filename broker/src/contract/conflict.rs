//! Contracts that contradict each other.

/// Something that contracts say of each other and that can't be. `first` and `second` are places in the list that was given.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Conflict {
    /// Two contracts of a team with one version.
    #[error("a version of this team's has this number already")]
    DuplicateVersion {
        /// The earlier one.
        first: usize,
        /// The later one.
        second: usize,
    },
    /// A customer of two teams at the same time.
    #[error("customer {customer:016x} is another team's at the same time")]
    SharedCustomer {
        /// The customer.
        customer: u64,
        /// The earlier contract.
        first: usize,
        /// The later one.
        second: usize,
    },
    /// Together they promise more than the capacity.
    #[error(
        "contracts in force at {at} promise {promised} units a second together, of {capacity} that there are"
    )]
    Oversold {
        /// Units a second of all contracts in force.
        promised: f64,
        /// Units a second that there are.
        capacity: f64,
        /// When, Unix seconds.
        at: f64,
    },
}
