//! Admission control: which connections and commands are accepted, and which idle connection is evicted when file descriptors run
//! short. There is no I/O here: the caller reports events to [`AdmissionController`] and gets verdicts from
//! [`admit_connection`](AdmissionController::admit_connection),
//! [`admit_command`](AdmissionController::admit_command) and [`evict`](AdmissionController::evict). The caller owns the
//! connections and the timers. Times are seconds of any monotonic clock.
//!
//! An address is known if it lies in a network that the operator listed, or if commands from it were served recently. Customers
//! behind one address, for example behind their own gateway, share its limits by max-min fairness; a connection belongs to the
//! customer that its last command names. Before its first command a connection has no customer; an address may have only a few
//! such connections.
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

/// Identifies a connection; assigned by the caller.
pub type ConnectionId = u64;
/// The customer that a command names.
pub type CustomerId = u64;
