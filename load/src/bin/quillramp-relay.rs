//! quillramp-relay: a baseline for comparisons with the gateway, and a test double in its place. Reads the same configuration
//! (`EDGE_CONFIG` names the file) and forwards each command to a backend by a simple load balancing policy, with no quotas, retries or
//! health checks. It can delay commands and send duplicates.
//!
//! | environment variable | meaning | default |
//! | --- | --- | --- |
//! | `RELAY_POLICY` | `round-robin`, `random`, `two-choices` or `least-out`: the load balancing policy | `least-out` |
//! | `RELAY_DELAY_MS` | delay of each command, milliseconds | 0 |
//! | `RELAY_TWICE` | if not empty, commands that are not idempotent are sent twice | empty |
use serde_json::Value;
use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Multiplier of the hash that makes random numbers of consecutive ones.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of bulk strings in a backend's reply; the first one is the value.
const REPLY_PARTS: usize = 3;
/// Length of CR LF.
const LINE_END_BYTES: usize = 2;

/// A backend of the endpoint list.
struct Backend {
    address: SocketAddr,
    /// Number of commands in flight.
    in_flight: AtomicUsize,
}

/// The load balancing policy.
#[derive(Clone, Copy)]
enum Policy {
    RoundRobin,
    Random,
    /// Two backends drawn at random; the one with fewer commands in flight is picked.
    TwoChoices,
    /// The backend with the fewest commands in flight.
    LeastInFlight,
}

impl Policy {
    /// Returns the policy of this name; `least-out` if there is none.
    fn from_name(name: &str) -> Policy {
        match name {
            "round-robin" => Policy::RoundRobin,
            "random" => Policy::Random,
            "two-choices" => Policy::TwoChoices,
            _ => Policy::LeastInFlight,
        }
    }
}

/// The backends and the settings from the environment.
struct Relay {
    backends: Vec<Backend>,
    policy: Policy,
    /// Number of picks so far; round robin and the random numbers use it.
    picks: AtomicUsize,
    /// Delay of each command.
    delay: Duration,
    /// Whether commands that are not idempotent are sent twice.
    send_duplicates: bool,
}

impl Relay {
    /// Returns the index of a pseudo-random backend.
    fn random(&self) -> usize {
        let pick = self.picks.fetch_add(1, Ordering::Relaxed) as u64;
        let mixed = (pick ^ (pick >> 7)).wrapping_mul(HASH_MULTIPLIER);
        (mixed >> 33) as usize % self.backends.len()
    }

    /// Returns the index of the backend for the next command.
    fn pick(&self) -> usize {
        let in_flight = |index: &usize| self.backends[*index].in_flight.load(Ordering::Relaxed);
        match self.policy {
            Policy::RoundRobin => self.picks.fetch_add(1, Ordering::Relaxed) % self.backends.len(),
            Policy::Random => self.random(),
            Policy::TwoChoices => {
                [self.random(), self.random()].into_iter().min_by_key(in_flight).unwrap_or(0)
            }
            Policy::LeastInFlight => (0..self.backends.len()).min_by_key(in_flight).unwrap_or(0),
        }
    }

    /// Returns how many times a command is sent.
    fn copies(&self, command: &[u8]) -> usize {
        if self.send_duplicates && contains(command, b"CALL.POST") {
            2
        } else {
            1
        }
    }
}

fn contains(bytes: &[u8], text: &[u8]) -> bool {
    bytes.windows(text.len()).any(|window| window == text)
}

/// Parses the number after the first byte of a line, such as `$16`.
fn parse_line_number<T: std::str::FromStr>(line: &[u8]) -> Option<T> {
    std::str::from_utf8(&line[1..]).ok().and_then(|text| text.trim().parse().ok())
}

/// Reads one command in its wire format; returns `None` at the end of the connection.
fn read_command(reader: &mut impl BufRead) -> Result<Option<Vec<u8>>> {
    let mut command = Vec::new();
    if reader.read_until(b'\n', &mut command)? == 0 {
        return Ok(None);
    }
    let parts: usize = parse_line_number(&command).ok_or(ErrorKind::InvalidData)?;
    for _ in 0..parts {
        let head = command.len();
        reader.read_until(b'\n', &mut command)?;
        let length: usize = parse_line_number(&command[head..]).ok_or(ErrorKind::InvalidData)?;
        let body = command.len();
        command.resize(body + length + LINE_END_BYTES, 0);
        reader.read_exact(&mut command[body..])?;
    }
    Ok(Some(command))
}

