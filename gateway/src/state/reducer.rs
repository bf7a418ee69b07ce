//! The reducer makes every change to the state of an instance. It turns events into calls of the policy engine, and the
//! engine's decisions into effects. It makes no policy decisions itself and does no I/O.
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

/// Addresses of the services and peers that the reducer uses, and the limits of its process.
pub struct ReducerConfig {
    /// Gossip addresses of all instances, by index.
    pub peers: Vec<SocketAddr>,
    /// Address at which a datagram reaches all instances, if there is one.
    pub peer_broadcast: Option<SocketAddr>,
    /// Address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Address of the list service.
    pub discovery: SocketAddr,
    /// Maximum number of file descriptors that all processes of this instance may hold together.
    pub max_descriptors: usize,
    /// Maximum number of customers with an account.
    pub max_customers: usize,
    /// Maximum number of bytes of the values that wait for earlier replies to their clients.
    pub max_waiting_value_bytes: usize,
    /// Whether the listening socket was inherited, so that another process may listen on it too.
    pub inherited_listener: bool,
    /// Whether the interface for operators is open.
    pub admin_enabled: bool,
    /// Whether changes by operators are saved for the next process.
    pub saves_changes: bool,
}

/// The reducer's response to a batch of events.
pub struct ReducerOutput {
    /// Time of the next poll if no event arrives before, in seconds; `None` if only an event can cause one.
    pub next_poll_at: Option<f64>,
    /// Effects to carry out now, in this order.
    pub effects: Vec<Effect>,
}

/// The state of a gateway instance. All times are in seconds on the caller's clock.
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
    /// Indices of customers, and of the budgets and groups of instances that also have counters.
    pub(super) customers: Interner<u64>,
    /// Limits the connections and commands of clients; `None` without admission limits.
    pub(super) admission: Option<AdmissionController>,
    /// Validates the tokens of callers; `None` without authentication.
    pub(super) identity: Option<Authenticator>,
    /// Enforces contracts between teams; `None` if there have never been any.
    pub(super) broker: Option<BrokerState>,
    /// Tracks which instances reach the counter; `None` while membership is disabled.
    pub(super) membership: Option<MembershipState>,
    /// Limits of requests that the operator's file declares.
    pub(super) routes: Table,
    /// Number of datagrams dropped because they were malformed or from unknown peers.
    pub(super) dropped_datagrams: u64,
    /// ID of the last connection that this process opened.
    last_connection_id: u64,
    /// Statistics for operators.
    pub stats: Stats,
    /// Effects to return from the next poll, in this order.
    pub(super) effects: Vec<Effect>,
}

impl Reducer {
    /// Creates a reducer with the endpoint list of the configuration, and requests the current list.
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

    /// Handles a batch of events. Commands are handled last, because a new attempt must not be sent on a connection whose
    /// end is reported in the same batch.
    pub fn handle_batch(&mut self, now: f64, events: &mut Vec<Event>) {
        events.sort_by_key(|event| matches!(event, Event::ClientCommand { .. }));
        let ended: HashSet<ConnectionId> = events.iter().filter_map(ended_connection).collect();
        // Nothing has been written to a connection that was established and ended in the same batch, so it counts as
        // never established.
        events.retain(|event| !matches!(event, Event::Connected(connection) if ended.contains(connection)));
        self.mark_connections_ending_in_batch(&ended);
        for event in &*events {
            if let Event::ClientCommand { client, .. } = event {
                self.count_command_in_batch(*client);
            }
        }
        self.clients.rejected_in_batch = false;
        let first_command = events.partition_point(|event| !matches!(event, Event::ClientCommand { .. }));
        let commands = events.split_off(first_command);
        for event in events.drain(..) {
            self.handle(now, event);
        }
        // Requests that have waited for the counter or a backend come before those that arrive only now.
        if !commands.is_empty() && self.engine.has_requests_to_reconsider() {
            self.poll_engine(now);
        }
        for command in commands {
            self.handle(now, command);
        }
        self.clients.commands_in_batch.clear();
    }

    /// Returns the bytes of the values that wait for earlier replies to their clients.
    pub fn waiting_value_bytes(&self) -> usize {
        self.clients.waiting_value_bytes
    }

    /// Counts a command of the batch that is about to be handled.
    fn count_command_in_batch(&mut self, client: u64) {
        *self.clients.commands_in_batch.entry(client).or_default() += 1;
        if let Some(admission) = &mut self.admission {
            admission.commands_read(client, 1);
        }
    }

    /// Fires the timers that are due, polls the policy engine, and returns the effects since the last poll. Called after
    /// each batch of events.
    pub fn poll(&mut self, now: f64) -> ReducerOutput {
        while let Some(kind) = self.timers.pop_due(now) {
            self.timer_fired(now, kind);
        }
        let next_engine_poll = self.poll_engine(now).map(|seconds| now + seconds);
        self.close_drained_clients();
        self.exit_if_overdue();
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
        let closed = self.closed_connection(connection, reason);
        self.effects.push(Effect::LogClosed(closed));
    }

    /// Returns the log line for the end of a connection.
    pub(super) fn closed_connection(
        &self,
        connection: ConnectionId,
        reason: CloseReason,
    ) -> ClosedConnection {
        let mut name = None;
        let (kind, id) = match connection {
            ConnectionId::Client(id) => ("client", id),
            ConnectionId::Backend(id) => {
                let entry = self.backends.connections.get(&id);
                name = entry.and_then(|entry| self.backends.names.resolve(entry.backend)).cloned();
                ("backend", id)
            }
            ConnectionId::Counter(id) => ("counter", id),
            ConnectionId::Discovery(id) => ("list", id),
            ConnectionId::Admin(id) => ("operator", id),
        };
        ClosedConnection { kind, id, name, reason, attempt: None }
    }

    /// Logs the reason and closes a connection.
    pub(super) fn close(&mut self, connection: ConnectionId, reason: CloseReason) {
        self.log_closed(connection, reason);
        self.effects.push(Effect::Close(connection));
    }

    /// Returns the ID for a connection that is about to be opened.
    pub(super) fn next_connection_id(&mut self) -> u64 {
        self.last_connection_id += 1;
        self.last_connection_id
    }
}

/// Returns the connection whose end the event reports, if any.
fn ended_connection(event: &Event) -> Option<ConnectionId> {
    match event {
        Event::ConnectionEnded { connection, .. } => Some(*connection),
        _ => None,
    }
}
