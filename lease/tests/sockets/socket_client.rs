//! A lease client on a TCP socket.
use super::TIMEOUT;
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard_map::{ShardId, ShardMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Id of the only shard.
const SHARD: ShardId = 1;
/// Time of the client's clock at its start, in seconds. The clocks of client and shard need not agree.
const START: f64 = 1000.0;
/// Time in seconds from the submission of a request to its deadline.
const REQUEST_DEADLINE: f64 = 5.0;
/// Read timeout of the socket, after which the client's timers are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_BUFFER_SIZE: usize = 4096;

/// Drives a [`LeaseClient`] over one socket.
pub struct SocketClient {
    client: LeaseClient,
    stream: Option<TcpStream>,
    started: Instant,
}

impl SocketClient {
    pub fn new(map: &str) -> SocketClient {
        let map = ShardMap::parse(map).expect("a valid map");
        let client = LeaseClient::new(ClientSettings::new(5, 1, "north"), map).expect("a valid map");
        SocketClient { client, stream: None, started: Instant::now() }
    }

    fn now(&self) -> f64 {
        START + self.started.elapsed().as_secs_f64()
    }

    /// Requests units of tenant 9 and waits for the outcome.
    pub fn request(&mut self, units: f64) -> LeaseOutcome {
        let deadline = self.now() + REQUEST_DEADLINE;
        let request = LeaseRequest { tenant: 9, plan: 0, requested_units: units, spent_units: 0.0, deadline };
        let request_id = self.client.submit(self.now(), request);
        let give_up_at = Instant::now() + TIMEOUT;
        while Instant::now() < give_up_at {
            if let Some(outcome) = self.step(request_id) {
                return outcome;
            }
        }
        panic!("no outcome within {TIMEOUT:?}");
    }

    /// Performs the client's outputs, then reads from the socket for up to [`POLL_INTERVAL`]. Returns the
    /// outcome of the request once it is completed.
    fn step(&mut self, request_id: RequestId) -> Option<LeaseOutcome> {
        let mut outcome = None;
        for output in self.client.poll_outputs() {
            match output {
                ClientOutput::Connect { shard, address } => self.connect(shard, address),
                ClientOutput::Send { shard, bytes } => self.send(shard, &bytes),
                ClientOutput::Close { .. } => self.stream = None,
                ClientOutput::Completed { request_id: completed, outcome: result } => {
                    if completed == request_id {
                        outcome = Some(result);
                    }
                }
            }
        }
        if outcome.is_none() {
            self.read();
            self.client.handle_timeout(self.now());
        }
        outcome
    }

    fn connect(&mut self, shard: ShardId, address: SocketAddr) {
        match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            Ok(stream) => {
                stream.set_read_timeout(Some(POLL_INTERVAL)).expect("an open socket");
                self.stream = Some(stream);
                self.client.handle_connected(self.now(), shard);
            }
            Err(_) => self.client.handle_disconnected(self.now(), shard),
        }
    }

    fn send(&mut self, shard: ShardId, bytes: &[u8]) {
        let sent = self.stream.as_mut().is_some_and(|stream| stream.write_all(bytes).is_ok());
        if !sent {
            self.handle_lost_connection(shard);
        }
    }

    fn handle_lost_connection(&mut self, shard: ShardId) {
        self.stream = None;
        self.client.handle_disconnected(self.now(), shard);
    }

    fn read(&mut self) {
        let mut buffer = [0; READ_BUFFER_SIZE];
        let Some(stream) = &mut self.stream else {
            std::thread::sleep(POLL_INTERVAL);
            return;
        };
        match stream.read(&mut buffer) {
            Ok(0) => self.handle_lost_connection(SHARD),
            Ok(length) => self.client.receive(self.now(), SHARD, &buffer[..length]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => self.handle_lost_connection(SHARD),
        }
    }
}
