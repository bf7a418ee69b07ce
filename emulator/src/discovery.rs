//! The list service: a log of changes, and at each front door an agent that knows it up to some version.
use crate::counter::{asked, request};
use crate::net::{Ctx, Item, WireId};
use quillramp_gateway::wire::endpoints::{self, EndpointList};
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One backend's name on the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: usize,
    pub status: &'static str,
    pub since: f64,
}

impl Entry {
    fn json(&self) -> Value {
        json!({"name": self.name, "address": self.address, "zone": self.zone, "type": "m", "group": self.cell,
               "status": self.status, "weight": 1.0, "since_ms": (self.since * 1e3).round()})
    }
}

#[derive(Clone, Default)]
struct Agent {
    version: usize,
    /// Versions on their way to it, with the time of the last, so that they come in order.
    last: f64,
    /// Its next answer is a whole list.
    whole: bool,
}

struct Watch {
    door: usize,
    got: Vec<u8>,
    /// What waits for news: since which version; and which watch it is.
    since: Option<usize>,
    no: u64,
}

pub struct Discovery {
    log: Vec<Entry>,
    agents: Vec<Agent>,
    links: BTreeMap<WireId, Watch>,
    watches: u64,
    /// Seconds by which news is late.
    pub late: f64,
    pub down: bool,
    pub garbled: bool,
    /// It tells this version as if it were new.
    pub stale: Option<usize>,
    /// The backends that it leaves out.
    pub left_out: Vec<String>,
}

impl Discovery {
    pub fn new(first: Vec<Entry>, doors: usize) -> Discovery {
        let agent = Agent { version: first.len(), ..Agent::default() };
        Discovery {
            log: first,
            agents: vec![agent; doors],
            links: BTreeMap::new(),
            watches: 0,
            late: 0.0,
            down: false,
            garbled: false,
            stale: None,
            left_out: vec![],
        }
    }

    /// A change, told to each agent in a while.
    pub fn changes(&mut self, ctx: &mut Ctx, entry: Entry) {
        ctx.trace.line(ctx.now, &format!("list: {} {}", entry.name, entry.status));
        self.log.push(entry);
        for door in 0..self.agents.len() {
            let at = ctx.now + ctx.rng.gen_range(0.005..0.3) + self.late;
            self.agents[door].last = self.agents[door].last.max(at);
            ctx.agenda.put(self.agents[door].last, Item::News(door));
        }
    }

    /// All agents tell whole lists next, with what is left out now, or what was old.
    pub fn whole_again(&mut self, ctx: &mut Ctx) {
        for door in 0..self.agents.len() {
            self.agents[door].whole = true;
            self.answer_waiting(ctx, door);
        }
    }

    pub fn latest(&self) -> usize {
        self.log.len()
    }

    /// News has come to an agent.
    pub fn news(&mut self, ctx: &mut Ctx, door: usize) {
        self.agents[door].version = (self.agents[door].version + 1).min(self.log.len());
        self.answer_waiting(ctx, door);
    }

    fn answer_waiting(&mut self, ctx: &mut Ctx, door: usize) {
        for (wire, watch) in self.links.iter().map(|(w, l)| (*w, l)).collect::<Vec<_>>() {
            if let Some(since) = watch.since.filter(|_| watch.door == door) {
                if self.agents[door].version > since || self.agents[door].whole {
                    self.answer(ctx, wire, Some(since));
                    return self.answer_waiting(ctx, door);
                }
            }
        }
    }

    /// The whole list as an agent knows it.
    pub fn known(&self, door: usize) -> EndpointList {
        let text = self.whole(self.agents[door].version, self.agents[door].version).to_string();
        endpoints::decode(text.as_bytes()).expect("our own list")
    }

    fn whole(&self, of: usize, index: usize) -> Value {
        let mut all: BTreeMap<&str, &Entry> = BTreeMap::new();
        for entry in &self.log[..of] {
            all.insert(&entry.name, entry);
        }
        let there = all.values().filter(|e| e.status != "DELETED" && !self.left_out.contains(&e.name));
        let endpoints: Vec<Value> = there.map(|e| e.json()).collect();
        json!({"index": index, "snapshot": true, "endpoints": endpoints})
    }

    pub fn dialled(&mut self, ctx: &mut Ctx, wire: WireId, door: usize) {
        if self.down {
            return;
        }
        let Some(w) = ctx.wires.get_mut(&wire).filter(|w| w.door_open) else { return };
        w.party_open = true;
        self.links.insert(wire, Watch { door, got: vec![], since: None, no: 0 });
        let delay = ctx.delay();
        ctx.later(delay, Item::Up { wire, taken: true });
    }

    pub fn bytes(&mut self, ctx: &mut Ctx, wire: WireId, bytes: &[u8]) {
        let Some(watch) = self.links.get_mut(&wire) else { return };
        watch.got.extend_from_slice(bytes);
        let Some((target, n)) = request(&watch.got) else { return };
        watch.got.drain(..n);
        if self.down {
            return; // silence
        }
        let (since, wait) = (asked(&target, "since"), asked(&target, "timeout_ms").unwrap_or(0.0) / 1e3);
        let agent = &self.agents[watch.door];
        match since.map(|s| s as usize) {
            Some(since) if agent.version <= since && !agent.whole => {
                self.watches += 1;
                (watch.since, watch.no) = (Some(since), self.watches);
                ctx.later(wait, Item::Watched { wire, no: self.watches });
            }
            since => self.answer(ctx, wire, since),
        }
    }

    /// A watch's time is up.
    pub fn watched(&mut self, ctx: &mut Ctx, wire: WireId, no: u64) {
        let since = self.links.get(&wire).filter(|w| w.no == no).and_then(|w| w.since);
        if since.is_some() {
            self.answer(ctx, wire, since);
        }
    }

    fn answer(&mut self, ctx: &mut Ctx, wire: WireId, since: Option<usize>) {
        let Some(watch) = self.links.get_mut(&wire) else { return };
        watch.since = None;
        if self.down {
            return;
        }
        let agent = &mut self.agents[watch.door];
        let whole = std::mem::take(&mut agent.whole) || since.is_none();
        let version = agent.version;
        let body = match since {
            Some(since) if !whole => {
                let changed = &self.log[since.min(version)..version];
                let told = changed.iter().filter(|e| !self.left_out.contains(&e.name));
                let endpoints: Vec<Value> = told.map(Entry::json).collect();
                json!({"index": version, "snapshot": false, "endpoints": endpoints})
            }
            _ => self.whole(self.stale.unwrap_or(version).min(version), version),
        };
        let body = if self.garbled { "{\"index\":".to_owned() } else { body.to_string() };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        ctx.send(wire, true, answer.as_bytes());
    }

    pub fn ended(&mut self, ctx: &mut Ctx, wire: WireId) {
        self.links.remove(&wire);
        ctx.end(wire, false, false);
        ctx.ended(wire, false);
    }

    /// What is open is ended: the service is elsewhere now.
    pub fn leaves(&mut self, ctx: &mut Ctx, door: usize) {
        let of_door = self.links.iter().filter(|(_, w)| w.door == door);
        for wire in of_door.map(|(w, _)| *w).collect::<Vec<_>>() {
            self.links.remove(&wire);
            ctx.end(wire, false, false);
        }
    }
}
