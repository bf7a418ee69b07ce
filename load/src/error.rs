//! The errors of an experiment's runs.
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

/// The reasons for which a run of a variant fails.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// No loopback port can be bound.
    #[error("cannot bind a loopback port: {0}")]
    Port(#[source] io::Error),
    /// A configuration file or log can't be created.
    #[error("cannot write {}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The program of the instances can't be started.
    #[error("cannot start {program}: {source}")]
    Launch {
        /// Path of the program.
        program: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An instance ended before it accepted connections.
    #[error(
        "an instance of {program} ended before it accepted connections: {status}; last log line: {last_line}"
    )]
    EndedAtStart {
        /// Path of the program.
        program: String,
        /// Exit status of the process.
        status: ExitStatus,
        /// Last line of the instance's log; empty if there is none.
        last_line: String,
    },
    /// An instance did not accept connections in time.
    #[error("an instance of {program} accepted no connection at {address} in time")]
    NotAccepting {
        /// Path of the program.
        program: String,
        /// Client address of the instance.
        address: SocketAddr,
    },
    /// An idle connection can't be opened.
    #[error("cannot open idle connection {number} to {address}: {source}")]
    IdleConnection {
        /// Number of the connection, from 1, over all instances.
        number: usize,
        /// Client address of the instance.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread of the generator can't be started.
    #[error("cannot start generator thread {number}: {source}")]
    GeneratorThread {
        /// Number of the thread, from 1.
        number: usize,
        /// Error of the operating system.
        source: io::Error,
    },
    /// All threads of the generator ended before the last request.
    #[error("all threads of the generator ended before the last request")]
    GeneratorEnded,
    /// A thread of the generator panicked.
    #[error("a thread of the generator panicked")]
    GeneratorPanicked,
}

impl RunError {
    /// Returns a function that converts an I/O error at this path.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> RunError + '_ {
        move |source| RunError::File { path: path.to_owned(), source }
    }
}
