//! Real processes on loopback: grants, a shard killed and replaced, a retransmitted batch, reloaded maps.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard_map::ShardMap;
use quillramp_lease::wire::{encode, BatchEntry, EntryResponse, Frame, FrameDecoder, PROTOCOL_VERSION};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_quillramp-lease-shard");
const TIMEOUT: Duration = Duration::from_secs(10);

/// A process that is ended with the test.
struct Shard {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Drop for Shard {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Shard {
    fn start(address: SocketAddr, map: &Path) -> Shard {
        let mut child = Command::new(PROGRAM)
            .args(["--listen", &address.to_string(), "--region", "north", "--id", "1", "--map"])
            .arg(map)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let mut shard = Shard { child, log };
        shard.wait_for_log("serves at");
        shard
    }

    fn wait_for_log(&mut self, text: &str) -> String {
        let mut seen = String::new();
        while self.log.read_line(&mut seen).expect("a log") > 0 {
            if seen.contains(text) {
                return seen;
            }
        }
        panic!("no '{text}' in: {seen}");
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("it runs");
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

fn map_text(epoch: u32, address: SocketAddr, rate: f64) -> String {
    format!(
        "epoch = {epoch}\nactive_at = 0.0\n[[plan]]\nname = \"team\"\nrate = {rate:?}\nburst = 50.0\n\
         [[region]]\nname = \"north\"\nshare = 1.0\n[[region.shard]]\nid = 1\naddress = \"{address}\"\n"
    )
}

fn write_map(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("a folder for tests");
    path
}

/// Drives a [`LeaseClient`] over one socket.
struct SocketClient {
    client: LeaseClient,
    stream: Option<TcpStream>,
    started: Instant,
}

impl SocketClient {
    fn new(map: &str) -> SocketClient {
        let map = ShardMap::parse(map).expect("a good map");
        let client = LeaseClient::new(ClientSettings::new(5, 1, "north"), map).expect("a good map");
        SocketClient { client, stream: None, started: Instant::now() }
    }

    fn now(&self) -> f64 {
        1000.0 + self.started.elapsed().as_secs_f64()
    }

    fn request(&mut self, units: f64) -> LeaseOutcome {
        let deadline = self.now() + 5.0;
        let request = LeaseRequest { tenant: 9, plan: 0, requested_units: units, spent_units: 0.0, deadline };
        let request_id = self.client.submit(self.now(), request);
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            if let Some(outcome) = self.step(request_id) {
                return outcome;
            }
        }
        panic!("no outcome");
    }

    fn step(&mut self, request_id: RequestId) -> Option<LeaseOutcome> {
        let mut outcome = None;
        for output in self.client.poll_outputs() {
            match output {
                ClientOutput::Connect { shard, address } => self.connect(shard, address),
                ClientOutput::Send { shard, bytes } => {
                    let sent = self.stream.as_mut().is_some_and(|stream| stream.write_all(&bytes).is_ok());
                    if !sent {
                        self.handle_lost_connection(shard);
                    }
                }
                ClientOutput::Close { .. } => self.stream = None,
                ClientOutput::Completed { request_id: ended, outcome: ended_as } if ended == request_id => {
                    outcome = Some(ended_as)
                }
                ClientOutput::Completed { .. } => {}
            }
        }
        if outcome.is_none() {
            self.read();
            self.client.handle_timeout(self.now());
        }
        outcome
    }

    fn connect(&mut self, shard: u16, address: SocketAddr) {
        match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            Ok(stream) => {
                stream.set_read_timeout(Some(Duration::from_millis(5))).expect("a socket");
                self.stream = Some(stream);
                self.client.handle_connected(self.now(), shard);
            }
            Err(_) => self.client.handle_disconnected(self.now(), shard),
        }
    }

    fn handle_lost_connection(&mut self, shard: u16) {
        self.stream = None;
        self.client.handle_disconnected(self.now(), shard);
    }

