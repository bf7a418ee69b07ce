//! The file that the processes of one gateway instance share. It is replaced atomically, by a rename, and
//! updated under a lock.
use super::process_identity::ProcessIdentity;
use crate::state::shared_state::AdminChange;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Maximum time to wait for the lock. A starting process waits for it, so a process that hangs while it holds
/// the lock must not keep the next one from serving.
const LOCK_WAIT: Duration = Duration::from_secs(1);
/// Interval between attempts to take the lock.
const LOCK_RETRY: Duration = Duration::from_millis(10);
/// Maximum length of the file, in bytes; a longer one was not written by a gateway.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Error of reading or writing the shared file.
#[derive(Debug, thiserror::Error)]
pub enum SharedFileError {
    /// The file can't be accessed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// Another process did not release the lock in time, or the file system has no locks.
    #[error("{}: {source}", path.display())]
    Lock {
        /// The lock file.
        path: PathBuf,
        /// The reason why the lock was not taken.
        source: TryLockError,
    },
    /// The path is not a regular file, or the file is too long.
    #[error("{}: no file of ours", path.display())]
    NotASharedFile {
        /// The file.
        path: PathBuf,
    },
    /// The file's contents can't be decoded.
    #[error("{}: {source}", path.display())]
    Decode {
        /// The file.
        path: PathBuf,
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// The new contents can't be encoded.
    #[error("{0}")]
    Encode(serde_json::Error),
}

/// The contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SharedRecord {
    /// Names of the backends that operators have ejected, each with the time of its ejection in seconds since
    /// 1970.
    #[serde(rename = "out")]
    pub ejected_backends: BTreeMap<String, f64>,
    /// Whether an operator has drained the instance.
    pub drained: bool,
    /// Id of the newest process.
    #[serde(rename = "serves")]
    pub newest_pid: u32,
    /// Start time of the newest process, in clock ticks since the machine's boot; see [`ProcessIdentity`].
    #[serde(rename = "since")]
    pub newest_start_ticks: u64,
    /// Id of the process that is shutting down; 0 for none.
    #[serde(rename = "leaves")]
    pub leaving_pid: u32,
    /// Maximum number of descriptors of the process that is shutting down.
    #[serde(rename = "holds")]
    pub descriptor_limit: usize,
}

impl SharedRecord {
    /// Returns the newest process.
    pub fn newest(&self) -> ProcessIdentity {
        ProcessIdentity { pid: self.newest_pid, start_ticks: self.newest_start_ticks }
    }

    /// Records a process as the newest one, which ends a drain by an operator.
    pub fn set_newest(&mut self, process: ProcessIdentity) {
        self.drained = false;
        self.newest_pid = process.pid;
        self.newest_start_ticks = process.start_ticks;
        self.leaving_pid = 0;
    }
}

/// The result of an update.
pub struct Update {
    /// The contents before the update.
    pub before: SharedRecord,
    /// The contents after the update, or the error of writing them.
    pub after: Result<SharedRecord, SharedFileError>,
}

/// The shared file at a path.
#[derive(Clone)]
pub struct SharedFile {
    path: PathBuf,
}

impl SharedFile {
    /// Returns the file at this path, which need not exist yet.
    pub fn new(path: PathBuf) -> SharedFile {
        SharedFile { path }
    }

    /// Saves an operator's change and returns the new contents.
    pub fn apply(&self, change: AdminChange) -> Result<SharedRecord, SharedFileError> {
        self.update(|record| change.apply(&mut record.ejected_backends, &mut record.drained)).after
    }

    /// Reads, changes and writes the contents under a lock, so that a concurrent update by the other process,
    /// such as an ejection or its own registration as the newest process, is not overwritten.
    pub fn update(&self, change: impl FnOnce(&mut SharedRecord)) -> Update {
        let lock = take_lock(&self.path.with_extension("lock"));
        let before = self.read().unwrap_or_else(ignore_unreadable);
        let mut record = before.clone();
        change(&mut record);
        let after = lock.and_then(|_lock| self.write(&record)).map(|()| record);
        Update { before, after }
    }

    /// Returns the contents of the file, or the default if the file does not exist.
    pub fn read(&self) -> Result<SharedRecord, SharedFileError> {
        match std::fs::metadata(&self.path) {
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(SharedRecord::default()),
            Err(error) => return Err(self.io_error(error)),
            Ok(attributes) if !attributes.is_file() || attributes.len() > MAX_FILE_BYTES => {
                return Err(SharedFileError::NotASharedFile { path: self.path.clone() })
            }
            Ok(_) => {}
        }
        let text = std::fs::read(&self.path).map_err(|error| self.io_error(error))?;
        let decoded = serde_json::from_slice(&text);
        decoded.map_err(|source| SharedFileError::Decode { path: self.path.clone(), source })
    }

    /// Writes a temporary file and renames it to the shared file.
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

/// Takes the lock, which is released when the returned file is dropped; fails if another process holds it for
/// too long.
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

/// Returns the default contents for a file that can't be read, which must not prevent a start or a change.
fn ignore_unreadable(error: SharedFileError) -> SharedRecord {
    tracing::warn!("the shared file can't be read and is treated as empty: {error}");
    SharedRecord::default()
}
