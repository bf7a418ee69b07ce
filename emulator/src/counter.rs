//! Model of the counter: named totals with a limited lifetime, over pipelined HTTP/1.1.
use crate::context::Context;
use crate::http_request::{parse_request, query_number};
use crate::network::{LinkId, Side};
use crate::scheduled_event::ScheduledEvent;
use rand::Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Seconds that the counter takes to handle a call.
const CALL_DURATION: std::ops::Range<f64> = 0.0003..0.0015;
/// Response to a rejected call.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Body of a malformed response.
const MALFORMED_BODY: &str = "many";

/// A total, and the time after which the next call resets it.
#[derive(Clone, Copy, Default)]
struct Total {
    sum: f64,
    expires_at: f64,
}

/// Totals by name.
type Totals = HashMap<String, Total>;

/// The counter of a run.
pub struct Counter {
    totals: Totals,
    /// Totals of the second counter during a split.
    second_totals: Option<Totals>,
    connections: BTreeMap<LinkId, Connection>,
    /// Whether connections are refused.
    pub down: bool,
    /// Whether the counter does not respond.
    pub unresponsive: bool,
    /// Factor on the time that a call takes; 1 without a fault.
    pub slowdown: f64,
    /// Fraction of responses that cannot be parsed.
    pub malformed_responses: f64,
    /// Fraction of calls whose units are added, but to which the counter closes the connection instead of responding.
    pub lost_responses: f64,
    /// Fraction of calls that are rejected.
    pub rejections: f64,
    /// Number of calls handled, including rejected ones.
    pub calls: u64,
}

/// A connection from a gateway process.
struct Connection {
    instance: usize,
    /// Bytes received and not parsed yet.
    received: Vec<u8>,
    /// Calls without a response, oldest first.
    calls: VecDeque<Call>,
    /// Whether the oldest call is being handled.
    busy: bool,
}

/// A call that adds units to a total.
struct Call {
    name: String,
    /// Units to add.
    units: f64,
    /// Lifetime of a new total, in seconds.
    time_to_live: f64,
}

impl Call {
    /// Parses the target of a request.
    fn parse(target: &str) -> Call {
        let path = target.strip_prefix("/counters/");
        let name = path.and_then(|path| path.split('?').next()).unwrap_or("");
        Call {
            name: name.to_owned(),
            units: query_number(target, "by").unwrap_or(0.0),
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
    /// Accepts or refuses a connection from a process of a gateway instance, or does not respond.
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

    /// Handles bytes received from a gateway process. Complete calls are queued.
    pub fn bytes_received(&mut self, ctx: &mut Context, link: LinkId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.received.extend_from_slice(bytes);
        while let Some((target, length)) = parse_request(&connection.received) {
            connection.received.drain(..length);
            connection.calls.push_back(Call::parse(&target));
        }
        self.start_next_call(ctx, link);
    }

    /// Starts to handle the oldest call of a connection, unless one is being handled.
    fn start_next_call(&mut self, ctx: &mut Context, link: LinkId) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        if connection.busy || connection.calls.is_empty() || self.unresponsive {
            return;
        }
        connection.busy = true;
        let seconds = ctx.rng.gen_range(CALL_DURATION) * self.slowdown;
        ctx.schedule_in(seconds, ScheduledEvent::CounterCallCompleted(link));
    }

    /// Completes the oldest call of a connection: adds its units and responds, or applies a fault.
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

    /// Adds a call's units to a total, and returns the sum. During a split, instances with odd indexes use the second counter.
    fn add(&mut self, now: f64, instance: usize, call: Call) -> f64 {
        let totals = match &mut self.second_totals {
            Some(second) if instance % 2 == 1 => second,
            _ => &mut self.totals,
        };
        let total = totals.entry(call.name).or_default();
        if now > total.expires_at {
            *total = Total { sum: 0.0, expires_at: now + call.time_to_live };
        }
        total.sum += call.units;
        total.sum
    }

    /// Closes a connection.
    fn disconnect(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.close(link, Side::Remote);
    }

    /// Handles the close of a connection by the gateway process.
    pub fn link_closed(&mut self, ctx: &mut Context, link: LinkId) {
        self.connections.remove(&link);
        ctx.confirm_close(link);
    }

    /// Crashes the counter: open connections are reset, and new ones are refused.
    pub fn crash(&mut self, ctx: &mut Context) {
        self.down = true;
        for link in std::mem::take(&mut self.connections).into_keys() {
            ctx.reset(link);
        }
    }

    /// Makes the counter responsive again. It handles the calls received in the meantime.
    pub fn resume(&mut self, ctx: &mut Context) {
        self.unresponsive = false;
        for link in self.connections.keys().copied().collect::<Vec<_>>() {
            self.start_next_call(ctx, link);
        }
    }

    /// Discards all totals of the first counter.
    pub fn clear(&mut self) {
        self.totals.clear();
    }

    /// Starts a split: adds a second counter with a copy of the totals.
    pub fn split(&mut self) {
        self.second_totals = Some(self.totals.clone());
    }

    /// Ends a split: discards the second counter and its totals.
    pub fn merge(&mut self) {
        self.second_totals = None;
    }
}
