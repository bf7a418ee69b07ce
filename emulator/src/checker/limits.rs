//! The limits that a run is checked against: the same that its gateway instances are configured with.
use quillramp::types::Idempotency;
use std::collections::HashMap;

/// An operation as the checks see it.
#[derive(Clone, Debug)]
pub struct OperationSpec {
    /// Its name in commands.
    pub name: String,
    /// Whether, and how, it may be repeated.
    pub idempotency: Idempotency,
}

/// The most that one customer may have forwarded, by all gateway instances together.
#[derive(Clone, Copy, Debug)]
pub struct Ceiling {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Units by which the ceiling may be passed.
    pub slack: f64,
}

/// The quota of a plan.
#[derive(Clone, Copy, Debug)]
pub struct QuotaLimit {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// What overloads a backend that is warming up, and what a warm one can do.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimit {
    /// The fraction of its capacity that a backend starts with.
    pub initial_fraction: f64,
    /// Seconds until it has all of its capacity.
    pub duration: f64,
    /// How many times its capacity overloads it.
    pub overload_factor: f64,
    /// For how long, in seconds.
    pub window: f64,
    /// What a warm backend can do, in units a second.
    pub capacity: f64,
}

/// The limits of all checks.
pub struct CheckedLimits {
    /// The operations that clients may ask for.
    pub operations: Vec<OperationSpec>,
    /// Ceilings, by the plan's name.
    pub ceilings: HashMap<String, Ceiling>,
    /// Quotas, by the plan's name.
    pub quotas: HashMap<String, QuotaLimit>,
    /// The limit of backends that are warming up.
    pub slow_start: SlowStartLimit,
    /// Seconds in which a backend may still get attempts after the process was notified that it drains or is gone.
    pub drain_grace: f64,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// The most attempts of one request.
    pub max_attempts: usize,
    /// Each backend's cell, by the backend's index.
    pub backend_cells: Vec<usize>,
    /// Each backend's zone, by the backend's index.
    pub backend_zones: Vec<usize>,
}
