//! The event loop that serves the stand-ins.
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

/// The longest that the loop sleeps before it looks whether it is to end.
const MAX_POLL_WAIT: Duration = Duration::from_millis(50);
/// How often counts whose time is over are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Buffer of one read, bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Socket events that are taken at once.
const EVENT_CAPACITY: usize = 1024;

/// A listening socket of a server.
pub(super) struct Listener {
    /// The server.
    pub role: Role,
    /// Its socket.
    pub socket: TcpListener,
}

/// What the event loop starts with.
pub(super) struct Setup {
    /// The poll that the listeners are registered with.
    pub poll: Poll,
    /// Registered with their indices as tokens.
    pub listeners: Vec<Listener>,
    /// The counter's counts.
    pub totals: CounterTotals,
    /// The endpoint list.
    pub endpoints: EndpointRotation,
    /// What crosses the connections.
    pub traffic: Arc<ServerTraffic>,
    /// Changes of the list that others request.
    pub changes: Arc<Changes>,
    /// Between changes of the list that the loop makes by itself; none where it makes none.
    pub change_interval: Option<Duration>,
}

/// A watch of the list that waits for a change.
struct PendingWatch {
    token: Token,
    /// The version that the caller knows.
    since: u64,
    until: Instant,
}

/// An answer of a backend, and when it is given; ordered by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedReply {
    at: Instant,
    token: Token,
    bytes: Vec<u8>,
}

pub(super) struct EventLoop {
    setup: Setup,
    connections: HashMap<Token, Connection>,
    next_token: usize,
    watches: Vec<PendingWatch>,
    delayed_replies: BinaryHeap<Reverse<DelayedReply>>,
    read_buffer: Vec<u8>,
}

impl EventLoop {
    /// A loop without connections.
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

    /// Serves until it is stopped.
    pub fn run(mut self, stop: &AtomicBool) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut expire_at = Instant::now() + EXPIRY_INTERVAL;
        let mut last_change = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let timeout = self.poll_timeout();
            if self.setup.poll.poll(&mut events, Some(timeout)).is_err() {
                continue; // a signal
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

    /// How long nothing is due.
    fn poll_timeout(&self) -> Duration {
        let next = self.delayed_replies.peek();
        let wait = next.map_or(MAX_POLL_WAIT, |next| next.0.at.saturating_duration_since(Instant::now()));
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
            let _ = stream.set_nodelay(true); // answers come in one write; a delay would only be seen as slowness
            if self.setup.poll.registry().register(&mut stream, token, interest).is_err() {
                continue; // no descriptor is left: the connection ends
            }
            self.next_token += 1;
            self.setup.traffic.of(role).count_connection();
            self.connections.insert(token, Connection::new(role, stream));
        }
    }

    fn close(&mut self, token: Token) {
        if let Some(mut connection) = self.connections.remove(&token) {
            let _ = self.setup.poll.registry().deregister(&mut connection.stream);
            // it ends now in any case
        }
        self.watches.retain(|watch| watch.token != token);
    }

    /// Reads all available bytes and serves it; an error where the connection is over.
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

    /// Serves the first request of these bytes: how many it took, none where it is not complete.
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

    /// Writes the changes that were requested since it last looked.
    fn write_changes(&mut self) {
        let mut write_times = lock(&self.setup.changes.write_times);
        while write_times.len() < self.setup.changes.requested_count.load(Ordering::Relaxed) {
            self.setup.endpoints.advance();
            write_times.push(unix_now());
        }
    }

    /// Answers watches for which there is a change, or whose time is over.
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

    /// Gives the answers of backends that are due.
    fn answer_commands(&mut self, now: Instant) {
        while self.delayed_replies.peek().is_some_and(|next| next.0.at <= now) {
            let Some(Reverse(answer)) = self.delayed_replies.pop() else { return };
            self.respond(answer.token, &answer.bytes);
            self.flush_or_close(answer.token);
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
