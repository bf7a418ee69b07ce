//! Settings of the policy engine: operations, plans, and the capabilities of the deployment.

/// Scope of an idempotency key: the backends that share a record of keys and so discard a second run of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// The effect of running a request of an operation twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A second run does no harm: the request may be retried and hedged freely.
    Idempotent,
    /// The backends discard the second run by its idempotency key.
    Keyed {
        /// The backends that share their record of the key.
        scope: KeyScope,
        /// How long the backends remember a key, in seconds from the first attempt that may have run.
        window: f64,
    },
    /// A second run duplicates the effect: no retry once an attempt may have run.
    NonIdempotent,
}

/// An operation that clients may request.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    /// Target latency in seconds; a later answer is worth less.
    pub latency_objective: f64,
    /// The effect of running a request twice.
    pub idempotency: Idempotency,
    /// Value of one request relative to requests of other operations; 0 if the settings do not set it.
    pub billed_value: f64,
}

/// A customer's plan: a token bucket shared by all gateway instances, a cap on requests in flight, and a hard ceiling.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Refill rate of the token bucket, in units per second; 0 for no quota.
    pub rate: f64,
    /// Capacity of the token bucket, in units. The bucket starts full.
    pub burst: f64,
    /// Maximum number of requests in flight; 0 for no cap.
    pub max_in_flight: usize,
    /// Refill rate of the hard ceiling's token bucket, in units per second; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the hard ceiling's token bucket, in units. The bucket starts full.
    pub ceiling_burst: f64,
    /// Units by which the hard ceiling's token bucket may fall below 0.
    pub ceiling_slack: f64,
}

/// Minimum capacity fraction of a backend. It is above 0 because loads and latencies are divided by the fraction.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// Slow start: how a backend's capacity grows after its start. Draining needs no settings, as a draining backend gets no new
/// attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Fraction of its full capacity that a backend has when it starts, 0 to 1.
    pub initial_fraction: f64,
    /// Seconds from the start of a backend until it has its full capacity.
    pub duration: f64,
}

impl SlowStart {
    /// Returns the minimum fraction of its full capacity, 0.01 to 1, that a backend has `age` seconds after its start.
    pub fn capacity_fraction(&self, age: f64) -> f64 {
        (self.initial_fraction + (1.0 - self.initial_fraction) * age / self.duration)
            .clamp(MIN_CAPACITY_FRACTION, 1.0)
    }
}

/// Limits and capabilities of the deployment that concern attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptSettings {
    /// Maximum number of attempts of one request, including the first one.
    pub max_attempts: usize,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts in flight can be cancelled.
    pub cancellation: bool,
    /// Seconds after which an idle connection to a backend closes.
    pub connection_idle_timeout: f64,
    /// Longest retry delay that clients follow, in seconds; `None` if clients cannot be advised when to retry.
    pub max_retry_after: Option<f64>,
    /// Zone of this gateway instance; `None` if attempts across zones are free of charge.
    pub home_zone: Option<usize>,
}

/// The counter service of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct CounterSettings {
    /// Seconds after which a call to the counter counts as unanswered.
    pub timeout: f64,
}

/// Settings of the policy engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of gateway instances that share the backends and the counter.
    pub instances: f64,
    /// Gossip messages per second that one instance accepts; 0 if the deployment has no gossip.
    pub gossip_intake_rate: f64,
    /// Whether the endpoint list must be requested; if not, it is pushed to the instance.
    pub polls_endpoints: bool,
    /// The operations; requests refer to them by index.
    pub operations: Vec<Operation>,
    /// The plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// Slow start of backends.
    pub slow_start: SlowStart,
    /// Limits and capabilities that concern attempts.
    pub attempts: AttemptSettings,
    /// The counter service; `None` if the deployment has none.
    pub counter: Option<CounterSettings>,
}
