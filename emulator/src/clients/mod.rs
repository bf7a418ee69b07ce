//! Clients: a front that distributes each customer's requests over its gateway instances, on connections that are kept; clients that send
//! what can't be parsed; those that disconnect early, or open connections and send nothing.
mod command;

pub use command::ClientOperation;

use crate::checker::{parse_response, ParsedResponse, ResponseKind};
use crate::context::Context;
use crate::network::{LinkId, Remote, Side};
use crate::scheduled_event::ScheduledEvent;
use command::{scramble, Command, InstanceRange, MALFORMED_COMMANDS};
use quillramp_gateway::state::connection::ConnectionId;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};

/// The most connections of the front to one gateway instance.
const MAX_CONNECTIONS: usize = 24;
/// The most requests in flight on one of them.
const MAX_PIPELINED: usize = 3;
/// The probability with which a request goes behind others on a connection.
const PIPELINING: f64 = 0.15;
/// The network of the front's addresses.
pub const KNOWN_NETWORK: &str = "127.0.9.0/24";
/// The front's own address.
const FRONT_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 9, 1));
/// The address of other clients.
const UNKNOWN_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 10, 1));
/// How often a throttled request is sent again, at the most, and the probability of it each time.
const MAX_RETRIES: u32 = 2;
const RETRY_PROBABILITY: f64 = 0.5;
/// Seconds until then where the gateway named no time, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: f64 = 200.0;
/// Bytes of a request's body: usually, and where it is too long to be held complete.
const BODY_BYTES: usize = 12;
const LONG_BODY_BYTES: std::ops::Range<usize> = 66_000..90_000;
/// Bytes of a response that are looked at.
const RESPONSE_HEAD_BYTES: usize = 64;

/// A request of a customer; it is sent under a new id each time.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// The customer's id.
    pub customer: u64,
    /// Index into the operations.
    pub operation: usize,
    /// Its units.
    pub units: f64,
    /// How often it was sent again.
    pub retries: u32,
}

/// How the client behind a connection behaves.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    /// The front.
    Valid,
    /// It sends what can't be parsed.
    Malformed,
    /// It sends nothing.
    Idle,
}

struct Connection {
    instance: usize,
    behavior: Behavior,
    received: Vec<u8>,
    /// The requests in flight, by index.
    pending: VecDeque<usize>,
}

/// All clients of a run.
#[derive(Default)]
pub struct Clients {
    /// What may be requested.
    pub operations: Vec<ClientOperation>,
    /// The names of the customers' plans.
    pub plans: Vec<String>,
    connections: BTreeMap<LinkId, Connection>,
    requests: Vec<PlannedRequest>,
    issued_ids: u64,
    /// How many times the usual rate requests come at.
    pub rate_factor: f64,
    /// The fraction of requests behind which the client disconnects early.
    pub early_disconnects: f64,
    /// Clients a second that send what can't be parsed.
    pub malformed_rate: f64,
}

impl Clients {
    /// Clients that have not requested anything yet.
    pub fn new(operations: Vec<ClientOperation>, plans: Vec<String>) -> Clients {
        Clients { operations, plans, rate_factor: 1.0, ..Clients::default() }
    }

    /// Sends the next request, and schedules the one after it unless it came at `until` or later. `serving` names, by instance, the
    /// process that takes new connections.
    pub fn next_request(&mut self, ctx: &mut Context, serving: &[Option<usize>], until: f64) {
        let gap = -(1.0 - ctx.rng.gen_range(0.0..1.0f64)).ln() / (ctx.world.request_rate * self.rate_factor);
        if ctx.now + gap < until {
            ctx.schedule_in(gap, ScheduledEvent::RequestDue);
        }
        // Few customers request much.
        let customer = ctx.rng.gen_range(0.0..1.0f64).powi(2) * ctx.world.customers as f64;
        let operation = self.draw_operation(ctx);
        let units = f64::from(ctx.rng.gen_range(1..=3u32));
        self.requests.push(PlannedRequest { customer: customer as u64, operation, units, retries: 0 });
        self.send_request(ctx, serving, self.requests.len() - 1);
    }

    fn draw_operation(&self, ctx: &mut Context) -> usize {
        let total = self.operations.iter().map(|operation| operation.weight).sum::<f64>();
        let mut rest = ctx.rng.gen_range(0.0..total);
        let drawn = self.operations.iter().position(|operation| {
            rest -= operation.weight;
            rest < 0.0
        });
        drawn.unwrap_or(0)
    }

    /// Sends a request, by index, to one of its customer's gateway instances.
    pub fn send_request(&mut self, ctx: &mut Context, serving: &[Option<usize>], index: usize) {
        let request = self.requests[index].clone();
        let instances = InstanceRange::of(request.customer, serving.len());
        let instance = (instances.first + ctx.rng.gen_range(0..instances.count)) % serving.len();
        let Some(link) = self.select_connection(ctx, serving, instance) else { return };
        self.issued_ids += 1;
        let operation = &self.operations[request.operation];
        let timeout_ms = (operation.timeout * 1e3 * ctx.rng.gen_range(0.5..1.0)).floor();
        let command = Command {
            operation,
            plan: &self.plans[request.customer as usize % self.plans.len()],
            customer: request.customer,
            id: scramble(self.issued_ids),
            units: request.units,
            timeout_ms,
            instances,
            body: (!operation.uses_get).then(|| draw_body_length(ctx)),
        };
        ctx.send(link, Side::Gateway, &command.encode());
        self.connections.get_mut(&link).expect("just selected").pending.push_back(index);
        if ctx.draw_bool(self.early_disconnects) {
            let delay = ctx.rng.gen_range(0.0..0.1);
            ctx.schedule_in(delay, ScheduledEvent::ClientDisconnects(link));
        }
    }

