//! Loopback addresses of a simulated deployment. The third octet depends on the kind of node.
use std::net::SocketAddr;

const BACKEND_NETWORK: u8 = 1;
const COUNTER_NETWORK: u8 = 2;
const DISCOVERY_NETWORK: u8 = 3;
const INSTANCE_NETWORK: u8 = 4;
const BROADCAST_NETWORK: u8 = 5;

const BACKEND_PORT: u16 = 7000;
const COUNTER_PORT: u16 = 6400;
const DISCOVERY_PORT: u16 = 8500;
const DATAGRAM_PORT: u16 = 7946;

/// Returns the address of a node. The bits of `index` beyond the lowest eight are the second octet.
fn address(network: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, (index >> 8) as u8, network, index as u8], port))
}

/// Returns the address at which a backend listens.
pub fn backend(index: usize) -> SocketAddr {
    address(BACKEND_NETWORK, index, BACKEND_PORT)
}

/// Returns one of the two addresses at which the counter listens.
pub fn counter(index: usize) -> SocketAddr {
    address(COUNTER_NETWORK, index, COUNTER_PORT)
}

/// Returns one of the two addresses at which the list service listens.
pub fn discovery(index: usize) -> SocketAddr {
    address(DISCOVERY_NETWORK, index, DISCOVERY_PORT)
}

/// Returns the address at which a gateway instance receives datagrams.
pub fn instance(index: usize) -> SocketAddr {
    address(INSTANCE_NETWORK, index, DATAGRAM_PORT)
}

/// Returns the broadcast address of all gateway instances.
pub fn broadcast() -> SocketAddr {
    address(BROADCAST_NETWORK, 1, DATAGRAM_PORT)
}
