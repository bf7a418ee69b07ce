//! The operator's file, where the environment names one: read complete, checked against the configuration, and handed to
//! the state.
use crate::state::event::OperatorUpdate;
use quillramp::settings::{InstanceSettings, OfferedOperation};
use quillramp_operator::routes::{Operation, Platform, Table};
use quillramp_operator::{Diagnostic, OperatorSettings, MAX_FILE_BYTES};
use std::fs::File;
use std::io::{Error, Read};
use std::time::SystemTime;

/// The environment variable that names the file.
pub const PATH_VARIABLE: &str = "EDGE_OPERATOR";
/// How often a file that changes while it is read is read again.
const MAX_READS: usize = 3;
/// How much of a file is read: one byte more than it may have shows that it is too long.
const READ_LIMIT: u64 = MAX_FILE_BYTES as u64 + 1;

/// Why the file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// It can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The file system's error.
        source: Error,
    },
    /// It did not stand still.
    #[error("{path}: it changes while it is read")]
    Unstable {
        /// The file.
        path: String,
    },
    /// Its contents are wrong; all of that on one line.
    #[error("{}", diagnostic_lines(path, diagnostics).join("; "))]
    Invalid {
        /// The file.
        path: String,
        /// All that is wrong.
        diagnostics: Vec<Diagnostic>,
    },
}

impl OperatorFileError {
    /// All that is wrong, a line each.
    pub fn lines(&self) -> Vec<String> {
        match self {
            OperatorFileError::Invalid { path, diagnostics } => diagnostic_lines(path, diagnostics),
            other => vec![other.to_string()],
        }
    }
}

/// What the configuration allows, for a file to be checked against. `sockets`: the configured file descriptors.
pub fn platform(settings: &InstanceSettings, sockets: usize) -> Platform {
    let operation = |offered: &OfferedOperation| Operation {
        name: offered.name.clone(),
        idempotency: offered.idempotency,
        latency_objective: offered.latency_objective,
        timeout: offered.timeout,
    };
    Platform {
        operations: settings.operations.iter().map(operation).collect(),
        plans: settings.plans.clone(),
        max_attempts: settings.max_attempts,
        hedging: settings.hedging,
        descriptors: sockets,
    }
}

/// What shows that a file has changed.
#[derive(PartialEq)]
struct Version {
    length: u64,
    modified: Option<SystemTime>,
}

impl Version {
    fn of(file: &File) -> Result<Version, Error> {
        let metadata = file.metadata()?;
        Ok(Version { length: metadata.len(), modified: metadata.modified().ok() })
    }
}

/// The text of a file that did not change meanwhile. One that is too long is read as far as that shows.
pub fn text(path: &str) -> Result<String, OperatorFileError> {
    for _ in 0..MAX_READS {
        let text =
            stable_text(path).map_err(|source| OperatorFileError::Read { path: path.into(), source })?;
        if let Some(text) = text {
            return Ok(text);
        }
    }
    Err(OperatorFileError::Unstable { path: path.into() })
}

/// The text of a file; none if it changed meanwhile.
fn stable_text(path: &str) -> Result<Option<String>, Error> {
    let mut file = File::open(path)?;
    let before = Version::of(&file)?;
    let mut text = String::new();
    (&mut file).take(READ_LIMIT).read_to_string(&mut text)?;
    // The same name may be another file by now; what was read is complete all the same if this one stood still.
    let stable = Version::of(&file)? == before && text.len() as u64 == before.length.min(READ_LIMIT);
    Ok(stable.then_some(text))
}

/// All that is wrong, a line each, with the file's name in front.
pub fn diagnostic_lines(path: &str, diagnostics: &[Diagnostic]) -> Vec<String> {
    diagnostics.iter().map(|diagnostic| format!("{path}: {diagnostic}")).collect()
}

/// Reads the file that the environment names; nothing is switched on where none is named.
pub fn read(platform: &Platform) -> Result<OperatorSettings, OperatorFileError> {
    match std::env::var(PATH_VARIABLE) {
        Ok(path) => read_file(&path, Some(platform)),
        Err(_) => Ok(OperatorSettings::default()),
    }
}

/// Reads this file, and checks it against the configuration where there is one.
pub fn read_file(path: &str, platform: Option<&Platform>) -> Result<OperatorSettings, OperatorFileError> {
    let text = text(path)?;
    quillramp_operator::read(&text, platform)
        .map_err(|diagnostics| OperatorFileError::Invalid { path: path.into(), diagnostics })
}

/// What the state is given of the file.
pub fn operator_update(settings: OperatorSettings, platform: &Platform) -> OperatorUpdate {
    let OperatorSettings { admission, membership_interval, broker, identity, .. } = settings;
    OperatorUpdate {
        routes: Table::new(&settings.routes, platform),
        admission,
        membership_interval,
        broker,
        identity,
    }
}
