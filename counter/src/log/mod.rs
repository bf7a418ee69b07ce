//! The persistent log: checksummed records, and snapshots that replace all entries up to them.
mod files;
mod record;
mod recovery;
pub use recovery::Recovered;

use crate::disk::Disk;
use crate::Result;
use record::Record;
use recovery::Recovery;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Index of the entry in the log, counted from 1.
    pub index: u64,
    /// The term in which the entry was proposed.
    pub term: u64,
    /// The command; `None` in the entry with which a leader begins its term.
    pub command: Option<C>,
}

impl<C> Entry<C> {
    /// Returns the index and the term of the entry.
    pub fn position(&self) -> LogPosition {
        LogPosition { index: self.index, term: self.term }
    }
}

/// Identifies an entry: two logs with an entry at the same position have the same entries up to it. The default precedes the first
/// entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Index of the entry.
    pub index: u64,
    /// Term of the entry.
    pub term: u64,
}

impl LogPosition {
    /// Returns whether a log that ends at this position is at least as up to date as one that ends at the other: the later term
    /// decides, then the longer log.
    pub fn is_as_recent_as(self, other: LogPosition) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// The state that a node has to persist besides its entries (the hard state of Raft).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the node has seen.
    pub term: u64,
    /// The node that received this node's vote in this term.
    pub vote: Option<u64>,
}

impl fmt::Display for HardState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "term {}, vote ", self.term)?;
        match self.vote {
            Some(node) => write!(f, "{node}"),
            None => write!(f, "none"),
        }
    }
}

/// The state after an entry; it replaces the entries up to and including that entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot<S> {
    /// The last entry that the state includes.
    pub last_included: LogPosition,
    /// The state of the replicated state machine.
    pub state: S,
}

/// A log that is open for writing.
pub struct Log<D> {
    disk: D,
    /// The file in use.
    file: String,
    /// Size of the file in use, bytes.
    size: u64,
    /// Records that the next flush writes.
    pending: Vec<u8>,
}

impl<D: Disk> Log<D> {
    /// Opens a log and recovers its contents. An unfinished write at the end is dropped; any other damage is
    /// [`crate::Error::Corrupt`].
    pub fn open<S, C>(mut disk: D) -> Result<(Log<D>, Recovered<S, C>)>
    where
        S: Serialize + DeserializeOwned + Default,
        C: Serialize + DeserializeOwned,
    {
        let Recovery { recovered, newest_log, newest_log_size } = recovery::recover(&mut disk)?;
        let is_new = newest_log.is_none();
        let first_index = recovered.snapshot.last_included.index + 1;
        let file = newest_log.unwrap_or_else(|| files::name(files::LOG, first_index));
        let mut log = Log { disk, file, size: newest_log_size, pending: vec![] };
        if is_new {
            log.hard_state(recovered.hard_state);
            log.flush()?;
            log.disk.sync_directory()?;
        }
        Ok((log, recovered))
    }

    /// Buffers an entry until the next flush.
    pub fn entry<C: Serialize + Clone>(&mut self, entry: &Entry<C>) {
        self.pending.extend(record::encode(&Record::Entry(entry.clone())));
    }

    /// Buffers a new term and vote until the next flush.
    pub fn hard_state(&mut self, hard_state: HardState) {
        self.pending.extend(record::encode(&Record::<()>::HardState(hard_state)));
    }

    /// Buffers the truncation of the entries from an index on until the next flush.
    pub fn truncate_from(&mut self, index: u64) {
        self.pending.extend(record::encode(&Record::<()>::TruncateFrom(index)));
    }

    /// Writes and syncs the buffered records, which are durable on success. After an error the end of the file is unknown and the
    /// log has to be reopened.
    pub fn flush(&mut self) -> Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        self.disk.append(&self.file, &self.pending)?;
        self.disk.sync(&self.file)?;
        self.size += self.pending.len() as u64;
        self.pending.clear();
        Ok(())
    }

    /// Returns the size of the file in use, bytes.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Replaces all entries that a snapshot includes by the snapshot; `following` are the entries after it. Atomic: recovery after
    /// a crash finds either the previous files or the snapshot.
    pub fn snapshot<S: Serialize, C: Serialize + Clone>(
        &mut self,
        snapshot: &Snapshot<S>,
        hard_state: HardState,
        following: &[Entry<C>],
    ) -> Result<()> {
        self.flush()?;
        let index = snapshot.last_included.index;
        let before = self.disk.names()?;
        // The new log file is written first: until the snapshot exists it only repeats entries of the previous file.
        let next = files::name(files::LOG, index + 1);
        if next != self.file {
            self.begin_file(next, hard_state, following)?;
        }
        self.write_atomically(&files::name(files::SNAPSHOT, index), &record::encode(snapshot))?;
        self.remove_older(&before, files::LOG, index + 1)?;
        self.remove_older(&before, files::SNAPSHOT, index)?;
        self.disk.sync_directory()?;
        Ok(())
    }

    /// Closes the log and returns its disk.
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn begin_file<C: Serialize + Clone>(
        &mut self,
        name: String,
        hard_state: HardState,
        entries: &[Entry<C>],
    ) -> Result<()> {
        let mut bytes = record::encode(&Record::<()>::HardState(hard_state));
        for entry in entries {
            bytes.extend(record::encode(&Record::Entry(entry.clone())));
        }
        self.write_atomically(&name, &bytes)?;
        self.file = name;
        self.size = bytes.len() as u64;
        Ok(())
    }

    fn remove_older(&mut self, names: &[String], kind: &str, oldest_kept: u64) -> Result<()> {
        for file in files::of_kind(names, kind) {
            if file.index < oldest_kept {
                self.disk.remove(&file.name)?;
            }
        }
        Ok(())
    }

    /// Writes a file atomically: after a crash it is either complete or absent.
    fn write_atomically(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let unfinished = format!("{}{name}", files::UNFINISHED);
        if self.disk.names()?.contains(&unfinished) {
            self.disk.remove(&unfinished)?;
        }
        self.disk.append(&unfinished, bytes)?;
        self.disk.sync(&unfinished)?;
        self.disk.rename(&unfinished, name)?;
        self.disk.sync_directory()?;
        Ok(())
    }
}
