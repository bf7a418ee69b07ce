//! The plain values that go in and out of the decisions. Times are seconds, ids are small indices.

/// An invocation that this front door holds; the caller reuses an index once the invocation has closed.
pub type RequestIndex = usize;
pub type BackendIndex = usize;
pub type CustomerIndex = usize;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

/// What a repeat of an operation does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    Keyed { scope: KeyScope, window: f64 },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug)]
pub struct Operation {
    pub latency_objective: f64,
    pub idempotency: Idempotency,
    /// Its billed value; 0 where none is told.
    pub billed_value: f64,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub rate: f64,
    pub burst: f64,
    /// Deliveries out at once; 0 is no cap.
    pub max_in_flight: usize,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub ceiling_slack: f64,
}

/// The figures of the rule on cold starts. (Drains need none: nothing new goes once a drain is told.)
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    pub initial_fraction: f64,
    pub duration: f64,
}

impl SlowStart {
    /// The share of its capacity that a backend has by the settings, so many seconds after its start.
    pub fn capacity_fraction(&self, age: f64) -> f64 {
        (self.initial_fraction + (1.0 - self.initial_fraction) * age / self.duration).clamp(0.01, 1.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptSettings {
    pub max_attempts: usize,
    pub hedging: bool,
    pub cancellation: bool,
    /// A connection that carries nothing closes after this.
    pub connection_idle_timeout: f64,
    /// The longest advice that clients heed; none where no advice can be given.
    pub max_retry_after: Option<f64>,
    /// The door's own zone, where deliveries that leave it are charged for.
    pub home_zone: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
pub struct CounterSettings {
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
    pub operations: Vec<Operation>,
    pub plans: Vec<Plan>,
    pub slow_start: SlowStart,
    pub attempts: AttemptSettings,
    /// `None` where the deployment has no counter.
    pub counter: Option<CounterSettings>,
}

/// A customer's front doors: the first, and how many follow each other from there, counted round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InstanceRange {
    pub first: usize,
    pub count: usize,
}

/// What an operator has declared for an invocation. Each narrows what the settings allow, and none can widen it. Seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Deliveries, the first one included.
    pub max_attempts: usize,
    pub hedging: bool,
    /// An idempotent delivery out for longer is doubted, whatever its backend does.
    pub attempt_timeout: f64,
    pub latency_objective: f64,
    /// What may have run is repeated within this of its first delivery, as far as it may be at all.
    pub retry_window: f64,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        let never = f64::INFINITY;
        RequestLimits {
            max_attempts: usize::MAX,
            hedging: true,
            attempt_timeout: never,
            latency_objective: never,
            retry_window: never,
        }
    }
}

/// What an invocation says of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestAttributes {
    pub operation: usize,
    pub plan: usize,
    pub customer: CustomerIndex,
    pub units: f64,
    pub instances: InstanceRange,
    /// When the client gives this try up.
    pub deadline: f64,
    /// The part of the customer's front doors that the counter does not hear of, as far as that is known.
    pub absent_fraction: f64,
    pub limits: RequestLimits,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EndpointStatus {
    Ready,
    Draining,
    #[default]
    Removed,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    pub backend: BackendIndex,
    pub status: EndpointStatus,
    pub zone: usize,
    pub cell: usize,
    pub weight: f64,
    /// When it last started; none if long past.
    pub started_at: Option<f64>,
}

/// The group that a repeat must stay in, and the backend that it was first sent to.
pub type Kin = Option<(KeyScope, BackendIndex)>;

/// What a backend says of its load beside an answer, as far as it tells: late and a little noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The share of its cores that is busy.
    pub cpu_utilization: Option<f64>,
    /// What it holds, and what of that waits.
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    /// Its service time of late, without waiting, and how many it serves a second.
    pub service_time: Option<f64>,
    pub throughput: Option<f64>,
}

/// How a delivery ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    Succeeded,
    Errored,
    Rejected,
    TimedOut,
    NotConnected,
    Broken,
    Cancelled,
    NotSent,
}

impl AttemptResult {
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptResult::Rejected | AttemptResult::NotConnected | AttemptResult::NotSent)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    pub attempt: usize,
    pub backend: BackendIndex,
    pub result: AttemptResult,
    pub duration: f64,
    /// Nothing more is owed for the invocation.
    pub request_closed: bool,
    pub billed_units: Option<f64>,
    pub load_report: Option<LoadReport>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    Total(f64),
    /// Nothing was added.
    NotApplied,
    /// It was added, but what the count stands at can't be read.
    AppliedTotalUnknown,
    /// It may have been added.
    Unanswered,
}

/// A count is named by customer and series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterKey {
    pub customer: CustomerIndex,
    pub series: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    pub key: CounterKey,
    pub delta: f64,
    pub lifetime: f64,
}

/// What front doors tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GossipMessage {
    /// To all: this backend answers again.
    BackendRecovered { backend: BackendIndex },
    /// To the customer's other front doors: what its count stood at just now.
    CounterTotal { key: CounterKey, plan: usize, instances: InstanceRange, total: f64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Forward { backend: BackendIndex },
    Pending,
    Throttle { retry_after: Option<f64> },
    Error,
}

/// What else is to be done, with each of the three answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    pub counter_calls: Vec<CounterCall>,
    pub gossip: Vec<GossipMessage>,
    pub cancellations: Vec<(RequestIndex, usize)>,
    /// Ask the list service for changes from now on.
    pub fetch_endpoints: bool,
    pub log: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PolicyOutput {
    pub decision: Decision,
    pub effects: Effects,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollOutput {
    /// Invocations to ask about again now.
    pub reconsider: Vec<RequestIndex>,
    /// Customers forgotten: their indices are free.
    pub evicted_customers: Vec<CustomerIndex>,
    /// Seconds until the next call is due; none if nothing is.
    pub next_poll_in: Option<f64>,
    pub effects: Effects,
}
