//! The reducer: every change of what a front door keeps goes through here. It turns events into calls of the
//! decisions and their answers into effects; it decides nothing and touches no socket.
use super::broker::Brokered;
use super::event::{Conn, Effect, End, Event, Shared, Why};
use super::kept::*;
use super::operators::{Names, Stats};
use super::roster::Roll;
use crate::wire::listing::Listing;
use crate::wire::resp::Answer;
use quillramp::decide::Door;
use quillramp::facts::{About, Start};
use quillramp::ids::{Ids, Slots};
use quillramp::types::*;
use quillramp_admission::AdmissionController;
use quillramp_operator::routes::Table;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// Where the other parties are.
pub struct Parties {
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
    pub list: SocketAddr,
    pub sockets: usize,
    /// The listening socket was passed on: another process listens on it too.
    pub passed: bool,
    /// Operators may call; and what they change can be kept.
    pub called: bool,
    pub keeps: bool,
}

pub struct Reducer {
    pub(super) door: Door,
    pub(super) about: About,
    pub(super) parties: Parties,
    pub(super) held: Slots<Held>,
    /// The ids of what is held.
    pub(super) open: HashSet<u64>,
    pub(super) customers: Ids<u64>,
    pub(super) names: Ids<String>,
    pub(super) places: Vec<Place>,
    pub(super) clients: HashMap<u64, Client>,
    /// Clients of whom commands have been read that stand further back in the batch, and how many.
    pub(super) speak: BTreeMap<u64, usize>,
    /// Who may connect and ask, where that is limited.
    pub(super) gate: Option<AdmissionController>,
    /// What callers' tokens are checked against, where they have to be known.
    pub(super) identity: Option<quillramp_identity::Authenticator>,
    /// Contracts between teams, where operators have set them.
    pub(super) broker: Option<Brokered>,
    /// Which front doors the counter hears of, where operators want to know.
    pub(super) roster: Option<Roll>,
    /// What operators have declared for which invocations.
    pub(super) routes: Table,
    /// Somebody was turned away in this batch.
    pub(super) turned_away: bool,
    pub(super) links: HashMap<u64, Link>,
    pub(super) counters: BTreeMap<u64, CounterLink>,
    pub(super) turns: HashMap<(Customer, u32), VecDeque<Turn>>,
    pub(super) counter_calls: u64,
    pub(super) list: Option<u64>,
    pub(super) watch_ends: Timer,
    /// The list service has not answered when an answer was due; a mute connection to it that may still, and until when.
    pub(super) list_mute: bool,
    pub(super) patient: Option<(u64, f64)>,
    /// The version of the list that is known here; none where it was another service's.
    pub(super) index: Option<u64>,
    pub(super) conns: u64,
    pub(super) timers: BTreeMap<Timer, Due>,
    pub(super) timer_no: u64,
    pub(super) ended: Vec<(Inv, usize, Ending, Beside)>,
    pub(super) strangers: u64,
    pub(super) operators: BTreeMap<u64, Timer>,
    pub(super) shared: Shared,
    pub(super) listed_names: Names,
    pub stats: Stats,
    pub(super) stopping: bool,
    /// By then everything is answered: the kill comes soon after.
    pub(super) ends: f64,
    /// Stopping, with another process to take over.
    pub(super) hands_over: bool,
    /// Then it holds no more descriptors than these.
    pub(super) promised: Option<usize>,
    /// Connections end between invocations; what is next in that, and which may end after this batch.
    pub(super) leaving: bool,
    pub(super) leaves: Option<Timer>,
    pub(super) parting: BTreeSet<u64>,
    pub(super) effects: Vec<Effect>,
}

