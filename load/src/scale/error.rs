//! Why a scale run failed.
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

/// Why a scale run failed.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// No loopback port could be bound.
    #[error("a port: {0}")]
    Port(#[source] io::Error),
    /// No event loop could be made.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// A file could not be read, written or removed, or a program could not be started.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or program.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A table could not be read or written.
    #[error("{}: {source}", path.display())]
    Table {
        /// The file.
        path: PathBuf,
        /// What the table's reader or writer said.
        source: csv::Error,
    },
    /// A chart could not be drawn.
    #[error("{name}: {source}")]
    Chart {
        /// The file's name.
        name: String,
        /// What the chart's backend said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The instance ended before it accepted connections.
    #[error("{} ended at its start: {status}", program.display())]
    ExitedAtStart {
        /// The program.
        program: PathBuf,
        /// How it ended.
        status: ExitStatus,
    },
    /// The instance did not accept connections in time.
    #[error("{} does not accept at {address}", program.display())]
    NotAccepting {
        /// The program.
        program: PathBuf,
        /// Where it was to listen.
        address: SocketAddr,
    },
    /// A client could not connect.
    #[error("client: {0}")]
    Client(#[source] io::Error),
    /// The histogram of latencies could not be made.
    #[error("histogram: {0}")]
    Histogram(#[source] hdrhistogram::CreationError),
    /// Tenants cannot be drawn: there are none.
    #[error("tenants: {0}")]
    Tenants(#[source] rand::distributions::WeightedError),
    /// The rate of requests is out of range.
    #[error("requests: {0}")]
    Requests(#[source] rand_distr::ExpError),
    /// The settings of an embedded instance are wrong.
    #[error("{0}")]
    Settings(String),
    /// The operator's file of an embedded instance is wrong.
    #[error("{0}")]
    OperatorFile(String),
    /// An embedded instance sent what a server cannot read.
    #[error("{connection}: {reason}")]
    Protocol {
        /// The connection's id.
        connection: String,
        /// What is wrong with the bytes.
        reason: &'static str,
    },
    /// A thread that runs embedded instances panicked.
    #[error("a thread that runs embedded instances has panicked")]
    GroupPanicked,
    /// This program's own file is not known.
    #[error("this program: {0}")]
    CurrentProgram(#[source] io::Error),
    /// The end of a measurement's process could not be learnt.
    #[error("{name}: {source}")]
    Wait {
        /// The measurement.
        name: String,
        /// What the system said.
        source: io::Error,
    },
}

impl ScaleError {
    /// The error of a file or a program.
    pub(crate) fn file(path: &Path) -> impl Fn(io::Error) -> ScaleError + '_ {
        move |source| ScaleError::File { path: path.to_owned(), source }
    }

    /// The error of a table.
    pub(crate) fn table(path: &Path) -> impl Fn(csv::Error) -> ScaleError + '_ {
        move |source| ScaleError::Table { path: path.to_owned(), source }
    }
}
