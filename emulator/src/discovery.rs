//! Model of the list service: a log of changes to the endpoint list, and an agent at each gateway instance, which receives the changes
//! after a delay and serves them to the instance's processes.
use crate::context::Context;
use crate::http_request::{parse_request, query_number};
use crate::network::{LinkId, Side};
use crate::scheduled_event::ScheduledEvent;
use quillramp_gateway::wire::endpoints::{self, EndpointList};
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seconds until a change of the endpoint list reaches an agent.
const PROPAGATION_DELAY: std::ops::Range<f64> = 0.005..0.3;
/// Body of a malformed response.
const MALFORMED_BODY: &str = "{\"index\":";

/// An entry of the endpoint list: a backend's name, address and status.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Name of the endpoint.
    pub name: String,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Name of the endpoint's zone.
    pub zone: String,
    /// Index of the endpoint's cell.
    pub cell: usize,
    /// Status of the endpoint, as on the wire.
    pub status: &'static str,
    /// Start time of the backend's process, in seconds.
    pub started_at: f64,
}

impl EndpointEntry {
    /// Encodes the entry as JSON.
    fn json(&self) -> Value {
        json!({"name": self.name, "address": self.address, "zone": self.zone, "type": "m", "group": self.cell,
               "status": self.status, "weight": 1.0, "since_ms": (self.started_at * 1e3).round()})
    }
}

/// The agent of a gateway instance.
#[derive(Clone, Default)]
struct Agent {
    /// Number of log entries that have reached the agent.
    version: usize,
    /// Arrival time of the last published change. Changes arrive in order.
    last_update_at: f64,
    /// Whether the agent's next response has to be a snapshot.
    snapshot_due: bool,
}

/// A connection from a gateway process to the agent of its instance.
struct Connection {
    instance: usize,
    /// Bytes received and not parsed yet.
    received: Vec<u8>,
    /// Version of the pending watch, which waits for a newer version.
    watched_version: Option<usize>,
    /// Number of the latest watch on the connection.
    watch: u64,
}

/// The list service of a run.
pub struct Discovery {
    /// All changes so far. The number of entries is the version.
    log: Vec<EndpointEntry>,
    /// Agents, by gateway instance.
    agents: Vec<Agent>,
    connections: BTreeMap<LinkId, Connection>,
    /// Number of watches so far.
    watches: u64,
    /// Additional delay of changes, in seconds.
    pub extra_delay: f64,
    /// Whether the service does not respond.
    pub down: bool,
    /// Whether responses are malformed.
    pub malformed_responses: bool,
    /// Version of the log whose entries snapshots contain, although they carry the current version number.
    pub stale_version: Option<usize>,
    /// Names of endpoints that responses omit.
    pub hidden_backends: Vec<String>,
}

impl Discovery {
    /// Creates a service with these entries, which have reached all agents.
    pub fn new(entries: Vec<EndpointEntry>, instances: usize) -> Discovery {
        let agent = Agent { version: entries.len(), ..Agent::default() };
        Discovery {
            log: entries,
            agents: vec![agent; instances],
            connections: BTreeMap::new(),
            watches: 0,
            extra_delay: 0.0,
            down: false,
            malformed_responses: false,
            stale_version: None,
            hidden_backends: vec![],
        }
    }

    /// Appends a change to the log, and schedules its arrival at each agent.
    pub fn publish(&mut self, ctx: &mut Context, entry: EndpointEntry) {
        ctx.trace.record_line(ctx.now, &format!("endpoint list: {} {}", entry.name, entry.status));
        self.log.push(entry);
        for (instance, agent) in self.agents.iter_mut().enumerate() {
            let at = ctx.now + ctx.rng.gen_range(PROPAGATION_DELAY) + self.extra_delay;
            agent.last_update_at = agent.last_update_at.max(at);
            ctx.events.schedule(agent.last_update_at, ScheduledEvent::EndpointUpdate(instance));
        }
    }

    /// Makes the next response of each agent a snapshot, and answers pending watches with it.
    pub fn force_snapshots(&mut self, ctx: &mut Context) {
        for instance in 0..self.agents.len() {
            self.agents[instance].snapshot_due = true;
            self.answer_watches(ctx, instance);
        }
    }

    /// Returns the newest version, which is the number of changes so far.
    pub fn latest_version(&self) -> usize {
        self.log.len()
    }

    /// Handles the arrival of a change at the agent of an instance.
    pub fn agent_updated(&mut self, ctx: &mut Context, instance: usize) {
        let agent = &mut self.agents[instance];
        agent.version = (agent.version + 1).min(self.log.len());
        self.answer_watches(ctx, instance);
    }

    /// Answers the watches at an instance's agent if a newer version or a snapshot is available.
    fn answer_watches(&mut self, ctx: &mut Context, instance: usize) {
        while let Some((link, watched)) = self.answerable_watch(instance) {
            self.respond(ctx, link, Some(watched));
        }
    }

