//! State that the processes of one instance share, and the changes that operators make to it.
use std::collections::BTreeMap;
use std::error::Error;

/// A change by an operator, which is also saved for the next process.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminChange {
    /// Stops sending new attempts to a backend.
    EjectBackend {
        /// The backend's name.
        name: String,
        /// Time of the ejection, in seconds.
        since: f64,
    },
    /// Resumes sending attempts to the backend of this name.
    RestoreBackend(String),
    /// Drains the instance, or ends its drain.
    SetDrained(bool),
}

impl AdminChange {
    /// Applies the change to these parts of the shared state.
    pub fn apply(self, ejected_backends: &mut BTreeMap<String, f64>, drained: &mut bool) {
        match self {
            AdminChange::EjectBackend { name, since } => {
                ejected_backends.entry(name).or_insert(since);
            }
            AdminChange::RestoreBackend(name) => {
                ejected_backends.remove(&name);
            }
            AdminChange::SetDrained(is_drained) => *drained = is_drained,
        }
    }
}

/// State that the processes of one instance share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedState {
    /// Names of the backends that operators have ejected, with the time of each ejection in seconds.
    pub ejected_backends: BTreeMap<String, f64>,
    /// Whether an operator has drained the instance.
    pub drained: bool,
    /// Whether another process of this instance is running.
    pub peer_process_running: bool,
    /// Whether that process started after this one.
    pub peer_process_newer: bool,
    /// Maximum number of file descriptors that the other process will hold; `None` unless it is stopping and has
    /// announced one.
    pub peer_descriptor_limit: Option<usize>,
}

/// The error of a failed save of the shared state. The reducer only passes its text to operators.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SaveError(Box<dyn Error + Send + Sync>);

impl SaveError {
    /// Wraps the cause of the failed save.
    pub fn new(cause: impl Error + Send + Sync + 'static) -> SaveError {
        SaveError(Box::new(cause))
    }
}
