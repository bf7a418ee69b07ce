//! The limits that the checker verifies. The run's gateway instances are configured with the same limits.
use quillramp::types::Idempotency;
use std::collections::HashMap;

/// The properties of an operation that the checks depend on.
#[derive(Clone, Debug)]
pub struct OperationSpec {
    /// Name of the operation in commands.
    pub name: String,
    /// Whether a request may be executed more than once, and under which conditions.
    pub idempotency: Idempotency,
}

/// A limit on the units that all gateway instances together may forward for one customer: a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Ceiling {
    /// Refill rate, in units per second.
    pub rate: f64,
    /// Size of the bucket, in units.
    pub burst: f64,
    /// Units by which a customer may exceed the ceiling.
    pub slack: f64,
}

/// The quota of a plan: a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct QuotaLimit {
    /// Refill rate, in units per second.
    pub rate: f64,
    /// Size of the bucket, in units.
    pub burst: f64,
}

/// The load above which a backend that is warming up is overloaded. Its capacity grows linearly from the start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimit {
    /// Fraction of the full capacity that a backend has at its start.
    pub initial_fraction: f64,
    /// Seconds until a backend has its full capacity.
    pub duration: f64,
    /// Ratio of load to current capacity above which a backend is overloaded.
    pub overload_factor: f64,
    /// Length of the time window over which the load is measured, in seconds.
    pub window: f64,
    /// Full capacity of a backend, in units per second.
    pub capacity: f64,
}

/// The limits that all checks depend on.
pub struct CheckedLimits {
    /// Operations that clients may request.
    pub operations: Vec<OperationSpec>,
    /// Ceilings, by the name of the plan.
    pub ceilings: HashMap<String, Ceiling>,
    /// Quotas, by the name of the plan.
    pub quotas: HashMap<String, QuotaLimit>,
    /// Load limit of backends that are warming up.
    pub slow_start: SlowStartLimit,
    /// Seconds for which a process may still send attempts to a backend after it was notified that the backend is draining or removed.
    pub drain_grace: f64,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Index of each backend's cell, by the backend's index.
    pub backend_cells: Vec<usize>,
    /// Index of each backend's zone, by the backend's index.
    pub backend_zones: Vec<usize>,
}
