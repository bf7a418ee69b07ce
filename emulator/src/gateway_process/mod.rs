//! A gateway process: the production reducer, policies and codecs on the simulated network instead of sockets.
//!
//! These modules replace the socket layer, and process events and effects in the same order:
//!
//! | module | what it does |
//! | --- | --- |
//! | `inbound` | converts connection requests, received bytes and closed links to events |
//! | `effects` | applies the reducer's effects |
//! | `outbound` | writes to connections and closes them |
//! | `connection` | the state of one connection |
//! | `injected_defect` | defects that the checker has to detect |
mod connection;
mod effects;
mod inbound;
mod injected_defect;
mod outbound;

pub use injected_defect::InjectedDefect;

use crate::context::Context;
use crate::network::{LinkId, Remote, Side};
use crate::scheduled_event::ScheduledEvent;
use connection::Connection;
use injected_defect::altered_endpoints;
use quillramp::settings;
use quillramp::types::Idempotency;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::state::event::{Event, OperatorUpdate};
use quillramp_gateway::state::reducer::{Reducer, ReducerConfig, ReducerOutput};
use quillramp_gateway::state::shared_state::{AdminChange, SharedState};
use quillramp_gateway::wire::endpoints::EndpointList;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Number of descriptors that a process uses for other purposes than connections.
pub const OTHER_DESCRIPTORS: usize = 8;
/// Seconds from the first event of a batch to the run that handles it. Events that arrive in between join the batch.
const BATCH_INTERVAL: f64 = 50e-6;

/// The addresses of the models and the gateway instances.
#[derive(Default)]
pub struct Addresses {
    /// Models that accept connections, by address.
    pub remotes: HashMap<SocketAddr, Remote>,
    /// Gateway instances, by the address at which they receive datagrams.
    pub instances: HashMap<SocketAddr, usize>,
    /// The broadcast address of all instances.
    pub broadcast: Option<SocketAddr>,
}

/// A request of a process that the simulation handles outside of the process and the network.
pub enum ProcessRequest {
    /// Save an operator's change to the state that the instance's processes share.
    SaveChange {
        /// The operator's call that is answered once the change is saved.
        call: u64,
        /// The change to save.
        change: AdminChange,
    },
    /// Announce to the instance's other processes that this one holds no more than this number of descriptors from now on.
    AnnounceDescriptorLimit(usize),
    /// End the process.
    Exit,
}

/// The initial state and configuration of a process.
pub struct StartOptions {
    /// Index of the process, unique within a run.
    pub index: usize,
    /// Index of the gateway instance that the process belongs to.
    pub instance: usize,
    /// Address at which the process receives datagrams.
    pub own_address: SocketAddr,
    /// Configuration of the process.
    pub configuration: settings::Loaded,
    /// Idempotency of each operation, by the operation's name.
    pub idempotency: HashMap<Vec<u8>, Idempotency>,
    /// Configuration of the reducer: addresses of peers and services, descriptors, and capabilities of the process.
    pub reducer: ReducerConfig,
    /// The endpoint list at the start.
    pub endpoints: EndpointList,
    /// State that the instance's processes share.
    pub shared_state: SharedState,
    /// Contents of the operator's file.
    pub operator_update: OperatorUpdate,
    /// Defect to inject into the process.
    pub defect: Option<InjectedDefect>,
}

/// A process of a gateway instance.
pub struct GatewayProcess {
    /// Index of the process, unique within a run.
    pub index: usize,
    /// Index of the gateway instance that the process belongs to.
    pub instance: usize,
    own_address: SocketAddr,
    reducer: Reducer,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Events that the reducer has not handled yet.
    inbox: Vec<Event>,
    /// Links of the connections that wait to be accepted.
    backlog: VecDeque<LinkId>,
    /// Bytes received on the links in the backlog.
    backlog_bytes: HashMap<LinkId, Vec<u8>>,
    /// Number of accepted connections, which is also the number in the id of the newest one.
    accepted_connections: u64,
    /// Whether the process has not ended.
    pub alive: bool,
    /// Whether the process accepts connections.
    pub accepting: bool,
    max_descriptors: usize,
    /// Time of the next scheduled run; infinite if none is scheduled.
    next_run: f64,
    /// Time until which the process is suspended.
    stalled_until: f64,
    /// Whether the reducer asked to exit as soon as all work is done.
    exiting: bool,
    defect: Option<InjectedDefect>,
    /// Idempotency of each operation, by the operation's name.
    idempotency: HashMap<Vec<u8>, Idempotency>,
}

