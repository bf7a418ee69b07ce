//! Shared fixtures of the counter's tests; each test file uses some of them.
#![allow(dead_code)]
use quillramp_counter::disk::{Directory, MemoryDisk};
use quillramp_counter::log::{Entry, Log};
use quillramp_counter::server::{Listeners, ReplicaConfig, Server, Timing};
use quillramp_counter::totals::Add;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

pub fn add(name: &str, amount: f64, at: f64) -> Add {
    Add { name: name.into(), amount, lifetime: 60.0, time: at }
}

pub fn entry(index: u64, amount: f64) -> Entry<Add> {
    Entry { index, term: 1, command: Some(add("a", amount, 1000.0)) }
}

pub fn log(disk: MemoryDisk) -> Log<MemoryDisk> {
    Log::open::<quillramp_counter::totals::Totals, Add>(disk).expect("the log opens").0
}

pub fn directory(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("counter-{name}"));
    let _ = std::fs::remove_dir_all(&directory);
    directory
}

/// The outcome of a call, as the client observes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The amount was committed; holds the total after it.
    Total(f64),
    /// The call was rejected, or not sent because the member refused the connection: nothing was added.
    NotAdded,
    /// The connection ended without a valid response: the amount may have been added.
    Unknown,
}

/// A client with one connection, which it opens again after an error.
pub struct Client {
    address: SocketAddr,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, connection: None }
    }

    pub fn add(&mut self, name: &str, amount: f64) -> Outcome {
        self.call(&format!(
            "POST /counters/{name}?by={amount}&expire_ms=60000 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        ))
    }

    pub fn call(&mut self, request: &str) -> Outcome {
        if self.connection.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(200)) else {
                return Outcome::NotAdded;
            };
            stream.set_nodelay(true).expect("the socket option is set");
            stream.set_read_timeout(Some(Duration::from_secs(3))).expect("the socket option is set");
            let reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
            self.connection = Some((stream, reader));
        }
        let (stream, reader) = self.connection.as_mut().expect("the connection has been opened");
        let outcome = stream
            .write_all(request.as_bytes())
            .and_then(|()| read_response(reader))
            .unwrap_or(Outcome::Unknown);
        if outcome == Outcome::Unknown {
            self.connection = None;
        }
        outcome
    }
}

fn read_response(reader: &mut impl BufRead) -> std::io::Result<Outcome> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(Outcome::Unknown);
    }
    let status: u16 = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(text) = line.strip_prefix("Content-Length: ") {
            length = text.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let total = String::from_utf8_lossy(&body).parse().ok();
    Ok(match (status, total) {
        (200, Some(total)) => Outcome::Total(total),
        (503 | 400, _) => Outcome::NotAdded,
        _ => Outcome::Unknown,
    })
}

/// Members on loopback, each with a separate directory.
pub struct Cluster {
    /// Peer address of each member.
    pub peer_addresses: BTreeMap<u64, SocketAddr>,
    /// Client address of each member.
    pub client_addresses: BTreeMap<u64, SocketAddr>,
    pub servers: BTreeMap<u64, Server>,
    name: String,
}

impl Cluster {
    pub fn start(name: &str, members: u64) -> Cluster {
        let mut peer_addresses = BTreeMap::new();
        let mut client_addresses = BTreeMap::new();
        let mut reserved = vec![];
        for id in 1..=members {
            let peer_listener = bind_any_port();
            let client_listener = bind_any_port();
            peer_addresses.insert(id, peer_listener.local_addr().expect("the listener has an address"));
            client_addresses.insert(id, client_listener.local_addr().expect("the listener has an address"));
            // Keep all ports bound until each member has been assigned different ones.
            reserved.push((peer_listener, client_listener));
        }
        drop(reserved);
        let mut cluster =
            Cluster { peer_addresses, client_addresses, servers: BTreeMap::new(), name: name.into() };
        (1..=members).for_each(|id| drop(std::fs::remove_dir_all(cluster.directory(id))));
        (1..=members).for_each(|id| cluster.start_member(id));
        cluster
    }

    pub fn directory(&self, id: u64) -> PathBuf {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("counter-{}-{id}", self.name))
    }

    pub fn start_member(&mut self, id: u64) {
        let config = ReplicaConfig {
            id,
            client_address: self.client_addresses[&id],
            peer_addresses: self.peer_addresses.clone(),
        };
        let disk = Directory::new(&self.directory(id)).expect("the directory can be opened");
        let listeners =
            Listeners { clients: bind(self.client_addresses[&id]), peers: bind(self.peer_addresses[&id]) };
        let server =
            Server::start(disk, config, Timing::default(), listeners, 7 * id).expect("the member starts");
        self.servers.insert(id, server);
    }

    pub fn stop_member(&mut self, id: u64) {
        drop(self.servers.remove(&id));
    }

    pub fn client(&self, id: u64) -> Client {
        Client::new(self.client_addresses[&id])
    }

    /// Waits until a call at a member is answered with a total.
    pub fn wait_until_ready(&self, id: u64) -> f64 {
        let mut client = self.client(id);
        let start = Instant::now();
        loop {
            if let Outcome::Total(total) = client.add("ready", 0.0) {
                return total;
            }
            assert!(
                start.elapsed() < Duration::from_secs(15),
                "member {id} answered no call with a total for 15 s"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.servers.clear();
        self.peer_addresses.keys().for_each(|id| drop(std::fs::remove_dir_all(self.directory(*id))));
    }
}

fn bind_any_port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn bind(address: SocketAddr) -> TcpListener {
    let start = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) => assert!(start.elapsed() < Duration::from_secs(10), "{address}: {error}"),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
