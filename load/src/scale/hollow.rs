//! A hollow front door: the reducer, the decisions and the codecs of a real one, without sockets, threads or a process
//! of its own. Whoever runs it moves the bytes and tells it the time.
use super::cpu;
use super::operator_file;
use super::point::Point;
use super::traffic::Answered;
use quillramp::settings::{self, InstanceSettings};
use quillramp_gateway::process::operator;
use quillramp_gateway::state::event::{CloseReason, ConnectionId, Effect, Event, OperatorUpdate};
use quillramp_gateway::state::framing::{MessageReader, MessageSink};
use quillramp_gateway::state::reducer::{Reducer, ReducerConfig};
use quillramp_gateway::wire::endpoints::EndpointList;
use quillramp_gateway::wire::resp::ClientReply;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Client connections of one front door, as many as a real one has in these runs.
const CLIENTS: u64 = 64;
/// Descriptors it believes to have: enough for a connection to each backend.
pub const DESCRIPTORS: usize = 8_192;
/// Read buffers larger than this are not kept, as in a real one's connections.
const KEPT_BUFFER: usize = 16 * 1024;

/// What a hollow front door wants done with its connections.
#[derive(Debug, PartialEq)]
pub enum Action {
    Dial(ConnectionId, SocketAddr),
    Send(ConnectionId, Vec<u8>),
    Close(ConnectionId),
}

/// Where the other parties are.
#[derive(Clone, Copy, Debug)]
pub struct Parts {
    pub counter: SocketAddr,
    pub list: SocketAddr,
}

struct Stream {
    intake: MessageReader,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl Stream {
    fn new(conn: ConnectionId) -> Stream {
        Stream { intake: MessageReader::new(conn), input: vec![], output: vec![] }
    }
}

/// Collects the events that a codec finds; no value here is long enough to pass through in pieces.
struct Collect<'a>(&'a mut Vec<Event>);

impl MessageSink for Collect<'_> {
    fn event(&mut self, event: Event, _long: usize) {
        self.0.push(event);
    }
    fn body_chunk(&mut self, _bytes: &[u8], _end: bool) {}
}

/// What the operator's file of a point declares; none where there is no such file.
fn declares(point: &Point, about: &InstanceSettings) -> Result<Option<OperatorUpdate>, String> {
    let Some(text) = operator_file::text(point) else { return Ok(None) };
    let platform = operator::platform(about, DESCRIPTORS);
    let read = quillramp_operator::read(&text, Some(&platform));
    let read = read.map_err(|wrong| operator::faults("operator's file", &wrong).join("; "))?;
    Ok(Some(operator::operator_update(read, &platform)))
}

/// One front door without its sockets.
pub struct HollowFrontDoor {
    reducer: Reducer,
    streams: HashMap<ConnectionId, Stream>,
    inbox: Vec<Event>,
    own: SocketAddr,
    next_client: u64,
    /// What became of the requests.
    pub answered: Answered,
    /// Processor time of the reducer, the decisions and the codecs.
    pub processor: Duration,
    /// What it would have logged.
    pub log_lines: u64,
}

impl HollowFrontDoor {
    /// One that has just started with an empty list. `now` is Unix time in seconds, here and below.
    pub fn new(now: f64, point: &Point, slot: usize, parts: Parts) -> Result<HollowFrontDoor, String> {
        let seed = point.seed.wrapping_mul(7919).wrapping_add(slot as u64);
        let start = settings::load(seed, point.settings(slot).to_string().as_bytes())?;
        let declares = declares(point, &start.instance)?;
        let parties = ReducerConfig {
            peers: vec![],
            peer_broadcast: None,
            counter: Some(parts.counter),
            discovery: parts.list,
            max_descriptors: DESCRIPTORS,
            inherited_listener: false,
            admin_enabled: false,
            saves_changes: false,
        };
        let known = EndpointList { index: 0, snapshot: true, endpoints: vec![] };
        let mut new = HollowFrontDoor {
            reducer: Reducer::new(now, start, parties, &known),
            streams: HashMap::new(),
            inbox: vec![],
            own: parts.list,
            next_client: 0,
            answered: Answered::default(),
            processor: Duration::ZERO,
            log_lines: 0,
        };
        for client in 0..CLIENTS {
            new.streams.insert(ConnectionId::Client(client), Stream::new(ConnectionId::Client(client)));
            new.inbox.push(Event::ClientAccepted(client, IpAddr::V4(Ipv4Addr::LOCALHOST)));
        }
        if let Some(declares) = declares {
            new.reducer.apply_operator_update(now, declares);
        }
        Ok(new)
    }