    fn read(&mut self) {
        let mut buffer = [0; 4096];
        let Some(stream) = &mut self.stream else {
            std::thread::sleep(Duration::from_millis(5));
            return;
        };
        match stream.read(&mut buffer) {
            Ok(0) => self.handle_lost_connection(1),
            Ok(length) => self.client.receive(self.now(), 1, &buffer[..length]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => self.handle_lost_connection(1),
        }
    }
}

fn granted(outcome: &LeaseOutcome) -> f64 {
    match outcome {
        LeaseOutcome::Granted { units, .. } => *units,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_shard_grants_and_its_replacement_starts_empty() {
    let address = free_address();
    let text = map_text(1, address, 25.0);
    let map = write_map("replaced", &text);
    let shard = Shard::start(address, &map);
    let mut client = SocketClient::new(&text);
    std::thread::sleep(Duration::from_millis(2500)); // longer than a bucket takes to fill
    assert_eq!(granted(&client.request(40.0)), 40.0);
    drop(shard);
    let _shard = Shard::start(address, &map);
    let started = Instant::now();
    let units = granted(&client.request(40.0));
    let refilled = 25.0 * (started.elapsed().as_secs_f64() + 1.0);
    assert!(units <= refilled, "{units} of at most {refilled} that a new shard refilled");
    std::thread::sleep(Duration::from_millis(500));
    assert!(granted(&client.request(5.0)) > 0.0);
}

#[test]
fn requests_fail_while_the_shard_is_down_and_later_ones_are_granted() {
    let address = free_address();
    let text = map_text(1, address, 100.0);
    let map = write_map("gone", &text);
    let shard = Shard::start(address, &map);
    let mut client = SocketClient::new(&text);
    client.request(1.0);
    drop(shard);
    // The first one may still be sent on the old connection, or wait for the new one to fail.
    let outcomes = [client.request(1.0), client.request(1.0)];
    assert!(
        outcomes.iter().all(|o| matches!(o, LeaseOutcome::NotApplied | LeaseOutcome::Unconfirmed)),
        "{outcomes:?}"
    );
    let _shard = Shard::start(address, &map);
    let until = Instant::now() + TIMEOUT;
    while !matches!(client.request(1.0), LeaseOutcome::Granted { units, .. } if units > 0.0) {
        assert!(Instant::now() < until, "never granted again");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_batch_retransmitted_on_a_new_connection_gets_the_same_response() {
    let address = free_address();
    let map = write_map("again", &map_text(1, address, 0.001));
    let _shard = Shard::start(address, &map);
    let entry = BatchEntry { tenant: 9, plan: 0, spent_hundredths: -2000, requested_hundredths: 700 };
    let mut bytes = encode(&Frame::Hello { version: PROTOCOL_VERSION, gateway: 5, incarnation: 1, epoch: 1 });
    bytes.extend(encode(&Frame::Batch { sequence: 1, entries: vec![entry] }));
    for _ in 0..3 {
        let mut stream = TcpStream::connect(address).expect("it serves");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        stream.write_all(&bytes).expect("it reads");
        assert_eq!(
            read_frame(&mut stream),
            batch_response(700, 13),
            "twenty were returned once, seven were granted once"
        );
    }
}

fn batch_response(granted_hundredths: u32, available_units: u32) -> Frame {
    Frame::BatchResponse {
        sequence: 1,
        responses: vec![EntryResponse::Granted { granted_hundredths, available_units }],
    }
}

fn read_frame(stream: &mut TcpStream) -> Frame {
    let mut decoder = FrameDecoder::default();
    let mut buffer = [0; 1024];
    loop {
        if let Some(frame) = decoder.next_frame().expect("a frame") {
            return frame;
        }
        let length = stream.read(&mut buffer).expect("a response in time");
        assert!(length > 0, "closed without a response");
        decoder.extend(&buffer[..length]);
    }
}

#[test]
fn an_invalid_frame_closes_only_its_connection() {
    let address = free_address();
    let text = map_text(1, address, 25.0);
    let map = write_map("spoilt", &text);
    let _shard = Shard::start(address, &map);
    let mut stream = TcpStream::connect(address).expect("it serves");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("it reads");
    stream.shutdown(std::net::Shutdown::Write).expect("a socket");
    assert_eq!(stream.read(&mut [0; 16]).unwrap_or(0), 0, "closed without a response");
    assert!(matches!(SocketClient::new(&text).request(1.0), LeaseOutcome::Granted { .. }));
}

#[test]
fn an_invalid_map_at_start_is_one_log_line_and_a_failure() {
    let address = free_address();
    let good = map_text(1, address, 25.0);
    let cases = [
        (good.replace("share = 1.0", "share = 0.5"), "north", "expected a sum of 1, found 0.5"),
        (good.replace("epoch = 1", "epoch = one"), "north", "no shard map"),
        (good.clone(), "west", "region 'west': not in the map"),
        (good.replace("id = 1", "id = 4"), "north", "shard 1: not in region 'north' of the map"),
    ];
    for (index, (text, region, words)) in cases.iter().enumerate() {
        let map = write_map(&format!("bad-{index}"), text);
        let output = Command::new(PROGRAM)
            .args(["--listen", &address.to_string(), "--region", region, "--id", "1", "--map"])
            .arg(&map)
            .output()
            .expect("the program starts");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{log}");
        assert!(log.contains(words) && log.lines().count() == 1, "{log}");
    }
}

#[test]
fn a_map_is_reloaded_and_an_invalid_one_is_rejected() {
    let address = free_address();
    let map = write_map("again-map", &map_text(1, address, 25.0));
    let mut shard = Shard::start(address, &map);
    std::fs::write(&map, "nonsense").expect("a folder for tests");
    shard.signal(Signal::SIGHUP);
    shard.wait_for_log("the last good map stays");
    std::fs::write(&map, map_text(1, address, 30.0)).expect("a folder for tests");
    shard.signal(Signal::SIGHUP);
    assert!(shard.wait_for_log("the last good map stays").contains("epoch 1: expected above 1"));
    std::fs::write(&map, map_text(2, address, 30.0)).expect("a folder for tests");
    shard.signal(Signal::SIGHUP);
    shard.wait_for_log("map of epoch 2");
    assert!(matches!(
        SocketClient::new(&map_text(2, address, 30.0)).request(1.0),
        LeaseOutcome::Granted { .. }
    ));
    shard.signal(Signal::SIGTERM);
    assert_eq!(shard.child.wait().expect("it ends").code(), Some(0));
}