impl Reducer {
    pub fn new(now: f64, start: Start, parties: Parties, known: &Listing) -> Reducer {
        let Start { door, about } = start;
        let mut new = Reducer {
            door,
            about,
            parties,
            held: Slots::default(),
            open: HashSet::new(),
            customers: Ids::default(),
            names: Ids::default(),
            places: vec![],
            clients: HashMap::new(),
            speak: BTreeMap::new(),
            gate: None,
            identity: None,
            broker: None,
            roster: None,
            routes: Table::default(),
            turned_away: false,
            links: HashMap::new(),
            counters: BTreeMap::new(),
            turns: HashMap::new(),
            counter_calls: 0,
            list: None,
            watch_ends: (0, 0),
            list_mute: false,
            patient: None,
            index: None,
            conns: 0,
            timers: BTreeMap::new(),
            timer_no: 0,
            ended: vec![],
            strangers: 0,
            operators: BTreeMap::new(),
            shared: Shared::default(),
            listed_names: Names::default(),
            stats: Stats::default(),
            stopping: false,
            ends: f64::INFINITY,
            hands_over: false,
            promised: None,
            leaving: false,
            leaves: None,
            parting: BTreeSet::new(),
            effects: vec![],
        };
        let none = vec![0; new.about.operations.len()];
        new.stats =
            Stats { completed: none.clone(), rejected: none.clone(), failed: none, ..Stats::default() };
        new.listed(now, known);
        if !new.about.asks {
            new.watch(now);
        }
        new.sweep(now);
        new
    }

    /// Takes in what has come together. New work last: it must not go to a connection whose end is in the same batch.
    pub fn batch(&mut self, now: f64, events: &mut Vec<Event>) {
        events.sort_by_key(|e| matches!(e, Event::Command(..)));
        // One that came up and ended in the same batch never was: nothing has been written to it.
        let over =
            events.iter().filter_map(|e| if let Event::Ended { conn, .. } = e { Some(*conn) } else { None });
        let over: HashSet<Conn> = over.collect();
        events.retain(|e| !matches!(e, Event::Up(conn) if over.contains(conn)));
        self.are_ending(&over);
        for id in events.iter().filter_map(|e| if let Event::Command(id, _) = e { Some(*id) } else { None }) {
            *self.speak.entry(id).or_default() += 1;
            self.gate.iter_mut().for_each(|gate| gate.commands_read(id, 1));
        }
        self.turned_away = false;
        for event in events.drain(..) {
            self.reduce(now, event);
        }
        self.speak.clear();
    }