    /// A request comes on the next client's connection.
    pub fn request(&mut self, bytes: &[u8]) {
        self.next_client = (self.next_client + 1) % CLIENTS;
        self.answered.sent += 1;
        self.received(ConnectionId::Client(self.next_client), bytes);
    }

    /// A connection that it dialled is up.
    pub fn connected(&mut self, conn: ConnectionId) {
        if self.streams.contains_key(&conn) {
            self.inbox.push(Event::Connected(conn));
        }
    }

    /// Bytes came on a connection.
    pub fn received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let from = cpu::thread();
        let Some(stream) = self.streams.get_mut(&conn) else { return };
        stream.input.extend_from_slice(bytes);
        let decoded = stream.intake.decode(&stream.input, &mut Collect(&mut self.inbox));
        match decoded {
            Ok(used) => drop(stream.input.drain(..used)),
            Err(why) => self.ended(conn, why),
        }
        if let Some(stream) = self.streams.get_mut(&conn) {
            if stream.input.is_empty() && stream.input.capacity() > KEPT_BUFFER {
                stream.input = vec![];
            }
        }
        self.processor += cpu::thread().saturating_sub(from);
    }

    /// A connection ended that it did not close itself.
    pub fn ended(&mut self, conn: ConnectionId, why: CloseReason) {
        if let Some(stream) = self.streams.remove(&conn) {
            self.inbox.push(Event::ConnectionEnded {
                connection: conn,
                reason: why,
                unsent: !stream.output.is_empty(),
            });
        }
    }

    /// Takes in what has come: when it is to be stepped next at the latest, and what is to be done now.
    pub fn step(&mut self, now: f64) -> (Option<f64>, Vec<Action>) {
        let from = cpu::thread();
        let mut events = std::mem::take(&mut self.inbox);
        self.reducer.handle_batch(now, &mut events);
        self.inbox = events; // empty by now, its room is used again
        let (next, effects) = self.reducer.poll(now);
        let mut actions = vec![];
        let mut written = vec![];
        for effect in effects {
            self.carry_out(effect, &mut actions, &mut written);
        }
        written.sort_unstable();
        written.dedup();
        for conn in written {
            if let Some(stream) = self.streams.get_mut(&conn) {
                actions.push(Action::Send(conn, std::mem::take(&mut stream.output)));
            }
        }
        self.processor += cpu::thread().saturating_sub(from);
        (next, actions)
    }

    fn carry_out(&mut self, effect: Effect, actions: &mut Vec<Action>, written: &mut Vec<ConnectionId>) {
        let mut write = |conn: ConnectionId, encode: &dyn Fn(&mut Vec<u8>)| {
            if let Some(stream) = self.streams.get_mut(&conn) {
                encode(&mut stream.output);
                written.push(conn);
            }
        };
        match effect {
            Effect::Reply(_, answer) => self.count(&answer),
            // What has been written leaves with the batch, so nothing can be withdrawn later.
            Effect::SendAttempt { connection, call, timeout_ms: wait_ms, .. } => {
                write(ConnectionId::Backend(connection), &|out| call.encode(wait_ms, out))
            }
            Effect::HttpRequest(conn, request) => write(conn, &|out| request.encode(self.own, out)),
            Effect::Connect(conn, to) => {
                self.streams.insert(conn, Stream::new(conn));
                actions.push(Action::Dial(conn, to));
            }
            Effect::Close(conn) => {
                self.streams.remove(&conn);
                actions.push(Action::Close(conn));
            }
            Effect::Log(_) | Effect::LogClosed(_) => self.log_lines += 1,
            // Its clients stay, ask nothing of an operator and stop nothing; nothing else of a process is there.
            _ => {}
        }
    }

    fn count(&mut self, answer: &ClientReply) {
        // Written and dropped: a real one encodes it too.
        let mut out = vec![];
        answer.encode(&mut out);
        match answer {
            ClientReply::Value(_) | ClientReply::Streamed => self.answered.served += 1,
            ClientReply::Busy { .. } => self.answered.throttled += 1,
            _ => self.answered.errored += 1,
        }
    }
}
