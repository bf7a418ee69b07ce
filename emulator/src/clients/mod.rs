//! Models of clients: a frontend that sends the requests of all customers to their gateway instances on persistent connections, clients
//! that send malformed commands, and clients that open connections without sending anything.
mod command;

pub use command::ClientOperation;

use crate::checker::{parse_response, ParsedResponse, ResponseKind};
use crate::context::Context;
use crate::network::{LinkId, Remote, Side};
use crate::scheduled_event::ScheduledEvent;
use command::{request_id, Command, InstanceRange, MALFORMED_COMMANDS};
use quillramp_gateway::state::connection::ConnectionId;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};

/// Maximum number of connections from the frontend to one gateway instance.
const MAX_CONNECTIONS: usize = 24;
/// Maximum number of requests in flight on one connection of the frontend.
const MAX_PIPELINED: usize = 3;
/// Probability that a request is pipelined behind others instead of sent on a new connection, if no connection is idle.
const PIPELINING_PROBABILITY: f64 = 0.15;
/// The network of the frontend's address, which admission lists as known.
pub const KNOWN_NETWORK: &str = "127.0.9.0/24";
/// The frontend's address.
const FRONTEND_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 9, 1));
/// The address of all other clients, which admission does not list as known.
const UNKNOWN_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 10, 1));
/// Maximum number of retries of a throttled request.
const MAX_RETRIES: u32 = 2;
/// Probability of each retry of a throttled request.
const RETRY_PROBABILITY: f64 = 0.5;
/// Delay before a retry in milliseconds, if the response does not specify one.
const DEFAULT_RETRY_AFTER_MS: f64 = 200.0;
/// Length in bytes of most request bodies.
const BODY_BYTES: usize = 12;
/// Lengths in bytes of request bodies that are too long for the gateway to buffer whole.
const LONG_BODY_BYTES: std::ops::Range<usize> = 66_000..90_000;
/// Number of bytes at the start of a response that are kept to parse the retry delay.
const RESPONSE_HEAD_BYTES: usize = 64;

/// A customer's request, which is sent under a new id at each retry.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Id of the customer.
    pub customer: u64,
    /// Index of the operation.
    pub operation: usize,
    /// Units of the request.
    pub units: f64,
    /// Number of retries so far.
    pub retries: u32,
}

/// How the client behind a connection behaves.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    /// The frontend, which sends valid commands.
    Valid,
    /// The client sends a malformed command.
    Malformed,
    /// The client sends nothing.
    Idle,
}

/// A connection to a gateway process.
struct Connection {
    /// Index of the gateway instance.
    instance: usize,
    behavior: Behavior,
    /// Bytes received and not parsed yet.
    received: Vec<u8>,
    /// Indexes of the requests in flight, oldest first.
    pending: VecDeque<usize>,
}

/// All clients of a run.
#[derive(Default)]
pub struct Clients {
    /// The operations that clients request.
    pub operations: Vec<ClientOperation>,
    /// Names of the plans; customers are assigned to them in turn.
    pub plans: Vec<String>,
    connections: BTreeMap<LinkId, Connection>,
    /// All requests so far, by index.
    requests: Vec<PlannedRequest>,
    /// Number of request ids issued so far.
    issued_ids: u64,
    /// Factor on the request rate; 1 without a fault.
    pub rate_factor: f64,
    /// Fraction of requests shortly after which the client disconnects.
    pub early_disconnects: f64,
    /// Rate of new clients that send a malformed command, per second.
    pub malformed_rate: f64,
}

impl Clients {
    /// Creates clients without connections and requests.
    pub fn new(operations: Vec<ClientOperation>, plans: Vec<String>) -> Clients {
        Clients { operations, plans, rate_factor: 1.0, ..Clients::default() }
    }

    /// Sends the next request, and schedules the one after it unless it would be sent at `until` or later. `serving` has the process
    /// that accepts new connections for each instance.
    pub fn next_request(&mut self, ctx: &mut Context, serving: &[Option<usize>], until: f64) {
        let gap = -(1.0 - ctx.rng.gen_range(0.0..1.0f64)).ln() / (ctx.world.request_rate * self.rate_factor);
        if ctx.now + gap < until {
            ctx.schedule_in(gap, ScheduledEvent::RequestDue);
        }
        // Squaring skews the distribution: a few customers, those with low ids, send most requests.
        let customer = ctx.rng.gen_range(0.0..1.0f64).powi(2) * ctx.world.customers as f64;
        let operation = self.draw_operation(ctx);
        let units = f64::from(ctx.rng.gen_range(1..=3u32));
        self.requests.push(PlannedRequest { customer: customer as u64, operation, units, retries: 0 });
        self.send_request(ctx, serving, self.requests.len() - 1);
    }

    /// Draws an operation at random, by the operations' weights.
    fn draw_operation(&self, ctx: &mut Context) -> usize {
        let total = self.operations.iter().map(|operation| operation.weight).sum::<f64>();
        let mut remaining = ctx.rng.gen_range(0.0..total);
        let index = self.operations.iter().position(|operation| {
            remaining -= operation.weight;
            remaining < 0.0
        });
        index.unwrap_or(0)
    }

