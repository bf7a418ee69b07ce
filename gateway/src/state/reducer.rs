//! The reducer: every change of what a front door keeps goes through here. It turns events into calls of the
//! decisions and their answers into effects; it decides nothing and touches no socket.
use super::admin::{KnownBackends, Stats};
use super::broker::BrokerState;
use super::event::{CloseReason, ClosedConnection, ConnectionId, Effect, Event, SharedState};
use super::kept::*;
use super::presence::PresenceState;
use crate::wire::endpoints::EndpointList;
use crate::wire::resp::ClientReply;
use quillramp::interner::{Interner, Slab};
use quillramp::policy::PolicyEngine;
use quillramp::settings::{InstanceSettings, Loaded};
use quillramp::types::*;
use quillramp_admission::AdmissionController;
use quillramp_operator::routes::Table;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// Where the other parties are.
pub struct ReducerConfig {
    pub peers: Vec<SocketAddr>,
    pub peer_broadcast: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub max_descriptors: usize,
    /// The listening socket was passed on: another process listens on it too.
    pub inherited_listener: bool,
    /// Operators may call; and what they change can be kept.
    pub admin_enabled: bool,
    pub saves_changes: bool,
}

pub struct Reducer {
    pub(super) engine: PolicyEngine,
    pub(super) instance: InstanceSettings,
    pub(super) config: ReducerConfig,
    pub(super) requests: Slab<PendingRequest>,
    /// The ids of what is held.
    pub(super) open_request_ids: HashSet<u64>,
    pub(super) customers: Interner<u64>,
    pub(super) backend_names: Interner<String>,
    pub(super) backends: Vec<BackendEntry>,
    pub(super) clients: HashMap<u64, Client>,
    /// Clients of whom commands have been read that stand further back in the batch, and how many.
    pub(super) unread_commands: BTreeMap<u64, usize>,
    /// Who may connect and ask, where that is limited.
    pub(super) admission: Option<AdmissionController>,
    /// What callers' tokens are checked against, where they have to be known.
    pub(super) identity: Option<quillramp_identity::Authenticator>,
    /// Contracts between teams, where operators have set them.
    pub(super) broker: Option<BrokerState>,
    /// Which front doors the counter hears of, where operators want to know.
    pub(super) presence: Option<PresenceState>,
    /// What operators have declared for which invocations.
    pub(super) routes: Table,
    /// Somebody was turned away in this batch.
    pub(super) rejected_in_batch: bool,
    pub(super) backend_connections: HashMap<u64, BackendConnection>,
    pub(super) counter_connections: BTreeMap<u64, CounterConnection>,
    pub(super) counter_queues: HashMap<(CustomerIndex, u32), VecDeque<PendingCall>>,
    pub(super) counter_calls: u64,
    pub(super) watch_connection: Option<u64>,
    pub(super) watch_timer: TimerKey,
    /// The list service has not answered when an answer was due; a mute connection to it that may still, and until when.
    pub(super) discovery_unresponsive: bool,
    pub(super) overdue_watch: Option<(u64, f64)>,
    /// The version of the list that is known here; none where it was another service's.
    pub(super) endpoint_version: Option<u64>,
    pub(super) last_connection: u64,
    pub(super) timers: BTreeMap<TimerKey, TimerKind>,
    pub(super) last_timer: u64,
    pub(super) ended_attempts: Vec<(RequestIndex, usize, AttemptResult, ResponseMetadata)>,
    pub(super) unknown_datagrams: u64,
    pub(super) admin_connections: BTreeMap<u64, TimerKey>,
    pub(super) shared: SharedState,
    pub(super) known_backends: KnownBackends,
    pub stats: Stats,
    pub(super) stopping: bool,
    /// By then everything is answered: the kill comes soon after.
    pub(super) shutdown_deadline: f64,
    /// Stopping, with another process to take over.
    pub(super) hands_over_listener: bool,
    /// Then it holds no more descriptors than these.
    pub(super) announced_descriptor_limit: Option<usize>,
    /// Connections end between invocations; what is next in that, and which may end after this batch.
    pub(super) draining: bool,
    pub(super) drain_timer: Option<TimerKey>,
    pub(super) closing_clients: BTreeSet<u64>,
    pub(super) effects: Vec<Effect>,
}

