//! Requests: what is known of one when it arrives.
use super::CustomerIndex;

/// Index of a request that this gateway instance holds. The caller reuses it once the request has closed.
pub type RequestIndex = usize;

/// The gateway instances that one customer uses: consecutive ones, counted modulo the number of all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InstanceRange {
    /// Index of the first instance.
    pub first: usize,
    /// Number of instances.
    pub count: usize,
}

/// Limits that the operator's file sets for a request. Each one narrows what the settings allow; none can widen it.
///
/// The default sets no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Most attempts, the first one included.
    pub max_attempts: usize,
    /// Whether two attempts may be in flight at once.
    pub hedging: bool,
    /// Seconds after which an attempt of an idempotent request counts as overdue, whatever its backend does: the request is
    /// hedged, or the attempt is cancelled.
    pub attempt_timeout: f64,
    /// Seconds within which an answer is worth most.
    pub latency_objective: f64,
    /// Seconds after the first attempt that may have run within which the request may be retried, where its operation allows a
    /// retry.
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

/// What a request declares of itself, and what the caller knows about it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestAttributes {
    /// Index into [`EngineSettings::operations`](super::EngineSettings::operations).
    pub operation: usize,
    /// Index into [`EngineSettings::plans`](super::EngineSettings::plans).
    pub plan: usize,
    /// The customer whose quota pays.
    pub customer: CustomerIndex,
    /// Cost in units of the quota.
    pub units: f64,
    /// The gateway instances that this customer uses.
    pub instances: InstanceRange,
    /// When the client stops waiting.
    pub deadline: f64,
    /// Fraction of the customer's gateway instances that do not reach the counter, 0 to 1; 0 where that is unknown.
    pub absent_fraction: f64,
    /// Limits from the operator's file.
    pub limits: RequestLimits,
}
