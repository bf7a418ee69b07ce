//! Why an experiment could not be run.
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

/// Why a variant could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// No loopback port could be bound.
    #[error("a port: {0}")]
    Port(#[source] io::Error),
    /// A configuration file could not be written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The program of the instances could not be started.
    #[error("{program}: {source}")]
    Launch {
        /// The program.
        program: String,
        /// What the system said.
        source: io::Error,
    },
    /// An instance ended before it accepted connections.
    #[error("an instance of {program} ended at its start: {status}: {last_line}")]
    EndedAtStart {
        /// The program.
        program: String,
        /// How it ended.
        status: ExitStatus,
        /// The last line of its log.
        last_line: String,
    },
    /// An instance did not accept connections in time.
    #[error("an instance of {program} does not accept at {address}")]
    NotAccepting {
        /// The program.
        program: String,
        /// Where it was to listen.
        address: SocketAddr,
    },
    /// An idle connection could not be opened.
    #[error("idle connection {number} at {address}: {source}")]
    IdleConnection {
        /// Counted from 1, over all instances.
        number: usize,
        /// The instance.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A thread of the generator could not be started.
    #[error("thread {number} of the generator: {source}")]
    GeneratorThread {
        /// Counted from 1.
        number: usize,
        /// What the system said.
        source: io::Error,
    },
    /// All threads of the generator ended before the last request.
    #[error("the generator's threads have ended")]
    GeneratorEnded,
    /// A thread of the generator panicked.
    #[error("a thread of the generator has ended badly")]
    GeneratorPanicked,
}

impl RunError {
    /// The error of a file.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> RunError + '_ {
        move |source| RunError::File { path: path.to_owned(), source }
    }
}
