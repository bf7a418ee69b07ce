//! Scenarios: what a run is made of, a world and the faults that strike it. Read from TOML and checked, or generated from a seed.
//!
//! The names in files are older than the names here, and stay: each field and kind says its own by `serde(rename)`.
mod fault;
mod fault_kind;
mod generate;
mod validate;
mod world;

pub use fault::Fault;
pub use fault_kind::{FaultKind, FaultTarget, SeverityRange};
pub use world::World;

use serde::{Deserialize, Serialize};

/// The longest that a run, or a fault, may last, in seconds.
pub(crate) const MAX_DURATION: f64 = 600.0;

/// The description of one run. Times are seconds from its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The seed of all random draws of the run.
    pub seed: u64,
    /// For how long clients send requests; after that, what is in flight has time to end.
    pub seconds: f64,
    /// The deployment.
    #[serde(default)]
    pub world: World,
    /// What strikes it.
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// Why a text is no scenario.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not TOML, or has other fields than a scenario.
    #[error("{0}")]
    Syntax(String),
    /// Values that can't be run, each with where it stands.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

impl Scenario {
    /// Reads a scenario from TOML, and checks it.
    ///
    /// # Errors
    ///
    /// [`ScenarioError::Syntax`] for the first thing that can't be read, [`ScenarioError::Invalid`] with all values that can't be run.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)
            .map_err(|error| ScenarioError::Syntax(error.to_string().trim_end().to_owned()))?;
        let problems = scenario.problems();
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(ScenarioError::Invalid(problems))
        }
    }

    /// The scenario as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("a scenario is plain values")
    }
}
