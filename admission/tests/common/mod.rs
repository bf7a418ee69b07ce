//! Limits of the tests, and a controller with these limits.
use quillramp_admission::{AdmissionController, Limits, Network};
use std::net::{IpAddr, Ipv4Addr};

pub fn address(host: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, host).into()
}

/// Ten connections, four of them reserved for the known addresses 10.0.0.1 and 10.0.0.2.
pub fn limits() -> Limits {
    Limits {
        connections: 10,
        reserve: 4,
        per_address: 6,
        unidentified: 4,
        rate: 10.0,
        burst: 20.0,
        pending_commands: 4,
        first_command_timeout: 1.0,
        known_for: 60.0,
        known_networks: vec![network("10.0.0.1"), network("10.0.0.2/32")],
    }
}

pub fn network(text: &str) -> Network {
    text.parse().expect("a network")
}

pub fn controller() -> AdmissionController {
    AdmissionController::new(limits())
}
