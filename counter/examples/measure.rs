//! Calls a second that one member, two and three answer on this machine, over so many connections with so many calls on their way each, and
//! how long a start takes with a million names. Prints a table.
use quillramp_counter::disk::Directory;
use quillramp_counter::log::{HardState, Log, LogPosition, Snapshot};
use quillramp_counter::server::{Listeners, ReplicaConfig, Server, Timing};
use quillramp_counter::totals::{Add, Totals};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

const SECONDS: f64 = 3.0;
const NAMES: usize = 1_000_000;

fn members(number: u64, folder: &Path) -> Vec<Server> {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let sockets: BTreeMap<u64, Listeners> =
        (1..=number).map(|id| (id, Listeners { clients: bind(), peers: bind() })).collect();
    let members: BTreeMap<u64, SocketAddr> =
        sockets.iter().map(|(id, s)| (*id, s.peers.local_addr().expect("an address"))).collect();
    let mut all = vec![];
    for (id, listeners) in sockets {
        let client_address = listeners.clients.local_addr().expect("an address");
        let config = ReplicaConfig { id, client_address, peer_addresses: members.clone() };
        let disk = Directory::new(&folder.join(id.to_string())).expect("a folder");
        all.push(Server::start(disk, config, Timing::default(), listeners, id).expect("it starts"));
    }
    all
}

/// Answers counted, and the seconds of each batch of calls.
fn drive(at: SocketAddr, pipelined: usize, until: Instant) -> (u64, Vec<f64>) {
    let mut to = TcpStream::connect(at).expect("it accepts");
    to.set_nodelay(true).expect("a socket");
    let mut from = BufReader::new(to.try_clone().expect("a second handle"));
    let one = "POST /counters/c7.59?by=1&expire_ms=45000 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    let calls = one.repeat(pipelined);
    let (mut done, mut took) = (0, vec![]);
    while Instant::now() < until {
        let began = Instant::now();
        if to.write_all(calls.as_bytes()).is_err() {
            break; // calls that took too long ended the connection: what was answered counts
        }
        for _ in 0..pipelined {
            let (mut line, mut length) = (String::new(), 0);
            if from.read_line(&mut line).unwrap_or(0) == 0 {
                return (done, took);
            }
            done += u64::from(line.contains("200"));
            while line.trim() != "" {
                line.clear();
                from.read_line(&mut line).expect("a head");
                length =
                    line.strip_prefix("Content-Length: ").map_or(length, |n| n.trim().parse().unwrap_or(0));
            }
            let mut body = vec![0; length];
            from.read_exact(&mut body).expect("a body");
        }
        took.push(began.elapsed().as_secs_f64());
    }
    (done, took)
}

fn main() {
    let folder = std::env::temp_dir().join(format!("quillramp-counter-measure-{}", std::process::id()));
    println!("| members | connections | calls on their way each | calls a second | median, ms | 99th percentile, ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for number in [1, 2, 3] {
        let all = members(number, &folder.join(format!("of-{number}")));
        std::thread::sleep(Duration::from_millis(800));
        for (connections, pipelined) in [(1, 1), (16, 1), (16, 32)] {
            let until = Instant::now() + Duration::from_secs_f64(SECONDS);
            let at: Vec<SocketAddr> = all.iter().map(|s| s.client_address).collect();
            let threads: Vec<_> = (0..connections)
                .map(|i| {
                    let at = at[i % at.len()];
                    std::thread::spawn(move || drive(at, pipelined, until))
                })
                .collect();
            let (mut done, mut took) = (0, vec![]);
            for thread in threads {
                let (n, more) = thread.join().expect("a caller");
                done += n;
                took.extend(more);
            }
            took.sort_by(f64::total_cmp);
            let at = |q: f64| 1e3 * took.get((took.len() as f64 * q) as usize).copied().unwrap_or(0.0);
            let rate = done as f64 / SECONDS;
            println!(
                "| {number} | {connections} | {pipelined} | {rate:.0} | {:.2} | {:.2} |",
                at(0.5),
                at(0.99)
            );
        }
    }
    let at = folder.join("names");
    let (mut log, _) = Log::open::<Totals, Add>(Directory::new(&at).expect("a folder")).expect("it opens");
    let mut state = Totals::default();
    for i in 0..NAMES {
        state.add(&Add { name: format!("{i:x}.59").into_bytes(), amount: 1.0, lifetime: 60.0, time: 1000.0 });
    }
    let began = Instant::now();
    log.snapshot::<Totals, Add>(
        &Snapshot { last_included: LogPosition { index: NAMES as u64, term: 1 }, state },
        HardState::default(),
        &[],
    )
    .expect("kept");
    println!("\na state of {NAMES} names kept in {:.2} s", began.elapsed().as_secs_f64());
    drop(log);
    let began = Instant::now();
    let (_, found) = Log::open::<Totals, Add>(Directory::new(&at).expect("a folder")).expect("it opens");
    println!("and read back in {:.2} s: {} names", began.elapsed().as_secs_f64(), found.snapshot.state.len());
    let _ = std::fs::remove_dir_all(&folder); // ours
}