    /// Sends the request with this index to a random one of its customer's gateway instances. Nothing is
    /// sent if no connection to the instance can be used and none of its processes accepts a new one.
    pub fn send_request(&mut self, ctx: &mut Context, serving: &[Option<usize>], index: usize) {
        let request = self.requests[index].clone();
        let instances = InstanceRange::for_customer(request.customer, serving.len());
        let instance = (instances.first + ctx.rng.gen_range(0..instances.count)) % serving.len();
        let Some(link) = self.select_connection(ctx, serving, instance) else { return };
        self.issued_ids += 1;
        let operation = &self.operations[request.operation];
        let timeout_ms = (operation.timeout * 1e3 * ctx.rng.gen_range(0.5..1.0)).floor();
        let command = Command {
            operation,
            plan: &self.plans[request.customer as usize % self.plans.len()],
            customer: request.customer,
            id: request_id(self.issued_ids),
            units: request.units,
            timeout_ms,
            instances,
            body: (!operation.uses_get).then(|| draw_body_length(ctx)),
        };
        ctx.send(link, Side::Gateway, &command.encode());
        self.connections.get_mut(&link).expect("the selected connection is open").pending.push_back(index);
        if ctx.draw_bool(self.early_disconnects) {
            let delay = ctx.rng.gen_range(0.0..0.1);
            ctx.schedule_in(delay, ScheduledEvent::ClientDisconnects(link));
        }
    }

    /// Returns a connection of the frontend to an instance: an idle one, the least busy one, or a new one. Returns `None` if there is
    /// none to use and no process accepts connections.
    fn select_connection(
        &mut self,
        ctx: &mut Context,
        serving: &[Option<usize>],
        instance: usize,
    ) -> Option<LinkId> {
        let usable = |connection: &Connection| {
            connection.instance == instance && connection.behavior == Behavior::Valid
        };
        let usable_connections = || self.connections.iter().filter(|(_, connection)| usable(connection));
        let may_pipeline = ctx.rng.gen_bool(PIPELINING_PROBABILITY);
        let idle =
            usable_connections().find(|(_, connection)| connection.pending.is_empty()).map(|(link, _)| *link);
        let least_busy = usable_connections()
            .filter(|(_, connection)| connection.pending.len() < MAX_PIPELINED)
            .min_by_key(|(link, connection)| (connection.pending.len(), **link))
            .map(|(link, _)| *link);
        if let Some(link) = if may_pipeline { least_busy } else { idle } {
            return Some(link);
        }
        if usable_connections().count() >= MAX_CONNECTIONS {
            return least_busy;
        }
        let process = serving[instance]?;
        Some(self.connect(ctx, process, instance, Behavior::Valid))
    }

    /// Opens a connection to a gateway process.
    fn connect(&mut self, ctx: &mut Context, process: usize, instance: usize, behavior: Behavior) -> LinkId {
        let id = ctx.open_link(process, ConnectionId::Client(0), Remote::Client);
        let valid = behavior == Behavior::Valid;
        let link = ctx.links.get_mut(&id).expect("the link was just opened");
        link.remote_open = true;
        link.malformed = behavior == Behavior::Malformed;
        link.known_address = valid;
        link.client_address = if valid { FRONTEND_ADDRESS } else { UNKNOWN_ADDRESS };
        let connection = Connection { instance, behavior, received: vec![], pending: VecDeque::new() };
        self.connections.insert(id, connection);
        ctx.connect_to_gateway(id);
        id
    }

    /// Connects a client that sends a malformed command, and schedules the next one.
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

    /// Opens `count` connections at once on which nothing is sent.
    pub fn open_idle_connections(&mut self, ctx: &mut Context, serving: &[Option<usize>], count: usize) {
        for _ in 0..count {
            let instance = ctx.rng.gen_range(0..serving.len());
            if let Some(process) = serving[instance] {
                self.connect(ctx, process, instance, Behavior::Idle);
            }
        }
    }

    /// Handles bytes received from a gateway process. Some of the throttled requests are scheduled for a retry.
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

    /// Closes a connection of a client.
    pub fn disconnect(&mut self, ctx: &mut Context, link: LinkId) {
        if self.connections.remove(&link).is_some() {
            ctx.close(link, Side::Remote);
        }
    }

    /// Handles the end of a connection. Requests in flight that were not retried before are sent again.
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

/// Draws the length of a request's body, in bytes.
fn draw_body_length(ctx: &mut Context) -> usize {
    if ctx.draw_bool(ctx.world.long_values) {
        ctx.rng.gen_range(LONG_BODY_BYTES)
    } else {
        BODY_BYTES
    }
}

/// Returns the delay in milliseconds that the response to a throttled request specifies, or the default.
fn retry_after_ms(response: &[u8]) -> f64 {
    let text = std::str::from_utf8(&response["-BUSY".len()..]).ok();
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(DEFAULT_RETRY_AFTER_MS)
}
