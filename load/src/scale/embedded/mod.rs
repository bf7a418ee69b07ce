//! An embedded instance, called `hollow` on the command line and in the rows: the reducer, the policies and the
//! codecs of the gateway, without sockets, threads or a separate process. Its caller transfers the bytes and provides
//! the time.
mod interface;

pub use interface::{ConnectionCommand, Reading, ServiceAddresses, Step};

use super::clock::thread_cpu_time;
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use super::operator_file;
use quillramp::settings::{self, InstanceSettings};
use quillramp_gateway::process::operator;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::effect::Effect;
use quillramp_gateway::state::event::{Event, OperatorUpdate};
use quillramp_gateway::state::framing::{MessageReader, MessageSink};
use quillramp_gateway::state::reducer::{Reducer, ReducerConfig, ReducerOutput};
use quillramp_gateway::wire::endpoints::EndpointList;
use quillramp_gateway::wire::resp::ClientReply;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Number of client connections of one instance, the same as with the real program.
const CLIENT_CONNECTIONS: u64 = 64;
/// File descriptors in the instance's limits, enough for a connection to each backend.
pub const MAX_DESCRIPTORS: usize = 8_192;
/// Empty read buffers with a larger capacity are released, as in the gateway's connections.
const MAX_RETAINED_BUFFER_BYTES: usize = 16 * 1024;
/// Multiplier of the operating point's seed. The index of the instance is added, so that each instance has its own
/// seed.
const INSTANCE_SEED_FACTOR: u64 = 7919;

struct Stream {
    reader: MessageReader,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl Stream {
    fn new(connection: ConnectionId) -> Stream {
        Stream { reader: MessageReader::new(connection), input: vec![], output: vec![] }
    }
}

/// Collects decoded events. `body_chunk` does nothing, because no value of a scale run is long enough to be streamed.
struct EventCollector<'a>(&'a mut Vec<Event>);

impl MessageSink for EventCollector<'_> {
    fn event(&mut self, event: Event, _message_bytes: usize) {
        self.0.push(event);
    }
    fn body_chunk(&mut self, _bytes: &[u8], _is_last: bool) {}
}

/// Returns the update that the operator's file of an operating point declares; `None` if it has no such file.
fn operator_update(
    point: &OperatingPoint,
    instance: &InstanceSettings,
) -> Result<Option<OperatorUpdate>, ScaleError> {
    let Some(text) = operator_file::render(point) else { return Ok(None) };
    let platform = operator::platform(instance, MAX_DESCRIPTORS);
    let read = quillramp_operator::read(&text, Some(&platform));
    let read = read.map_err(|diagnostics| {
        ScaleError::OperatorFile(operator::diagnostic_lines("operator's file", &diagnostics).join("; "))
    })?;
    Ok(Some(operator::operator_update(read, &platform)))
}

/// A gateway instance without sockets.
pub struct EmbeddedInstance {
    reducer: Reducer,
    streams: HashMap<ConnectionId, Stream>,
    pending_events: Vec<Event>,
    /// Host header of its HTTP requests.
    http_host: SocketAddr,
    last_client: u64,
    reading: Reading,
}

impl EmbeddedInstance {
    /// Creates the instance with this index in the fleet, which starts now with an empty endpoint list. Here and in
    /// the other methods, `now` is Unix time in seconds. Fails if the settings or the operator's file are invalid.
    pub fn new(
        now: f64,
        point: &OperatingPoint,
        index: usize,
        services: ServiceAddresses,
    ) -> Result<EmbeddedInstance, ScaleError> {
        let seed = point.seed.wrapping_mul(INSTANCE_SEED_FACTOR).wrapping_add(index as u64);
        let loaded = settings::load(seed, point.settings(index).to_string().as_bytes())
            .map_err(|e| ScaleError::Settings(e.to_string()))?;
        let update = operator_update(point, &loaded.instance)?;
        let config = ReducerConfig {
            peers: vec![],
            peer_broadcast: None,
            counter: Some(services.counter),
            discovery: services.discovery,
            max_descriptors: MAX_DESCRIPTORS,
            max_customers: usize::MAX,
            max_waiting_value_bytes: usize::MAX,
            inherited_listener: false,
            admin_enabled: false,
            saves_changes: false,
        };
        let initial_list = EndpointList { index: 0, snapshot: true, endpoints: vec![] };
        let mut embedded = EmbeddedInstance {
            reducer: Reducer::new(now, loaded, config, &initial_list),
            streams: HashMap::new(),
            pending_events: vec![],
            http_host: services.discovery,
            last_client: 0,
            reading: Reading::default(),
        };
        for client in 0..CLIENT_CONNECTIONS {
            embedded.streams.insert(ConnectionId::Client(client), Stream::new(ConnectionId::Client(client)));
            embedded
                .pending_events
                .push(Event::ClientAccepted { client, address: IpAddr::V4(Ipv4Addr::LOCALHOST) });
        }
        if let Some(update) = update {
            embedded.reducer.apply_operator_update(now, update);
        }
        Ok(embedded)
    }

