//! The reducer: every change of what a front door keeps goes through here. It turns events into calls of the
//! decisions and their answers into effects; it decides nothing and touches no socket.
use super::broker::Brokered;
use super::event::{CloseReason, ClosedConnection, ConnectionId, Effect, Event, SharedState};
use super::kept::*;
use super::operators::{Names, Stats};
use super::roster::Roll;
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
    pub(super) requests: Slab<Held>,
    /// The ids of what is held.
    pub(super) open_request_ids: HashSet<u64>,
    pub(super) customers: Interner<u64>,
    pub(super) backend_names: Interner<String>,
    pub(super) backends: Vec<Place>,
    pub(super) clients: HashMap<u64, Client>,
    /// Clients of whom commands have been read that stand further back in the batch, and how many.
    pub(super) unread_commands: BTreeMap<u64, usize>,
    /// Who may connect and ask, where that is limited.
    pub(super) admission: Option<AdmissionController>,
    /// What callers' tokens are checked against, where they have to be known.
    pub(super) identity: Option<quillramp_identity::Authenticator>,
    /// Contracts between teams, where operators have set them.
    pub(super) broker: Option<Brokered>,
    /// Which front doors the counter hears of, where operators want to know.
    pub(super) presence: Option<Roll>,
    /// What operators have declared for which invocations.
    pub(super) routes: Table,
    /// Somebody was turned away in this batch.
    pub(super) rejected_in_batch: bool,
    pub(super) backend_connections: HashMap<u64, Link>,
    pub(super) counter_connections: BTreeMap<u64, CounterLink>,
    pub(super) counter_queues: HashMap<(CustomerIndex, u32), VecDeque<Turn>>,
    pub(super) counter_calls: u64,
    pub(super) watch_connection: Option<u64>,
    pub(super) watch_timer: Timer,
    /// The list service has not answered when an answer was due; a mute connection to it that may still, and until when.
    pub(super) discovery_unresponsive: bool,
    pub(super) overdue_watch: Option<(u64, f64)>,
    /// The version of the list that is known here; none where it was another service's.
    pub(super) endpoint_version: Option<u64>,
    pub(super) last_connection: u64,
    pub(super) timers: BTreeMap<Timer, Due>,
    pub(super) last_timer: u64,
    pub(super) ended_attempts: Vec<(RequestIndex, usize, AttemptResult, Beside)>,
    pub(super) unknown_datagrams: u64,
    pub(super) admin_connections: BTreeMap<u64, Timer>,
    pub(super) shared: SharedState,
    pub(super) known_backends: Names,
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
    pub(super) drain_timer: Option<Timer>,
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
            known_backends: Names::default(),
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
        new.listed(now, known);
        if !new.instance.polls_endpoints {
            new.watch(now);
        }
        new.sweep(now);
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
        self.are_ending(&over);
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
                if self.admitted(now, id, from) {
                    self.clients.insert(id, Client { used: now, from: Some(from), ..Client::default() });
                    self.room(now);
                }
            }
            Event::AdminConnected(id) => self.called(now, id),
            Event::AdminCall(id, call) => self.call(now, id, call),
            Event::SharedStateSaved { call, shared } => self.kept(now, call, shared),
            Event::IdleClientClosed(id, why) => self.parted(id, why),
            Event::ClientCommand(id, command) => self.command(now, id, command),
            Event::BackendReply(id, reply, more) => self.replied(now, id, reply, more),
            Event::StreamStarted(id) => self.begun(now, id),
            Event::StreamForwarded(id) => self.passed(now, id),
            Event::StreamTrailer(id, billed, report, more) => self.rest_of(now, id, (billed, report), more),
            Event::HttpResponse(ConnectionId::Counter(id), r) => self.counted(now, id, r),
            Event::HttpResponse(ConnectionId::Discovery(id), r) => self.list_says(now, id, r),
            Event::HttpResponse(..) => {}
            Event::PartialMessage(ConnectionId::Client(id)) => {
                self.half(now, id);
            }
            Event::BodyProgress(id, more) => {
                self.half(now, id);
                let grown = if more { now } else { f64::INFINITY };
                self.clients.entry(id).and_modify(|c| c.grown = Some(grown));
            }
            Event::PartialMessage(ConnectionId::Backend(id)) => self.unasked(id),
            Event::PartialMessage(ConnectionId::Counter(id)) => self.counter_unasked(id),
            Event::PartialMessage(ConnectionId::Discovery(_) | ConnectionId::Admin(_)) => {}
            Event::Connected(ConnectionId::Backend(id)) => self.up(now, id),
            Event::Connected(ConnectionId::Counter(id)) => self.counter_up(id),
            Event::Withdrawn { connection, attempt: delivery } => self.withdrawn(now, connection, delivery),
            Event::Connected(conn) => {
                self.effects.push(Effect::HttpRequest(conn, self.next_watch()));
            }
            Event::ConnectionEnded { connection: conn, reason: why, unsent } => {
                self.log_end(conn, why);
                match conn {
                    ConnectionId::Client(id) => self.client_gone(now, id),
                    ConnectionId::Backend(id) => self.link_ended(now, id, unsent, why),
                    ConnectionId::Counter(id) => self.counter_ended(now, id, unsent, why),
                    ConnectionId::Discovery(id) => self.watch_ended(now, id),
                    ConnectionId::Admin(id) => {
                        self.admin_connections.remove(&id).map(|key| self.timers.remove(&key));
                    }
                }
            }
            Event::Datagram { from, body } => self.heard(now, from, &body),
            // Who is turned away in this batch leaves a descriptor.
            Event::DescriptorsExhausted if self.rejected_in_batch => {}
            Event::DescriptorsExhausted => self.make_room_for_client(now),
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
                    self.list_moved(now);
                }
                if std::mem::replace(&mut self.config.counter, counter) != counter {
                    self.counter_moved();
                }
            }
            Event::OperatorFileReloaded(declares) => self.declares(now, *declares),
            Event::Shutdown => self.stop(now),
        }
        self.conclude(now);
    }

    /// After a batch of events: whom to ask about again, and when to look next; what is to be done.
    pub fn poll(&mut self, now: f64) -> (Option<f64>, Vec<Effect>) {
        while let Some(e) = self.timers.first_entry().filter(|e| f64::from_bits(e.key().0) <= now) {
            let due = e.remove();
            self.due(now, due);
        }
        loop {
            self.conclude(now);
            let wait = self.engine.poll(now);
            self.run_errands(now, wait.effects);
            for customer in wait.evicted_customers {
                self.customers.release(customer);
            }
            for inv in &wait.reconsider {
                self.place(now, *inv);
            }
            if wait.reconsider.is_empty() && self.ended_attempts.is_empty() {
                self.part();
                let own = self.timers.keys().next().map(|k| f64::from_bits(k.0));
                let next = wait.next_poll_in.map(|s| now + s);
                let next = own.into_iter().chain(next).reduce(f64::min);
                return (next, std::mem::take(&mut self.effects));
            }
        }
    }

    pub(super) fn at(&mut self, at: f64, due: Due) -> Timer {
        self.last_timer += 1;
        let key = (at.to_bits(), self.last_timer);
        self.timers.insert(key, due);
        key
    }

    fn due(&mut self, now: f64, due: Due) {
        match due {
            Due::Dial(id) => {
                if self.backend_connections.get(&id).is_some_and(|l| !l.up) {
                    self.close(ConnectionId::Backend(id), CloseReason::DialTimeout);
                    self.link_ended(now, id, true, CloseReason::DialTimeout);
                }
            }
            // The timer goes with the invocation, so the index is still its own.
            Due::GiveUp(inv) => self.time_up(inv),
            Due::Half(id) => self.half_too_long(now, id),
            Due::Stalled(inv) => self.stalled(now, inv),
            Due::Counter(id, call) => self.counter_late(now, id, call),
            Due::Ask if self.watch_connection.is_none() => self.watch(now),
            Due::Ask => {}
            Due::Watch(id) => self.watch_mute(now, id),
            Due::Sweep => self.sweep(now),
            Due::Operator(id) => self.end_call(id),
            Due::Leave => self.leave(now),
            Due::Mute => self.mute(),
            Due::Roster => self.call_roll(now),
            Due::Last => self.last(now),
            Due::Exit => self.effects.push(Effect::ExitImmediately),
        }
    }

    pub(super) fn log_end(&mut self, conn: ConnectionId, why: CloseReason) {
        let (kind, id) = match conn {
            ConnectionId::Client(id) => ("client", id),
            ConnectionId::Backend(id) => ("backend", id),
            ConnectionId::Counter(id) => ("counter", id),
            ConnectionId::Discovery(id) => ("list", id),
            ConnectionId::Admin(id) => ("operator", id),
        };
        let tgt = self.backend_connections.get(&id).filter(|_| matches!(conn, ConnectionId::Backend(_)));
        let name = tgt.and_then(|l| self.backend_names.resolve(l.tgt)).cloned();
        self.effects.push(Effect::LogClosed(ClosedConnection { kind, id, name, reason: why }));
    }

    pub(super) fn close(&mut self, conn: ConnectionId, why: CloseReason) {
        self.log_end(conn, why);
        self.effects.push(Effect::Close(conn));
    }

    pub(super) fn new_conn(&mut self) -> u64 {
        self.last_connection += 1;
        self.last_connection
    }

    /// How many backends are kept, or were at the most.
    pub fn backend_count(&self) -> usize {
        self.backends.len()
    }

    // ======== the decisions

    pub(super) fn place(&mut self, now: f64, inv: RequestIndex) {
        let Some(held) = self.requests[inv].as_ref().filter(|h| !h.closed) else { return };
        let ask = held.ask;
        let answer = self.engine.route(now, inv, &ask);
        self.carry_out(now, inv, answer);
    }

    /// Tells the decisions of deliveries that ended, and carries out what they say.
    pub(super) fn conclude(&mut self, now: f64) {
        while let Some((inv, delivery, ending, Beside { billed: true_units, report })) =
            self.ended_attempts.pop()
        {
            let Some(held) = self.requests[inv].as_ref() else { continue };
            let sent = &held.deliveries[delivery];
            let (tgt, took, closed) = (sent.tgt, sent.took.unwrap_or(now - sent.at), held.closed);
            let outcome = AttemptOutcome {
                attempt: delivery,
                backend: tgt,
                result: ending,
                duration: took,
                request_closed: closed,
                billed_units: true_units,
                load_report: report,
            };
            if let Some(units) = true_units {
                self.billed(now, inv, units);
            }
            let answer = self.engine.attempt_ended(now, inv, &outcome);
            self.carry_out(now, inv, answer);
        }
    }

    pub(super) fn carry_out(&mut self, now: f64, inv: RequestIndex, answer: quillramp::types::PolicyOutput) {
        match answer.decision {
            Decision::Forward { backend: tgt } => self.deliver(now, inv, tgt),
            Decision::Pending => {}
            Decision::Throttle { retry_after } => {
                let retry_after_ms = retry_after.map(|s| (s * 1e3).ceil() as u64);
                self.answer(now, inv, ClientReply::Busy { retry_after_ms });
            }
            Decision::Error => self.answer(now, inv, ClientReply::Error("failed".into())),
        }
        self.run_errands(now, answer.effects);
        self.release(inv);
    }

    fn run_errands(&mut self, now: f64, errands: Effects) {
        for call in errands.counter_calls {
            self.count(now, call);
        }
        for word in errands.gossip {
            self.tell(word);
        }
        for (inv, delivery) in errands.cancellations {
            if self.stays_out(inv, delivery) {
                self.withdraw(inv, delivery);
            } else {
                self.give_up(inv, delivery, AttemptResult::Cancelled);
            }
        }
        if errands.fetch_endpoints && self.watch_connection.is_none() {
            self.watch(now);
        }
        self.effects.extend(errands.log.into_iter().map(Effect::Log));
    }

    /// Frees an invocation that is over.
    pub(super) fn release(&mut self, inv: RequestIndex) {
        let Some(held) = self.requests[inv].as_ref().filter(|h| h.closed && !h.out()) else { return };
        if !self.ended_attempts.iter().any(|e| e.0 == inv) {
            held.ends.map(|key| self.timers.remove(&key));
            self.open_request_ids.remove(&held.call.id);
            self.unused(inv);
            self.requests.release(inv);
        }
    }
}