    /// Returns the link and version of a watch that can be answered now.
    fn answerable_watch(&self, instance: usize) -> Option<(LinkId, usize)> {
        let agent = &self.agents[instance];
        let of_instance = self.connections.iter().filter(|(_, connection)| connection.instance == instance);
        let mut watches =
            of_instance.filter_map(|(link, connection)| Some((*link, connection.watched_version?)));
        watches.find(|(_, watched)| agent.version > *watched || agent.snapshot_due)
    }

    /// Returns the endpoint list as of the version that has reached an instance's agent.
    pub fn snapshot_of(&self, instance: usize) -> EndpointList {
        let version = self.agents[instance].version;
        let text = self.snapshot(version, version).to_string();
        endpoints::decode(text.as_bytes()).expect("the generated endpoint list can be decoded")
    }

    /// Returns the endpoint list as of a version in JSON, labeled with another version.
    fn snapshot(&self, version: usize, presented_version: usize) -> Value {
        let mut newest: BTreeMap<&str, &EndpointEntry> = BTreeMap::new();
        for entry in &self.log[..version] {
            newest.insert(&entry.name, entry);
        }
        let listed = newest.values().filter(|entry| entry.status != "DELETED" && !self.hides(entry));
        let endpoints: Vec<Value> = listed.map(|entry| entry.json()).collect();
        json!({"index": presented_version, "snapshot": true, "endpoints": endpoints})
    }

    /// Returns whether responses omit an entry.
    fn hides(&self, entry: &EndpointEntry) -> bool {
        self.hidden_backends.contains(&entry.name)
    }

    /// Accepts a connection from a process of a gateway instance, or does not respond while the service is down.
    pub fn connect_requested(&mut self, ctx: &mut Context, id: LinkId, instance: usize) {
        if self.down {
            return;
        }
        let Some(link) = ctx.links.get_mut(&id).filter(|link| link.gateway_open) else { return };
        link.remote_open = true;
        let connection = Connection { instance, received: vec![], watched_version: None, watch: 0 };
        self.connections.insert(id, connection);
        let delay = ctx.draw_delay();
        ctx.schedule_in(delay, ScheduledEvent::ConnectCompleted { link: id, accepted: true });
    }

    /// Handles bytes received from a gateway process. A complete request is answered, or registered as a watch.
    pub fn bytes_received(&mut self, ctx: &mut Context, link: LinkId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.received.extend_from_slice(bytes);
        let Some((target, length)) = parse_request(&connection.received) else { return };
        connection.received.drain(..length);
        if self.down {
            return;
        }
        let since = query_number(&target, "since").map(|version| version as usize);
        let timeout = query_number(&target, "timeout_ms").unwrap_or(0.0) / 1e3;
        let agent = &self.agents[connection.instance];
        match since {
            Some(version) if agent.version <= version && !agent.snapshot_due => {
                self.watches += 1;
                connection.watched_version = Some(version);
                connection.watch = self.watches;
                ctx.schedule_in(timeout, ScheduledEvent::WatchTimedOut { link, watch: self.watches });
            }
            since => self.respond(ctx, link, since),
        }
    }

    /// Answers a watch that has timed out, unless it was answered before.
    pub fn watch_timed_out(&mut self, ctx: &mut Context, link: LinkId, watch: u64) {
        let connection = self.connections.get(&link).filter(|connection| connection.watch == watch);
        if let Some(version) = connection.and_then(|connection| connection.watched_version) {
            self.respond(ctx, link, Some(version));
        }
    }

    /// Responds with the changes since a version, or with a snapshot if `since` is `None` or the agent has to send one.
    fn respond(&mut self, ctx: &mut Context, link: LinkId, since: Option<usize>) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.watched_version = None;
        if self.down {
            return;
        }
        let agent = &mut self.agents[connection.instance];
        let snapshot_due = std::mem::take(&mut agent.snapshot_due);
        let version = agent.version;
        let body = match since {
            Some(since) if !snapshot_due => self.changes(since.min(version), version),
            _ => self.snapshot(self.stale_version.unwrap_or(version).min(version), version),
        };
        let body = if self.malformed_responses { MALFORMED_BODY.to_owned() } else { body.to_string() };
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        ctx.send(link, Side::Gateway, response.as_bytes());
    }

    /// Returns the changes between two versions in JSON.
    fn changes(&self, since: usize, version: usize) -> Value {
        let visible = self.log[since..version].iter().filter(|entry| !self.hides(entry));
        let endpoints: Vec<Value> = visible.map(EndpointEntry::json).collect();
        json!({"index": version, "snapshot": false, "endpoints": endpoints})
    }

    /// Handles the close of a connection by the gateway process.
    pub fn link_closed(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.confirm_close(link);
    }

    /// Closes the connections of an instance, whose configuration names another address of the service now.
    pub fn disconnect_instance(&mut self, ctx: &mut Context, instance: usize) {
        let of_instance = self.connections.iter().filter(|(_, connection)| connection.instance == instance);
        for link in of_instance.map(|(link, _)| *link).collect::<Vec<_>>() {
            self.connections.remove(&link);
            ctx.close(link, Side::Remote);
        }
    }
}
