//! What the tests of the counter share; each uses a part of it.
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

pub fn add(name: &str, by: f64, at: f64) -> Add {
    Add { name: name.into(), amount: by, lifetime: 60.0, time: at }
}

pub fn entry(index: u64, by: f64) -> Entry<Add> {
    Entry { index, term: 1, command: Some(add("a", by, 1000.0)) }
}

pub fn log(disk: MemoryDisk) -> Log<MemoryDisk> {
    Log::open::<quillramp_counter::totals::Totals, Add>(disk).expect("it opens").0
}

pub fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("counter-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// What came of a call: the total, that nothing was added, or that nobody knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Came {
    Total(f64),
    Nothing,
    Unknown,
}

pub struct Caller {
    at: SocketAddr,
    link: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl Caller {
    pub fn new(at: SocketAddr) -> Caller {
        Caller { at, link: None }
    }

    pub fn add(&mut self, name: &str, by: f64) -> Came {
        self.raw(&format!(
            "POST /counters/{name}?by={by}&expire_ms=60000 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        ))
    }

    pub fn raw(&mut self, call: &str) -> Came {
        if self.link.is_none() {
            let Ok(to) = TcpStream::connect_timeout(&self.at, Duration::from_millis(200)) else {
                return Came::Nothing;
            };
            to.set_nodelay(true).expect("a socket");
            to.set_read_timeout(Some(Duration::from_secs(3))).expect("a socket");
            let from = BufReader::new(to.try_clone().expect("a second handle"));
            self.link = Some((to, from));
        }
        let (to, from) = self.link.as_mut().expect("just made");
        let came = to.write_all(call.as_bytes()).and_then(|()| answer(from)).unwrap_or(Came::Unknown);
        if came == Came::Unknown {
            self.link = None;
        }
        came
    }
}

fn answer(from: &mut impl BufRead) -> std::io::Result<Came> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(Came::Unknown);
    }
    let status: u16 = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut length = 0;
    loop {
        line.clear();
        from.read_line(&mut line)?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(n) = line.strip_prefix("Content-Length: ") {
            length = n.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    let total = String::from_utf8_lossy(&body).parse().ok();
    Ok(match (status, total) {
        (200, Some(total)) => Came::Total(total),
        (503 | 400, _) => Came::Nothing,
        _ => Came::Unknown,
    })
}

/// Members on loopback, each with a folder of its own.
pub struct Cluster {
    pub members: BTreeMap<u64, SocketAddr>,
    pub calls: BTreeMap<u64, SocketAddr>,
    pub running: BTreeMap<u64, Server>,
    name: String,
}

impl Cluster {
    pub fn start(name: &str, number: u64) -> Cluster {
        let (mut members, mut calls) = (BTreeMap::new(), BTreeMap::new());
        let mut kept = vec![];
        for id in 1..=number {
            let (a, b) = (bound(), bound());
            members.insert(id, a.local_addr().expect("an address"));
            calls.insert(id, b.local_addr().expect("an address"));
            kept.push((a, b));
        }
        drop(kept);
        let mut cluster = Cluster { members, calls, running: BTreeMap::new(), name: name.into() };
        (1..=number).for_each(|id| drop(std::fs::remove_dir_all(cluster.folder(id))));
        (1..=number).for_each(|id| cluster.up(id));
        cluster
    }

    pub fn folder(&self, id: u64) -> PathBuf {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("counter-{}-{id}", self.name))
    }

    pub fn up(&mut self, id: u64) {
        let config =
            ReplicaConfig { id, client_address: self.calls[&id], peer_addresses: self.members.clone() };
        let disk = Directory::new(&self.folder(id)).expect("a folder");
        let listeners = Listeners { clients: bind(self.calls[&id]), peers: bind(self.members[&id]) };
        let server = Server::start(disk, config, Timing::default(), listeners, 7 * id).expect("it starts");
        self.running.insert(id, server);
    }

    pub fn down(&mut self, id: u64) {
        drop(self.running.remove(&id));
    }

    pub fn caller(&self, id: u64) -> Caller {
        Caller::new(self.calls[&id])
    }

    /// Waits until a call at this member is answered with a total.
    pub fn answers(&self, id: u64) -> f64 {
        let mut caller = self.caller(id);
        let from = Instant::now();
        loop {
            if let Came::Total(total) = caller.add("ready", 0.0) {
                return total;
            }
            assert!(from.elapsed() < Duration::from_secs(15), "member {id} answers no call");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.running.clear();
        self.members.keys().for_each(|id| drop(std::fs::remove_dir_all(self.folder(*id))));
    }
}

fn bound() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn bind(at: SocketAddr) -> TcpListener {
    let from = Instant::now();
    loop {
        match TcpListener::bind(at) {
            Ok(listener) => return listener,
            Err(e) => assert!(from.elapsed() < Duration::from_secs(10), "{at}: {e}"),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
