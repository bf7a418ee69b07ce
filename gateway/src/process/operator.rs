//! Reads the operator's file, which an environment variable may name, and checks it against the
//! configuration.
use crate::state::event::OperatorUpdate;
use quillramp::settings::{InstanceSettings, OfferedOperation};
use quillramp_operator::routes::{Operation, Platform, Table};
use quillramp_operator::{Diagnostic, OperatorSettings, MAX_FILE_BYTES};
use std::fs::File;
use std::io::{Error, Read};
use std::time::SystemTime;

/// Environment variable with the path of the operator's file.
pub const PATH_VARIABLE: &str = "EDGE_OPERATOR";
/// Number of attempts to read a file that changes while it is read.
const MAX_READ_ATTEMPTS: usize = 3;
/// Maximum length that is read, in bytes: one byte over the maximum of the file, so that a longer file is
/// recognized.
const READ_LIMIT: u64 = MAX_FILE_BYTES as u64 + 1;

/// Error of an operator's file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The file system's error.
        source: Error,
    },
    /// The file changed during every attempt to read it.
    #[error("{path}: the file changed during each of {MAX_READ_ATTEMPTS} attempts to read it")]
    Unstable {
        /// The file.
        path: String,
    },
    /// The file's contents are invalid; the message has all diagnostics on one line.
    #[error("{}", diagnostic_lines(path, diagnostics).join("; "))]
    Invalid {
        /// The file.
        path: String,
        /// The diagnostics.
        diagnostics: Vec<Diagnostic>,
    },
}

impl OperatorFileError {
    /// Returns the error's lines, one for each diagnostic.
    pub fn lines(&self) -> Vec<String> {
        match self {
            OperatorFileError::Invalid { path, diagnostics } => diagnostic_lines(path, diagnostics),
            other => vec![other.to_string()],
        }
    }
}

/// Returns the platform that operators' files are checked against: the configured operations, plans and
/// limits. `sockets` is the configured number of file descriptors.
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

/// The metadata that shows whether a file has changed.
#[derive(PartialEq)]
struct FileVersion {
    length: u64,
    modified: Option<SystemTime>,
}

impl FileVersion {
    fn of(file: &File) -> Result<FileVersion, Error> {
        let metadata = file.metadata()?;
        Ok(FileVersion { length: metadata.len(), modified: metadata.modified().ok() })
    }
}

/// Reads the text of a file, and reads it again if it changes meanwhile. Of a file that is too long,
/// `READ_LIMIT` bytes are read.
pub fn read_text(path: &str) -> Result<String, OperatorFileError> {
    for _ in 0..MAX_READ_ATTEMPTS {
        let text =
            read_stable_text(path).map_err(|source| OperatorFileError::Read { path: path.into(), source })?;
        if let Some(text) = text {
            return Ok(text);
        }
    }
    Err(OperatorFileError::Unstable { path: path.into() })
}

/// Reads the text of a file; returns `None` if the file changed meanwhile.
fn read_stable_text(path: &str) -> Result<Option<String>, Error> {
    let mut file = File::open(path)?;
    let before = FileVersion::of(&file)?;
    let mut text = String::new();
    (&mut file).take(READ_LIMIT).read_to_string(&mut text)?;
    // The path may name another file by now; the text is complete nevertheless if the opened file has not
    // changed.
    let is_stable = FileVersion::of(&file)? == before && text.len() as u64 == before.length.min(READ_LIMIT);
    Ok(is_stable.then_some(text))
}

/// Formats each diagnostic as a line that starts with the file's path.
pub fn diagnostic_lines(path: &str, diagnostics: &[Diagnostic]) -> Vec<String> {
    diagnostics.iter().map(|diagnostic| format!("{path}: {diagnostic}")).collect()
}

/// Reads the file that the environment variable names; returns the defaults if it is not set.
pub fn read(platform: &Platform) -> Result<OperatorSettings, OperatorFileError> {
    match std::env::var(PATH_VARIABLE) {
        Ok(path) => read_file(&path, Some(platform)),
        Err(_) => Ok(OperatorSettings::default()),
    }
}

/// Reads the file at a path, and checks it against the platform if there is one.
pub fn read_file(path: &str, platform: Option<&Platform>) -> Result<OperatorSettings, OperatorFileError> {
    let text = read_text(path)?;
    quillramp_operator::read(&text, platform)
        .map_err(|diagnostics| OperatorFileError::Invalid { path: path.into(), diagnostics })
}

/// Converts a file's settings into the update of the gateway's state.
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
