//! The reducer: every change of what an instance keeps goes through here. It turns events into calls of the policy engine
//! and that one's decisions into effects; it decides nothing and touches no socket.
use super::admin::AdminState;
use super::backend_table::BackendTable;
use super::broker::BrokerState;
use super::client_table::ClientTable;
use super::connection::{CloseReason, ClosedConnection, ConnectionId};
use super::counter_table::CounterTable;
use super::discovery::DiscoveryState;
use super::effect::Effect;
use super::event::Event;
use super::log_message::LogMessage;
use super::membership::MembershipState;
use super::requests::RequestTable;
use super::shutdown::ShutdownState;
use super::stats::Stats;
use super::timers::Timers;
use crate::wire::endpoints::EndpointList;
use quillramp::interner::Interner;
use quillramp::policy::PolicyEngine;
use quillramp::settings::{InstanceSettings, Loaded};
use quillramp_admission::AdmissionController;
use quillramp_identity::Authenticator;
use quillramp_operator::routes::Table;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Where the other parties are, and what this process may do.
pub struct ReducerConfig {
    /// The addresses of all instances, by index.
    pub peers: Vec<SocketAddr>,
    /// Where a datagram reaches all instances.
    pub peer_broadcast: Option<SocketAddr>,
    /// The counter, where there is one.
    pub counter: Option<SocketAddr>,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// The file descriptors that the machine allows to all processes of this instance together.
    pub max_descriptors: usize,
    /// The listening socket was inherited: another process listens on it too.
    pub inherited_listener: bool,
    /// Operators may call.
    pub admin_enabled: bool,
    /// What operators change is saved for the next process.
    pub saves_changes: bool,
}

/// The answer to a batch of events.
pub struct ReducerOutput {
    /// When to poll next without an event, in seconds; none where only an event can change something.
    pub next_poll_at: Option<f64>,
    /// What is to be done now, in this order.
    pub effects: Vec<Effect>,
}

/// All that an instance keeps. Times are in seconds, as the caller's clock has them.
pub struct Reducer {
    pub(super) engine: PolicyEngine,
    pub(super) instance: InstanceSettings,
    pub(super) config: ReducerConfig,
    pub(super) timers: Timers,
    pub(super) requests: RequestTable,
    pub(super) clients: ClientTable,
    pub(super) backends: BackendTable,
    pub(super) counter: CounterTable,
    pub(super) discovery: DiscoveryState,
    pub(super) admin: AdminState,
    pub(super) shutdown: ShutdownState,
    /// Indices of customers, and of budgets and groups of instances that have counters too.
    pub(super) customers: Interner<u64>,
    /// Which clients may connect and send commands, where that is limited.
    pub(super) admission: Option<AdmissionController>,
    /// Validates callers' tokens, where callers have to be known.
    pub(super) identity: Option<Authenticator>,
    /// Contracts between teams, where there are any.
    pub(super) broker: Option<BrokerState>,
    /// Which instances reach the counter, where membership is switched on.
    pub(super) membership: Option<MembershipState>,
    /// The limits that operators have declared for requests.
    pub(super) routes: Table,
    /// Datagrams from unknown peers, or malformed.
    pub(super) dropped_datagrams: u64,
    /// The number of the last connection that was opened from here.
    last_connection_id: u64,
    /// The figures that are counted.
    pub stats: Stats,
    /// What is to be done after this batch, in this order.
    pub(super) effects: Vec<Effect>,
}

