//! The errors of this package.
use std::io;

/// A failure after which the counter can't continue.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk or a socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file is damaged at a place that was already synced, so the damage can't be an unfinished write.
    #[error("{file}: damaged at byte {offset}: {reason}")]
    Corrupt {
        /// Name of the file, without its directory.
        file: String,
        /// Offset of the damaged record, bytes.
        offset: u64,
        /// The kind of damage.
        reason: Damage,
    },
}

/// A kind of damage to a file of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// A record is incomplete or does not match its checksum.
    #[error("the checksum does not match")]
    ChecksumMismatch,
    /// A record is not an encoded value of the expected type.
    #[error("the record has an unexpected type")]
    WrongType,
    /// A snapshot file has bytes after its only record.
    #[error("expected the end of the file after the record, found more bytes")]
    TrailingBytes,
    /// The index of an entry does not follow that of the entry before it.
    #[error("an entry is missing before it")]
    MissingEntry,
    /// The first entry of the log does not follow the snapshot.
    #[error("entries between the snapshot and the log are missing")]
    SnapshotGap,
}

/// A result with the [`Error`] of this package.
pub type Result<T> = std::result::Result<T, Error>;
