//! The `serve` command: checks its options, binds the sockets and runs a server until a signal stops it.
use quillramp_counter::disk::Directory;
use quillramp_counter::server::{Listeners, ReplicaConfig, Server, Timing};
use quillramp_counter::Error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of replicas: larger clusters are not supported.
const MAX_MEMBERS: usize = 3;
/// Accepted election timeouts, seconds: longer than a sync of the disk, shorter than the timeouts of clients.
const ELECTION_TIMEOUTS: RangeInclusive<f64> = 0.02..=60.0;
/// Accepted maximum lifetimes, seconds: up to about three years.
const MAX_LIFETIMES: RangeInclusive<f64> = 1.0..=1e8;
/// Number of heartbeats of a leader within the minimum election timeout: several, so that a few may be lost.
const HEARTBEATS_PER_ELECTION_TIMEOUT: f64 = 7.0;

/// A replica, as given by the option `--member`.
#[derive(Clone, Copy)]
pub struct Member {
    /// Id of the replica.
    pub id: u64,
    /// The address on which the replica accepts its peers.
    pub address: SocketAddr,
}

/// The options of the command.
pub struct ServeOptions {
    /// The id of this replica.
    pub id: u64,
    /// The address on which clients are accepted.
    pub client_address: SocketAddr,
    /// Ids and peer addresses of all replicas, including this one; empty if it runs alone.
    pub members: Vec<Member>,
    /// The directory of the log.
    pub directory: PathBuf,
    /// Minimum election timeout, seconds.
    pub election_timeout: f64,
    /// The maximum lifetime of a name, seconds.
    pub max_lifetime: f64,
}

/// The reason why the command could not serve, or stopped serving.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Two members have the same id, or there are too many members.
    #[error("--member: expected at most three members with different ids")]
    Members,
    /// The election timeout is out of range, seconds.
    #[error("--patience: expected 0.02 to 60 seconds, found {0}")]
    ElectionTimeout(f64),
    /// The maximum lifetime is out of range, seconds.
    #[error("--longest-life: expected 1 to 1e8 seconds, found {0}")]
    MaxLifetime(f64),
    /// The id of this replica is not among the members.
    #[error("--id: expected the id of a --member, found {0}")]
    UnknownId(u64),
    /// A socket can't be bound.
    #[error("{address}: {source}")]
    Bind { address: SocketAddr, source: io::Error },
    /// The directory can't be opened or created.
    #[error("{directory}: {source}")]
    Directory { directory: String, source: io::Error },
    /// The signal handlers can't be installed.
    #[error("{0}")]
    Signals(io::Error),
    /// The server could not start, or its disk failed.
    #[error("{directory}: {source}")]
    Counter { directory: String, source: Error },
}

/// Serves until SIGTERM or SIGINT.
pub fn serve(options: ServeOptions) -> Result<(), ServeError> {
    let peer_addresses = peer_addresses(&options)?;
    let timing = timing(&options)?;
    let peer_address = *peer_addresses.get(&options.id).ok_or(ServeError::UnknownId(options.id))?;
    let listeners = Listeners { clients: bind(options.client_address)?, peers: bind(peer_address)? };
    let directory = options.directory.display().to_string();
    let disk = Directory::new(&options.directory)
        .map_err(|source| ServeError::Directory { directory: directory.clone(), source })?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(ServeError::Signals)?;
    let config = ReplicaConfig { id: options.id, client_address: options.client_address, peer_addresses };
    let counter_error = |source| ServeError::Counter { directory: directory.clone(), source };
    let mut server = Server::start(disk, config, timing, listeners, seed()).map_err(counter_error)?;
    eprintln!("quillramp-counter: serves at {}", server.client_address);
    let signals_handle = signals.handle();
    let stop = server.stopper();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            stop();
        }
    });
    let ended = server.wait();
    signals_handle.close();
    ended.map_err(counter_error)
}

fn peer_addresses(options: &ServeOptions) -> Result<BTreeMap<u64, SocketAddr>, ServeError> {
    let members: BTreeMap<u64, SocketAddr> =
        options.members.iter().map(|member| (member.id, member.address)).collect();
    if members.len() < options.members.len() || members.len() > MAX_MEMBERS {
        return Err(ServeError::Members);
    }
    if members.is_empty() {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        return Ok(BTreeMap::from([(options.id, any_port)]));
    }
    Ok(members)
}

fn timing(options: &ServeOptions) -> Result<Timing, ServeError> {
    if !ELECTION_TIMEOUTS.contains(&options.election_timeout) {
        return Err(ServeError::ElectionTimeout(options.election_timeout));
    }
    if !MAX_LIFETIMES.contains(&options.max_lifetime) {
        return Err(ServeError::MaxLifetime(options.max_lifetime));
    }
    Ok(Timing {
        heartbeat_interval: options.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT,
        election_timeout: options.election_timeout,
        max_lifetime: options.max_lifetime,
        ..Timing::default()
    })
}

fn bind(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).map_err(|source| ServeError::Bind { address, source })
}

fn seed() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}
