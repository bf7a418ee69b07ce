//! The limits, named as in the operator's file.
use crate::Network;

/// The limits of admission. Each is a count unless it says seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Connections of clients in all.
    pub connections: usize,
    /// Of these, kept for known addresses.
    pub reserve: usize,
    /// Connections of one address.
    pub per_address: usize,
    /// Of these, so many may be without a command yet.
    pub strangers: usize,
    /// New connections of one address a second, once its burst is used up.
    pub rate: f64,
    /// New connections of one address at once.
    pub burst: f64,
    /// Commands of one address that have no answer yet.
    pub unfinished: usize,
    /// Seconds that a connection may take for its first command.
    pub first_word: f64,
    /// Seconds that an address stays known after a command of it was served; 0: only listed networks are known.
    pub known_for: f64,
    /// The networks that are always known.
    pub known: Vec<Network>,
}

impl Limits {
    pub(crate) fn lists(&self, address: std::net::IpAddr) -> bool {
        self.known.iter().any(|network| network.holds(address))
    }
}
