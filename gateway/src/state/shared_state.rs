//! What the processes of one instance share, and the changes that operators make to it.
use std::collections::BTreeMap;
use std::error::Error;

/// A change by an operator, which is saved for the next process too.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminChange {
    /// No new attempts are sent to a backend.
    EjectBackend {
        /// The backend's name.
        name: String,
        /// Since when it is ejected, in seconds.
        since: f64,
    },
    /// Attempts are sent to the backend of this name again.
    RestoreBackend(String),
    /// Whether the instance is drained.
    SetDrained(bool),
}

impl AdminChange {
    /// Makes the change to these parts of the shared state.
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

/// What the processes of one instance share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedState {
    /// Backends that operators have ejected, and since when, in seconds.
    pub ejected_backends: BTreeMap<String, f64>,
    /// An operator has drained the instance.
    pub drained: bool,
    /// Another process of this instance is running too.
    pub peer_process_running: bool,
    /// That process started after this one.
    pub peer_process_newer: bool,
    /// That process is stopping, and will hold no more descriptors than these.
    pub peer_descriptor_limit: Option<usize>,
}

/// The shared state could not be saved. Whoever saves it says why; to the reducer that is a text for operators.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SaveError(Box<dyn Error + Send + Sync>);

impl SaveError {
    /// The state could not be saved because of this.
    pub fn new(cause: impl Error + Send + Sync + 'static) -> SaveError {
        SaveError(Box::new(cause))
    }
}