impl Reducer {
    pub fn new(now: f64, start: Loaded, parties: ReducerConfig, known: &EndpointList) -> Reducer {
        let Loaded { engine: door, instance: about } = start;
        let mut new = Reducer {
            engine: door,
            instance: about,
            config: parties,
            requests: Slab::default(),
            open_request_ids: HashSet::new(),
            customers: Interner::default(),
            backend_names: Interner::default(),
            backends: vec![],
            clients: HashMap::new(),
            unread_commands: BTreeMap::new(),
            admission: None,
            identity: None,
            broker: None,
            presence: None,
            routes: Table::default(),
            rejected_in_batch: false,
            backend_connections: HashMap::new(),
            counter_connections: BTreeMap::new(),
            counter_queues: HashMap::new(),
            counter_calls: 0,
            watch_connection: None,
            watch_timer: (0, 0),
            discovery_unresponsive: false,
            overdue_watch: None,
            endpoint_version: None,
            last_connection: 0,
            timers: BTreeMap::new(),
            last_timer: 0,
            ended_attempts: vec![],
            unknown_datagrams: 0,
            admin_connections: BTreeMap::new(),
            shared: SharedState::default(),
            known_backends: KnownBackends::default(),
            stats: Stats::default(),
            stopping: false,
            shutdown_deadline: f64::INFINITY,
            hands_over_listener: false,
            announced_descriptor_limit: None,
            draining: false,
            drain_timer: None,
            closing_clients: BTreeSet::new(),
            effects: vec![],
        };
        let none = vec![0; new.instance.operations.len()];
        new.stats =
            Stats { completed: none.clone(), rejected: none.clone(), failed: none, ..Stats::default() };
        new.apply_endpoint_list(now, known);
        if !new.instance.polls_endpoints {
            new.open_watch(now);
        }
        new.close_idle_connections(now);
        new
    }

    /// Takes in what has come together. New work last: it must not go to a connection whose end is in the same batch.
    pub fn handle_batch(&mut self, now: f64, events: &mut Vec<Event>) {
        events.sort_by_key(|e| matches!(e, Event::ClientCommand(..)));
        // One that came up and ended in the same batch never was: nothing has been written to it.
        let over = events.iter().filter_map(|e| {
            if let Event::ConnectionEnded { connection: conn, .. } = e {
                Some(*conn)
            } else {
                None
            }
        });
        let over: HashSet<ConnectionId> = over.collect();
        events.retain(|e| !matches!(e, Event::Connected(conn) if over.contains(conn)));
        self.mark_ending(&over);
        for id in
            events.iter().filter_map(|e| if let Event::ClientCommand(id, _) = e { Some(*id) } else { None })
        {
            *self.unread_commands.entry(id).or_default() += 1;
            self.admission.iter_mut().for_each(|gate| gate.commands_read(id, 1));
        }
        self.rejected_in_batch = false;
        for event in events.drain(..) {
            self.handle(now, event);
        }
        self.unread_commands.clear();
    }

