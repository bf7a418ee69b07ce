//! Settings of a gateway instance: parsed from JSON, validated, and converted for the policy engine and its caller.
mod error;
mod file;
mod load_report;
mod resolve;

pub use error::SettingsError;
pub use load_report::load_report;

use crate::policy::PolicyEngine;
use crate::types::Idempotency;
use file::SettingsFile;

/// The result of loading the settings.
pub struct Loaded {
    /// The policy engine, started with the settings.
    pub engine: PolicyEngine,
    /// Settings for the caller of the policy engine.
    pub instance: InstanceSettings,
}

/// An operation that the instance offers to clients.
pub struct OfferedOperation {
    /// Name by which clients request it.
    pub name: String,
    /// The effect of running a request twice.
    pub idempotency: Idempotency,
    /// Target latency in seconds; a later answer is worth less.
    pub latency_objective: f64,
    /// Maximum time that a client waits for the answer, in seconds.
    pub timeout: f64,
}

/// Settings for the caller of the policy engine. Durations are in seconds.
pub struct InstanceSettings {
    /// Number of gateway instances, at least 1.
    pub instances: usize,
    /// Index of this instance, counted from 0.
    pub instance_index: usize,
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// The operations; the policy engine refers to them by index.
    pub operations: Vec<OfferedOperation>,
    /// Names of the plans; the policy engine refers to them by index.
    pub plans: Vec<String>,
    /// Maximum units of one request; infinite if there is no limit.
    pub max_units: f64,
    /// Names of the zones; endpoints refer to them by index.
    pub zones: Vec<String>,
    /// Whether the endpoint list must be requested; if not, it is pushed to the instance.
    pub polls_endpoints: bool,
    /// Timeout for establishing a connection to a backend.
    pub connect_timeout: f64,
    /// Time after which an idle connection to a backend closes.
    pub connection_idle_timeout: f64,
    /// Maximum number of concurrent attempts on one connection, at least 1.
    pub max_streams_per_connection: usize,
    /// Timeout of a call to the counter.
    pub counter_timeout: f64,
    /// Longest client timeout of all operations; 0 if there are no operations.
    pub max_client_timeout: f64,
    /// Whether answers to clients may contain a Retry-After.
    pub sends_retry_after: bool,
    /// Names of the values of a load report, in order; empty if answers contain no load reports.
    pub load_report_fields: Vec<String>,
}

/// Loads the settings and starts the policy engine with them. `seed` seeds the engine's random draws.
pub fn load(seed: u64, json: &[u8]) -> Result<Loaded, SettingsError> {
    let file: SettingsFile = serde_json::from_slice(json)?;
    let checked = resolve::check(&file)?;
    let engine = PolicyEngine::new(resolve::engine_settings(seed, &file, &checked));
    let instance = resolve::instance_settings(file, checked);
    Ok(Loaded { engine, instance })
}
