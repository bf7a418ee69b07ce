//! Errors in the settings.
use thiserror::Error;

/// An error in the settings. Its text names the key as the settings spell it.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON, or a value is missing or of the wrong type.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The value of a key is none of its permitted values.
    #[error("settings: {key}: unknown value '{value}'")]
    UnknownValue {
        /// Path of the key, such as `classes[0].group`.
        key: String,
        /// The value found.
        value: String,
    },
    /// The zone of this instance does not exist, although attempts that leave the zone have a price.
    #[error("settings: zone {index} of {count}")]
    UnknownZone {
        /// Index of the instance's zone.
        index: usize,
        /// Number of zones.
        count: usize,
    },
    /// The hard ceiling of a plan is lower than its quota.
    #[error("settings: tariff '{plan}': its ceiling lies under its quota")]
    CeilingBelowQuota {
        /// Name of the plan.
        plan: String,
    },
}
