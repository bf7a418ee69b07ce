//! Handles signals on the main thread and reports them as events: SIGTERM (or SIGINT, from a terminal) shuts
//! the process down, SIGHUP reloads the configuration and the operator's file.
use super::configuration::{self, Configuration, ConfigurationError};
use super::handover::SharedStateFile;
use super::logger;
use super::operator::{self, OperatorFileError};
use crate::sockets::event_queue::EventQueue;
use crate::state::event::Event;
use quillramp_operator::routes::Platform;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;

/// Error of installing the signal handlers.
#[derive(Debug, thiserror::Error)]
#[error("can't install the signal handlers: {0}")]
pub struct SignalError(#[from] std::io::Error);

/// Installs the signal handlers.
pub fn install() -> Result<Signals, SignalError> {
    Ok(Signals::new([SIGTERM, SIGINT, SIGHUP])?)
}

/// Error of a reload, which leaves the old settings in force.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
}

/// The loop that reports signals as events.
pub struct SignalLoop {
    /// The installed signal handlers.
    pub signals: Signals,
    /// The queue of events for the reducer.
    pub events: Arc<EventQueue>,
    /// The state that the processes of this instance share; `None` if it is not saved.
    pub shared: Option<SharedStateFile>,
    /// The platform that operators' files are checked against.
    pub platform: Platform,
}

impl SignalLoop {
    /// Waits for signals until the worker thread ends the process. Runs on the main thread, which may block
    /// on files.
    pub fn run(mut self) -> ! {
        for signal in self.signals.forever() {
            if signal == SIGHUP {
                reload(&self.platform, &self.events);
            } else {
                shut_down(self.shared.as_ref(), &self.events);
            }
        }
        unreachable!("the iterator over signals never ends");
    }
}

fn shut_down(shared: Option<&SharedStateFile>, events: &EventQueue) {
    // A new process may have started since the shared file was last read, and then takes over the listener.
    if let Some(Ok(shared)) = shared.map(SharedStateFile::read) {
        events.push_from_thread(Event::SharedStateSaved { call: None, shared: Ok(shared) });
    }
    events.push_from_thread(Event::Shutdown);
}

fn reload(platform: &Platform, events: &EventQueue) {
    match read_files(platform) {
        Ok(reloaded) => reloaded.into_iter().for_each(|event| events.push_from_thread(event)),
        Err(error) => events.push_from_thread(Event::ReloadFailed(error.to_string())),
    }
}

/// Reads the configuration and the operator's file; if either is invalid, neither takes effect.
fn read_files(platform: &Platform) -> Result<[Event; 2], ReloadError> {
    let Configuration { discovery, counter, .. } = configuration::read()?;
    let operator = operator::read(platform)?;
    logger::configure(operator.log.as_ref());
    let update = operator::operator_update(operator, platform);
    Ok([Event::ConfigurationReloaded { discovery, counter }, Event::OperatorFileReloaded(Box::new(update))])
}
