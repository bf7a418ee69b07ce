//! What the platform's configuration allows, as far as a file is checked against it.
use quillramp::types::{Idempotency, KeyScope};

/// An operation as the platform's configuration has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// Its name.
    pub name: String,
    /// What a repeat of it does.
    pub effect: Idempotency,
    /// Its latency objective, seconds.
    pub objective: f64,
    /// When its clients give up, seconds.
    pub timeout: f64,
}

/// The platform's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// All operations.
    pub operations: Vec<Operation>,
    /// Names of all plans.
    pub plans: Vec<String>,
    /// Attempts of a request, the first one included.
    pub attempts: usize,
    /// A second attempt may be out beside the first.
    pub second_copies: bool,
    /// Descriptors of a gateway instance.
    pub sockets: usize,
}

/// A group's name in the file.
pub(crate) fn group_name(group: KeyScope) -> &'static str {
    match group {
        KeyScope::All => "all",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    }
}
