//! The configuration files of the instances.
use crate::error::RunError;
use crate::experiment::Experiment;
use crate::test_bed::loopback::{bind_datagram, reserve_address};
use crate::test_bed::peer_relay;
use quillramp_emulator::deployment::gateway_settings;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Configured processor cores of an instance.
const CORES: f64 = 1.0;
/// Configured memory of an instance, MB.
const MEMORY_MB: u64 = 192;
/// Minimum descriptor limit of an instance, whatever the experiment sets.
const MIN_DESCRIPTORS: usize = 1024;

/// Addresses of the test bed's services, and the initial endpoint list.
pub struct Services {
    /// The two counters: instances with an even index use the first one, the others the second.
    pub counters: [SocketAddr; 2],
    /// Address of the list service.
    pub discovery: SocketAddr,
    /// Endpoint list in the instances' configuration, which they use at startup.
    pub endpoints: Value,
}

/// The configuration files of a fleet, one per instance.
pub(super) struct ConfigurationFiles {
    /// Client address of each instance.
    pub addresses: Vec<SocketAddr>,
    /// Path of each instance's file, in the order of the addresses.
    pub paths: Vec<PathBuf>,
}

/// Writes the configuration files, and starts the gossip relay if the experiment uses gossip.
pub(super) fn write(
    experiment: &Experiment,
    folder: &Path,
    services: &Services,
) -> Result<ConfigurationFiles, RunError> {
    let world = &experiment.world;
    let mut settings = gateway_settings(world, None);
    let client_addresses: Vec<SocketAddr> = (0..world.instances).map(|_| reserve_address()).collect();
    let gossip_addresses: Vec<SocketAddr> = (0..world.instances).map(|_| reserve_address()).collect();
    let relay = bind_datagram()?;
    if world.gossip {
        peer_relay::start(relay.socket, gossip_addresses.clone());
    }
    let peers: Vec<SocketAddr> = gossip_addresses.iter().copied().chain([relay.address]).collect();
    let mut paths = vec![];
    for index in 0..world.instances {
        settings["slot_no"] = json!(index);
        let seed = format!("{:016x}", experiment.seed + index as u64);
        let mut configuration = json!({"name": format!("n{index}"), "listen": client_addresses[index],
            "discovery": services.discovery, "seed": seed,
            "limits": {"cores": CORES, "memory_mb": MEMORY_MB, "sockets": world.max_descriptors.max(MIN_DESCRIPTORS)},
            "counter": services.counters[index % 2], "known": services.endpoints, "settings": settings});
        if world.gossip {
            configuration["peer_listen"] = json!(gossip_addresses[index]);
            configuration["peers"] = json!(peers);
            configuration["peers_all"] = json!(relay.address);
        }
        let path = folder.join(format!("door-{index}.json"));
        std::fs::write(&path, configuration.to_string()).map_err(RunError::file(&path))?;
        paths.push(path);
    }
    Ok(ConfigurationFiles { addresses: client_addresses, paths })
}
