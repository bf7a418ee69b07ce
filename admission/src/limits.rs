//! The limits. Fields are named like the keys of the operator's file.
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
    /// Of `per_address`, those that may be open before their first command.
    pub strangers: usize,
    /// Refill rate of an address's token bucket, new connections per second.
    pub rate: f64,
    /// Capacity of an address's token bucket, new connections.
    pub burst: f64,
    /// Pending commands of one address.
    pub unfinished: usize,
    /// Time for the first command of a connection, seconds.
    pub first_word: f64,
    /// Time for which an address stays known after a command of it was served, seconds; 0: only listed networks are known.
    pub known_for: f64,
    /// The networks that are always known.
    pub known: Vec<Network>,
}

impl Limits {
    /// Whether an address lies in a listed network.
    pub(crate) fn lists(&self, address: std::net::IpAddr) -> bool {
        self.known.iter().any(|network| network.holds(address))
    }
}
