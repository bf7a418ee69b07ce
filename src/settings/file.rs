//! The settings as they are written: a JSON object whose keys the deployment defines.
//!
//! Unknown keys are ignored. The error message for a value of the wrong type contains the `expecting` text of a struct, or its name if
//! it has no such text. The simulator receives this message, so the text stays when a struct is renamed.
use serde::Deserialize;

/// All settings.
#[derive(Deserialize)]
#[serde(expecting = "struct Told")]
pub(super) struct SettingsFile {
    /// Number of gateway instances; 0 is treated as 1.
    #[serde(rename = "balancers")]
    pub instances: usize,
    /// How the instance gets the endpoint list: `pushed` or `on_request`.
    pub discovery: String,
    /// Capabilities of the deployment.
    #[serde(rename = "caps")]
    pub capabilities: Capabilities,
    /// The operations.
    #[serde(rename = "classes")]
    pub operations: Vec<OperationEntry>,
    /// The counter service, and gossip between instances.
    #[serde(rename = "extra")]
    pub shared_services: SharedServices,
    /// Load reports of the backends. Without this key there are none.
    #[serde(default, rename = "feedback")]
    pub load_reporting: LoadReporting,
    /// Slow start of backends.
    #[serde(rename = "rules")]
    pub slow_start: SlowStartRules,
    /// Index of this instance among all instances, counted from 0.
    #[serde(rename = "slot_no")]
    pub instance_index: usize,
    /// Prices of what attempts use.
    #[serde(default)]
    pub charges: Charges,
    /// Index of this instance's zone in `zones`.
    #[serde(default, rename = "zone")]
    pub home_zone: usize,
    /// The customers' plans.
    #[serde(rename = "tariffs")]
    pub plans: Vec<PlanEntry>,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

/// Limits and capabilities of the deployment. Durations are in microseconds.
#[derive(Deserialize)]
#[serde(expecting = "struct Caps")]
pub(super) struct Capabilities {
    /// Whether attempts in flight can be cancelled.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// Time after which an idle connection to a backend closes.
    #[serde(rename = "conn_idle_us")]
    pub connection_idle_timeout_us: f64,
    /// Timeout for establishing a connection to a backend.
    #[serde(rename = "dial_timeout_us")]
    pub connect_timeout_us: f64,
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Longest retry delay that clients follow.
    pub max_retry_after_us: f64,
    /// Whether gateway instances can exchange gossip.
    #[serde(rename = "peers")]
    pub gossip: bool,
    /// Whether clients can be advised when to retry.
    pub retry_after: bool,
    /// Whether a request may have two attempts in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Maximum number of concurrent attempts on one connection; 0 is treated as 1.
    #[serde(rename = "streams_per_conn")]
    pub max_streams_per_connection: usize,
}

/// An operation. Durations are in microseconds.
#[derive(Deserialize)]
#[serde(expecting = "struct Class")]
pub(super) struct OperationEntry {
    /// Target latency; a later answer is worth less.
    #[serde(rename = "aim_us")]
    pub latency_objective_us: f64,
    /// Value of one request relative to requests of other operations.
    #[serde(default, rename = "gain")]
    pub billed_value: f64,
    /// Maximum time that a client waits for the answer, over all attempts.
    #[serde(rename = "give_up_us")]
    pub client_timeout_us: f64,
    /// Scope of the idempotency key: `all`, `zone` or `cell`. Used only if `idempotency` is `dedup`.
    #[serde(rename = "group")]
    pub key_scope: String,
    /// The effect of running a request twice: `retryable`, `dedup` or `fragile`.
    pub idempotency: String,
    /// Name by which clients request it.
    pub name: String,
    /// How long backends remember an idempotency key.
    #[serde(rename = "window_us")]
    pub key_window_us: f64,
}

/// The counter service, and gossip between instances.
#[derive(Deserialize)]
#[serde(expecting = "struct Extra")]
pub(super) struct SharedServices {
    /// Whether the deployment has a counter service.
    #[serde(rename = "counter")]
    pub has_counter: bool,
    /// Timeout of a call to the counter, in microseconds.
    pub counter_timeout_us: f64,
    /// Maximum units of one request; unlimited if absent.
    #[serde(rename = "max_units")]
    pub max_request_units: Option<f64>,
    /// Gossip messages per second that one instance accepts.
    #[serde(rename = "peer_intake")]
    pub gossip_intake_rate: f64,
}

/// Prices of what attempts use.
#[derive(Deserialize, Default)]
pub(super) struct Charges {
    /// Price of an attempt that leaves the instance's zone; 0 if it is free.
    #[serde(default)]
    pub cross_zone: f64,
}

/// Load reports of the backends.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Feedback")]
pub(super) struct LoadReporting {
    /// Names of the values of a report, in order.
    #[serde(default)]
    pub fields: Vec<String>,
    /// How backends report their load: `piggyback` (with their answers), `pull` or `silent`.
    pub source: Option<String>,
}

/// Slow start: how a backend's capacity grows after its start.
#[derive(Deserialize)]
#[serde(expecting = "struct Rules")]
pub(super) struct SlowStartRules {
    /// Fraction of its full capacity that a backend has when it starts.
    #[serde(rename = "cold_from")]
    pub initial_fraction: f64,
    /// Microseconds from the start of a backend until it has its full capacity.
    #[serde(rename = "warm_after_us")]
    pub duration_us: f64,
}

/// A customer's plan.
#[derive(Deserialize)]
#[serde(expecting = "struct Tariff")]
pub(super) struct PlanEntry {
    /// Refill rate of the hard ceiling's token bucket, in units per second; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Units by which the hard ceiling's token bucket may fall below 0.
    pub ceiling_slack: f64,
    /// Capacity of the quota's token bucket, in units.
    #[serde(rename = "depth")]
    pub burst: f64,
    /// Capacity of the hard ceiling's token bucket, in units.
    #[serde(rename = "hard_burst")]
    pub ceiling_burst: f64,
    /// Name of the plan.
    pub name: String,
    /// Maximum number of requests in flight; 0 for no cap.
    #[serde(rename = "parallel")]
    pub max_in_flight: usize,
    /// Refill rate of the quota's token bucket, in units per second; 0 for no quota.
    #[serde(rename = "per_second")]
    pub rate: f64,
}
