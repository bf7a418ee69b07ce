//! Input and output of an embedded instance: service addresses, connection commands and usage readings.
use crate::scale::outcomes::OutcomeCounts;
use quillramp_gateway::state::connection::ConnectionId;
use std::net::SocketAddr;
use std::time::Duration;

/// An operation on a connection that an embedded instance requests of its caller.
#[derive(Debug, PartialEq)]
pub enum ConnectionCommand {
    /// Open a connection to an address.
    Connect(ConnectionId, SocketAddr),
    /// Send bytes on a connection.
    Send(ConnectionId, Vec<u8>),
    /// Close a connection.
    Close(ConnectionId),
}

/// Addresses of the counter and the list service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceAddresses {
    /// Address of the counter.
    pub counter: SocketAddr,
    /// Address of the list service.
    pub discovery: SocketAddr,
}

/// Cumulative request outcomes and processor time of embedded instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Outcomes of the requests.
    pub outcomes: OutcomeCounts,
    /// Processor time of the reducer, the policies and the codecs.
    pub cpu_time: Duration,
}

impl Reading {
    /// Adds the reading of another instance or of an earlier process.
    pub fn add(&mut self, other: &Reading) {
        self.outcomes = self.outcomes.plus(&other.outcomes);
        self.cpu_time += other.cpu_time;
    }

    /// Returns the increase since an earlier reading.
    pub fn since(&self, earlier: &Reading) -> Reading {
        Reading {
            outcomes: self.outcomes.since(&earlier.outcomes),
            cpu_time: self.cpu_time.saturating_sub(earlier.cpu_time),
        }
    }
}

/// Result of one step of an embedded instance.
pub struct Step {
    /// Latest time of the next step, Unix time in seconds; `None` if no timer is set.
    pub next_at: Option<f64>,
    /// Connection commands to execute now.
    pub commands: Vec<ConnectionCommand>,
}
