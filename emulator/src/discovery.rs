//! The discovery service: a log of changes to the endpoint list, and at each gateway instance an agent that knows it up to some version.
use crate::context::Context;
use crate::http_request::{parse_request, query_number};
use crate::network::{LinkId, Side};
use crate::scheduled_event::ScheduledEvent;
use quillramp_gateway::wire::endpoints::{self, EndpointList};
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seconds until a change has reached an agent.
const PROPAGATION_DELAY: std::ops::Range<f64> = 0.005..0.3;
/// A body that can't be parsed.
const MALFORMED_BODY: &str = "{\"index\":";

/// An entry of the endpoint list: a backend under one name.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its cell.
    pub cell: usize,
    /// Its status, as on the wire.
    pub status: &'static str,
    /// When its process was started, in seconds.
    pub started: f64,
}

impl EndpointEntry {
    fn json(&self) -> Value {
        json!({"name": self.name, "address": self.address, "zone": self.zone, "type": "m", "group": self.cell,
               "status": self.status, "weight": 1.0, "since_ms": (self.started * 1e3).round()})
    }
}

#[derive(Clone, Default)]
struct Agent {
    /// How much of the log it knows.
    version: usize,
    /// When the last change on its way arrives: changes arrive in order.
    last_update: f64,
    /// Its next response is a snapshot.
    snapshot_due: bool,
}

struct Connection {
    instance: usize,
    received: Vec<u8>,
    /// The version after which a watch waits for changes.
    watched_version: Option<usize>,
    /// The watch's number.
    watch: u64,
}

/// The discovery service of a run.
pub struct Discovery {
    log: Vec<EndpointEntry>,
    /// By gateway instance.
    agents: Vec<Agent>,
    connections: BTreeMap<LinkId, Connection>,
    watches: u64,
    /// Seconds by which changes are late.
    pub extra_delay: f64,
    /// It does not respond.
    pub down: bool,
    /// Its responses can't be parsed.
    pub malformed_responses: bool,
    /// It presents this version as if it were the newest.
    pub stale_version: Option<usize>,
    /// The endpoint names that it leaves out.
    pub hidden_backends: Vec<String>,
}

impl Discovery {
    /// A service whose agents all know these entries.
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

    /// Adds a change; it reaches each agent after a while.
    pub fn publish(&mut self, ctx: &mut Context, entry: EndpointEntry) {
        ctx.trace.record_line(ctx.now, &format!("endpoint list: {} {}", entry.name, entry.status));
        self.log.push(entry);
        for (instance, agent) in self.agents.iter_mut().enumerate() {
            let at = ctx.now + ctx.rng.gen_range(PROPAGATION_DELAY) + self.extra_delay;
            agent.last_update = agent.last_update.max(at);
            ctx.events.schedule(agent.last_update, ScheduledEvent::EndpointUpdate(instance));
        }
    }

    /// The next response of every agent is a snapshot, with what is hidden or stale now.
    pub fn force_snapshots(&mut self, ctx: &mut Context) {
        for instance in 0..self.agents.len() {
            self.agents[instance].snapshot_due = true;
            self.answer_watches(ctx, instance);
        }
    }

    /// The number of changes so far.
    pub fn latest_version(&self) -> usize {
        self.log.len()
    }

    /// A change has reached the agent of an instance.
    pub fn agent_updated(&mut self, ctx: &mut Context, instance: usize) {
        let agent = &mut self.agents[instance];
        agent.version = (agent.version + 1).min(self.log.len());
        self.answer_watches(ctx, instance);
    }

    /// Answers the watches at an instance that there is something to notify of.
    fn answer_watches(&mut self, ctx: &mut Context, instance: usize) {
        while let Some((link, watched)) = self.due_watch(instance) {
            self.respond(ctx, link, Some(watched));
        }
    }

    fn due_watch(&self, instance: usize) -> Option<(LinkId, usize)> {
        let agent = &self.agents[instance];
        let own = self.connections.iter().filter(|(_, connection)| connection.instance == instance);
        let mut watches = own.filter_map(|(link, connection)| Some((*link, connection.watched_version?)));
        watches.find(|(_, watched)| agent.version > *watched || agent.snapshot_due)
    }

    /// The list as the agent of an instance knows it.
    pub fn snapshot_of(&self, instance: usize) -> EndpointList {
        let version = self.agents[instance].version;
        let text = self.snapshot(version, version).to_string();
        endpoints::decode(text.as_bytes()).expect("our own list")
    }

    /// The list at a version, presented under another one.
    fn snapshot(&self, version: usize, presented_version: usize) -> Value {
        let mut newest: BTreeMap<&str, &EndpointEntry> = BTreeMap::new();
        for entry in &self.log[..version] {
            newest.insert(&entry.name, entry);
        }
        let listed = newest.values().filter(|entry| entry.status != "DELETED" && !self.hides(entry));
        let endpoints: Vec<Value> = listed.map(|entry| entry.json()).collect();
        json!({"index": presented_version, "snapshot": true, "endpoints": endpoints})
    }

    fn hides(&self, entry: &EndpointEntry) -> bool {
        self.hidden_backends.contains(&entry.name)
    }

    /// A process of that gateway instance asks for a connection.
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

    /// These bytes of a gateway process have arrived.
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

    /// A watch, by its number, has come to its timeout.
    pub fn watch_timed_out(&mut self, ctx: &mut Context, link: LinkId, watch: u64) {
        let connection = self.connections.get(&link).filter(|connection| connection.watch == watch);
        if let Some(version) = connection.and_then(|connection| connection.watched_version) {
            self.respond(ctx, link, Some(version));
        }
    }

    /// Responds with the changes since a version, or with a snapshot.
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

    fn changes(&self, since: usize, version: usize) -> Value {
        let visible = self.log[since..version].iter().filter(|entry| !self.hides(entry));
        let endpoints: Vec<Value> = visible.map(EndpointEntry::json).collect();
        json!({"index": version, "snapshot": false, "endpoints": endpoints})
    }

    /// The gateway process has closed a connection.
    pub fn link_closed(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.confirm_close(link);
    }

    /// Closes the connections of an instance: the service is at another address now.
    pub fn disconnect_instance(&mut self, ctx: &mut Context, instance: usize) {
        let own = self.connections.iter().filter(|(_, connection)| connection.instance == instance);
        for link in own.map(|(link, _)| *link).collect::<Vec<_>>() {
            self.connections.remove(&link);
            ctx.close(link, Side::Remote);
        }
    }
}
