//! Conflicts between contracts.

/// A contradiction between contracts. `first` and `second` are indexes in the list of contracts.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Conflict {
    /// Two contracts of a team have the same version.
    #[error("a version of this team's has this number already")]
    DuplicateVersion {
        /// Index of the earlier contract.
        first: usize,
        /// Index of the later contract.
        second: usize,
    },
    /// Two teams have the same customer at the same time.
    #[error("customer {customer:016x} is another team's at the same time")]
    SharedCustomer {
        /// The customer.
        customer: u64,
        /// Index of the earlier contract.
        first: usize,
        /// Index of the later contract.
        second: usize,
    },
    /// Together the contracts promise more than the capacity.
    #[error(
        "contracts in force at {at} promise {promised} units a second together, of {capacity} that there are"
    )]
    Oversold {
        /// Sum of the rates of all contracts in force, units per second.
        promised: f64,
        /// The capacity, units per second.
        capacity: f64,
        /// Time of the highest sum, Unix seconds.
        at: f64,
    },
}
