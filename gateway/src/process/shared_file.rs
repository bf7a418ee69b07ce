//! The file that the processes of one gateway instance share: written complete, renamed, and changed under a lock.
use super::process_identity::ProcessIdentity;
use crate::state::shared_state::AdminChange;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long the lock on the file is waited for. A start waits for it: one process that hangs with the lock must not keep
/// the next from serving.
const LOCK_WAIT: Duration = Duration::from_secs(1);
/// How often the lock is attempted.
const LOCK_RETRY: Duration = Duration::from_millis(10);
/// The longest file that is read, in bytes: a longer one is not ours.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Why the file can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum SharedFileError {
    /// The file system refuses.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// Another process does not release the lock in time, or there is no locking.
    #[error("{}: {source}", path.display())]
    Lock {
        /// The lock's file.
        path: PathBuf,
        /// Why the lock was not taken.
        source: TryLockError,
    },
    /// It is no file that a gateway wrote.
    #[error("{}: no file of ours", path.display())]
    NotASharedFile {
        /// The file.
        path: PathBuf,
    },
    /// Its contents can't be decoded.
    #[error("{}: {source}", path.display())]
    Decode {
        /// The file.
        path: PathBuf,
        /// What is wrong with the JSON.
        source: serde_json::Error,
    },
    /// Its contents can't be encoded.
    #[error("{0}")]
    Encode(serde_json::Error),
}

/// The contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SharedRecord {
    /// Backends ejected by hand, and since when, in seconds since 1970.
    #[serde(rename = "out")]
    pub ejected_backends: BTreeMap<String, f64>,
    /// The instance is drained by hand.
    pub drained: bool,
    /// The newest process.
    #[serde(rename = "serves")]
    pub newest_pid: u32,
    /// When the newest process started, in clock ticks: see [`ProcessIdentity`].
    #[serde(rename = "since")]
    pub newest_started: u64,
    /// The process that is shutting down; 0 for none.
    #[serde(rename = "leaves")]
    pub leaving_pid: u32,
    /// How many descriptors the process that is shutting down holds at the most.
    #[serde(rename = "holds")]
    pub descriptor_limit: usize,
}

impl SharedRecord {
    /// The newest process.
    pub fn newest(&self) -> ProcessIdentity {
        ProcessIdentity { pid: self.newest_pid, started: self.newest_started }
    }

    /// Takes this process up as the newest one; a drain by hand ends with that.
    pub fn set_newest(&mut self, process: ProcessIdentity) {
        self.drained = false;
        self.newest_pid = process.pid;
        self.newest_started = process.started;
        self.leaving_pid = 0;
    }
}

/// What an update found and what came of it.
pub struct Update {
    /// The contents before.
    pub before: SharedRecord,
    /// The contents now; an error where they could not be written.
    pub after: Result<SharedRecord, SharedFileError>,
}

/// The shared file, by its path.
#[derive(Clone)]
pub struct SharedFile {
    path: PathBuf,
}

impl SharedFile {
    /// The file at this path, whether it is there yet or not.
    pub fn new(path: PathBuf) -> SharedFile {
        SharedFile { path }
    }

    /// Makes an operator's change.
    pub fn apply(&self, change: AdminChange) -> Result<SharedRecord, SharedFileError> {
        self.update(|record| change.apply(&mut record.ejected_backends, &mut record.drained)).after
    }

    /// Reads, changes and writes under a lock: the other process may do so too, and what it wrote meanwhile, an ejection or
    /// that it takes over, must not be overwritten.
    pub fn update(&self, change: impl FnOnce(&mut SharedRecord)) -> Update {
        let lock = take_lock(&self.path.with_extension("lock"));
        let before = self.read().unwrap_or_else(ignore_unreadable);
        let mut record = before.clone();
        change(&mut record);
        let after = lock.and_then(|_lock| self.write(&record)).map(|()| record);
        Update { before, after }
    }

    /// The contents of the file; the default where there is none.
    pub fn read(&self) -> Result<SharedRecord, SharedFileError> {
        match std::fs::metadata(&self.path) {
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(SharedRecord::default()),
            Err(error) => return Err(self.io_error(error)),
            Ok(file) if !file.is_file() || file.len() > MAX_FILE_BYTES => {
                return Err(SharedFileError::NotASharedFile { path: self.path.clone() })
            }
            Ok(_) => {}
        }
        let text = std::fs::read(&self.path).map_err(|error| self.io_error(error))?;
        let decoded = serde_json::from_slice(&text);
        decoded.map_err(|source| SharedFileError::Decode { path: self.path.clone(), source })
    }

    fn write(&self, record: &SharedRecord) -> Result<(), SharedFileError> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        let text = serde_json::to_vec(record).map_err(SharedFileError::Encode)?;
        std::fs::write(&temporary, text)
            .and_then(|()| std::fs::rename(&temporary, &self.path))
            .map_err(|error| self.io_error(error))
    }

    fn io_error(&self, source: std::io::Error) -> SharedFileError {
        SharedFileError::Io { path: self.path.clone(), source }
    }
}

/// Takes the lock, which ends with the file that is returned; an error where another process does not release it in time.
fn take_lock(path: &Path) -> Result<File, SharedFileError> {
    let file = File::create(path).map_err(|source| SharedFileError::Io { path: path.into(), source })?;
    let deadline = Instant::now() + LOCK_WAIT;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() < deadline => std::thread::sleep(LOCK_RETRY),
            Err(source) => return Err(SharedFileError::Lock { path: path.into(), source }),
        }
    }
}

/// A file that can't be read stops nothing.
fn ignore_unreadable(error: SharedFileError) -> SharedRecord {
    tracing::warn!("the shared file can't be read and is ignored: {error}");
    SharedRecord::default()
}
