//! A gateway process: the real reducer with the real decisions in it and the real codecs, on the simulated network in place of sockets.
//!
//! What the socket layer does with events and effects is done here in the same order:
//!
//! | module | what it does |
//! | --- | --- |
//! | `inbound` | what the network brings: connections, bytes and ends become events |
//! | `effects` | what the reducer asks for |
//! | `outbound` | writes, closes |
//! | `connection` | the state of one connection |
//! | `injected_defect` | processes broken on purpose |
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

/// Descriptors of a process that are not connections.
pub const OTHER_DESCRIPTORS: usize = 8;
/// Events that come within so many seconds are handled in one batch.
const BATCH_INTERVAL: f64 = 50e-6;

/// What listens at which address.
#[derive(Default)]
pub struct Addresses {
    /// What accepts connections.
    pub remotes: HashMap<SocketAddr, Remote>,
    /// Gateway instances, by the address at which they get datagrams.
    pub instances: HashMap<SocketAddr, usize>,
    /// The address that reaches all instances.
    pub broadcast: Option<SocketAddr>,
}

/// What a process asks of its surroundings other than the network.
pub enum ProcessRequest {
    /// Saves an operator's change for this instance's processes.
    SaveChange {
        /// The operator's call, to be notified once it is saved.
        call: u64,
        /// The change.
        change: AdminChange,
    },
    /// From now on it holds no more than so many descriptors.
    AnnounceDescriptorLimit(usize),
    /// It exits.
    Exit,
}

/// What a process starts with.
pub struct StartOptions {
    /// The process's index, unique within a run.
    pub index: usize,
    /// The gateway instance that it belongs to.
    pub instance: usize,
    /// Its own address.
    pub own_address: SocketAddr,
    /// Its configuration.
    pub configuration: settings::Loaded,
    /// How each operation may be repeated, by the operation's name.
    pub idempotency: HashMap<Vec<u8>, Idempotency>,
    /// What the reducer is told of its surroundings.
    pub reducer: ReducerConfig,
    /// The endpoint list as known before the start.
    pub endpoints: EndpointList,
    /// What the instance's processes share.
    pub shared_state: SharedState,
    /// What the operator's file declares.
    pub operator_update: OperatorUpdate,
    /// How it is broken on purpose.
    pub defect: Option<InjectedDefect>,
}

/// A process of a gateway instance.
pub struct GatewayProcess {
    /// The process's index, unique within a run.
    pub index: usize,
    /// The gateway instance that it belongs to.
    pub instance: usize,
    own_address: SocketAddr,
    reducer: Reducer,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Events that the reducer has not handled yet.
    inbox: Vec<Event>,
    /// Connections that wait to be accepted.
    backlog: VecDeque<LinkId>,
    /// What has arrived on them meanwhile.
    backlog_bytes: HashMap<LinkId, Vec<u8>>,
    /// Counts the accepted connections: their ids.
    accepted: u64,
    /// It has not ended.
    pub alive: bool,
    /// It accepts connections.
    pub accepting: bool,
    max_descriptors: usize,
    /// When it handles its inbox or its timers next.
    next_run: f64,
    stalled_until: f64,
    exiting: bool,
    defect: Option<InjectedDefect>,
    /// By the operation's name.
    idempotency: HashMap<Vec<u8>, Idempotency>,
}

impl GatewayProcess {
    /// Starts a process.
    pub fn start(ctx: &mut Context, options: StartOptions) -> GatewayProcess {
        let StartOptions { index, defect, .. } = options;
        let endpoints = altered_endpoints(&options.endpoints, defect);
        let max_descriptors = options.reducer.max_descriptors;
        let mut reducer = Reducer::new(ctx.now, options.configuration, options.reducer, &endpoints);
        reducer.update_shared_state(ctx.now, options.shared_state);
        reducer.apply_operator_update(ctx.now, options.operator_update);
        ctx.checker.process_started(index);
        ctx.checker.endpoints_known(ctx.now, index, &endpoints);
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
            accepted: 0,
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

    /// Schedules the next run at that time, unless an earlier one is scheduled.
    fn wake(&mut self, ctx: &mut Context, at: f64) {
        let at = at.max(self.stalled_until).max(ctx.now);
        if self.alive && (at < self.next_run || self.next_run < ctx.now) {
            self.next_run = at;
            ctx.events.schedule(at, ScheduledEvent::ProcessWake(self.index));
        }
    }

    /// Puts an event into the inbox.
    pub fn deliver_event(&mut self, ctx: &mut Context, event: Event) {
        self.inbox.push(event);
        self.wake(ctx, ctx.now + BATCH_INTERVAL);
    }

    /// The process does nothing for so many seconds.
    pub fn stall(&mut self, ctx: &mut Context, seconds: f64) {
        self.stalled_until = ctx.now + seconds;
        ctx.checker.process_stalled(self.stalled_until, self.index);
    }

    /// How many connections it holds.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Lets the reducer handle the inbox and its timers, and carries out what it asks for. What concerns neither the process nor the
    /// network is returned.
    pub fn run(&mut self, ctx: &mut Context, addresses: &Addresses) -> Vec<ProcessRequest> {
        if !self.alive || ctx.now < self.next_run {
            return vec![];
        }
        self.next_run = f64::INFINITY;
        if ctx.now < self.stalled_until {
            self.wake(ctx, self.stalled_until);
            return vec![];
        }
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

    /// The process ends: it is killed, or exits by itself.
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