impl Reducer {
    /// Starts with the endpoint list that the configuration has, and asks for the current one.
    pub fn new(now: f64, settings: Loaded, config: ReducerConfig, endpoints: &EndpointList) -> Reducer {
        let Loaded { engine, instance } = settings;
        let stats = Stats::new(instance.operations.len());
        let mut reducer = Reducer {
            engine,
            instance,
            config,
            timers: Timers::default(),
            requests: RequestTable::default(),
            clients: ClientTable::default(),
            backends: BackendTable::default(),
            counter: CounterTable::default(),
            discovery: DiscoveryState::default(),
            admin: AdminState::default(),
            shutdown: ShutdownState::default(),
            customers: Interner::default(),
            admission: None,
            identity: None,
            broker: None,
            membership: None,
            routes: Table::default(),
            dropped_datagrams: 0,
            last_connection_id: 0,
            stats,
            effects: vec![],
        };
        reducer.apply_endpoint_list(now, endpoints);
        if !reducer.instance.polls_endpoints {
            reducer.open_watch(now);
        }
        reducer.close_idle_connections(now);
        reducer
    }

    /// Handles events that have come together. Commands last: a new attempt must not be sent on a connection whose end is
    /// in the same batch.
    pub fn handle_batch(&mut self, now: f64, events: &mut Vec<Event>) {
        events.sort_by_key(|event| matches!(event, Event::ClientCommand { .. }));
        let ended: HashSet<ConnectionId> = events.iter().filter_map(ended_connection).collect();
        // A connection that came up and ended in the same batch never was: nothing has been written to it.
        events.retain(|event| !matches!(event, Event::Connected(connection) if ended.contains(connection)));
        self.mark_connections_ending_in_batch(&ended);
        for event in &*events {
            if let Event::ClientCommand { client, .. } = event {
                self.count_command_in_batch(*client);
            }
        }
        self.clients.rejected_in_batch = false;
        for event in events.drain(..) {
            self.handle(now, event);
        }
        self.clients.commands_in_batch.clear();
    }

    /// A command stands further back in the batch.
    fn count_command_in_batch(&mut self, client: u64) {
        *self.clients.commands_in_batch.entry(client).or_default() += 1;
        if let Some(admission) = &mut self.admission {
            admission.commands_read(client, 1);
        }
    }

    /// After a batch of events: fires the timers that are due.
    pub fn poll(&mut self, now: f64) -> ReducerOutput {
        while let Some(kind) = self.timers.pop_due(now) {
            self.timer_fired(now, kind);
        }
        let next_engine_poll = self.poll_engine(now).map(|seconds| now + seconds);
        self.close_drained_clients();
        let next_timer = self.timers.next_time();
        ReducerOutput {
            next_poll_at: next_timer.into_iter().chain(next_engine_poll).reduce(f64::min),
            effects: std::mem::take(&mut self.effects),
        }
    }

    /// Writes a message to the log.
    pub(super) fn log(&mut self, message: LogMessage) {
        self.effects.push(Effect::Log(message));
    }

    /// Logs why a connection ended.
    pub(super) fn log_closed(&mut self, connection: ConnectionId, reason: CloseReason) {
        let mut name = None;
        let (kind, id) = match connection {
            ConnectionId::Client(id) => ("client", id),
            ConnectionId::Backend(id) => {
                let known = self.backends.connections.get(&id);
                name = known.and_then(|known| self.backends.names.resolve(known.backend)).cloned();
                ("backend", id)
            }
            ConnectionId::Counter(id) => ("counter", id),
            ConnectionId::Discovery(id) => ("list", id),
            ConnectionId::Admin(id) => ("operator", id),
        };
        self.effects.push(Effect::LogClosed(ClosedConnection { kind, id, name, reason }));
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, connection: ConnectionId, reason: CloseReason) {
        self.log_closed(connection, reason);
        self.effects.push(Effect::Close(connection));
    }

    /// The number of a connection that is about to be opened.
    pub(super) fn next_connection_id(&mut self) -> u64 {
        self.last_connection_id += 1;
        self.last_connection_id
    }
}

/// The connection that an event reports as ended.
fn ended_connection(event: &Event) -> Option<ConnectionId> {
    match event {
        Event::ConnectionEnded { connection, .. } => Some(*connection),
        _ => None,
    }
}
