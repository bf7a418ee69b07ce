//! Why settings cannot be used.
use thiserror::Error;

/// Settings that cannot be used. The text names the key, as the settings spell it.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// Not valid JSON, or a value that is missing or of the wrong type.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// A text that stands for none of the choices that its key has.
    #[error("settings: {key}: unknown value '{value}'")]
    UnknownValue {
        /// Path of the key, such as `classes[0].group`.
        key: String,
        /// Its value.
        value: String,
    },
    /// The instance's own zone is not among the zones, although attempts that leave it are charged for.
    #[error("settings: zone {index} of {count}")]
    UnknownZone {
        /// Index of the instance's own zone.
        index: usize,
        /// Number of zones.
        count: usize,
    },
    /// A plan allows more by its quota than by its hard ceiling.
    #[error("settings: tariff '{plan}': its ceiling lies under its quota")]
    CeilingBelowQuota {
        /// Name of the plan.
        plan: String,
    },
}