    /// Takes one event in.
    pub fn reduce(&mut self, now: f64, event: Event) {
        match event {
            Event::Accepted(id, from) => {
                if self.leaving && self.stopping && !self.parties.passed && !self.speak.contains_key(&id) {
                    return self.close(Conn::Client(id), Why::Stopping);
                }
                if self.admitted(now, id, from) {
                    self.clients.insert(id, Client { used: now, from: Some(from), ..Client::default() });
                    self.room(now);
                }
            }
            Event::Called(id) => self.called(now, id),
            Event::Call(id, call) => self.call(now, id, call),
            Event::Kept { call, shared } => self.kept(now, call, shared),
            Event::Parted(id, why) => self.parted(id, why),
            Event::Command(id, command) => self.command(now, id, command),
            Event::Reply(id, reply, more) => self.replied(now, id, reply, more),
            Event::Begun(id) => self.begun(now, id),
            Event::Passed(id) => self.passed(now, id),
            Event::Rest(id, billed, report, more) => self.rest_of(now, id, (billed, report), more),
            Event::Response(Conn::Counter(id), r) => self.counted(now, id, r),
            Event::Response(Conn::List(id), r) => self.list_says(now, id, r),
            Event::Response(..) => {}
            Event::Partial(Conn::Client(id)) => {
                self.half(now, id);
            }
            Event::Body(id, more) => {
                self.half(now, id);
                let grown = if more { now } else { f64::INFINITY };
                self.clients.entry(id).and_modify(|c| c.grown = Some(grown));
            }
            Event::Partial(Conn::Backend(id)) => self.unasked(id),
            Event::Partial(Conn::Counter(id)) => self.counter_unasked(id),
            Event::Partial(Conn::List(_) | Conn::Operator(_)) => {}
            Event::Up(Conn::Backend(id)) => self.up(now, id),
            Event::Up(Conn::Counter(id)) => self.counter_up(id),
            Event::Withdrawn { connection, delivery } => self.withdrawn(now, connection, delivery),
            Event::Up(conn) => {
                self.effects.push(Effect::Request(conn, self.next_watch()));
            }
            Event::Ended { conn, why, unsent } => {
                self.log_end(conn, why);
                match conn {
                    Conn::Client(id) => self.client_gone(now, id),
                    Conn::Backend(id) => self.link_ended(now, id, unsent, why),
                    Conn::Counter(id) => self.counter_ended(now, id, unsent, why),
                    Conn::List(id) => self.watch_ended(now, id),
                    Conn::Operator(id) => {
                        self.operators.remove(&id).map(|key| self.timers.remove(&key));
                    }
                }
            }
            Event::Datagram { from, body } => self.heard(now, from, &body),
            // Who is turned away in this batch leaves a descriptor.
            Event::Crowded if self.turned_away => {}
            Event::Crowded => self.make_room_for_client(now),
            Event::NotMoved(why) => {
                self.stats.reload_errors += 1;
                let say = format!("configuration not taken up, the old one stays in force: {why}");
                self.effects.push(Effect::Log(say));
            }
            Event::Moved { list, counter } => {
                self.stats.reloads += 1;
                let say = format!("configuration read again: list service at {list}, counter at {counter:?}");
                self.effects.push(Effect::Log(say));
                if std::mem::replace(&mut self.parties.list, list) != list {
                    self.list_moved(now);
                }
                if std::mem::replace(&mut self.parties.counter, counter) != counter {
                    self.counter_moved();
                }
            }
            Event::Declared(declares) => self.declares(now, *declares),
            Event::Stop => self.stop(now),
        }
        self.conclude(now);
    }

    /// After a batch of events: whom to ask about again, and when to look next; what is to be done.
    pub fn settle(&mut self, now: f64) -> (Option<f64>, Vec<Effect>) {
        while let Some(e) = self.timers.first_entry().filter(|e| f64::from_bits(e.key().0) <= now) {
            let due = e.remove();
            self.due(now, due);
        }
        loop {
            self.conclude(now);
            let wait = self.door.wait(now);
            self.run_errands(now, wait.errands);
            for customer in wait.idle {
                self.customers.release(customer);
            }
            for inv in &wait.again {
                self.place(now, *inv);
            }
            if wait.again.is_empty() && self.ended.is_empty() {
                self.part();
                let own = self.timers.keys().next().map(|k| f64::from_bits(k.0));
                let next = wait.seconds.map(|s| now + s);
                let next = own.into_iter().chain(next).reduce(f64::min);
                return (next, std::mem::take(&mut self.effects));
            }
        }
    }

    pub(super) fn at(&mut self, at: f64, due: Due) -> Timer {
        self.timer_no += 1;
        let key = (at.to_bits(), self.timer_no);
        self.timers.insert(key, due);
        key
    }

    fn due(&mut self, now: f64, due: Due) {
        match due {
            Due::Dial(id) => {
                if self.links.get(&id).is_some_and(|l| !l.up) {
                    self.close(Conn::Backend(id), Why::DialTimeout);
                    self.link_ended(now, id, true, Why::DialTimeout);
                }
            }
            // The timer goes with the invocation, so the index is still its own.
            Due::GiveUp(inv) => self.time_up(inv),
            Due::Half(id) => self.half_too_long(now, id),
            Due::Stalled(inv) => self.stalled(now, inv),
            Due::Counter(id, call) => self.counter_late(now, id, call),
            Due::Ask if self.list.is_none() => self.watch(now),
            Due::Ask => {}
            Due::Watch(id) => self.watch_mute(now, id),
            Due::Sweep => self.sweep(now),
            Due::Operator(id) => self.end_call(id),
            Due::Leave => self.leave(now),
            Due::Mute => self.mute(),
            Due::Roster => self.call_roll(now),
            Due::Last => self.last(now),
            Due::Exit => self.effects.push(Effect::ExitNow),
        }
    }

