//! A single fault of a scenario.
use super::FaultKind;
use serde::{Deserialize, Serialize};

/// A fault: its kind, start, target, duration and severity. Fields that do not apply to the kind must be absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds from the start of the run.
    pub at: f64,
    /// What the fault does.
    pub kind: FaultKind,
    /// Index of the affected backend.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<usize>,
    /// Index of the affected gateway instance.
    #[serde(default, rename = "door", skip_serializing_if = "Option::is_none")]
    pub instance: Option<usize>,
    /// Index of the affected zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<usize>,
    /// Duration in seconds.
    #[serde(default, rename = "lasts", skip_serializing_if = "Option::is_none")]
    pub duration: Option<f64>,
    /// Severity: a fraction, a factor, a rate per second or a number, depending on the kind.
    #[serde(default, rename = "by", skip_serializing_if = "Option::is_none")]
    pub severity: Option<f64>,
}

impl Fault {
    /// Returns a fault without a target, a duration and a severity.
    pub fn new(at: f64, kind: FaultKind) -> Fault {
        Fault { at, kind, backend: None, instance: None, zone: None, duration: None, severity: None }
    }
}