impl GatewayProcess {
    /// Starts a process and schedules its first run.
    pub fn start(ctx: &mut Context, options: StartOptions) -> GatewayProcess {
        let StartOptions { index, defect, .. } = options;
        let endpoints = altered_endpoints(&options.endpoints, defect);
        let max_descriptors = options.reducer.max_descriptors;
        let mut reducer = Reducer::new(ctx.now, options.configuration, options.reducer, &endpoints);
        reducer.update_shared_state(ctx.now, options.shared_state);
        reducer.apply_operator_update(ctx.now, options.operator_update);
        ctx.checker.process_started(index);
        ctx.checker.endpoint_list_received(ctx.now, index, &endpoints);
        ctx.schedule_in(0.0, ScheduledEvent::ProcessWake(index));
        GatewayProcess {
            index,
            instance: options.instance,
            own_address: options.own_address,
            reducer,
            connections: BTreeMap::new(),
            inbox: vec![],
            backlog: VecDeque::new(),
            backlog_bytes: HashMap::new(),
            accepted_connections: 0,
            alive: true,
            accepting: true,
            max_descriptors,
            next_run: ctx.now,
            stalled_until: 0.0,
            exiting: false,
            defect,
            idempotency: options.idempotency,
        }
    }

    /// Schedules a run of the process, unless an earlier one is scheduled. A stalled process runs when the stall ends.
    fn wake(&mut self, ctx: &mut Context, at: f64) {
        let at = at.max(self.stalled_until).max(ctx.now);
        if self.alive && (at < self.next_run || self.next_run < ctx.now) {
            self.next_run = at;
            ctx.events.schedule(at, ScheduledEvent::ProcessWake(self.index));
        }
    }

    /// Adds an event to the inbox and schedules the run that handles it.
    pub fn deliver_event(&mut self, ctx: &mut Context, event: Event) {
        self.inbox.push(event);
        self.wake(ctx, ctx.now + BATCH_INTERVAL);
    }

    /// Suspends the process for a number of seconds.
    pub fn stall(&mut self, ctx: &mut Context, seconds: f64) {
        self.stalled_until = ctx.now + seconds;
        ctx.checker.process_stalled(self.stalled_until, self.index);
    }

    /// Returns the number of open connections, including those being established.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Runs the process: the reducer handles the inbox and its timers, and the effects are applied. Returns the requests that the
    /// simulation has to handle.
    pub fn run(&mut self, ctx: &mut Context, addresses: &Addresses) -> Vec<ProcessRequest> {
        if !self.alive || ctx.now < self.next_run {
            return vec![];
        }
        self.next_run = f64::INFINITY;
        if ctx.now < self.stalled_until {
            self.wake(ctx, self.stalled_until);
            return vec![];
        }
        self.end_silent_streams(ctx);
        let mut events = std::mem::take(&mut self.inbox);
        self.reducer.handle_batch(ctx.now, &mut events);
        let ReducerOutput { next_poll_at, effects } = self.reducer.poll(ctx.now);
        let mut requests = vec![];
        for effect in effects {
            requests.extend(self.apply_effect(ctx, addresses, effect));
        }
        self.flush_all(ctx);
        self.accept(ctx);
        if self.exiting && self.reducer.is_done() && self.inbox.is_empty() {
            requests.push(ProcessRequest::Exit);
        }
        if let Some(at) = next_poll_at {
            self.wake(ctx, at);
        }
        requests
    }

    /// Ends the process and its connections. A process that exits flushes and closes them, a killed one resets them.
    pub fn terminate(&mut self, ctx: &mut Context, killed: bool) {
        if !std::mem::replace(&mut self.alive, false) {
            return;
        }
        if killed {
            ctx.checker.process_killed(self.index);
        } else {
            for id in self.connections.keys().copied().collect::<Vec<_>>() {
                self.flush(ctx, id);
            }
            ctx.checker.process_exited(ctx.now, self.index);
        }
        for (id, connection) in std::mem::take(&mut self.connections) {
            self.report_closed(ctx, id, connection.link, false);
            if killed {
                ctx.abort(connection.link, Side::Gateway);
            } else {
                ctx.close(connection.link, Side::Gateway);
            }
        }
        for link in std::mem::take(&mut self.backlog) {
            ctx.abort(link, Side::Gateway);
        }
    }
}
