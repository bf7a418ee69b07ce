//! The settings that a gateway instance is started with: read from JSON, checked, and turned into plain values for the policy
//! engine and its caller.
mod error;
mod file;
mod load_report;
mod resolve;

pub use error::SettingsError;
pub use load_report::load_report;

use crate::policy::PolicyEngine;
use crate::types::Idempotency;
use file::SettingsFile;

/// The policy engine, ready to be used, and what its caller needs to know.
pub struct Loaded {
    /// The policy engine.
    pub engine: PolicyEngine,
    /// What its caller needs to know.
    pub instance: InstanceSettings,
}

/// An operation, as clients name it.
pub struct OfferedOperation {
    /// Name by which clients request it.
    pub name: String,
    /// What a second run does.
    pub idempotency: Idempotency,
    /// Seconds within which an answer is worth most.
    pub latency_objective: f64,
    /// Longest that a client waits, seconds.
    pub timeout: f64,
}

/// What the caller of the policy engine needs to know of the settings. Durations are seconds.
pub struct InstanceSettings {
    /// Number of gateway instances, 1 or more.
    pub instances: usize,
    /// This instance's index among them, from 0.
    pub instance_index: usize,
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// The operations; the policy engine names one by its index.
    pub operations: Vec<OfferedOperation>,
    /// Names of the plans; the policy engine names one by its index.
    pub plans: Vec<String>,
    /// Most units of one request; infinite where there is no limit.
    pub max_units: f64,
    /// Names of the zones; endpoints name one by its index.
    pub zones: Vec<String>,
    /// The endpoint list comes only when it is requested.
    pub polls_endpoints: bool,
    /// How long a connection to a backend may take to be established.
    pub connect_timeout: f64,
    /// How long a connection to a backend stays open without use.
    pub connection_idle_timeout: f64,
    /// Attempts that one connection carries at once, 1 or more.
    pub max_streams_per_connection: usize,
    /// How long a call to the counter may take.
    pub counter_timeout: f64,
    /// Longest that a client of any operation waits; 0 where there is no operation.
    pub max_client_timeout: f64,
    /// Whether clients may get a Retry-After.
    pub sends_retry_after: bool,
    /// Names of the values of a load report beside an answer, in their order; empty where there are no such reports.
    pub load_report_fields: Vec<String>,
}

/// Reads the settings and starts the policy engine with them. `seed` seeds its random draws.
pub fn load(seed: u64, json: &[u8]) -> Result<Loaded, SettingsError> {
    let file: SettingsFile = serde_json::from_slice(json)?;
    let checked = resolve::check(&file)?;
    let engine = PolicyEngine::new(resolve::engine_settings(seed, &file, &checked));
    let instance = resolve::instance_settings(file, checked);
    Ok(Loaded { engine, instance })
}