    /// A connection to that instance: an idle one, or one that is not too busy, or a new one; none where nothing listens.
    fn select_connection(
        &mut self,
        ctx: &mut Context,
        serving: &[Option<usize>],
        instance: usize,
    ) -> Option<LinkId> {
        let usable = |connection: &Connection| {
            connection.instance == instance && connection.behavior == Behavior::Valid
        };
        let own = || self.connections.iter().filter(|(_, connection)| usable(connection));
        let pipelines = ctx.rng.gen_bool(PIPELINING);
        let idle = own().find(|(_, connection)| connection.pending.is_empty()).map(|(link, _)| *link);
        let busy = own()
            .filter(|(_, connection)| connection.pending.len() < MAX_PIPELINED)
            .min_by_key(|(link, connection)| (connection.pending.len(), **link))
            .map(|(link, _)| *link);
        if let Some(link) = if pipelines { busy } else { idle } {
            return Some(link);
        }
        if own().count() >= MAX_CONNECTIONS {
            return busy;
        }
        let process = serving[instance]?;
        Some(self.connect(ctx, process, instance, Behavior::Valid))
    }

    fn connect(&mut self, ctx: &mut Context, process: usize, instance: usize, behavior: Behavior) -> LinkId {
        let id = ctx.open_link(process, ConnectionId::Client(0), Remote::Client);
        let valid = behavior == Behavior::Valid;
        let link = ctx.links.get_mut(&id).expect("just opened");
        link.remote_open = true;
        link.malformed = behavior == Behavior::Malformed;
        link.known_address = valid;
        link.client_address = if valid { FRONT_ADDRESS } else { UNKNOWN_ADDRESS };
        let connection = Connection { instance, behavior, received: vec![], pending: VecDeque::new() };
        self.connections.insert(id, connection);
        ctx.connect_to_gateway(id);
        id
    }

    /// A client connects and sends what can't be parsed; the next one is scheduled.
    pub fn next_malformed_client(&mut self, ctx: &mut Context, serving: &[Option<usize>]) {
        if self.malformed_rate <= 0.0 {
            return;
        }
        ctx.schedule_in(1.0 / self.malformed_rate, ScheduledEvent::MalformedClientDue);
        let instance = ctx.rng.gen_range(0..serving.len());
        let Some(process) = serving[instance] else { return };
        let link = self.connect(ctx, process, instance, Behavior::Malformed);
        let command = MALFORMED_COMMANDS[ctx.rng.gen_range(0..MALFORMED_COMMANDS.len())];
        ctx.send(link, Side::Gateway, command);
    }

    /// So many clients connect at once and send nothing.
    pub fn open_idle_connections(&mut self, ctx: &mut Context, serving: &[Option<usize>], count: usize) {
        for _ in 0..count {
            let instance = ctx.rng.gen_range(0..serving.len());
            if let Some(process) = serving[instance] {
                self.connect(ctx, process, instance, Behavior::Idle);
            }
        }
    }

    /// These bytes of a gateway process have arrived. What was throttled is requested again at times.
    pub fn bytes_received(&mut self, ctx: &mut Context, link: LinkId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.received.extend_from_slice(bytes);
        while let Some(ParsedResponse { kind, length }) = parse_response(&connection.received) {
            let head: Vec<u8> = connection.received.drain(..length).take(RESPONSE_HEAD_BYTES).collect();
            let Some(index) = connection.pending.pop_front() else { continue };
            let request = &mut self.requests[index];
            let may_retry = kind == ResponseKind::Busy && request.retries < MAX_RETRIES;
            if may_retry && ctx.rng.gen_bool(RETRY_PROBABILITY) {
                request.retries += 1;
                ctx.schedule_in(retry_after_ms(&head) / 1e3, ScheduledEvent::RetryDue(index));
            }
        }
    }

    /// A client disconnects.
    pub fn disconnect(&mut self, ctx: &mut Context, link: LinkId) {
        if self.connections.remove(&link).is_some() {
            ctx.close(link, Side::Remote);
        }
    }

    /// The gateway process has closed a connection, or is gone: requests without a response are sent once more, on another connection.
    pub fn link_closed(&mut self, ctx: &mut Context, link: LinkId) {
        let Some(connection) = self.connections.remove(&link) else {
            return ctx.mark_closed(link, Side::Remote);
        };
        for index in connection.pending {
            let request = &mut self.requests[index];
            if request.retries == 0 {
                request.retries += 1;
                let delay = ctx.rng.gen_range(0.001..0.05);
                ctx.schedule_in(delay, ScheduledEvent::RetryDue(index));
            }
        }
        ctx.confirm_close(link);
    }
}

fn draw_body_length(ctx: &mut Context) -> usize {
    if ctx.draw_bool(ctx.world.long_values) {
        ctx.rng.gen_range(LONG_BODY_BYTES)
    } else {
        BODY_BYTES
    }
}

/// Milliseconds after which a throttled request may be sent again, as its response says.
fn retry_after_ms(response: &[u8]) -> f64 {
    let text = std::str::from_utf8(&response["-BUSY".len()..]).ok();
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(DEFAULT_RETRY_AFTER_MS)
}
