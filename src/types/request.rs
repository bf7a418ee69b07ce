//! Attributes and limits of a request at its arrival.
use super::CustomerIndex;

/// Index that the caller has assigned to a request. The caller may reuse it once the request is closed and none of its attempts
/// is in flight.
pub type RequestIndex = usize;

/// The gateway instances that one customer uses: consecutive indices, modulo the number of all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InstanceRange {
    /// Index of the first instance.
    pub first: usize,
    /// Number of instances.
    pub count: usize,
}

/// Limits that the operator's file sets for a request. They can only tighten the limits of the settings, never relax them.
///
/// The default sets no limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Maximum number of attempts, including the first one.
    pub max_attempts: usize,
    /// Whether the request may have two attempts in flight at once.
    pub hedging: bool,
    /// Seconds after which an attempt of an idempotent request is overdue, even if its backend is responsive: the request is
    /// then hedged, or the attempt cancelled.
    pub attempt_timeout: f64,
    /// Target latency in seconds; a later answer is worth less.
    pub latency_objective: f64,
    /// Time in which the request may be retried, in seconds from the start of the first attempt that may have run. Applies only
    /// if the operation allows retries.
    pub retry_window: f64,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        let unlimited = f64::INFINITY;
        RequestLimits {
            max_attempts: usize::MAX,
            hedging: true,
            attempt_timeout: unlimited,
            latency_objective: unlimited,
            retry_window: unlimited,
        }
    }
}

/// Attributes of a request: some declared by the client, others added by the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestAttributes {
    /// Index into [`EngineSettings::operations`](super::EngineSettings::operations).
    pub operation: usize,
    /// Index into [`EngineSettings::plans`](super::EngineSettings::plans).
    pub plan: usize,
    /// The customer whose quota the request uses.
    pub customer: CustomerIndex,
    /// Cost in units of the quota.
    pub units: f64,
    /// The gateway instances that the customer uses.
    pub instances: InstanceRange,
    /// Time at which the client stops waiting.
    pub deadline: f64,
    /// Fraction of the customer's gateway instances that cannot reach the counter, 0 to 1; 0 if unknown.
    pub absent_fraction: f64,
    /// Limits that the operator's file sets.
    pub limits: RequestLimits,
}
