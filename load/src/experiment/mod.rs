//! Reads an experiment from TOML and checks it. An experiment defines a deployment, its traffic and faults, the variants to compare, and
//! the number of repetitions.
mod arrivals;
mod check;

use quillramp_emulator::scenario::{Fault, World};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of runs of each variant; each repetition runs all variants in turn.
    #[serde(default = "default_repetitions")]
    pub repetitions: usize,
    /// The deployment, in the emulator's format: instances, backends and their service time, customers. Its network settings apply in
    /// the emulator only.
    #[serde(default)]
    pub world: World,
    /// The requests and connections of the clients.
    pub traffic: Traffic,
    /// Faults, in the emulator's format; `fault_schedule::is_supported` says which kinds are allowed.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// The variants to run and compare.
    #[serde(default, rename = "variant")]
    pub variants: Vec<Variant>,
}

fn default_repetitions() -> usize {
    3
}

/// The requests and connections of the clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Duration of the traffic, seconds.
    pub seconds: f64,
    /// Open loop: requests per second, sent without waiting for earlier answers. 0 selects a closed loop.
    #[serde(default)]
    pub rate: f64,
    /// Active connections per instance. In a closed loop each one sends its next request as soon as the last one is answered.
    pub connections: usize,
    /// Additional connections per instance that send one command and are idle after that.
    #[serde(default, rename = "idle")]
    pub idle_connections: usize,
    /// Fraction of requests that are not idempotent, from 0 to 1.
    #[serde(default, rename = "orders")]
    pub non_idempotent_fraction: f64,
    /// Number of instances that a customer's requests are spread over; 0 means all.
    #[serde(default)]
    pub spread: usize,
    /// Additional requests of one customer; open loop only.
    pub flood: Option<Flood>,
}

/// Additional requests of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Number of the customer, from 0.
    pub customer: u64,
    /// Additional requests per second.
    pub rate: f64,
    /// Start of the flood, seconds since the start of the traffic.
    #[serde(default, rename = "from")]
    pub start: f64,
}

/// One of the alternatives that an experiment compares: a program with its settings, and the sizes that differ from the experiment's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the results; unique in the experiment.
    pub name: String,
    /// Program of the instances; `target/release/quillramp` if absent.
    pub program: Option<String>,
    /// Path of the operator file, which the instances get as `EDGE_OPERATOR`.
    pub operator: Option<String>,
    /// Additional environment variables of the instances.
    #[serde(default)]
    pub environment: BTreeMap<String, String>,
    /// Factor on the backends' service time, at least 1, for a variant that is slower by a known amount.
    #[serde(default = "default_service_time_factor", rename = "slowed")]
    pub service_time_factor: f64,
    /// Number of instances, if it differs from the experiment's.
    #[serde(rename = "doors")]
    pub instances: Option<usize>,
    /// Active connections per instance, if they differ from the experiment's.
    pub connections: Option<usize>,
    /// Idle connections per instance, if they differ from the experiment's.
    #[serde(rename = "idle")]
    pub idle_connections: Option<usize>,
    /// Whether the variant is run without the experiment's faults and flood.
    #[serde(default, rename = "spared")]
    pub without_faults: bool,
}

fn default_service_time_factor() -> f64 {
    1.0
}

/// A request that a client will send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Intended start, seconds since the start of the traffic.
    pub at: f64,
    /// Index of the preferred instance.
    pub instance: usize,
    /// Number of the customer.
    pub customer: u64,
    /// Cost in units.
    pub units: u32,
    /// Whether the request is not idempotent.
    pub non_idempotent: bool,
}

/// The reasons for which an experiment is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The text is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[error("{}", .0.to_string().trim_end())]
    Syntax(#[from] toml::de::Error),
    /// Values are out of their ranges; one line of text for each.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

impl Experiment {
    /// Parses an experiment from TOML and checks the ranges of its values.
    pub fn read(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text)?;
        let violations = experiment.check();
        if violations.is_empty() {
            Ok(experiment)
        } else {
            Err(ExperimentError::Invalid(violations))
        }
    }

    /// Returns a copy of the experiment with the variant's overrides applied.
    pub fn for_variant(&self, variant: &Variant) -> Experiment {
        let mut changed = self.clone();
        changed.world.instances = variant.instances.unwrap_or(changed.world.instances);
        changed.world.service_time *= variant.service_time_factor;
        changed.traffic.connections = variant.connections.unwrap_or(changed.traffic.connections);
        changed.traffic.idle_connections =
            variant.idle_connections.unwrap_or(changed.traffic.idle_connections);
        if variant.without_faults {
            changed.faults.clear();
            changed.traffic.flood = None;
        }
        changed
    }

    /// Whether requests are sent at given times, without waiting for earlier answers.
    pub fn is_open_loop(&self) -> bool {
        self.traffic.rate > 0.0
    }

    /// Number of instances that each customer's requests are spread over.
    pub fn spread(&self) -> usize {
        let all = self.world.instances;
        if self.traffic.spread == 0 {
            all
        } else {
            self.traffic.spread.min(all)
        }
    }
}
