//! An experiment: a world, its traffic, its faults, variants that are compared with each other, and how often each is run. Read from
//! TOML and checked.
mod arrivals;
mod check;

use quillramp_emulator::scenario::{Fault, World};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seed of all random draws.
    pub seed: u64,
    /// How often each variant is run; the variants take turns.
    #[serde(default = "default_repetitions")]
    pub repetitions: usize,
    /// The deployment, as in the emulator: instances, backends, their work, the customers. What it defines of the network is
    /// the emulator's alone.
    #[serde(default)]
    pub world: World,
    /// What clients send.
    pub traffic: Traffic,
    /// Faults, as in the emulator's scripts; `fault_schedule::is_supported` has the kinds.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// What is compared.
    #[serde(default, rename = "variant")]
    pub variants: Vec<Variant>,
}

fn default_repetitions() -> usize {
    3
}

/// What clients send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// How long they send, seconds.
    pub seconds: f64,
    /// Open loop: requests a second, at times that do not wait for answers; closed loop: 0.
    #[serde(default)]
    pub rate: f64,
    /// Connections to each instance. Closed loop: each sends again as soon as it is answered.
    pub connections: usize,
    /// Connections to each instance beside these, that have sent one command and then nothing.
    #[serde(default, rename = "idle")]
    pub idle_connections: usize,
    /// The fraction of requests that are not idempotent.
    #[serde(default, rename = "orders")]
    pub non_idempotent: f64,
    /// Instances that a customer's requests come in through; 0: all.
    #[serde(default)]
    pub spread: usize,
    /// One customer sends more beside all this; open loop only.
    pub flood: Option<Flood>,
}

/// More requests of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// The customer's number, from 0.
    pub customer: u64,
    /// Requests a second, beside what it sends as all others do.
    pub rate: f64,
    /// When it begins, seconds.
    #[serde(default, rename = "from")]
    pub start: f64,
}

/// What is run: a build, with another world where that is what differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name in the results.
    pub name: String,
    /// The instance's program; else `target/release/quillramp`.
    pub program: Option<String>,
    /// An operator's file for it.
    pub operator: Option<String>,
    /// More of its environment.
    #[serde(default)]
    pub environment: BTreeMap<String, String>,
    /// Factor on the backends' work, for a variant that is slower by a known amount.
    #[serde(default = "default_service_time_factor", rename = "slowed")]
    pub service_time_factor: f64,
    /// Instances, if other than the experiment's.
    #[serde(rename = "doors")]
    pub instances: Option<usize>,
    /// Connections to each instance, if other than the experiment's.
    pub connections: Option<usize>,
    /// Idle connections to each instance, if other than the experiment's.
    #[serde(rename = "idle")]
    pub idle_connections: Option<usize>,
    /// It is run without faults and without the flood.
    #[serde(default, rename = "spared")]
    pub without_faults: bool,
}

fn default_service_time_factor() -> f64 {
    1.0
}

/// One request to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds from the start.
    pub at: f64,
    /// Index of the instance that it is sent to first.
    pub instance: usize,
    /// The customer's number.
    pub customer: u64,
    /// Its cost in units.
    pub units: u32,
    /// It is not idempotent.
    pub non_idempotent: bool,
}

/// Why a text is no experiment.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It is no TOML, or has wrong fields.
    #[error("{}", .0.to_string().trim_end())]
    Syntax(#[from] toml::de::Error),
    /// Values are out of their ranges; a line for each.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

impl Experiment {
    /// Reads an experiment from TOML and checks it.
    pub fn read(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text)?;
        let violations = experiment.check();
        if violations.is_empty() {
            Ok(experiment)
        } else {
            Err(ExperimentError::Invalid(violations))
        }
    }

    /// What a variant runs: the experiment with what the variant changes.
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

    /// Whether requests come at times that do not wait for answers.
    pub fn is_open_loop(&self) -> bool {
        self.traffic.rate > 0.0
    }

    /// Instances of each customer.
    pub fn spread(&self) -> usize {
        let all = self.world.instances;
        if self.traffic.spread == 0 {
            all
        } else {
            self.traffic.spread.min(all)
        }
    }
}
