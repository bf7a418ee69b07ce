//! Why the program cannot start or cannot read its shard map.
use quillramp_lease::shard_map::ShardMapError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the shard map file cannot be used.
#[derive(Debug, Error)]
pub enum MapFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file's content is not a valid map, or not one for this shard.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: ShardMapError,
    },
}

/// Why the program cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The shard map file cannot be used.
    #[error(transparent)]
    Map(#[from] MapFileError),
    /// Signal handlers cannot be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The listening address cannot be bound.
    #[error("--listen {address}: {source}")]
    Listen {
        /// The address of the option.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The address of the listener cannot be determined.
    #[error("{0}")]
    LocalAddress(#[source] io::Error),
}
