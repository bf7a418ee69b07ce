//! Log messages of the reducer. docs/on-call.md has a row for each of them.
use super::connection::CloseReason;
use super::shared_state::SaveError;
use super::stream_progress::InterruptedStream;
use crate::wire::endpoints::EndpointListError;
use quillramp::types::PolicyLogMessage;
use quillramp_identity::Rejection;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// A log message. Its text is stable, so that operators can search for it.
#[derive(Debug)]
pub enum LogMessage {
    /// A message of the policy engine.
    Policy(PolicyLogMessage),
    /// Admission limits are in force.
    AdmissionLimits {
        /// Maximum number of client connections.
        connections: usize,
        /// Number of these connections that are reserved for known addresses.
        reserve: usize,
    },
    /// Admission limits are no longer in force.
    AdmissionLimitsRemoved,
    /// An operator has ejected a backend.
    BackendEjected {
        /// The backend's name.
        name: String,
    },
    /// An operator has restored a backend.
    BackendRestored {
        /// The backend's name.
        name: String,
    },
    /// The drain has begun to reject the requests of clients that have a pending one.
    BusyClientsRejected {
        /// Number of these clients.
        clients: usize,
    },
    /// The drain ends the connections of clients that have kept sending commands.
    BusyClientsEnded {
        /// Number of these clients.
        clients: usize,
    },
    /// Callers must authenticate with tokens of this issuer.
    CallersAuthenticated {
        /// The issuer.
        issuer: String,
        /// Number of trusted keys.
        keys: usize,
        /// Number of revoked tokens and callers.
        revoked: usize,
    },
    /// Callers need no authentication.
    CallersNotAuthenticated,
    /// The exit of the process is delayed until values have been forwarded, or until the kill.
    ExitDelayed {
        /// Number of these values.
        values: usize,
    },
    /// The configuration was reloaded.
    ConfigurationReloaded {
        /// Address of the list service.
        discovery: SocketAddr,
        /// Address of the counter, if there is one.
        counter: Option<SocketAddr>,
    },
    /// The configuration could not be reloaded.
    ConfigurationRejected {
        /// Why the new configuration is invalid.
        error: String,
    },
    /// Contracts between teams are in force.
    Contracts {
        /// Number of contracts.
        contracts: usize,
        /// Number of teams in these contracts.
        teams: usize,
        /// Capacity of all backends together, in units per second.
        capacity: f64,
    },
    /// Contracts between teams are no longer in force.
    ContractsRemoved,
    /// Malformed datagrams or datagrams from unknown peers were dropped.
    DatagramsDropped {
        /// Number of dropped datagrams since the process started.
        count: u64,
    },
    /// An operator has started to drain the instance.
    DrainStarted,
    /// An operator has ended the drain of the instance.
    DrainEnded,
    /// A response of the list service was rejected.
    EndpointListRejected {
        /// Why the response is invalid.
        error: EndpointListError,
    },
    /// The set of instances that do not reach the counter has changed.
    InstancesAbsent {
        /// Indices of these instances.
        instances: BTreeSet<usize>,
    },
    /// Membership on the counter is enabled.
    MembershipEnabled {
        /// Interval between heartbeats, in seconds.
        interval: f64,
    },
    /// Membership on the counter is disabled.
    MembershipDisabled,
    /// The other process of this instance has ended.
    PeerProcessEnded,
    /// Another process of this instance is running.
    PeerProcessStarted,
    /// The operator's file declares other limits of requests.
    RequestLimits {
        /// Summary of the routes that declare the limits.
        routes: String,
    },
    /// An operator's change could not be saved.
    SaveFailed {
        /// Why the change could not be saved.
        error: SaveError,
    },
    /// A graceful shutdown has begun.
    ShutdownStarted,
    /// A graceful shutdown has begun, and the next process takes over the listening socket.
    ShutdownWithHandover,
    /// A client's token was rejected. The token itself is secret and is not logged.
    TokenRejected {
        /// The client's connection.
        client: u64,
        /// Why the token was rejected.
        rejection: Rejection,
    },
    /// A value that had begun can't be completed.
    ValueInterrupted(InterruptedValue),
}

/// A value that had begun and can't be completed.
#[derive(Debug)]
pub struct InterruptedValue {
    /// The ID that the client gave the request.
    pub request: u64,
    /// The client's connection.
    pub client: u64,
    /// How far the value has come; `None` if nothing of it was forwarded.
    pub stream: Option<InterruptedStream>,
    /// Time since the client's timeout, in seconds; negative before it.
    pub overdue: f64,
    /// Why the backend's connection ended.
    pub reason: CloseReason,
}

