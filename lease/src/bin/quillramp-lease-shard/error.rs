//! Errors of the program: a failed start and an unusable shard map file.
use quillramp_lease::shard_map::ShardMapError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Error for a shard map file that cannot be used.
#[derive(Debug, Error)]
pub enum MapFileError {
    /// The file cannot be read.
    #[error("cannot read shard map {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The file does not contain a valid map, or the map does not contain this shard.
    #[error("shard map {}: {source}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: ShardMapError,
    },
}

/// Error that prevents the program from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The shard map file cannot be used.
    #[error(transparent)]
    Map(#[from] MapFileError),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The listening socket cannot be bound to its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address given by `--listen`.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The local address of the listening socket cannot be determined.
    #[error("cannot determine the address of the listening socket: {0}")]
    LocalAddress(#[source] io::Error),
}
