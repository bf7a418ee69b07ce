//! Conflicts between contracts.

/// A contradiction between contracts. `first` and `second` are indexes in the list of contracts.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Conflict {
    /// Two contracts of a team have the same version.
    #[error("expected a new version number, found that of another contract of the same team")]
    DuplicateVersion {
        /// Index of the earlier contract.
        first: usize,
        /// Index of the later contract.
        second: usize,
    },
    /// Two teams have the same customer at the same time.
    #[error(
        "expected each customer in one team at a time, found {customer:016x} in a contract of another team"
    )]
    SharedCustomer {
        /// The customer.
        customer: u64,
        /// Index of the earlier contract.
        first: usize,
        /// Index of the later contract.
        second: usize,
    },
    /// The rates of all contracts in force exceed the capacity.
    #[error(
        "expected rates up to the capacity of {capacity} units per second in total, found {promised} in force at Unix time {at}"
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