    /// Takes one event in.
    pub fn handle(&mut self, now: f64, event: Event) {
        match event {
            Event::ClientAccepted(id, from) => {
                if self.draining
                    && self.stopping
                    && !self.config.inherited_listener
                    && !self.unread_commands.contains_key(&id)
                {
                    return self.close(ConnectionId::Client(id), CloseReason::Stopping);
                }
                if self.admit_client(now, id, from) {
                    self.clients.insert(id, Client { used: now, from: Some(from), ..Client::default() });
                    self.ensure_free_descriptor(now);
                }
            }
            Event::AdminConnected(id) => self.admin_connected(now, id),
            Event::AdminCall(id, call) => self.admin_call(now, id, call),
            Event::SharedStateSaved { call, shared } => self.shared_state_saved(now, call, shared),
            Event::IdleClientClosed(id, why) => self.idle_client_closed(id, why),
            Event::ClientCommand(id, command) => self.client_command(now, id, command),
            Event::BackendReply(id, reply, more) => self.backend_replied(now, id, reply, more),
            Event::StreamStarted(id) => self.stream_started(now, id),
            Event::StreamForwarded(id) => self.stream_forwarded(now, id),
            Event::StreamTrailer(id, billed, report, more) => {
                self.stream_trailer_received(now, id, (billed, report), more)
            }
            Event::HttpResponse(ConnectionId::Counter(id), r) => self.counter_responded(now, id, r),
            Event::HttpResponse(ConnectionId::Discovery(id), r) => self.discovery_responded(now, id, r),
            Event::HttpResponse(..) => {}
            Event::PartialMessage(ConnectionId::Client(id)) => {
                self.partial_command_received(now, id);
            }
            Event::BodyProgress(id, more) => {
                self.partial_command_received(now, id);
                let grown = if more { now } else { f64::INFINITY };
                self.clients.entry(id).and_modify(|c| c.grown = Some(grown));
            }
            Event::PartialMessage(ConnectionId::Backend(id)) => self.unexpected_backend_data(id),
            Event::PartialMessage(ConnectionId::Counter(id)) => self.unexpected_counter_data(id),
            Event::PartialMessage(ConnectionId::Discovery(_) | ConnectionId::Admin(_)) => {}
            Event::Connected(ConnectionId::Backend(id)) => self.backend_connected(now, id),
            Event::Connected(ConnectionId::Counter(id)) => self.counter_connected(id),
            Event::Withdrawn { connection, attempt: delivery } => {
                self.attempt_withdrawn(now, connection, delivery)
            }
            Event::Connected(conn) => {
                self.effects.push(Effect::HttpRequest(conn, self.next_watch_request()));
            }
            Event::ConnectionEnded { connection: conn, reason: why, unsent } => {
                self.log_closed(conn, why);
                match conn {
                    ConnectionId::Client(id) => self.client_disconnected(now, id),
                    ConnectionId::Backend(id) => self.backend_connection_ended(now, id, unsent, why),
                    ConnectionId::Counter(id) => self.counter_connection_ended(now, id, unsent, why),
                    ConnectionId::Discovery(id) => self.discovery_connection_ended(now, id),
                    ConnectionId::Admin(id) => {
                        self.admin_connections.remove(&id).map(|key| self.timers.remove(&key));
                    }
                }
            }
            Event::Datagram { from, body } => self.datagram_received(now, from, &body),
            // Who is turned away in this batch leaves a descriptor.
            Event::DescriptorsExhausted if self.rejected_in_batch => {}
            Event::DescriptorsExhausted => self.free_descriptor_for_client(now),
            Event::ReloadFailed(why) => {
                self.stats.reload_errors += 1;
                let say = format!("configuration not taken up, the old one stays in force: {why}");
                self.effects.push(Effect::Log(say));
            }
            Event::ConfigurationReloaded { discovery: list, counter } => {
                self.stats.reloads += 1;
                let say = format!("configuration read again: list service at {list}, counter at {counter:?}");
                self.effects.push(Effect::Log(say));
                if std::mem::replace(&mut self.config.discovery, list) != list {
                    self.discovery_address_changed(now);
                }
                if std::mem::replace(&mut self.config.counter, counter) != counter {
                    self.counter_address_changed();
                }
            }
            Event::OperatorFileReloaded(declares) => self.apply_operator_update(now, *declares),
            Event::Shutdown => self.begin_shutdown(now),
        }
        self.report_ended_attempts(now);
    }

    /// After a batch of events: whom to ask about again, and when to look next; what is to be done.
    pub fn poll(&mut self, now: f64) -> (Option<f64>, Vec<Effect>) {
        while let Some(e) = self.timers.first_entry().filter(|e| f64::from_bits(e.key().0) <= now) {
            let due = e.remove();
            self.timer_fired(now, due);
        }
        loop {
            self.report_ended_attempts(now);
            let wait = self.engine.poll(now);
            self.apply_effects(now, wait.effects);
            for customer in wait.evicted_customers {
                self.customers.release(customer);
            }
            for inv in &wait.reconsider {
                self.route_request(now, *inv);
            }
            if wait.reconsider.is_empty() && self.ended_attempts.is_empty() {
                self.close_drained_clients();
                let own = self.timers.keys().next().map(|k| f64::from_bits(k.0));
                let next = wait.next_poll_in.map(|s| now + s);
                let next = own.into_iter().chain(next).reduce(f64::min);
                return (next, std::mem::take(&mut self.effects));
            }
        }
    }

    pub(super) fn schedule(&mut self, at: f64, due: TimerKind) -> TimerKey {
        self.last_timer += 1;
        let key = (at.to_bits(), self.last_timer);
        self.timers.insert(key, due);
        key
    }

    fn timer_fired(&mut self, now: f64, due: TimerKind) {
        match due {
            TimerKind::ConnectTimeout(id) => {
                if self.backend_connections.get(&id).is_some_and(|l| !l.up) {
                    self.close(ConnectionId::Backend(id), CloseReason::DialTimeout);
                    self.backend_connection_ended(now, id, true, CloseReason::DialTimeout);
                }
            }
            // The timer goes with the invocation, so the index is still its own.
            TimerKind::RequestTimeout(inv) => self.time_out_attempts(inv),
            TimerKind::PartialCommand(id) => self.partial_command_timed_out(now, id),
            TimerKind::StreamStalled(inv) => self.close_if_stalled(now, inv),
            TimerKind::CounterTimeout(id, call) => self.counter_call_timed_out(now, id, call),
            TimerKind::RetryWatch if self.watch_connection.is_none() => self.open_watch(now),
            TimerKind::RetryWatch => {}
            TimerKind::WatchTimeout(id) => self.watch_timed_out(now, id),
            TimerKind::IdleCheck => self.close_idle_connections(now),
            TimerKind::AdminTimeout(id) => self.close_admin_connection(id),
            TimerKind::BeginDrain => self.begin_drain(now),
            TimerKind::StopReading => self.stop_reading_busy_clients(),
            TimerKind::PresenceCall => self.call_presence_counters(now),
            TimerKind::AnswerBeforeExit => self.answer_before_exit(now),
            TimerKind::Exit => self.effects.push(Effect::ExitImmediately),
        }
    }

