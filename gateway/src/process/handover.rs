//! What the processes of one gateway instance share at a handover, through a file that both keep. The file is
//! only touched on a thread of its own.
use super::process_identity::ProcessIdentity;
use super::shared_file::{SharedFile, SharedFileError, SharedRecord};
use crate::sockets::event_queue::EventQueue;
use crate::state::event::Event;
use crate::state::shared_state::{AdminChange, SaveError, SharedState};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;

/// How often the file is read for what the other process wrote.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The environment variable that names the folder of the file.
const FOLDER_VARIABLE: &str = "TMPDIR";

/// What the thread is asked to write.
enum WriteRequest {
    Change { call: u64, change: AdminChange },
    DescriptorLimit(usize),
}

/// The shared file as this process sees it.
#[derive(Clone)]
pub struct SharedStateFile {
    file: SharedFile,
    /// The newest process when this one started.
    predecessor: ProcessIdentity,
}

impl SharedStateFile {
    /// What the processes share, as the file has it now.
    pub fn read(&self) -> Result<SharedState, SharedFileError> {
        self.file.read().map(|record| self.interpret(&record))
    }

    /// What a record means to this process.
    fn interpret(&self, record: &SharedRecord) -> SharedState {
        let newest = record.newest();
        let other = if newest.pid == std::process::id() { self.predecessor } else { newest };
        // One that has died is not there, nor is one that only has its number.
        let running = other.is_running();
        let limited = running && record.leaving_pid == other.pid;
        SharedState {
            ejected_backends: record.ejected_backends.clone(),
            drained: record.drained,
            peer_process_running: running,
            peer_process_newer: running && other != self.predecessor,
            peer_descriptor_limit: limited.then_some(record.descriptor_limit),
        }
    }
}

/// The thread that keeps the file could not be made.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct StoreThreadError(#[from] std::io::Error);

/// What a start finds.
#[derive(Default)]
pub struct Handover {
    /// What the processes share so far.
    pub shared: SharedState,
    /// The thread that keeps the file; none without a folder for it.
    pub store: Option<SharedStateStore>,
}

/// The thread that keeps the file.
pub struct SharedStateStore {
    requests: Sender<WriteRequest>,
    /// The file.
    pub file: SharedStateFile,
}

impl SharedStateStore {
    /// Takes this process up in the file as the newest one, and starts the thread.
    /// The file is in the folder that `TMPDIR` names, under the instance's own name.
    pub fn start(instance: &str, events: Arc<EventQueue>) -> Result<Handover, StoreThreadError> {
        let folder = std::env::var_os(FOLDER_VARIABLE).map(PathBuf::from).filter(|folder| folder.is_dir());
        let Some(folder) = folder else { return Ok(Handover::default()) };
        let plain = |letter: char| if letter.is_ascii_alphanumeric() { letter } else { '-' };
        let name = instance.chars().map(plain).collect::<String>();
        let file = SharedFile::new(folder.join(format!("quillramp-{name}.json")));
        let current = ProcessIdentity::current();
        // The other process learns of this one from the file.
        let update = file.update(|record| record.set_newest(current));
        let predecessor = update.before.newest();
        let record = update.after.unwrap_or_else(|error| {
            tracing::warn!(
                "the shared file can't be written, so the next process will not know this one: {error}"
            );
            let newest_pid = current.pid;
            let newest_started = current.started;
            SharedRecord { drained: false, newest_pid, newest_started, ..update.before }
        });
        let file = SharedStateFile { file, predecessor };
        let shared = file.interpret(&record);
        let (requests, requested) = channel();
        let thread = StoreThread { file: file.clone(), requests: requested, events, known: shared.clone() };
        std::thread::Builder::new().name("keep".into()).spawn(move || thread.run())?;
        Ok(Handover { shared, store: Some(SharedStateStore { requests, file }) })
    }

    /// Writes a change; its result follows as an event, with the call that asked for it.
    pub fn write(&self, call: u64, change: AdminChange) {
        self.request(WriteRequest::Change { call, change });
    }

    /// Tells the other process that this one will hold no more descriptors than these.
    pub fn announce_descriptor_limit(&self, limit: usize) {
        self.request(WriteRequest::DescriptorLimit(limit));
    }

    fn request(&self, request: WriteRequest) {
        let _ = self.requests.send(request); // the thread lasts as long as the process
    }
}

struct StoreThread {
    file: SharedStateFile,
    requests: Receiver<WriteRequest>,
    events: Arc<EventQueue>,
    /// What the reducer was last notified of.
    known: SharedState,
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
            tracing::warn!("the limit on descriptors can't be announced to the other process: {error}");
        }
    }

    /// Looks for what the other process wrote; a file that can't be read changes nothing.
    fn poll(&mut self) {
        if let Ok(shared) = self.file.read() {
            if shared != self.known {
                self.notify(None, Ok(shared));
            }
        }
    }

    fn notify(&mut self, call: Option<u64>, shared: Result<SharedState, SharedFileError>) {
        if let Ok(shared) = &shared {
            self.known.clone_from(shared);
        }
        let shared = shared.map_err(SaveError::new);
        self.events.push_from_thread(Event::SharedStateSaved { call, shared });
    }
}
