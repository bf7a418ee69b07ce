//! What an embedded instance is given and gives: addresses, connection commands, readings.
use crate::scale::outcomes::OutcomeCounts;
use quillramp_gateway::state::connection::ConnectionId;
use std::net::SocketAddr;
use std::time::Duration;

/// What an embedded instance requests of its connections.
#[derive(Debug, PartialEq)]
pub enum ConnectionCommand {
    /// Open a connection to an address.
    Connect(ConnectionId, SocketAddr),
    /// Send bytes on a connection.
    Send(ConnectionId, Vec<u8>),
    /// Close a connection.
    Close(ConnectionId),
}

/// Where the services are.
#[derive(Clone, Copy, Debug)]
pub struct ServiceAddresses {
    /// The counter.
    pub counter: SocketAddr,
    /// The list service.
    pub discovery: SocketAddr,
}

/// What an embedded instance has done until some time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// The outcomes of the requests.
    pub outcomes: OutcomeCounts,
    /// Processor time of the reducer, the decisions and the codecs.
    pub cpu_time: Duration,
}

impl Reading {
    /// Adds another instance's, or an earlier process's, reading.
    pub fn add(&mut self, other: &Reading) {
        self.outcomes = self.outcomes.plus(&other.outcomes);
        self.cpu_time += other.cpu_time;
    }

    /// The difference from an earlier reading.
    pub fn since(&self, earlier: &Reading) -> Reading {
        Reading {
            outcomes: self.outcomes.since(&earlier.outcomes),
            cpu_time: self.cpu_time.saturating_sub(earlier.cpu_time),
        }
    }
}

/// What an instance has to do after a step.
pub struct Step {
    /// When it is to be stepped next at the latest, Unix time in seconds; none where nothing is scheduled.
    pub next_at: Option<f64>,
    /// What is to be done now.
    pub commands: Vec<ConnectionCommand>,
}
