//! The event loop of the stand-in servers.
use super::connection::Connection;
use super::Changes;
use crate::scale::clock::unix_now;
use crate::scale::counter_totals::CounterTotals;
use crate::scale::endpoint_rotation::EndpointRotation;
use crate::scale::operating_point::BACKEND_RESPONSE_SECONDS;
use crate::scale::server_protocol;
use crate::scale::server_traffic::{Role, ServerTraffic};
use crate::sync::lock;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use quillramp_gateway::wire::ProtocolError;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{Error, Result};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time of one wait for socket events, after which the loop checks for a stop and for requested changes.
const MAX_POLL_WAIT: Duration = Duration::from_millis(50);
/// Interval at which expired totals of the counter are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Size of the read buffer in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of socket events per poll.
const EVENT_CAPACITY: usize = 1024;

/// A listening socket of a server.
pub(super) struct Listener {
    /// Role of the server.
    pub role: Role,
    /// Listening socket.
    pub socket: TcpListener,
}

/// Resources and parameters of the event loop.
pub(super) struct Setup {
    /// Poll that the listeners are registered with.
    pub poll: Poll,
    /// Listeners, registered with their indices as tokens.
    pub listeners: Vec<Listener>,
    /// Totals of the counter.
    pub totals: CounterTotals,
    /// Endpoint list of the list service.
    pub endpoints: EndpointRotation,
    /// Traffic counters of the servers.
    pub traffic: Arc<ServerTraffic>,
    /// Changes of the endpoint list that other threads request.
    pub changes: Arc<Changes>,
    /// Interval between changes that the loop makes by itself; `None` if it makes none.
    pub change_interval: Option<Duration>,
}

/// A watch of the endpoint list that waits for a change.
struct PendingWatch {
    token: Token,
    /// Version of the list that the caller has applied.
    since: u64,
    /// Timeout of the watch.
    until: Instant,
}

/// A backend's reply and the time at which it is sent; ordered by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedReply {
    at: Instant,
    token: Token,
    bytes: Vec<u8>,
}

/// The event loop with its connections.
pub(super) struct EventLoop {
    setup: Setup,
    connections: HashMap<Token, Connection>,
    next_token: usize,
    watches: Vec<PendingWatch>,
    delayed_replies: BinaryHeap<Reverse<DelayedReply>>,
    read_buffer: Vec<u8>,
}

impl EventLoop {
    /// Creates an event loop without connections.
    pub fn new(setup: Setup) -> EventLoop {
        EventLoop {
            next_token: setup.listeners.len(),
            setup,
            connections: HashMap::new(),
            watches: vec![],
            delayed_replies: BinaryHeap::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        }
    }

