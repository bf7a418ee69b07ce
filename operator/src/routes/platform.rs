//! The subset of the platform's configuration against which a file is checked.
use quillramp::types::{Idempotency, KeyScope};

/// An operation of the platform's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// Name of the operation.
    pub name: String,
    /// Whether and where requests may be retried.
    pub idempotency: Idempotency,
    /// Latency objective, seconds.
    pub latency_objective: f64,
    /// Time after which clients give up, seconds.
    pub timeout: f64,
}

/// The settings of the platform that a file can only narrow, and the names that it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// All operations.
    pub operations: Vec<Operation>,
    /// Names of all plans.
    pub plans: Vec<String>,
    /// Maximum number of attempts of a request, including the first one.
    pub max_attempts: usize,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// File descriptor limit of a gateway instance.
    pub descriptors: usize,
}

/// Returns the name in the file of a group of backends that shares idempotency keys.
pub(crate) fn group_name(scope: KeyScope) -> &'static str {
    match scope {
        KeyScope::All => "all",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    }
}
