//! Errors of scale runs.
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

/// An error of a scale run.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A listening socket on loopback could not be opened or registered with the event loop.
    #[error("cannot listen on a loopback port: {0}")]
    Port(#[source] io::Error),
    /// The event loop's poll could not be created.
    #[error("cannot create the event loop's poll: {0}")]
    Poll(#[source] io::Error),
    /// A file could not be read, written or removed, or a program could not be started.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file or program.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A CSV file could not be read or written.
    #[error("{}: {source}", path.display())]
    Table {
        /// Path of the file.
        path: PathBuf,
        /// Error of the CSV reader or writer.
        source: csv::Error,
    },
    /// A chart could not be drawn.
    #[error("cannot draw the chart {name}: {source}")]
    Chart {
        /// Name of the chart's file.
        name: String,
        /// Error of the drawing library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The instance exited before it accepted connections.
    #[error("{} exited before it accepted connections: {status}", program.display())]
    ExitedAtStart {
        /// Path of the program.
        program: PathBuf,
        /// Exit status of the process.
        status: ExitStatus,
    },
    /// The instance did not accept connections before the start timeout.
    #[error("{} did not accept connections at {address} before the start timeout", program.display())]
    NotAccepting {
        /// Path of the program.
        program: PathBuf,
        /// Configured listen address of the instance.
        address: SocketAddr,
    },
    /// A client could not connect.
    #[error("a client cannot connect to the instance: {0}")]
    Client(#[source] io::Error),
    /// The latency histogram could not be created.
    #[error("cannot create the latency histogram: {0}")]
    Histogram(#[source] hdrhistogram::CreationError),
    /// Requests cannot be distributed over the tenants because there are none.
    #[error("cannot distribute requests over the tenants: {0}")]
    Tenants(#[source] rand::distributions::WeightedError),
    /// The request rate is out of range.
    #[error("the request rate is out of range: {0}")]
    Requests(#[source] rand_distr::ExpError),
    /// The settings of an embedded instance are invalid.
    #[error("invalid settings of an embedded instance: {0}")]
    Settings(String),
    /// The operator's file of an embedded instance is invalid.
    #[error("{0}")]
    OperatorFile(String),
    /// An embedded instance sent bytes that a stand-in server cannot decode.
    #[error("cannot decode a request on connection {connection}: {reason}")]
    Protocol {
        /// Id of the connection.
        connection: String,
        /// Error of the decoder.
        reason: &'static str,
    },
    /// A thread that runs embedded instances panicked.
    #[error("a thread that runs embedded instances panicked")]
    GroupPanicked,
    /// The path of the running program could not be determined.
    #[error("cannot determine the path of the running program: {0}")]
    CurrentProgram(#[source] io::Error),
    /// The exit status of a measurement's process could not be read.
    #[error("cannot read the exit status of the process that measures {name}: {source}")]
    Wait {
        /// Name of the measurement.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl ScaleError {
    /// Returns a function that converts an I/O error of a file or program.
    pub(crate) fn file(path: &Path) -> impl Fn(io::Error) -> ScaleError + '_ {
        move |source| ScaleError::File { path: path.to_owned(), source }
    }

    /// Returns a function that converts an error of a CSV file.
    pub(crate) fn table(path: &Path) -> impl Fn(csv::Error) -> ScaleError + '_ {
        move |source| ScaleError::Table { path: path.to_owned(), source }
    }
}