/// Reads a backend's reply and returns its value in the wire format, or the whole line of an error.
fn read_reply(reader: &mut impl BufRead) -> Result<Vec<u8>> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.first() != Some(&b'*') {
        return if line.is_empty() { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(line) };
    }
    let mut value = Vec::new();
    for part in 0..REPLY_PARTS {
        let mut head = Vec::new();
        reader.read_until(b'\n', &mut head)?;
        let length: i64 = parse_line_number(&head).unwrap_or(-1);
        let mut body = vec![0; if length < 0 { 0 } else { length as usize + LINE_END_BYTES }];
        reader.read_exact(&mut body)?;
        if part == 0 {
            value = [head, body].concat();
        }
    }
    Ok(value)
}

/// A connection to a backend.
struct BackendConnection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl BackendConnection {
    fn open(address: SocketAddr) -> Result<BackendConnection> {
        let writer = TcpStream::connect(address)?;
        writer.set_nodelay(true)?;
        Ok(BackendConnection { reader: BufReader::new(writer.try_clone()?), writer })
    }

    /// Sends a command and reads the reply.
    fn exchange(&mut self, command: &[u8]) -> Result<Vec<u8>> {
        self.writer.write_all(command)?;
        read_reply(&mut self.reader)
    }
}

/// Forwards a command on a connection and returns the reply. Opens the connection if necessary, and drops it after an error.
fn forward(connection: &mut Option<BackendConnection>, backend: &Backend, command: &[u8]) -> Result<Vec<u8>> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => BackendConnection::open(backend.address)?,
    };
    let reply = open.exchange(command)?;
    *connection = Some(open);
    Ok(reply)
}

/// Serves the commands on a client's connection.
fn serve(relay: &Relay, mut client: TcpStream) -> Result<()> {
    client.set_nodelay(true)?;
    let mut reader = BufReader::new(client.try_clone()?);
    let mut connections: Vec<Option<BackendConnection>> = relay.backends.iter().map(|_| None).collect();
    while let Some(command) = read_command(&mut reader)? {
        if contains(&command, b"PING") {
            client.write_all(b"+PONG\r\n")?;
            continue;
        }
        std::thread::sleep(relay.delay);
        let mut reply = b"-ERR failed\r\n".to_vec();
        for _ in 0..relay.copies(&command) {
            let index = relay.pick();
            let backend = &relay.backends[index];
            backend.in_flight.fetch_add(1, Ordering::Relaxed);
            let forwarded = forward(&mut connections[index], backend, &command);
            backend.in_flight.fetch_sub(1, Ordering::Relaxed);
            if let Ok(value) = forwarded {
                reply = value;
            }
        }
        client.write_all(&reply)?;
    }
    Ok(())
}

fn invalid_input(reason: &str) -> Error {
    Error::new(ErrorKind::InvalidInput, reason.to_owned())
}

/// Parses a socket address from a JSON string.
fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str().and_then(|text| text.parse().ok())
}

/// Returns the backends of the endpoint list in the configuration.
fn backends(configuration: &Value) -> Result<Vec<Backend>> {
    let endpoints = configuration["known"]["endpoints"].as_array();
    let endpoints =
        endpoints.ok_or_else(|| invalid_input("configuration: known.endpoints is missing or not a list"))?;
    let addresses = endpoints.iter().filter_map(|endpoint| address(&endpoint["address"]));
    Ok(addresses.map(|address| Backend { address, in_flight: AtomicUsize::new(0) }).collect())
}

fn run() -> Result<()> {
    let path = std::env::var("EDGE_CONFIG");
    let path = path.map_err(|_| {
        invalid_input(
            "environment variable EDGE_CONFIG is not set: expected the path of a configuration file",
        )
    })?;
    let configuration: Value = serde_json::from_slice(&std::fs::read(path)?)?;
    let backends = backends(&configuration)?;
    let listen = address(&configuration["listen"])
        .ok_or_else(|| invalid_input("configuration: listen is missing or not a socket address"))?;
    if backends.is_empty() {
        return Err(invalid_input("configuration: known.endpoints has no endpoint with a valid address"));
    }
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let relay = Arc::new(Relay {
        backends,
        policy: Policy::from_name(&variable("RELAY_POLICY")),
        picks: AtomicUsize::new(0),
        delay: Duration::from_millis(variable("RELAY_DELAY_MS").parse().unwrap_or(0)),
        send_duplicates: !variable("RELAY_TWICE").is_empty(),
    });
    for stream in TcpListener::bind(listen)?.incoming().flatten() {
        let relay = relay.clone();
        std::thread::spawn(move || serve(&relay, stream)); // the thread ends with its connection
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillramp-relay: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
