//! Scenarios: a deployment and the faults injected into it. A scenario is read from TOML and validated, or generated from a seed.
//!
//! Names in scenario files stay stable: where the code has another name, `serde(rename)` gives the name in files.
mod fault;
mod fault_kind;
mod generate;
mod validate;
mod world;

pub use fault::Fault;
pub use fault_kind::{FaultKind, FaultTarget, SeverityRange};
pub use world::World;

use serde::{Deserialize, Serialize};

/// Maximum duration of a run and of a fault, in seconds.
pub(crate) const MAX_DURATION: f64 = 600.0;

/// The description of one run. Times are in seconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// Seconds for which clients send requests. The run then continues until the requests in flight can have finished.
    pub seconds: f64,
    /// The deployment.
    #[serde(default)]
    pub world: World,
    /// The faults to inject.
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// Error of [`Scenario::parse`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not valid TOML, or its fields are not those of a scenario.
    #[error("{0}")]
    Syntax(String),
    /// Invalid values: one line per value, starting with its location.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

impl Scenario {
    /// Parses a scenario from TOML and validates it.
    ///
    /// # Errors
    ///
    /// [`ScenarioError::Syntax`] for the first syntax error, [`ScenarioError::Invalid`] with all invalid values.
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

    /// Serializes the scenario as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("a scenario serializes to TOML")
    }
}
