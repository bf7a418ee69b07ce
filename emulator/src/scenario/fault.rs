//! One fault of a scenario.
use super::FaultKind;
use serde::{Deserialize, Serialize};

/// What strikes, when, whom, for how long and how hard. Fields that a kind has no use for are to be left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it starts, in seconds from the start of the run.
    pub at: f64,
    /// What it is.
    pub kind: FaultKind,
    /// The backend that it strikes, by index.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<usize>,
    /// The gateway instance that it strikes, by index.
    #[serde(default, rename = "door", skip_serializing_if = "Option::is_none")]
    pub instance: Option<usize>,
    /// The zone that it strikes, by index.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<usize>,
    /// Seconds until it is over.
    #[serde(default, rename = "lasts", skip_serializing_if = "Option::is_none")]
    pub duration: Option<f64>,
    /// How hard it strikes: a fraction, or a factor.
    #[serde(default, rename = "by", skip_serializing_if = "Option::is_none")]
    pub severity: Option<f64>,
}

impl Fault {
    /// A fault that strikes nobody in particular, without duration and severity.
    pub fn new(at: f64, kind: FaultKind) -> Fault {
        Fault { at, kind, backend: None, instance: None, zone: None, duration: None, severity: None }
    }
}
