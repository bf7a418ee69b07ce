//! Messages of the reducer for the operators' log. docs/on-call.md has a row for each of them.
use super::shared_state::SaveError;
use crate::wire::endpoints::EndpointListError;
use quillramp::types::PolicyLogMessage;
use quillramp_identity::Rejection;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// A message for the log. Its text is stable, so that operators can search for it.
#[derive(Debug)]
pub enum LogMessage {
    /// A message of the policy engine.
    Policy(PolicyLogMessage),
    /// Limits of admission are in force.
    AdmissionLimits {
        /// The most connections of clients.
        connections: usize,
        /// How many of them are reserved for known addresses.
        reserve: usize,
    },
    /// There are no limits of admission any more.
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
    /// Callers have to be known by tokens of this issuer.
    CallersAuthenticated {
        /// The issuer.
        issuer: String,
        /// Number of trusted keys.
        keys: usize,
        /// Number of revoked tokens and callers.
        revoked: usize,
    },
    /// Callers need not be known.
    CallersNotAuthenticated,
    /// The configuration was read again.
    ConfigurationReloaded {
        /// Address of the list service.
        discovery: SocketAddr,
        /// Address of the counter, if there is one.
        counter: Option<SocketAddr>,
    },
    /// The configuration was to be read again, and can't be used.
    ConfigurationRejected {
        /// Why.
        error: String,
    },
    /// Contracts between teams are in force.
    Contracts {
        /// Number of contracts.
        contracts: usize,
        /// Number of teams that they name.
        teams: usize,
        /// Units a second that the backends serve in all.
        capacity: f64,
    },
    /// There are no contracts between teams.
    ContractsRemoved,
    /// Datagrams that were malformed or from unknown peers.
    DatagramsDropped {
        /// How many since the start.
        count: u64,
    },
    /// An operator has drained the instance.
    DrainStarted,
    /// The instance is no longer drained.
    DrainEnded,
    /// A response of the list service can't be used.
    EndpointListRejected {
        /// Why.
        error: EndpointListError,
    },
    /// The instances that do not reach the counter are no longer the same.
    InstancesAbsent {
        /// Their indices.
        instances: BTreeSet<usize>,
    },
    /// Membership on the counter is switched on.
    MembershipEnabled {
        /// Seconds from one heartbeat to the next.
        interval: f64,
    },
    /// Membership on the counter is switched off.
    MembershipDisabled,
    /// Another process of this instance has ended.
    PeerProcessEnded,
    /// Another process of this instance has started.
    PeerProcessStarted,
    /// Limits of requests are declared in the operator's file.
    RequestLimits {
        /// The routes that declare them.
        routes: String,
    },
    /// An operator's change can't be saved.
    SaveFailed {
        /// Why.
        error: SaveError,
    },
    /// A graceful shutdown has begun.
    ShutdownStarted,
    /// A graceful shutdown has begun, and the next process accepts clients.
    ShutdownWithHandover,
    /// A client's token is not accepted. The token itself is secret.
    TokenRejected {
        /// The client's connection.
        client: u64,
        /// Why.
        rejection: Rejection,
    },
}

impl fmt::Display for LogMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LogMessage::Policy(message) => write!(formatter, "{message}"),
            LogMessage::AdmissionLimits { connections, reserve } => {
                write!(formatter, "admission: {connections} connections, {reserve} kept for known addresses")
            }
            LogMessage::AdmissionLimitsRemoved => write!(formatter, "admission: no limits from now on"),
            LogMessage::BackendEjected { name } => write!(formatter, "backend {name} ejected by an operator"),
            LogMessage::BackendRestored { name } => {
                write!(formatter, "backend {name} restored by an operator")
            }
            LogMessage::CallersAuthenticated { issuer, keys, revoked } => {
                write!(formatter, "callers are known by tokens of {issuer}: {keys} keys, {revoked} revoked")
            }
            LogMessage::CallersNotAuthenticated => write!(formatter, "callers need not be known"),
            LogMessage::ConfigurationReloaded { discovery, counter } => write!(
                formatter,
                "configuration read again: list service at {discovery}, counter at {counter:?}"
            ),
            LogMessage::ConfigurationRejected { error } => {
                write!(formatter, "configuration rejected, the old one stays in force: {error}")
            }
            LogMessage::Contracts { contracts, teams, capacity } => {
                write!(formatter, "{contracts} contracts of {teams} teams, {capacity} units a second in all")
            }
            LogMessage::ContractsRemoved => write!(formatter, "no contracts between teams"),
            LogMessage::DatagramsDropped { count } => write!(formatter, "datagrams dropped so far: {count}"),
            LogMessage::DrainStarted => write!(formatter, "drained by an operator: closing connections"),
            LogMessage::DrainEnded => write!(formatter, "the drain has ended"),
            LogMessage::EndpointListRejected { error } => write!(formatter, "list service: {error}"),
            LogMessage::InstancesAbsent { instances } => {
                let instances = InstanceList(instances);
                write!(formatter, "instances that do not reach the counter: {instances}")
            }
            LogMessage::MembershipEnabled { interval } => {
                write!(formatter, "membership on the counter, every {interval} s")
            }
            LogMessage::MembershipDisabled => write!(formatter, "no membership on the counter"),
            LogMessage::PeerProcessEnded => write!(formatter, "the only process again"),
            LogMessage::PeerProcessStarted => {
                write!(formatter, "another process of this instance is running")
            }
            LogMessage::RequestLimits { routes } => write!(formatter, "limits declared: {routes}"),
            LogMessage::SaveFailed { error } => {
                write!(formatter, "in force, but not saved for the next process: {error}")
            }
            LogMessage::ShutdownStarted => {
                write!(formatter, "shutting down: serving on, then closing connections")
            }
            LogMessage::ShutdownWithHandover => write!(
                formatter,
                "shutting down: the next process accepts, this one answers its pending requests"
            ),
            LogMessage::TokenRejected { client, rejection } => {
                write!(formatter, "client {client}: token rejected: {rejection}")
            }
        }
    }
}

/// Indices separated by commas, or `none`.
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
