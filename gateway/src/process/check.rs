//! What the command line does besides serving: an operator's file is checked, or shown with its effective values.
use super::configuration::{self, ConfigurationError};
use super::operator::{self, OperatorFileError};
use quillramp_operator::routes::Platform;
use quillramp_operator::{show, OperatorSettings};

/// Why a file can't be checked, or what is wrong with it.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The configuration can't be read.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The configuration's settings can't be used.
    #[error("{path}: {text}")]
    Settings {
        /// The configuration's file.
        path: String,
        /// What is wrong with the settings.
        text: String,
    },
    /// The operator's file can't be used.
    #[error(transparent)]
    File(#[from] OperatorFileError),
}

impl CheckError {
    /// All that is wrong, a line each.
    pub fn lines(&self) -> Vec<String> {
        match self {
            CheckError::File(error) => error.lines(),
            other => vec![other.to_string()],
        }
    }
}

/// What a configuration allows, where one is named, else where the environment names one.
fn platform(named: Option<&str>) -> Result<Option<Platform>, CheckError> {
    let path = named.map(str::to_owned).or(std::env::var(configuration::PATH_VARIABLE).ok());
    let Some(path) = path else { return Ok(None) };
    let configuration = configuration::read_file(&path)?;
    let settings = configuration.settings.get().as_bytes();
    let loaded = quillramp::settings::load(configuration.seed, settings)
        .map_err(|error| CheckError::Settings { path, text: error.to_string() })?;
    Ok(Some(operator::platform(&loaded.instance, configuration.limits.sockets)))
}

/// A file that is well, and the configuration that it was checked against.
struct Checked {
    settings: OperatorSettings,
    platform: Option<Platform>,
}

fn read(file: &str, configuration: Option<&str>) -> Result<Checked, CheckError> {
    let platform = platform(configuration)?;
    let settings = operator::read_file(file, platform.as_ref())?;
    Ok(Checked { settings, platform })
}

/// A summary of a file that is well; else all that is wrong.
pub fn check(file: &str, configuration: Option<&str>) -> Result<String, CheckError> {
    let Checked { settings, platform } = read(file, configuration)?;
    let classes = settings.routes.classes.len();
    let routes = settings.routes.routes.len();
    let limitation = match platform {
        Some(_) => "",
        None => "; without a configuration, operations and plans were not looked up",
    };
    Ok(format!("{file}: well; {classes} classes, {routes} routes{limitation}"))
}

/// The effective values under a file, and where each comes from.
pub fn shown(file: &str, configuration: Option<&str>) -> Result<String, CheckError> {
    let Checked { settings, platform } = read(file, configuration)?;
    Ok(show(&settings, platform.as_ref()))
}