impl fmt::Display for InterruptedValue {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let InterruptedValue { request, client, stream, overdue, reason } = self;
        let code = reason.code();
        match stream {
            Some(InterruptedStream { length, received, silence }) => write!(
                formatter,
                "value for request {request:016x} of client {client} cut off: {code}; {received} of {length} bytes, silent for {silence:.3} s, {overdue:.3} s after its client's timeout"
            ),
            None => write!(
                formatter,
                "value for request {request:016x} of client {client} broke off before it was forwarded: {code}; {overdue:.3} s after its client's timeout"
            ),
        }
    }
}

impl fmt::Display for LogMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LogMessage::Policy(message) => write!(formatter, "{message}"),
            LogMessage::AdmissionLimits { connections, reserve } => {
                write!(
                    formatter,
                    "admission limits in force: {connections} connections, {reserve} reserved for known addresses"
                )
            }
            LogMessage::AdmissionLimitsRemoved => write!(formatter, "admission limits removed"),
            LogMessage::BackendEjected { name } => write!(formatter, "backend {name} ejected by an operator"),
            LogMessage::BackendRestored { name } => {
                write!(formatter, "backend {name} restored by an operator")
            }
            LogMessage::BusyClientsRejected { clients } => {
                write!(formatter, "draining: further requests of {clients} busy clients are rejected")
            }
            LogMessage::BusyClientsEnded { clients } => write!(
                formatter,
                "draining: {clients} clients kept sending commands and are closed after their replies"
            ),
            LogMessage::CallersAuthenticated { issuer, keys, revoked } => {
                write!(
                    formatter,
                    "callers must authenticate: issuer {issuer}, {keys} keys, {revoked} revocations"
                )
            }
            LogMessage::CallersNotAuthenticated => write!(formatter, "callers need no authentication"),
            LogMessage::ConfigurationReloaded { discovery, counter } => write!(
                formatter,
                "configuration reloaded: list service at {discovery}, counter at {counter:?}"
            ),
            LogMessage::ConfigurationRejected { error } => {
                write!(formatter, "configuration rejected, the previous one stays in force: {error}")
            }
            LogMessage::Contracts { contracts, teams, capacity } => {
                write!(
                    formatter,
                    "contracts in force: {contracts} contracts of {teams} teams, capacity {capacity} units/s"
                )
            }
            LogMessage::ContractsRemoved => write!(formatter, "contracts removed"),
            LogMessage::DatagramsDropped { count } => {
                write!(
                    formatter,
                    "datagrams dropped since the process started (malformed or from unknown peers): {count}"
                )
            }
            LogMessage::DrainStarted => {
                write!(formatter, "drain started by an operator: closing connections")
            }
            LogMessage::DrainEnded => write!(formatter, "drain ended by an operator"),
            LogMessage::EndpointListRejected { error } => {
                write!(formatter, "response of the list service rejected: {error}")
            }
            LogMessage::ExitDelayed { values } => {
                write!(formatter, "exit delayed: {values} values are still being forwarded")
            }
            LogMessage::InstancesAbsent { instances } => {
                let instances = InstanceList(instances);
                write!(formatter, "instances that do not reach the counter: {instances}")
            }
            LogMessage::MembershipEnabled { interval } => {
                write!(formatter, "membership on the counter enabled: a heartbeat every {interval} s")
            }
            LogMessage::MembershipDisabled => write!(formatter, "membership on the counter disabled"),
            LogMessage::PeerProcessEnded => write!(formatter, "the other process of this instance has ended"),
            LogMessage::PeerProcessStarted => {
                write!(formatter, "another process of this instance is running")
            }
            LogMessage::RequestLimits { routes } => write!(formatter, "request limits declared: {routes}"),
            LogMessage::SaveFailed { error } => {
                write!(
                    formatter,
                    "an operator's change is in force, but not saved for the next process: {error}"
                )
            }
            LogMessage::ShutdownStarted => {
                write!(formatter, "shutting down: still serving clients, then closing their connections")
            }
            LogMessage::ShutdownWithHandover => write!(
                formatter,
                "shutting down: the next process accepts clients, this one answers its pending requests"
            ),
            LogMessage::TokenRejected { client, rejection } => {
                write!(formatter, "client {client}: token rejected: {rejection}")
            }
            LogMessage::ValueInterrupted(value) => write!(formatter, "{value}"),
        }
    }
}

/// Displays indices separated by commas, or `none`.
struct InstanceList<'a>(&'a BTreeSet<usize>);

impl fmt::Display for InstanceList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("none");
        }
        let indices: Vec<String> = self.0.iter().map(usize::to_string).collect();
        formatter.write_str(&indices.join(", "))
    }
}
