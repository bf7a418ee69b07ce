//! The part of the platform's configuration against which a file is checked.
use quillramp::types::{Idempotency, KeyScope};

/// An operation of the platform's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// Its name.
    pub name: String,
    /// Whether it may be retried.
    pub idempotency: Idempotency,
    /// Its latency objective, seconds.
    pub latency_objective: f64,
    /// Time after which its clients give up, seconds.
    pub timeout: f64,
}

/// The platform's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// All operations.
    pub operations: Vec<Operation>,
    /// Names of all plans.
    pub plans: Vec<String>,
    /// The most attempts of a request, the first one included.
    pub max_attempts: usize,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// File descriptors that a gateway instance may have.
    pub descriptors: usize,
}

/// The name in the file of a group of backends that shares idempotency keys.
pub(crate) fn group_name(scope: KeyScope) -> &'static str {
    match scope {
        KeyScope::All => "all",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    }
}
