//! The counter: named totals that live for a while, over pipelined HTTP/1.1.
use crate::context::Context;
use crate::http_request::{parse_request, query_number};
use crate::network::{LinkId, Side};
use crate::scheduled_event::ScheduledEvent;
use rand::Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Seconds that a call takes.
const CALL_DURATION: std::ops::Range<f64> = 0.0003..0.0015;
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// The body of a response that can't be parsed.
const MALFORMED_BODY: &str = "many";

/// A total, and when it begins anew.
#[derive(Clone, Copy, Default)]
struct Total {
    sum: f64,
    expires_at: f64,
}

type Totals = HashMap<String, Total>;

/// The counter of a run.
pub struct Counter {
    totals: Totals,
    /// What a second counter holds while they are split.
    second_totals: Option<Totals>,
    connections: BTreeMap<LinkId, Connection>,
    /// Connections are refused.
    pub down: bool,
    /// It does not react at all.
    pub unresponsive: bool,
    /// How many times slower it is.
    pub slowdown: f64,
    /// The fraction of responses that can't be parsed.
    pub malformed_responses: f64,
    /// The fraction of calls that are added, with the connection ended in place of a response.
    pub lost_responses: f64,
    /// The fraction of calls that are rejected.
    pub rejections: f64,
    /// Calls that it handled.
    pub calls: u64,
}

struct Connection {
    instance: usize,
    received: Vec<u8>,
    calls: VecDeque<Call>,
    /// The oldest call is being handled.
    busy: bool,
}

struct Call {
    name: String,
    added: f64,
    /// Seconds that a new total lives.
    time_to_live: f64,
}

impl Call {
    fn parse(target: &str) -> Call {
        let path = target.strip_prefix("/counters/");
        let name = path.and_then(|path| path.split('?').next()).unwrap_or("");
        Call {
            name: name.to_owned(),
            added: query_number(target, "by").unwrap_or(0.0),
            time_to_live: query_number(target, "expire_ms").unwrap_or(1.0) / 1e3,
        }
    }
}

impl Default for Counter {
    fn default() -> Counter {
        Counter {
            totals: Totals::new(),
            second_totals: None,
            connections: BTreeMap::new(),
            down: false,
            unresponsive: false,
            slowdown: 1.0,
            malformed_responses: 0.0,
            lost_responses: 0.0,
            rejections: 0.0,
            calls: 0,
        }
    }
}

impl Counter {
    /// A process of that gateway instance asks for a connection.
    pub fn connect_requested(&mut self, ctx: &mut Context, id: LinkId, instance: usize) {
        if self.unresponsive {
            return;
        }
        let accepted = !self.down;
        let Some(link) = ctx.links.get_mut(&id).filter(|link| link.gateway_open) else { return };
        link.remote_open = accepted;
        if accepted {
            let connection = Connection { instance, received: vec![], calls: VecDeque::new(), busy: false };
            self.connections.insert(id, connection);
        }
        let delay = ctx.draw_delay();
        ctx.schedule_in(delay, ScheduledEvent::ConnectCompleted { link: id, accepted });
    }

    /// These bytes of a gateway process have arrived.
    pub fn bytes_received(&mut self, ctx: &mut Context, link: LinkId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.received.extend_from_slice(bytes);
        while let Some((target, length)) = parse_request(&connection.received) {
            connection.received.drain(..length);
            connection.calls.push_back(Call::parse(&target));
        }
        self.start_next_call(ctx, link);
    }

    fn start_next_call(&mut self, ctx: &mut Context, link: LinkId) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        if connection.busy || connection.calls.is_empty() || self.unresponsive {
            return;
        }
        connection.busy = true;
        let seconds = ctx.rng.gen_range(CALL_DURATION) * self.slowdown;
        ctx.schedule_in(seconds, ScheduledEvent::CounterCallCompleted(link));
    }

    /// The oldest call on a connection has been handled.
    pub fn complete_call(&mut self, ctx: &mut Context, link: LinkId) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.busy = false;
        if self.unresponsive {
            return;
        }
        let Some(call) = connection.calls.pop_front() else { return };
        let instance = connection.instance;
        self.calls += 1;
        if ctx.draw_bool(self.rejections) {
            ctx.send(link, Side::Gateway, REJECTION);
            return self.start_next_call(ctx, link);
        }
        let total = self.add(ctx.now, instance, call);
        let malformed = ctx.draw_bool(self.malformed_responses);
        if ctx.draw_bool(self.lost_responses) {
            return self.disconnect(ctx, link);
        }
        let body = if malformed { MALFORMED_BODY.to_owned() } else { format!("{total}") };
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        ctx.send(link, Side::Gateway, response.as_bytes());
        self.start_next_call(ctx, link);
    }

    /// Adds to a total, and returns the sum. While there are two counters, every other instance meets the second one.
    fn add(&mut self, now: f64, instance: usize, call: Call) -> f64 {
        let totals = match &mut self.second_totals {
            Some(second) if instance % 2 == 1 => second,
            _ => &mut self.totals,
        };
        let total = totals.entry(call.name).or_default();
        if now > total.expires_at {
            *total = Total { sum: 0.0, expires_at: now + call.time_to_live };
        }
        total.sum += call.added;
        total.sum
    }

    fn disconnect(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.close(link, Side::Remote);
    }

    /// The gateway process has closed a connection.
    pub fn link_closed(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.confirm_close(link);
    }

    /// It crashes: open connections are reset, and new ones refused.
    pub fn crash(&mut self, ctx: &mut Context) {
        self.down = true;
        for link in std::mem::take(&mut self.connections).into_keys() {
            ctx.reset(link);
        }
    }

    /// It is responsive again, and handles what has come meanwhile.
    pub fn resume(&mut self, ctx: &mut Context) {
        self.unresponsive = false;
        for link in self.connections.keys().copied().collect::<Vec<_>>() {
            self.start_next_call(ctx, link);
        }
    }

    /// All totals are lost.
    pub fn clear(&mut self) {
        self.totals.clear();
    }

    /// From now on there are two, the second one with a copy of the totals.
    pub fn split(&mut self) {
        self.second_totals = Some(self.totals.clone());
    }

    /// The second one is gone, and its totals with it.
    pub fn merge(&mut self) {
        self.second_totals = None;
    }
}