    /// Serves until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut expire_at = Instant::now() + EXPIRY_INTERVAL;
        let mut last_change = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let timeout = self.poll_timeout();
            if self.setup.poll.poll(&mut events, Some(timeout)).is_err() {
                continue; // interrupted by a signal
            }
            for event in &events {
                self.handle_ready(event.token());
            }
            let now = Instant::now();
            if let Some(interval) =
                self.setup.change_interval.filter(|interval| now >= last_change + *interval)
            {
                last_change += interval;
                self.setup.changes.requested_count.fetch_add(1, Ordering::Relaxed);
            }
            self.write_changes();
            self.answer_watches(now);
            self.answer_commands(now);
            if now >= expire_at {
                expire_at = now + EXPIRY_INTERVAL;
                self.setup.totals.expire(unix_now());
            }
        }
    }

    /// Returns the time until the next delayed reply, at most `MAX_POLL_WAIT`.
    fn poll_timeout(&self) -> Duration {
        let next = self.delayed_replies.peek();
        let wait = next.map_or(MAX_POLL_WAIT, |reply| reply.0.at.saturating_duration_since(Instant::now()));
        wait.min(MAX_POLL_WAIT)
    }

    fn handle_ready(&mut self, token: Token) {
        if token.0 < self.setup.listeners.len() {
            return self.accept(token.0);
        }
        if self.read(token).is_err() || self.flush(token).is_err() {
            self.close(token);
        }
    }

    fn accept(&mut self, listener: usize) {
        while let Ok((mut stream, _)) = self.setup.listeners[listener].socket.accept() {
            let role = self.setup.listeners[listener].role;
            let token = Token(self.next_token);
            let interest = Interest::READABLE | Interest::WRITABLE;
            let _ = stream.set_nodelay(true); // each response is one write, so Nagle's algorithm would only delay it
            if self.setup.poll.registry().register(&mut stream, token, interest).is_err() {
                continue; // out of descriptors or memory: the connection is closed
            }
            self.next_token += 1;
            self.setup.traffic.of(role).count_connection();
            self.connections.insert(token, Connection::new(role, stream));
        }
    }

    fn close(&mut self, token: Token) {
        if let Some(mut connection) = self.connections.remove(&token) {
            // An error does not matter, because the connection is closed in any case.
            let _ = self.setup.poll.registry().deregister(&mut connection.stream);
        }
        self.watches.retain(|watch| watch.token != token);
    }

    /// Reads all available bytes and serves the complete requests in them; fails if the connection has ended.
    fn read(&mut self, token: Token) -> Result<()> {
        let Some(connection) = self.connections.get_mut(&token) else { return Ok(()) };
        connection.read(&mut self.read_buffer, &self.setup.traffic)?;
        let role = connection.role;
        let input = std::mem::take(&mut connection.input);
        let mut consumed = 0;
        while let Some(length) = self.serve(token, role, &input[consumed..])? {
            self.setup.traffic.of(role).count_call();
            consumed += length;
        }
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.input = input[consumed..].to_vec();
        }
        Ok(())
    }

    /// Serves the first request in `bytes` and returns its length; `None` if the request is incomplete.
    fn serve(&mut self, token: Token, role: Role, bytes: &[u8]) -> Result<Option<usize>> {
        if bytes.is_empty() {
            return Ok(None);
        }
        let consumed = match role {
            Role::Backend => {
                let reply = server_protocol::answer_command(bytes).map_err(invalid)?;
                reply.map(|reply| {
                    let at = Instant::now() + Duration::from_secs_f64(BACKEND_RESPONSE_SECONDS);
                    self.delayed_replies.push(Reverse(DelayedReply { at, token, bytes: reply.value }));
                    reply.length
                })
            }
            Role::Discovery => {
                let watch = server_protocol::decode_watch(bytes).map_err(invalid)?;
                watch.map(|watch| {
                    let until = Instant::now() + watch.value.wait;
                    self.watches.push(PendingWatch { token, since: watch.value.since, until });
                    watch.length
                })
            }
            Role::Counter => {
                let totals = &mut self.setup.totals;
                let answer =
                    server_protocol::answer_counter_call(unix_now(), totals, bytes).map_err(invalid)?;
                answer.map(|answer| {
                    self.respond(token, &answer.value);
                    answer.length
                })
            }
        };
        Ok(consumed)
    }

    /// Writes the changes that have been requested but not yet written.
    fn write_changes(&mut self) {
        let mut write_times = lock(&self.setup.changes.write_times);
        while write_times.len() < self.setup.changes.requested_count.load(Ordering::Relaxed) {
            self.setup.endpoints.advance();
            write_times.push(unix_now());
        }
    }

    /// Answers the watches for which the list has changed or whose timeout has expired.
    fn answer_watches(&mut self, now: Instant) {
        let version = self.setup.endpoints.version();
        let is_due = |watch: &PendingWatch| watch.since < version || now >= watch.until;
        let watches = std::mem::take(&mut self.watches);
        let (due, pending): (Vec<_>, Vec<_>) = watches.into_iter().partition(is_due);
        self.watches = pending;
        for watch in due {
            let answer = server_protocol::encode_endpoints(&self.setup.endpoints, watch.since);
            self.respond(watch.token, &answer);
            self.flush_or_close(watch.token);
        }
    }

    /// Sends the backends' replies that are due.
    fn answer_commands(&mut self, now: Instant) {
        while self.delayed_replies.peek().is_some_and(|reply| reply.0.at <= now) {
            let Some(Reverse(reply)) = self.delayed_replies.pop() else { return };
            self.respond(reply.token, &reply.bytes);
            self.flush_or_close(reply.token);
        }
    }

    fn respond(&mut self, token: Token, answer: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.respond(answer);
        }
    }

    fn flush(&mut self, token: Token) -> Result<()> {
        let Some(connection) = self.connections.get_mut(&token) else { return Ok(()) };
        connection.flush(&self.setup.traffic)
    }

    fn flush_or_close(&mut self, token: Token) {
        if self.flush(token).is_err() {
            self.close(token);
        }
    }
}

fn invalid(error: ProtocolError) -> Error {
    Error::other(error.0)
}
