//! What can be violated, a violation, and how much there was to check.

/// An invariant of the service that holds in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// One final response to each command in time, and nothing after it.
    SingleResponse,
    /// Nothing that is not idempotent is executed twice.
    AtMostOnce,
    /// Nothing new is sent to a draining or removed backend after the grace period.
    DrainGrace,
    /// No backend that is warming up is overloaded.
    SlowStart,
    /// No customer passes the ceiling of its plan.
    RateCeiling,
    /// The processes of one gateway instance together hold no more descriptors than it may.
    DescriptorLimit,
}

impl Invariant {
    /// All of them, in the order in which summaries list them.
    pub const ALL: [Invariant; 6] = [
        Invariant::SingleResponse,
        Invariant::AtMostOnce,
        Invariant::DrainGrace,
        Invariant::SlowStart,
        Invariant::RateCeiling,
        Invariant::DescriptorLimit,
    ];

    /// The name in summaries and result files.
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

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which one.
    pub invariant: Invariant,
    /// When, in seconds of the virtual clock.
    pub at: f64,
    /// What was wrong, for people.
    pub message: String,
    /// What happened to the request that it is about, an event a line.
    pub history: Vec<String>,
}

/// How often each check had something to check, so that a run in which nothing could go wrong is recognised.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Coverage {
    /// Requests that gateway processes received.
    pub requests: u64,
    /// Requests that were answered by a value.
    pub succeeded: u64,
    /// Requests that were answered by `BUSY`.
    pub throttled: u64,
    /// Requests that were answered by an error.
    pub errored: u64,
    /// Attempts written to backends.
    pub attempts: u64,
    /// Attempts of a request of which an earlier attempt may have been executed.
    pub repeated_attempts: u64,
    /// Endpoints that processes were notified of as not ready.
    pub drain_checks: u64,
    /// Attempts that reached a backend that was warming up.
    pub slow_start_checks: u64,
    /// Requests that were checked against a ceiling.
    pub ceiling_checks: u64,
    /// Client connections that processes rejected.
    pub rejected_connections: u64,
    /// Checks of descriptors with more than half of them in use.
    pub descriptor_checks: u64,
}

impl Coverage {
    /// Adds the counts of another run.
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
