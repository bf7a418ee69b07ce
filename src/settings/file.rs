//! The settings as they are written: a JSON object whose keys the deployment has chosen.
//!
//! Keys that are not named here are ignored. Each struct's `expecting` is part of the text that a value of the wrong type is
//! reported by, and stays as it is when the struct is renamed.
use serde::Deserialize;

/// All settings.
#[derive(Deserialize)]
#[serde(expecting = "struct Told")]
pub(super) struct SettingsFile {
    /// Number of gateway instances; 0 counts as 1.
    #[serde(rename = "balancers")]
    pub instances: usize,
    /// How the endpoint list is had: `pushed` or `on_request`.
    pub discovery: String,
    /// What the deployment allows.
    #[serde(rename = "caps")]
    pub capabilities: Capabilities,
    /// The operations.
    #[serde(rename = "classes")]
    pub operations: Vec<OperationEntry>,
    /// The counter service, and gossip between instances.
    #[serde(rename = "extra")]
    pub shared_services: SharedServices,
    /// Load reports of the backends; none where the key is absent.
    #[serde(default, rename = "feedback")]
    pub load_reporting: LoadReporting,
    /// Slow start of backends.
    #[serde(rename = "rules")]
    pub slow_start: SlowStartRules,
    /// This instance's index among all instances, from 0.
    #[serde(rename = "slot_no")]
    pub instance_index: usize,
    /// Prices.
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

/// What the deployment allows. Durations are microseconds.
#[derive(Deserialize)]
#[serde(expecting = "struct Caps")]
pub(super) struct Capabilities {
    /// Attempts in flight can be cancelled.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// How long a connection to a backend stays open without use.
    #[serde(rename = "conn_idle_us")]
    pub connection_idle_timeout_us: f64,
    /// How long a connection to a backend may take to be established.
    #[serde(rename = "dial_timeout_us")]
    pub connect_timeout_us: f64,
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Longest advice on when to retry that clients heed.
    pub max_retry_after_us: f64,
    /// Gateway instances can exchange gossip.
    #[serde(rename = "peers")]
    pub gossip: bool,
    /// Clients can be advised when to retry.
    pub retry_after: bool,
    /// Two attempts of a request may be in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Attempts that one connection carries at once; 0 counts as 1.
    #[serde(rename = "streams_per_conn")]
    pub max_streams_per_connection: usize,
}

/// An operation. Durations are microseconds.
#[derive(Deserialize)]
#[serde(expecting = "struct Class")]
pub(super) struct OperationEntry {
    /// Time within which an answer is worth most.
    #[serde(rename = "aim_us")]
    pub latency_objective_us: f64,
    /// What one request is worth relative to those of other operations.
    #[serde(default, rename = "gain")]
    pub billed_value: f64,
    /// How long a client waits in all.
    #[serde(rename = "give_up_us")]
    pub client_timeout_us: f64,
    /// Scope of the idempotency key: `all`, `zone` or `cell`; read for `dedup` only.
    #[serde(rename = "group")]
    pub key_scope: String,
    /// `retryable`, `dedup` or `fragile`.
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
    /// There is a counter service.
    #[serde(rename = "counter")]
    pub has_counter: bool,
    /// Microseconds that a call to the counter may take.
    pub counter_timeout_us: f64,
    /// Most units of one request; unlimited where it is absent.
    #[serde(rename = "max_units")]
    pub max_request_units: Option<f64>,
    /// Gossip messages per second that one instance takes in.
    #[serde(rename = "peer_intake")]
    pub gossip_intake_rate: f64,
}

/// Prices of what attempts use.
#[derive(Deserialize, Default)]
pub(super) struct Charges {
    /// Price of an attempt that leaves the instance's zone; 0 for none.
    #[serde(default)]
    pub cross_zone: f64,
}

/// Load reports of the backends.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Feedback")]
pub(super) struct LoadReporting {
    /// Names of the values of a report, in their order.
    #[serde(default)]
    pub fields: Vec<String>,
    /// How reports come: `piggyback` (beside answers), `pull` or `silent`.
    pub source: Option<String>,
}

/// How a backend that has just started gains its capacity.
#[derive(Deserialize)]
#[serde(expecting = "struct Rules")]
pub(super) struct SlowStartRules {
    /// Fraction of its full capacity that a backend has at its start.
    #[serde(rename = "cold_from")]
    pub initial_fraction: f64,
    /// Microseconds from its start until it has its full capacity.
    #[serde(rename = "warm_after_us")]
    pub duration_us: f64,
}

/// A customer's plan.
#[derive(Deserialize)]
#[serde(expecting = "struct Tariff")]
pub(super) struct PlanEntry {
    /// Units per second that the hard ceiling's bucket regains; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Units by which the hard ceiling's bucket may fall below 0.
    pub ceiling_slack: f64,
    /// Units that the quota's bucket holds at most.
    #[serde(rename = "depth")]
    pub burst: f64,
    /// Units that the hard ceiling's bucket holds at most.
    #[serde(rename = "hard_burst")]
    pub ceiling_burst: f64,
    /// Name of the plan.
    pub name: String,
    /// Most attempts in flight at once; 0 for no cap.
    #[serde(rename = "parallel")]
    pub max_in_flight: usize,
    /// Units per second that the quota's bucket regains; 0 for no quota.
    #[serde(rename = "per_second")]
    pub rate: f64,
}
