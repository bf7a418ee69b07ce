//! The limits of admission control. A field is named like its key in the operator's file unless its comment names the key.
use crate::Network;

/// The limits of admission control. Numbers are counts unless a unit is given.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Connections of all clients.
    pub connections: usize,
    /// Of `connections`, those reserved for known addresses.
    pub reserve: usize,
    /// Connections of one address.
    pub per_address: usize,
    /// Of `per_address`, those that may be open before their first command (key `strangers`).
    pub unidentified: usize,
    /// Refill rate of an address's token bucket, new connections per second (key `new_per_second`).
    pub rate: f64,
    /// Capacity of an address's token bucket, new connections.
    pub burst: f64,
    /// Pending commands of one address (key `unfinished`).
    pub pending_commands: usize,
    /// Time for the first command of a connection, seconds (key `first_word`).
    pub first_command_timeout: f64,
    /// Time for which an address stays known after a command from it was served, seconds; with 0 only listed networks are known.
    pub known_for: f64,
    /// Networks whose addresses are always known (key `known`).
    pub known_networks: Vec<Network>,
}

impl Limits {
    /// Returns whether an address lies in a listed network.
    pub(crate) fn lists(&self, address: std::net::IpAddr) -> bool {
        self.known_networks.iter().any(|network| network.contains(address))
    }
}
