//! The error of this package.
use std::io;

/// What the counter can't continue after.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk or a socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file is damaged where it was already synced, so that the damage can't be an unfinished write.
    #[error("{file}: damaged at byte {offset}: {reason}")]
    Corrupt {
        /// Name of the file, without its directory.
        file: String,
        /// Where the damaged record begins, in bytes.
        offset: u64,
        /// What does not fit.
        reason: &'static str,
    },
}

/// A result with the error of this package.
pub type Result<T> = std::result::Result<T, Error>;
