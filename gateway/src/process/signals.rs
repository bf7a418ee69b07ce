//! Signals, turned into events on the main thread: SIGTERM (or SIGINT, from a terminal) to shut down, SIGHUP to read the
//! configuration and the operator's file again.
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

/// The handlers could not be installed.
#[derive(Debug, thiserror::Error)]
#[error("signals: {0}")]
pub struct SignalError(#[from] std::io::Error);

/// Installs the handlers.
pub fn install() -> Result<Signals, SignalError> {
    Ok(Signals::new([SIGTERM, SIGINT, SIGHUP])?)
}

/// Why nothing was reloaded.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
}

/// Turns signals into events.
pub struct SignalLoop {
    /// The installed handlers.
    pub signals: Signals,
    /// Where the events go.
    pub events: Arc<EventQueue>,
    /// What the processes of this instance share.
    pub shared: Option<SharedStateFile>,
    /// What operators' files are checked against.
    pub platform: Platform,
}

impl SignalLoop {
    /// Waits on the main thread, which may read files; the worker thread ends the process.
    pub fn run(mut self) -> ! {
        for signal in self.signals.forever() {
            if signal == SIGHUP {
                reload(&self.platform, &self.events);
            } else {
                shut_down(self.shared.as_ref(), &self.events);
            }
        }
        unreachable!("signals never end");
    }
}

fn shut_down(shared: Option<&SharedStateFile>, events: &EventQueue) {
    // The other process may have taken over in this very moment.
    if let Some(Ok(shared)) = shared.map(SharedStateFile::read) {
        events.push_from_thread(Event::SharedStateSaved { call: None, shared: Ok(shared) });
    }
    events.push_from_thread(Event::Shutdown);
}

fn reload(platform: &Platform, events: &EventQueue) {
    match read_again(platform) {
        Ok(reloaded) => reloaded.into_iter().for_each(|event| events.push_from_thread(event)),
        Err(error) => events.push_from_thread(Event::ReloadFailed(error.to_string())),
    }
}

/// Both files, each complete: where one can't be used neither is.
fn read_again(platform: &Platform) -> Result<[Event; 2], ReloadError> {
    let Configuration { discovery, counter, .. } = configuration::read()?;
    let operator = operator::read(platform)?;
    logger::configure(operator.log.as_ref());
    let update = operator::operator_update(operator, platform);
    Ok([Event::ConfigurationReloaded { discovery, counter }, Event::OperatorFileReloaded(Box::new(update))])
}
