//! Admission control: which connections are accepted, which commands are taken, and which idle connection is closed first when
//! descriptors run short. There is no I/O here: the caller reports events by methods that return nothing, and asks
//! [`AdmissionController`] three questions: [`admit_connection`](AdmissionController::admit_connection),
//! [`admit_command`](AdmissionController::admit_command) and [`evict`](AdmissionController::evict). The caller keeps the connections
//! and the timers. Times are seconds, on any clock that goes forward.
//!
//! An address is known if it lies in a network that the operator listed, or if commands from it were served lately. Many customers may
//! share one address (behind a gateway of their own): they share its limits by max-min fairness, told apart by the customer that
//! their commands name. A connection without a command has no customer yet, and an address may hold few of those.
#![warn(missing_docs)]
mod address;
mod audit;
mod connection;
mod controller;
mod eviction;
mod limits;
mod metrics;
mod network;
mod verdict;

pub use audit::AuditError;
pub use connection::OpenConnection;
pub use controller::{AdmissionController, Sizes};
pub use limits::Limits;
pub use metrics::Metrics;
pub use network::{Network, NetworkError};
pub use verdict::{CommandVerdict, ConnectionVerdict, RejectReason};

/// Identifies a connection; the caller's numbers.
pub type ConnectionId = u64;
/// The customer that a command names.
pub type CustomerId = u64;