    pub(super) fn log_closed(&mut self, conn: ConnectionId, why: CloseReason) {
        let (kind, id) = match conn {
            ConnectionId::Client(id) => ("client", id),
            ConnectionId::Backend(id) => ("backend", id),
            ConnectionId::Counter(id) => ("counter", id),
            ConnectionId::Discovery(id) => ("list", id),
            ConnectionId::Admin(id) => ("operator", id),
        };
        let backend = self.backend_connections.get(&id).filter(|_| matches!(conn, ConnectionId::Backend(_)));
        let name = backend.and_then(|l| self.backend_names.resolve(l.backend)).cloned();
        self.effects.push(Effect::LogClosed(ClosedConnection { kind, id, name, reason: why }));
    }

    pub(super) fn close(&mut self, conn: ConnectionId, why: CloseReason) {
        self.log_closed(conn, why);
        self.effects.push(Effect::Close(conn));
    }

    pub(super) fn next_connection_id(&mut self) -> u64 {
        self.last_connection += 1;
        self.last_connection
    }

    /// How many backends are kept, or were at the most.
    pub fn backend_count(&self) -> usize {
        self.backends.len()
    }

    // ======== the decisions

    pub(super) fn route_request(&mut self, now: f64, inv: RequestIndex) {
        let Some(held) = self.requests[inv].as_ref().filter(|h| !h.closed) else { return };
        let ask = held.ask;
        let answer = self.engine.route(now, inv, &ask);
        self.apply_output(now, inv, answer);
    }

    /// Tells the decisions of deliveries that ended, and carries out what they say.
    pub(super) fn report_ended_attempts(&mut self, now: f64) {
        while let Some((inv, delivery, ending, ResponseMetadata { billed: true_units, report })) =
            self.ended_attempts.pop()
        {
            let Some(held) = self.requests[inv].as_ref() else { continue };
            let sent = &held.deliveries[delivery];
            let (backend, took, closed) = (sent.backend, sent.took.unwrap_or(now - sent.at), held.closed);
            let outcome = AttemptOutcome {
                attempt: delivery,
                backend,
                result: ending,
                duration: took,
                request_closed: closed,
                billed_units: true_units,
                load_report: report,
            };
            if let Some(units) = true_units {
                self.settle_grant(now, inv, units);
            }
            let answer = self.engine.attempt_ended(now, inv, &outcome);
            self.apply_output(now, inv, answer);
        }
    }

    pub(super) fn apply_output(
        &mut self,
        now: f64,
        inv: RequestIndex,
        answer: quillramp::types::PolicyOutput,
    ) {
        match answer.decision {
            Decision::Forward { backend } => self.forward(now, inv, backend),
            Decision::Pending => {}
            Decision::Throttle { retry_after } => {
                let retry_after_ms = retry_after.map(|s| (s * 1e3).ceil() as u64);
                self.answer_request(now, inv, ClientReply::Busy { retry_after_ms });
            }
            Decision::Error => self.answer_request(now, inv, ClientReply::Error("failed".into())),
        }
        self.apply_effects(now, answer.effects);
        self.release_if_finished(inv);
    }

    fn apply_effects(&mut self, now: f64, errands: Effects) {
        for call in errands.counter_calls {
            self.call_counter(now, call);
        }
        for word in errands.gossip {
            self.send_gossip(word);
        }
        for (inv, delivery) in errands.cancellations {
            if self.shares_connection(inv, delivery) {
                self.withdraw_attempt(inv, delivery);
            } else {
                self.cancel_attempt(inv, delivery, AttemptResult::Cancelled);
            }
        }
        if errands.fetch_endpoints && self.watch_connection.is_none() {
            self.open_watch(now);
        }
        self.effects.extend(errands.log.into_iter().map(Effect::Log));
    }

    /// Frees an invocation that is over.
    pub(super) fn release_if_finished(&mut self, inv: RequestIndex) {
        let Some(held) = self.requests[inv].as_ref().filter(|h| h.closed && !h.out()) else { return };
        if !self.ended_attempts.iter().any(|e| e.0 == inv) {
            held.ends.map(|key| self.timers.remove(&key));
            self.open_request_ids.remove(&held.call.id);
            self.refund_unforwarded(inv);
            self.requests.release(inv);
        }
    }
}
