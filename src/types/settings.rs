//! What the policy engine is started with: operations, plans, and what the deployment allows.

/// Which backends share their memory of idempotency keys, and thus discard a second run of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    /// All backends.
    All,
    /// Those within one zone.
    Zone,
    /// Those within one cell.
    Cell,
}

/// What a second run of an operation does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// No harm: the request may be retried and hedged freely.
    Idempotent,
    /// The backends discard it by its idempotency key.
    Keyed {
        /// The backends among which they do.
        scope: KeyScope,
        /// Seconds that they remember a key, counted from the first attempt that may have run.
        window: f64,
    },
    /// A duplicated effect: no retry once an attempt may have run.
    NonIdempotent,
}

/// An operation that clients may request.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    /// Seconds within which an answer is worth most.
    pub latency_objective: f64,
    /// What a second run does.
    pub idempotency: Idempotency,
    /// What one request is worth relative to those of other operations; 0 where the settings do not say.
    pub billed_value: f64,
}

/// A customer's plan: a token bucket shared by all gateway instances, a cap on attempts in flight, and a hard ceiling.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units per second that the bucket regains; 0 for no such quota.
    pub rate: f64,
    /// Units that the bucket holds at most. It starts full.
    pub burst: f64,
    /// Most attempts in flight at once; 0 for no cap.
    pub max_in_flight: usize,
    /// Units per second that the bucket of the hard ceiling regains; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Units that the bucket of the hard ceiling holds at most. It starts full.
    pub ceiling_burst: f64,
    /// Units by which the bucket of the hard ceiling may fall below 0.
    pub ceiling_slack: f64,
}

/// A fraction of capacity is never less: loads and latencies are divided by it.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// Slow start of a backend that has just started. (Draining needs no settings: a draining backend gets nothing new.)
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Fraction of its full capacity that a backend has at its start, 0 to 1.
    pub initial_fraction: f64,
    /// Seconds from its start until it has its full capacity.
    pub duration: f64,
}

impl SlowStart {
    /// Fraction of its full capacity, 0.01 to 1, that a backend has at least, `age` seconds after its start.
    pub fn capacity_fraction(&self, age: f64) -> f64 {
        (self.initial_fraction + (1.0 - self.initial_fraction) * age / self.duration)
            .clamp(MIN_CAPACITY_FRACTION, 1.0)
    }
}

/// What the deployment allows attempts to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptSettings {
    /// Most attempts of one request, the first one included.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Whether an attempt in flight can be cancelled.
    pub cancellation: bool,
    /// Seconds after which an idle connection to a backend closes.
    pub connection_idle_timeout: f64,
    /// Longest advice, in seconds, that clients heed on when to retry; `None` where no advice can be given.
    pub max_retry_after: Option<f64>,
    /// Zone of this gateway instance where attempts that leave it are charged for; `None` where they are not.
    pub home_zone: Option<usize>,
}

/// The counter service of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct CounterSettings {
    /// Seconds after which a call to it counts as unanswered.
    pub timeout: f64,
}

/// What the policy engine is started with.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Seeds all random draws.
    pub seed: u64,
    /// Number of gateway instances that share the backends and the counter.
    pub instances: f64,
    /// Gossip messages per second that one instance takes in; 0 where instances cannot talk.
    pub gossip_intake_rate: f64,
    /// The endpoint list comes only when it is requested.
    pub polls_endpoints: bool,
    /// The operations; requests name one by its index.
    pub operations: Vec<Operation>,
    /// The plans; requests name one by its index.
    pub plans: Vec<Plan>,
    /// Slow start of backends.
    pub slow_start: SlowStart,
    /// What attempts may do.
    pub attempts: AttemptSettings,
    /// `None` where the deployment has no counter.
    pub counter: Option<CounterSettings>,
}
