//! Where a replica and its peers are, and its times.
use crate::raft::NodeId;
use crate::totals::DEFAULT_MAX_LIFETIME;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};

/// One replica and its peers.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This replica.
    pub id: NodeId,
    /// Where clients call.
    pub client_address: SocketAddr,
    /// Where each replica hears its peers, this one included.
    pub peer_addresses: BTreeMap<NodeId, SocketAddr>,
}

/// The bound sockets of a replica.
pub struct Listeners {
    /// Accepts clients.
    pub clients: TcpListener,
    /// Accepts peers.
    pub peers: TcpListener,
}

/// Times of a replica, all in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How often a leader sends a heartbeat.
    pub heartbeat_interval: f64,
    /// A leader that was not heard of for between once and twice this long is taken for lost.
    pub election_timeout: f64,
    /// A call that is not committed within this time is given up: its connection ends, for it may be committed yet.
    pub request_timeout: f64,
    /// The longest lifetime of a name.
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
