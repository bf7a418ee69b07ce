//! The state that the processes of one gateway instance share through a file, for the handover from one to
//! the next. Other threads than the worker thread access the file, so that the worker never blocks on it.
use super::process_identity::ProcessIdentity;
use super::shared_file::{SharedFile, SharedFileError, SharedRecord};
use crate::sockets::event_queue::EventQueue;
use crate::state::event::Event;
use crate::state::shared_state::{AdminChange, SaveError, SharedState};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the file is read for changes by the other process.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Environment variable that names the directory of the file.
const DIRECTORY_VARIABLE: &str = "TMPDIR";

/// A request to the thread to write the file.
enum WriteRequest {
    Change { call: u64, change: AdminChange },
    DescriptorLimit(usize),
}

/// The shared file, interpreted from the point of view of this process.
#[derive(Clone)]
pub struct SharedStateFile {
    file: SharedFile,
    /// The newest process at the time when this one started.
    predecessor: ProcessIdentity,
}

impl SharedStateFile {
    /// Reads the shared state from the file.
    pub fn read(&self) -> Result<SharedState, SharedFileError> {
        self.file.read().map(|record| self.interpret(&record))
    }

    /// Converts the file's contents into the shared state as it applies to this process.
    fn interpret(&self, record: &SharedRecord) -> SharedState {
        let newest = record.newest();
        let peer = if newest.pid == std::process::id() { self.predecessor } else { newest };
        // False for a process that has exited, even if its id now belongs to another process.
        let running = peer.is_running();
        let has_limit = running && record.leaving_pid == peer.pid;
        SharedState {
            ejected_backends: record.ejected_backends.clone(),
            drained: record.drained,
            peer_process_running: running,
            peer_process_newer: running && peer != self.predecessor,
            peer_descriptor_limit: has_limit.then_some(record.descriptor_limit),
        }
    }
}

/// Error of starting the thread that reads and writes the shared file.
#[derive(Debug, thiserror::Error)]
#[error("can't start the thread for the shared file: {0}")]
pub struct StoreThreadError(#[from] std::io::Error);

/// The shared state at the start of a process.
#[derive(Default)]
pub struct Handover {
    /// The shared state that was saved before.
    pub shared: SharedState,
    /// The store of later changes; `None` if there is no directory for the file.
    pub store: Option<SharedStateStore>,
}

/// Saves changes to the shared state, and reports those of the other process as events, on a separate thread.
pub struct SharedStateStore {
    requests: Sender<WriteRequest>,
    /// The shared file.
    pub file: SharedStateFile,
}

impl SharedStateStore {
    /// Records this process in the file as the newest one, and starts the thread. The file is in the
    /// directory that `TMPDIR` names, and its name contains that of the instance.
    pub fn start(instance: &str, events: Arc<EventQueue>) -> Result<Handover, StoreThreadError> {
        let directory =
            std::env::var_os(DIRECTORY_VARIABLE).map(PathBuf::from).filter(|directory| directory.is_dir());
        let Some(directory) = directory else { return Ok(Handover::default()) };
        let sanitize = |letter: char| if letter.is_ascii_alphanumeric() { letter } else { '-' };
        let name = instance.chars().map(sanitize).collect::<String>();
        let file = SharedFile::new(directory.join(format!("quillramp-{name}.json")));
        let current = ProcessIdentity::current();
        // The other process reads from the file that this one is the newest.
        let update = file.update(|record| record.set_newest(current));
        let predecessor = update.before.newest();
        let record = update.after.unwrap_or_else(|error| {
            tracing::warn!(
                "the shared file can't be written, so the next process will not detect this one: {error}"
            );
            let newest_pid = current.pid;
            let newest_start_ticks = current.start_ticks;
            SharedRecord { drained: false, newest_pid, newest_start_ticks, ..update.before }
        });
        let file = SharedStateFile { file, predecessor };
        let shared = file.interpret(&record);
        let (requests, receiver) = channel();
        let thread =
            StoreThread { file: file.clone(), requests: receiver, events, last_notified: shared.clone() };
        std::thread::Builder::new().name("keep".into()).spawn(move || thread.run())?;
        Ok(Handover { shared, store: Some(SharedStateStore { requests, file }) })
    }

    /// Saves a change by an operator's call; an event reports the result for that call.
    pub fn write(&self, call: u64, change: AdminChange) {
        self.request(WriteRequest::Change { call, change });
    }

    /// Announces to the other process the maximum number of descriptors that this one will hold.
    pub fn announce_descriptor_limit(&self, limit: usize) {
        self.request(WriteRequest::DescriptorLimit(limit));
    }

    fn request(&self, request: WriteRequest) {
        let _ = self.requests.send(request); // can't fail: the thread runs until the process exits
    }
}

/// The thread that reads and writes the shared file.
struct StoreThread {
    file: SharedStateFile,
    requests: Receiver<WriteRequest>,
    events: Arc<EventQueue>,
    /// The shared state that the reducer was last notified of.
    last_notified: SharedState,
}

impl StoreThread {
    fn run(mut self) {
        loop {
            match self.requests.recv_timeout(POLL_INTERVAL) {
                Ok(WriteRequest::Change { call, change }) => {
                    let written = self.file.file.apply(change);
                    let shared = written.map(|record| self.file.interpret(&record));
                    self.notify(Some(call), shared);
                }
                Ok(WriteRequest::DescriptorLimit(limit)) => self.write_descriptor_limit(limit),
                Err(RecvTimeoutError::Timeout) => self.poll(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn write_descriptor_limit(&self, limit: usize) {
        let announce = |record: &mut SharedRecord| {
            record.leaving_pid = std::process::id();
            record.descriptor_limit = limit;
        };
        if let Err(error) = self.file.file.update(announce).after {
            tracing::warn!("the descriptor limit can't be announced to the other process: {error}");
        }
    }

    /// Notifies the reducer of changes by the other process; a file that can't be read is ignored.
    fn poll(&mut self) {
        if let Ok(shared) = self.file.read() {
            if shared != self.last_notified {
                self.notify(None, Ok(shared));
            }
        }
    }

    fn notify(&mut self, call: Option<u64>, shared: Result<SharedState, SharedFileError>) {
        if let Ok(shared) = &shared {
            self.last_notified.clone_from(shared);
        }
        let shared = shared.map_err(SaveError::new);
        self.events.push_from_thread(Event::SharedStateSaved { call, shared });
    }
}
