//! Configuration of a replica: addresses, sockets and timing.
use crate::raft::NodeId;
use crate::totals::DEFAULT_MAX_LIFETIME;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};

/// Addresses of a replica and its peers.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The id of this replica.
    pub id: NodeId,
    /// The address on which clients are accepted.
    pub client_address: SocketAddr,
    /// The address on which each replica, including this one, accepts its peers, by id.
    pub peer_addresses: BTreeMap<NodeId, SocketAddr>,
}

/// The bound sockets of a replica.
pub struct Listeners {
    /// The socket on which clients are accepted.
    pub clients: TcpListener,
    /// The socket on which peers are accepted.
    pub peers: TcpListener,
}

/// Intervals and timeouts of a replica, all in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval: f64,
    /// Minimum election timeout; the timeout in use is drawn between one and two times this value.
    pub election_timeout: f64,
    /// Time after which an uncommitted call is abandoned: its connection is closed without a response, because the call may still
    /// be committed.
    pub request_timeout: f64,
    /// The maximum lifetime of a name.
    pub max_lifetime: f64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_interval: 0.02,
            election_timeout: 0.15,
            request_timeout: 0.5,
            max_lifetime: DEFAULT_MAX_LIFETIME,
        }
    }
}