    pub(super) fn log_end(&mut self, conn: Conn, why: Why) {
        let (kind, id) = match conn {
            Conn::Client(id) => ("client", id),
            Conn::Backend(id) => ("backend", id),
            Conn::Counter(id) => ("counter", id),
            Conn::List(id) => ("list", id),
            Conn::Operator(id) => ("operator", id),
        };
        let tgt = self.links.get(&id).filter(|_| matches!(conn, Conn::Backend(_)));
        let name = tgt.and_then(|l| self.names.name(l.tgt)).cloned();
        self.effects.push(Effect::LogEnd(End { kind, id, name, why }));
    }

    pub(super) fn close(&mut self, conn: Conn, why: Why) {
        self.log_end(conn, why);
        self.effects.push(Effect::Close(conn));
    }

    pub(super) fn new_conn(&mut self) -> u64 {
        self.conns += 1;
        self.conns
    }

    /// How many backends are kept, or were at the most.
    pub fn places(&self) -> usize {
        self.places.len()
    }

    // ======== the decisions

    pub(super) fn place(&mut self, now: f64, inv: Inv) {
        let Some(held) = self.held[inv].as_ref().filter(|h| !h.closed) else { return };
        let ask = held.ask;
        let answer = self.door.place(now, inv, &ask);
        self.carry_out(now, inv, answer);
    }

    /// Tells the decisions of deliveries that ended, and carries out what they say.
    pub(super) fn conclude(&mut self, now: f64) {
        while let Some((inv, delivery, ending, Beside { billed: true_units, report })) = self.ended.pop() {
            let Some(held) = self.held[inv].as_ref() else { continue };
            let sent = &held.deliveries[delivery];
            let (tgt, took, closed) = (sent.tgt, sent.took.unwrap_or(now - sent.at), held.closed);
            let outcome = Outcome { delivery, tgt, ending, took, closed, true_units, report };
            if let Some(units) = true_units {
                self.billed(now, inv, units);
            }
            let answer = self.door.after(now, inv, &outcome);
            self.carry_out(now, inv, answer);
        }
    }

    pub(super) fn carry_out(&mut self, now: f64, inv: Inv, answer: quillramp::types::Answer) {
        match answer.verdict {
            Verdict::Deliver { tgt } => self.deliver(now, inv, tgt),
            Verdict::NotYet => {}
            Verdict::Throttle { retry_after } => {
                let retry_after_ms = retry_after.map(|s| (s * 1e3).ceil() as u64);
                self.answer(now, inv, Answer::Busy { retry_after_ms });
            }
            Verdict::Error => self.answer(now, inv, Answer::Error("failed".into())),
        }
        self.run_errands(now, answer.errands);
        self.release(inv);
    }

    fn run_errands(&mut self, now: f64, errands: Errands) {
        for call in errands.counter {
            self.count(now, call);
        }
        for word in errands.words {
            self.tell(word);
        }
        for (inv, delivery) in errands.cancels {
            if self.stays_out(inv, delivery) {
                self.withdraw(inv, delivery);
            } else {
                self.give_up(inv, delivery, Ending::Cancelled);
            }
        }
        if errands.ask_for_list && self.list.is_none() {
            self.watch(now);
        }
        self.effects.extend(errands.log.into_iter().map(Effect::Log));
    }

    /// Frees an invocation that is over.
    pub(super) fn release(&mut self, inv: Inv) {
        let Some(held) = self.held[inv].as_ref().filter(|h| h.closed && !h.out()) else { return };
        if !self.ended.iter().any(|e| e.0 == inv) {
            held.ends.map(|key| self.timers.remove(&key));
            self.open.remove(&held.call.id);
            self.unused(inv);
            self.held.release(inv);
        }
    }
}
