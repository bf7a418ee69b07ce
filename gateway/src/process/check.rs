//! The commands that check an operator's file, or show its effective values.
use super::configuration::{self, ConfigurationError};
use super::operator::{self, OperatorFileError};
use quillramp::settings::SettingsError;
use quillramp_operator::routes::Platform;
use quillramp_operator::{show, OperatorSettings};

/// Error of checking an operator's file: the file is invalid, or there is nothing valid to check it against.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The configuration can't be read.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The configuration's settings are invalid.
    #[error("{path}: {source}")]
    Settings {
        /// The configuration file.
        path: String,
        /// The error of the settings.
        source: SettingsError,
    },
    /// The operator's file can't be used.
    #[error(transparent)]
    File(#[from] OperatorFileError),
}

impl CheckError {
    /// Returns the error's lines, one for each diagnostic.
    pub fn lines(&self) -> Vec<String> {
        match self {
            CheckError::File(error) => error.lines(),
            other => vec![other.to_string()],
        }
    }
}

/// Returns the platform of the configuration file at this path, or else of the one that the environment
/// variable names; `None` if neither is given.
fn platform(configuration_path: Option<&str>) -> Result<Option<Platform>, CheckError> {
    let path = configuration_path.map(str::to_owned).or(std::env::var(configuration::PATH_VARIABLE).ok());
    let Some(path) = path else { return Ok(None) };
    let configuration = configuration::read_file(&path)?;
    let settings = configuration.settings.get().as_bytes();
    let loaded = quillramp::settings::load(configuration.seed, settings)
        .map_err(|source| CheckError::Settings { path, source })?;
    Ok(Some(operator::platform(&loaded.instance, configuration.limits.sockets)))
}

/// A valid operator's file, and the platform that it was checked against.
struct CheckedFile {
    settings: OperatorSettings,
    platform: Option<Platform>,
}

fn read(file: &str, configuration: Option<&str>) -> Result<CheckedFile, CheckError> {
    let platform = platform(configuration)?;
    let settings = operator::read_file(file, platform.as_ref())?;
    Ok(CheckedFile { settings, platform })
}

/// Checks an operator's file; returns a summary of a valid one.
pub fn check(file: &str, configuration: Option<&str>) -> Result<String, CheckError> {
    let CheckedFile { settings, platform } = read(file, configuration)?;
    let classes = settings.routes.classes.len();
    let routes = settings.routes.routes.len();
    let limitation = match platform {
        Some(_) => "",
        None => "; operations and plans were not checked, because no configuration is given",
    };
    Ok(format!("{file}: valid; {classes} classes, {routes} routes{limitation}"))
}

/// Returns the effective values under an operator's file, each with its source.
pub fn effective_values(file: &str, configuration: Option<&str>) -> Result<String, CheckError> {
    let CheckedFile { settings, platform } = read(file, configuration)?;
    Ok(show(&settings, platform.as_ref()))
}