    /// Returns the outcomes and the processor time since the start.
    pub fn reading(&self) -> &Reading {
        &self.reading
    }

    /// Takes a request on the connection of the next client.
    pub fn request(&mut self, bytes: &[u8]) {
        self.last_client = (self.last_client + 1) % CLIENT_CONNECTIONS;
        self.reading.outcomes.sent += 1;
        self.received(ConnectionId::Client(self.last_client), bytes);
    }

    /// Takes the notification that a connection is established.
    pub fn connected(&mut self, connection: ConnectionId) {
        if self.streams.contains_key(&connection) {
            self.pending_events.push(Event::Connected(connection));
        }
    }

    /// Takes bytes that arrived on a connection, and decodes them into events.
    pub fn received(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let start = thread_cpu_time();
        let Some(stream) = self.streams.get_mut(&connection) else { return };
        stream.input.extend_from_slice(bytes);
        let decoded = stream.reader.decode(&stream.input, &mut EventCollector(&mut self.pending_events));
        match decoded {
            Ok(consumed) => drop(stream.input.drain(..consumed)),
            Err(reason) => self.connection_ended(connection, reason),
        }
        if let Some(stream) = self.streams.get_mut(&connection) {
            if stream.input.is_empty() && stream.input.capacity() > MAX_RETAINED_BUFFER_BYTES {
                stream.input = vec![];
            }
        }
        self.reading.cpu_time += thread_cpu_time().saturating_sub(start);
    }

    /// Takes the notification that a connection ended which the instance did not close.
    pub fn connection_ended(&mut self, connection: ConnectionId, reason: CloseReason) {
        if let Some(stream) = self.streams.remove(&connection) {
            let unsent = !stream.output.is_empty();
            self.pending_events.push(Event::ConnectionEnded { connection, reason, unsent });
        }
    }

    /// Processes the pending events and due timers.
    pub fn step(&mut self, now: f64) -> Step {
        let start = thread_cpu_time();
        let mut events = std::mem::take(&mut self.pending_events);
        self.reducer.handle_batch(now, &mut events);
        self.pending_events = events; // empty now; keeps its allocation
        let ReducerOutput { next_poll_at: next_at, effects } = self.reducer.poll(now);
        let mut commands = vec![];
        let mut written = vec![];
        for effect in effects {
            self.apply(effect, &mut commands, &mut written);
        }
        written.sort_unstable();
        written.dedup();
        for connection in written {
            if let Some(stream) = self.streams.get_mut(&connection) {
                commands.push(ConnectionCommand::Send(connection, std::mem::take(&mut stream.output)));
            }
        }
        self.reading.cpu_time += thread_cpu_time().saturating_sub(start);
        Step { next_at, commands }
    }

    fn apply(
        &mut self,
        effect: Effect,
        commands: &mut Vec<ConnectionCommand>,
        written: &mut Vec<ConnectionId>,
    ) {
        let mut write = |connection: ConnectionId, encode: &dyn Fn(&mut Vec<u8>)| {
            if let Some(stream) = self.streams.get_mut(&connection) {
                encode(&mut stream.output);
                written.push(connection);
            }
        };
        match effect {
            Effect::Reply { reply, .. } => self.count_reply(&reply),
            // The bytes are sent at the end of this step, so the attempt cannot be withdrawn later.
            Effect::SendAttempt { connection, request, timeout_ms, .. } => {
                write(ConnectionId::Backend(connection), &|output| request.encode(timeout_ms, output))
            }
            Effect::HttpRequest { connection, request } => {
                write(connection, &|output| request.encode(self.http_host, output))
            }
            Effect::Connect { connection, address } => {
                self.streams.insert(connection, Stream::new(connection));
                commands.push(ConnectionCommand::Connect(connection, address));
            }
            Effect::Close(connection) => {
                self.streams.remove(&connection);
                commands.push(ConnectionCommand::Close(connection));
            }
            // The other effects concern closing clients, logs, the operator and the process; an embedded instance
            // keeps its clients and has none of the others.
            _ => {}
        }
    }

    fn count_reply(&mut self, reply: &ClientReply) {
        // The reply is encoded and dropped, so that the processor time includes the encoding.
        let mut output = vec![];
        reply.encode(&mut output);
        let outcomes = &mut self.reading.outcomes;
        match reply {
            ClientReply::Value(_) | ClientReply::Streamed => outcomes.served += 1,
            ClientReply::Busy { .. } => outcomes.throttled += 1,
            _ => outcomes.errored += 1,
        }
    }
}
