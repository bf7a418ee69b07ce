//! The invariants, their violations, and how often each was checked.

/// An invariant of the service that holds in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Each command gets exactly one final response, before its deadline.
    SingleResponse,
    /// A request is only repeated as its operation's idempotency allows. A non-idempotent request is executed at most once.
    AtMostOnce,
    /// No attempt is sent to a draining or removed backend after the grace period.
    DrainGrace,
    /// No backend is overloaded while it warms up.
    SlowStart,
    /// No customer exceeds the ceiling of its plan.
    RateCeiling,
    /// The processes of a gateway instance together hold no more descriptors than the instance's limit.
    DescriptorLimit,
}

impl Invariant {
    /// All invariants, in the order of the summary.
    pub const ALL: [Invariant; 6] = [
        Invariant::SingleResponse,
        Invariant::AtMostOnce,
        Invariant::DrainGrace,
        Invariant::SlowStart,
        Invariant::RateCeiling,
        Invariant::DescriptorLimit,
    ];

    /// Returns the name in summaries and result files.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::SingleResponse => "one answer",
            Invariant::AtMostOnce => "no effect twice",
            Invariant::DrainGrace => "drains",
            Invariant::SlowStart => "cold backends",
            Invariant::RateCeiling => "ceilings",
            Invariant::DescriptorLimit => "descriptors",
        }
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// Time of the violation, in seconds of the virtual clock.
    pub at: f64,
    /// Description of the violation.
    pub message: String,
    /// History of the request that caused the violation, one event per line. Empty if no single request caused it.
    pub history: Vec<String>,
}

/// Numbers of requests, attempts and checks. They reveal runs in which a check was never exercised.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Coverage {
    /// Number of requests that gateway processes received.
    pub requests: u64,
    /// Number of requests that were answered with a value.
    pub succeeded: u64,
    /// Number of requests that were answered with `BUSY`.
    pub throttled: u64,
    /// Number of requests that were answered with an error.
    pub errored: u64,
    /// Number of attempts written to backends.
    pub attempts: u64,
    /// Number of attempts of requests that an earlier attempt may already have executed.
    pub repeated_attempts: u64,
    /// Number of notifications to a process that an endpoint is not ready.
    pub drain_checks: u64,
    /// Number of attempts that arrived at a backend while it was warming up.
    pub slow_start_checks: u64,
    /// Number of requests that were checked against a ceiling.
    pub ceiling_checks: u64,
    /// Number of client connections that processes rejected.
    pub rejected_connections: u64,
    /// Number of checks of an instance's descriptors while more than half of its limit was in use.
    pub descriptor_checks: u64,
}

impl Coverage {
    /// Adds the numbers of another run.
    pub fn add(&mut self, other: &Coverage) {
        self.requests += other.requests;
        self.succeeded += other.succeeded;
        self.throttled += other.throttled;
        self.errored += other.errored;
        self.attempts += other.attempts;
        self.repeated_attempts += other.repeated_attempts;
        self.drain_checks += other.drain_checks;
        self.slow_start_checks += other.slow_start_checks;
        self.ceiling_checks += other.ceiling_checks;
        self.rejected_connections += other.rejected_connections;
        self.descriptor_checks += other.descriptor_checks;
    }
}
