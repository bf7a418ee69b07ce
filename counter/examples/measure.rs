//! Measures the counter on this machine and prints a table: the calls per second that one, two and three members answer, by the number
//! of connections and of pipelined calls on each, and the time to write and read a snapshot with a million names.
use quillramp_counter::disk::Directory;
use quillramp_counter::log::{HardState, Log, LogPosition, Snapshot};
use quillramp_counter::server::{Listeners, ReplicaConfig, Server, Timing};
use quillramp_counter::totals::{Add, Totals};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// Duration of each measurement, seconds.
const MEASUREMENT_SECONDS: f64 = 3.0;
/// Number of names in the measured snapshot.
const NAMES: usize = 1_000_000;
/// Time for a cluster to elect its first leader.
const ELECTION_TIME: Duration = Duration::from_millis(800);
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// The call that all clients send.
const CALL: &str =
    "POST /counters/c7.59?by=1&expire_ms=45000 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

/// The load of a cluster.
struct Load {
    connections: usize,
    /// Calls that are sent on a connection before their responses are read.
    pipelined: usize,
}

/// The measurements of one connection or of several.
#[derive(Default)]
struct Measurement {
    /// Number of calls that were answered with a total.
    answered: u64,
    /// Duration of each batch of pipelined calls, seconds.
    durations: Vec<f64>,
}

impl Measurement {
    fn merge(&mut self, other: Measurement) {
        self.answered += other.answered;
        self.durations.extend(other.durations);
    }

    /// Returns a quantile of the durations, which must be sorted, in milliseconds.
    fn milliseconds(&self, quantile: f64) -> f64 {
        let index = (self.durations.len() as f64 * quantile) as usize;
        MILLISECONDS_PER_SECOND * self.durations.get(index).copied().unwrap_or(0.0)
    }
}

fn start_cluster(members: u64, directory: &Path) -> Vec<Server> {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let sockets: BTreeMap<u64, Listeners> =
        (1..=members).map(|id| (id, Listeners { clients: bind(), peers: bind() })).collect();
    let peer_addresses: BTreeMap<u64, SocketAddr> = sockets
        .iter()
        .map(|(id, listeners)| (*id, listeners.peers.local_addr().expect("the listener has an address")))
        .collect();
    let mut servers = vec![];
    for (id, listeners) in sockets {
        let client_address = listeners.clients.local_addr().expect("the listener has an address");
        let config = ReplicaConfig { id, client_address, peer_addresses: peer_addresses.clone() };
        let disk = Directory::new(&directory.join(id.to_string())).expect("the directory can be opened");
        servers
            .push(Server::start(disk, config, Timing::default(), listeners, id).expect("the member starts"));
    }
    servers
}

/// Sends batches of pipelined calls on one connection until the given time.
fn run_client(address: SocketAddr, pipelined: usize, until: Instant) -> Measurement {
    let mut stream = TcpStream::connect(address).expect("the member accepts connections");
    stream.set_nodelay(true).expect("the socket option is set");
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    let calls = CALL.repeat(pipelined);
    let mut measurement = Measurement::default();
    while Instant::now() < until {
        let start = Instant::now();
        if stream.write_all(calls.as_bytes()).is_err() {
            break; // the member closes the connection when calls time out; the earlier answers count
        }
        for _ in 0..pipelined {
            let Some(is_answered) = read_response(&mut reader) else { return measurement };
            measurement.answered += u64::from(is_answered);
        }
        measurement.durations.push(start.elapsed().as_secs_f64());
    }
    measurement
}

/// Reads one response and returns whether it is a total; `None` at the end of the connection.
fn read_response(reader: &mut impl BufRead) -> Option<bool> {
    let mut line = String::new();
    let mut length = 0;
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        return None;
    }
    let is_total = line.contains("200");
    while line.trim() != "" {
        line.clear();
        reader.read_line(&mut line).expect("the response has a complete head");
        length =
            line.strip_prefix("Content-Length: ").map_or(length, |text| text.trim().parse().unwrap_or(0));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the response has a complete body");
    Some(is_total)
}

fn measure_load(servers: &[Server], load: &Load) -> Measurement {
    let until = Instant::now() + Duration::from_secs_f64(MEASUREMENT_SECONDS);
    let pipelined = load.pipelined;
    let clients: Vec<_> = (0..load.connections)
        .map(|client| {
            let address = servers[client % servers.len()].client_address;
            std::thread::spawn(move || run_client(address, pipelined, until))
        })
        .collect();
    let mut measurement = Measurement::default();
    for client in clients {
        measurement.merge(client.join().expect("the client does not panic"));
    }
    measurement.durations.sort_by(f64::total_cmp);
    measurement
}

fn measure_cluster(members: u64, directory: &Path) {
    let servers = start_cluster(members, directory);
    std::thread::sleep(ELECTION_TIME);
    let loads = [
        Load { connections: 1, pipelined: 1 },
        Load { connections: 16, pipelined: 1 },
        Load { connections: 16, pipelined: 32 },
    ];
    for load in loads {
        let measurement = measure_load(&servers, &load);
        let rate = measurement.answered as f64 / MEASUREMENT_SECONDS;
        println!(
            "| {members} | {} | {} | {rate:.0} | {:.2} | {:.2} |",
            load.connections,
            load.pipelined,
            measurement.milliseconds(0.5),
            measurement.milliseconds(0.99)
        );
    }
}

fn measure_snapshot(directory: &Path) {
    let open = || {
        Log::open::<Totals, Add>(Directory::new(directory).expect("the directory can be opened"))
            .expect("the log opens")
    };
    let (mut log, _) = open();
    let mut state = Totals::default();
    for number in 0..NAMES {
        let name = format!("{number:x}.59").into_bytes();
        state.add(&Add { name, amount: 1.0, lifetime: 60.0, time: 1000.0 });
    }
    let snapshot = Snapshot { last_included: LogPosition { index: NAMES as u64, term: 1 }, state };
    let start = Instant::now();
    log.snapshot::<Totals, Add>(&snapshot, HardState::default(), &[]).expect("written");
    println!("\nwrote a snapshot of {NAMES} names in {:.2} s", start.elapsed().as_secs_f64());
    drop(log);
    let start = Instant::now();
    let (_, recovered) = open();
    let names = recovered.snapshot.state.len();
    println!("read it back in {:.2} s: {names} names", start.elapsed().as_secs_f64());
}

fn main() {
    let directory = std::env::temp_dir().join(format!("quillramp-counter-measure-{}", std::process::id()));
    println!("| members | connections | calls on their way each | calls a second | median, ms | 99th percentile, ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for members in [1, 2, 3] {
        measure_cluster(members, &directory.join(format!("of-{members}")));
    }
    measure_snapshot(&directory.join("names"));
    let _ = std::fs::remove_dir_all(&directory); // created by this program
}
