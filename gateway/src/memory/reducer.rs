//! The reducer: every change of what a front door keeps goes through here. It turns events into calls of the
//! decisions and their answers into effects; it decides nothing and touches no socket.
use super::event::{Conn, Effect, Event, Why};
use super::kept::*;
use crate::wire::http::{Request, Response};
use crate::wire::listing::{self, Listing};
use crate::wire::resp::{Answer, Call, Command, Reply};
use quillramp::decide::Door;
use quillramp::facts::Start;
use quillramp::ids::Ids;
use quillramp::types::*;
use quillramp::word::{self, Said};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// The protocol's own figures: how long a watch waits and may overrun, how long clients keep coming after
/// SIGTERM, how many connections a counter holds for us at the most (half of what it would), when it closes
/// idle ones, how long a datagram may be.
const WATCH: f64 = 20.0;
const OVERRUN: f64 = 2.0;
const LINGER: f64 = 0.5;
const KILL: f64 = 3.0;
const COUNTER_LINKS: usize = 16;
const COUNTER_PIPES: usize = 2;
const COUNTER_IDLE: f64 = 10.0;
const DATAGRAM: usize = 256;
/// Descriptors kept for listening, the log, the loop and the like.
const RESERVE: usize = 32;

/// Where the other parties are.
pub struct Parties {
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
    pub list: SocketAddr,
    pub sockets: usize,
}

pub struct Reducer {
    door: Door,
    start: Facts,
    parties: Parties,
    held: Vec<Option<Held>>,
    free: Vec<Inv>,
    serials: u64,
    customers: Ids<u64>,
    names: Ids<String>,
    places: Vec<Place>,
    clients: HashMap<u64, Client>,
    links: HashMap<u64, Link>,
    counters: BTreeMap<u64, CounterLink>,
    counter_calls: u64,
    list: Option<u64>,
    watch_ends: Timer,
    index: u64,
    conns: u64,
    timers: BTreeMap<Timer, Due>,
    timer_no: u64,
    ended: Vec<(Inv, usize, Ending, Option<f64>)>,
    strangers: u64,
    stopping: bool,
    leaving: bool,
    effects: Vec<Effect>,
}

/// Of the start, what the reducer needs itself.
struct Facts {
    doors: usize,
    slot: usize,
    operations: Vec<String>,
    plans: Vec<String>,
    zones: Vec<String>,
    dial_timeout: f64,
    link_idle: f64,
    per_link: usize,
    counter_timeout: f64,
    longest: f64,
}

impl Reducer {
    pub fn new(now: f64, start: Start, parties: Parties, known: &Listing) -> Reducer {
        let asks = start.asks;
        let facts = Facts {
            doors: start.doors,
            slot: start.slot,
            operations: start.operations,
            plans: start.plans,
            zones: start.zones,
            dial_timeout: start.dial_timeout,
            link_idle: start.link_idle,
            per_link: start.per_link,
            counter_timeout: start.counter_timeout,
            longest: start.longest_timeout,
        };
        let mut new = Reducer {
            door: start.door,
            start: facts,
            parties,
            held: vec![],
            free: vec![],
            serials: 0,
            customers: Ids::default(),
            names: Ids::default(),
            places: vec![],
            clients: HashMap::new(),
            links: HashMap::new(),
            counters: BTreeMap::new(),
            counter_calls: 0,
            list: None,
            watch_ends: (0, 0),
            index: 0,
            conns: 0,
            timers: BTreeMap::new(),
            timer_no: 0,
            ended: vec![],
            strangers: 0,
            stopping: false,
            leaving: false,
            effects: vec![],
        };
        new.listed(now, known);
        if !asks {
            new.watch(now);
        }
        new.at(now + new.start.link_idle / 8.0, Due::Sweep);
        new
    }

    /// Takes one event in.
    pub fn reduce(&mut self, now: f64, event: Event) {
        match event {
            Event::Accepted(id) => {
                if self.leaving {
                    return self.close(Conn::Client(id), Why::Stopping);
                }
                self.clients.insert(id, Client { used: now, ..Client::default() });
                self.room();
            }
            Event::Command(id, command) => self.command(now, id, command),
            Event::Reply(id, reply) => self.replied(now, id, reply),
            Event::Response(Conn::Counter(id), r) => self.counted(now, id, r),
            Event::Response(Conn::List(id), r) if self.list == Some(id) => self.watched(now, id, r),
            Event::Response(..) => {}
            Event::Up(Conn::Backend(id)) => self.up(now, id),
            Event::Up(Conn::Counter(id)) => self.counter_up(id),
            Event::Up(conn) => {
                self.effects.push(Effect::Request(conn, self.next_watch()));
            }
            Event::Ended { conn, why, unsent } => {
                self.log_end(conn, why);
                match conn {
                    Conn::Client(id) => self.client_gone(id),
                    Conn::Backend(id) => self.link_ended(id, unsent),
                    Conn::Counter(id) => self.counter_ended(now, id, unsent),
                    Conn::List(id) if self.list == Some(id) => self.watch_failed(now),
                    Conn::List(_) => {}
                }
            }
            Event::Datagram { from, body } => self.heard(now, from, &body),
            Event::Crowded => self.make_room(),
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
                let own = self.timers.keys().next().map(|k| f64::from_bits(k.0));
                let next = wait.seconds.map(|s| now + s);
                let next = own.into_iter().chain(next).reduce(f64::min);
                return (next, std::mem::take(&mut self.effects));
            }
        }
    }

    fn at(&mut self, at: f64, due: Due) -> Timer {
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
                    self.link_ended(id, true);
                }
            }
            Due::GiveUp(inv, serial) => {
                let held = self.held[inv].as_ref().filter(|h| h.serial == serial);
                let out = held.map_or(0, |h| h.deliveries.len());
                for i in 0..out {
                    self.give_up(inv, i, Ending::TimedOut);
                }
            }
            Due::Counter(id, call) => self.counter_late(now, id, call),
            Due::Watch(id) => {
                if self.list == Some(id) {
                    self.close(Conn::List(id), Why::Silent);
                    self.watch_failed(now);
                }
            }
            Due::Sweep => {
                self.sweep(now);
                self.at(now + self.start.link_idle / 8.0, Due::Sweep);
            }
            Due::Leave => self.leave(),
            Due::Exit => self.effects.push(Effect::ExitNow),
        }
    }

    fn log_end(&mut self, conn: Conn, why: Why) {
        let (kind, id) = match conn {
            Conn::Client(id) => ("client", id),
            Conn::Backend(id) => ("backend", id),
            Conn::Counter(id) => ("counter", id),
            Conn::List(id) => ("list", id),
        };
        let tgt = self.links.get(&id).filter(|_| matches!(conn, Conn::Backend(_)));
        let name = tgt.and_then(|l| self.names.name(l.tgt)).map_or("", |n| n);
        let space = if name.is_empty() { "" } else { " " };
        self.effects.push(Effect::Log(format!("connection {kind} {id}{space}{name} ended: {}", why.code())));
    }

    fn close(&mut self, conn: Conn, why: Why) {
        self.log_end(conn, why);
        self.effects.push(Effect::Close(conn));
    }

    fn new_conn(&mut self) -> u64 {
        self.conns += 1;
        self.conns
    }

    // ======== clients

    fn command(&mut self, now: f64, id: u64, command: Command) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.used = now;
        let no = client.first + client.owed.len() as u64;
        let answer = match command {
            Command::Ping => Answer::Pong,
            Command::Wrong(why) => Answer::Error(why),
            Command::Broken(why) => {
                client.broken = true;
                Answer::Error(format!("protocol: {why}"))
            }
            Command::Call(call) => match self.ask(now, &call) {
                Ok(ask) => return self.take(now, (id, no), *call, ask),
                Err(why) => Answer::Error(why),
            },
        };
        self.clients.get_mut(&id).expect("checked").owed.push_back((None, Some(answer)));
        self.answer_in_order(id);
    }

    fn ask(&mut self, now: f64, call: &Call) -> Result<Ask, String> {
        let place = |names: &[String], name: &[u8]| names.iter().position(|n| n.as_bytes() == name);
        let operation = place(&self.start.operations, call.operation()).ok_or("unknown operation")?;
        let plan = place(&self.start.plans, call.plan()).ok_or("unknown plan")?;
        if call.first >= self.start.doors || call.spread > self.start.doors {
            return Err("first and spread: no such front doors".into());
        }
        let customer = self.customers.index(&call.customer);
        let of = Doors { first: call.first, number: call.spread };
        let until = now + call.wait / 1e3;
        Ok(Ask { operation, plan, customer, units: call.units, of, until })
    }

    fn take(&mut self, now: f64, (client, command): (u64, u64), call: Call, ask: Ask) {
        self.serials += 1;
        let (serial, call) = (self.serials, Arc::new(call));
        let (deliveries, closed, ends) = (vec![], false, None);
        let held = Held { ask, call, client, command, serial, deliveries, closed, ends };
        let inv = self.free.pop().unwrap_or_else(|| {
            self.held.push(None);
            self.held.len() - 1
        });
        self.held[inv] = Some(held);
        self.clients.get_mut(&client).expect("checked").owed.push_back((Some(inv), None));
        self.place(now, inv);
    }

    /// The final answer; it goes out once all before it on the connection have.
    fn answer(&mut self, inv: Inv, answer: Answer) {
        let Some(held) = self.held[inv].as_mut().filter(|h| !h.closed) else { return };
        held.closed = true;
        let (id, command) = (held.client, held.command);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let place = command.checked_sub(client.first).and_then(|i| client.owed.get_mut(i as usize));
        if let Some(place) = place {
            *place = (None, Some(answer));
        }
        self.answer_in_order(id);
    }

    fn answer_in_order(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        while let Some((_, Some(_))) = client.owed.front() {
            let answer = client.owed.pop_front().and_then(|(_, a)| a).expect("checked");
            client.first += 1;
            self.effects.push(Effect::Answer(id, answer));
        }
        let (done, broken) = (client.owed.is_empty(), client.broken);
        if done && (broken || self.leaving) {
            self.clients.remove(&id);
            self.close(Conn::Client(id), if broken { Why::BadFraming } else { Why::Stopping });
            self.exit_when_done();
        }
    }

    fn client_gone(&mut self, id: u64) {
        let Some(client) = self.clients.remove(&id) else { return };
        for inv in client.owed.into_iter().filter_map(|(inv, _)| inv) {
            if let Some(held) = self.held[inv].as_mut() {
                held.closed = true;
                self.door.gone(inv);
                self.release(inv);
            }
        }
        self.exit_when_done();
    }

    // ======== the decisions

    fn place(&mut self, now: f64, inv: Inv) {
        let Some(held) = self.held[inv].as_ref().filter(|h| !h.closed) else { return };
        let ask = held.ask;
        let answer = self.door.place(now, inv, &ask);
        self.carry_out(now, inv, answer);
    }

    /// Tells the decisions of deliveries that ended, and carries out what they say.
    fn conclude(&mut self, now: f64) {
        while let Some((inv, delivery, ending, true_units)) = self.ended.pop() {
            let Some(held) = self.held[inv].as_ref() else { continue };
            let sent = &held.deliveries[delivery];
            let (tgt, took, closed) = (sent.tgt, now - sent.at, held.closed);
            let outcome = Outcome { delivery, tgt, ending, took, closed, true_units };
            let answer = self.door.after(now, inv, &outcome);
            self.carry_out(now, inv, answer);
        }
    }

    fn carry_out(&mut self, now: f64, inv: Inv, answer: quillramp::types::Answer) {
        match answer.verdict {
            Verdict::Deliver { tgt } => self.deliver(now, inv, tgt),
            Verdict::NotYet => {}
            Verdict::Throttle { retry_after } => {
                let retry_after_ms = retry_after.map(|s| (s * 1e3).ceil() as u64);
                self.answer(inv, Answer::Busy { retry_after_ms });
            }
            Verdict::Error => self.answer(inv, Answer::Error("failed".into())),
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
            self.give_up(inv, delivery, Ending::Cancelled);
        }
        if errands.ask_for_list && self.list.is_none() {
            self.watch(now);
        }
        self.effects.extend(errands.log.into_iter().map(Effect::Log));
    }

    /// Frees an invocation that is over.
    fn release(&mut self, inv: Inv) {
        let Some(held) = self.held[inv].as_ref().filter(|h| h.closed && !h.out()) else { return };
        if !self.ended.iter().any(|e| e.0 == inv) {
            held.ends.map(|key| self.timers.remove(&key));
            self.held[inv] = None;
            self.free.push(inv);
        }
    }

    // ======== backends

    fn deliver(&mut self, now: f64, inv: Inv, tgt: Tgt) {
        let held = self.held[inv].as_mut().expect("asked about a held invocation");
        let delivery = held.deliveries.len();
        let id = self.places[tgt].idle.pop();
        held.deliveries.push(Sent { tgt, at: now, link: id });
        if held.ends.is_none() {
            // Whoever is still out when the client's time is up timed out, and the decisions hear of it.
            let (until, serial) = (held.ask.until, held.serial);
            let ends = self.at(until, Due::GiveUp(inv, serial));
            self.held[inv].as_mut().expect("held").ends = Some(ends);
        }
        if let Some(id) = id {
            self.links.get_mut(&id).expect("idle ones are kept").carries.push_back(Some((inv, delivery)));
            return self.write(now, id, inv);
        }
        self.room();
        if self.descriptors() >= self.parties.sockets.saturating_sub(RESERVE) {
            return self.share(now, inv, delivery, tgt);
        }
        let Some(address) = self.places[tgt].address else {
            return self.ended.push((inv, delivery, Ending::NotConnected, None));
        };
        let id = self.new_conn();
        self.held[inv].as_mut().expect("held").deliveries[delivery].link = Some(id);
        let carries = [Some((inv, delivery))].into();
        self.links.insert(id, Link { tgt, up: false, carries, since: now });
        self.effects.push(Effect::Connect(Conn::Backend(id), address));
        self.at(now + self.start.dial_timeout, Due::Dial(id));
    }

    /// Descriptors run short: behind another delivery on a connection that is up.
    fn share(&mut self, now: f64, inv: Inv, delivery: usize, tgt: Tgt) {
        let most = self.start.per_link;
        let up = self.links.iter_mut().filter(|(_, l)| l.tgt == tgt && l.up && l.carries.len() < most);
        let Some((&id, link)) = up.min_by_key(|(id, l)| (l.carries.len(), **id)) else {
            return self.ended.push((inv, delivery, Ending::NotConnected, None));
        };
        link.carries.push_back(Some((inv, delivery)));
        self.held[inv].as_mut().expect("held").deliveries[delivery].link = Some(id);
        self.write(now, id, inv);
    }

    fn write(&mut self, now: f64, id: u64, inv: Inv) {
        let held = self.held[inv].as_ref().expect("held");
        let wait = ((held.ask.until - now) * 1e3).max(1.0) as u64;
        self.effects.push(Effect::Deliver(id, held.call.clone(), wait));
    }

    fn up(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.up = true;
        let (tgt, carried) = (link.tgt, link.carries.front().copied().flatten());
        let Some((inv, delivery)) = carried else { return self.rest(now, id) };
        // It came up late: the invocation may be over by now, or its backend drain.
        let open = self.held[inv].as_ref().is_some_and(|h| !h.closed && now < h.ask.until);
        if open && self.places[tgt].standing == Standing::Ready {
            return self.write(now, id, inv);
        }
        link.carries.clear();
        self.end_delivery(inv, delivery, Ending::NotSent, None);
        self.rest(now, id);
    }

    /// A link with nothing on it waits for the next delivery, or closes where none may come.
    fn rest(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.carries.is_empty()) else { return };
        let tgt = link.tgt;
        link.since = now;
        if self.places[tgt].standing == Standing::Ready {
            self.places[tgt].idle.push(id);
        } else {
            self.close(Conn::Backend(id), Why::Delisted);
            self.links.remove(&id);
        }
    }

    fn replied(&mut self, now: f64, id: u64, reply: Reply) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let Some(front) = link.carries.pop_front() else { return };
        if let Some((inv, delivery)) = front {
            match reply {
                Reply::Value { value, billed } => {
                    self.answer(inv, Answer::Value(value));
                    self.end_delivery(inv, delivery, Ending::Succeeded, billed);
                }
                Reply::TurnedAway => self.end_delivery(inv, delivery, Ending::TurnedAway, None),
                Reply::Failed => self.end_delivery(inv, delivery, Ending::Errored, None),
            }
        }
        self.rest(now, id);
    }

    fn end_delivery(&mut self, inv: Inv, delivery: usize, ending: Ending, billed: Option<f64>) {
        if let Some(held) = self.held[inv].as_mut() {
            if held.deliveries[delivery].link.take().is_some() {
                self.ended.push((inv, delivery, ending, billed));
            }
        }
    }

    /// A link broke or never came up: whatever had not left for it whole has not run.
    fn link_ended(&mut self, id: u64, unsent: bool) {
        let Some(mut link) = self.links.remove(&id) else { return };
        self.places[link.tgt].idle.retain(|i| *i != id);
        let mut unsent = unsent || !link.up;
        while let Some(last) = link.carries.pop_back() {
            let ending = if unsent { Ending::NotConnected } else { Ending::Broken };
            unsent = !link.up;
            if let Some((inv, delivery)) = last {
                self.end_delivery(inv, delivery, ending, None);
            }
        }
    }

    fn give_up(&mut self, inv: Inv, delivery: usize, ending: Ending) {
        let Some(held) = self.held[inv].as_mut() else { return };
        let Some(id) = held.deliveries[delivery].link else { return };
        self.end_delivery(inv, delivery, ending, None);
        let Some(link) = self.links.get_mut(&id) else { return };
        let own = link.carries.iter_mut().find(|c| **c == Some((inv, delivery)));
        own.map(Option::take);
        // Others on it wait for their answers: its own is dropped in its turn.
        if link.carries.iter().all(Option::is_none) {
            self.close(Conn::Backend(id), Why::GaveUp);
            self.links.remove(&id);
        }
    }

    fn listed(&mut self, now: f64, list: &Listing) {
        self.index = list.index;
        if list.snapshot {
            self.places.iter_mut().for_each(|p| p.standing = Standing::Gone);
        }
        let mut entries = Vec::new();
        for e in &list.endpoints {
            let tgt = self.names.index(&e.name);
            if tgt == self.places.len() {
                self.places.push(Place::default());
            }
            (self.places[tgt].address, self.places[tgt].standing) = (Some(e.address), e.status);
            let zone = self.start.zones.iter().position(|z| *z == e.zone).unwrap_or(self.start.zones.len());
            let started = (e.since_ms > 0.0).then_some(e.since_ms / 1e3);
            let (standing, cell, size) = (e.status, e.group, e.weight);
            entries.push(Listed { tgt, standing, zone, cell, size, started });
        }
        self.door.listed(now, list.snapshot, &entries);
        for tgt in 0..self.places.len() {
            if self.places[tgt].standing != Standing::Ready {
                for id in std::mem::take(&mut self.places[tgt].idle) {
                    self.close(Conn::Backend(id), Why::Delisted);
                    self.links.remove(&id);
                }
            }
        }
    }

    // ======== the list service

    fn watch(&mut self, now: f64) {
        let id = self.new_conn();
        self.list = Some(id);
        self.effects.push(Effect::Connect(Conn::List(id), self.parties.list));
        self.watch_until(now, id);
    }

    fn next_watch(&self) -> Request {
        Request::Watch { since: self.index, wait_ms: (WATCH * 1e3) as u64 }
    }

    fn watch_until(&mut self, now: f64, id: u64) {
        self.timers.remove(&self.watch_ends);
        self.watch_ends = self.at(now + WATCH + OVERRUN, Due::Watch(id));
    }

    fn watched(&mut self, now: f64, id: u64, response: Response) {
        let list = (response.status == 200).then(|| listing::decode(&response.body));
        match list {
            Some(Ok(list)) if !response.last => {
                self.listed(now, &list);
                self.effects.push(Effect::Request(Conn::List(id), self.next_watch()));
                self.watch_until(now, id);
            }
            Some(Ok(list)) => {
                self.listed(now, &list);
                self.close(Conn::List(id), Why::Closed);
                self.watch(now);
            }
            other => {
                let why =
                    other.and_then(Result::err).unwrap_or_else(|| format!("status {}", response.status));
                self.effects.push(Effect::Log(format!("list service: {why}")));
                self.close(Conn::List(id), Why::BadFraming);
                self.watch_failed(now);
            }
        }
    }

    fn watch_failed(&mut self, now: f64) {
        self.list = None;
        self.door.unlisted(now);
    }

    // ======== the counter

    fn count(&mut self, now: f64, call: CounterCall) {
        let Some(address) = self.parties.counter else {
            return self.door.counted(now, call.name, Counted::Unreached);
        };
        self.counter_calls += 1;
        let no = self.counter_calls;
        let well = self.counters.iter().filter(|(_, l)| !l.silent);
        let best = well.min_by_key(|(id, l)| (l.calls.len() + l.waits.len(), **id));
        let (best, load) = best.map_or((None, 0), |(id, l)| (Some(*id), l.calls.len() + l.waits.len()));
        let pipes = self.counters.values().filter(|l| !l.silent).count();
        let id = match best {
            Some(id) if load == 0 || pipes >= COUNTER_PIPES => id,
            _ => {
                if self.counters.len() >= COUNTER_LINKS {
                    let oldest = *self.counters.keys().next().expect("there are some");
                    self.close(Conn::Counter(oldest), Why::Silent);
                    self.counters.remove(&oldest);
                }
                let id = self.new_conn();
                self.counters.insert(id, CounterLink { used: now, ..CounterLink::default() });
                self.effects.push(Effect::Connect(Conn::Counter(id), address));
                id
            }
        };
        let timer = self.at(now + self.start.counter_timeout, Due::Counter(id, no));
        let link = self.counters.get_mut(&id).expect("just found");
        link.used = now;
        if link.up {
            link.calls.push_back((no, Some((call.name, timer))));
            let request = self.request(&call);
            self.effects.push(Effect::Request(Conn::Counter(id), request));
        } else {
            link.waits.push((call, no, timer));
        }
    }

    fn request(&self, call: &CounterCall) -> Request {
        let customer = self.customers.name(call.name.customer).copied().unwrap_or_default();
        let name = format!("{customer:x}.{}", call.name.series);
        Request::Count { name, add: call.add, lives_ms: (call.lives * 1e3).ceil() as u64 }
    }

    fn counter_up(&mut self, id: u64) {
        let Some(link) = self.counters.get_mut(&id) else { return };
        link.up = true;
        let waits = std::mem::take(&mut link.waits);
        link.calls.extend(waits.iter().map(|(call, no, timer)| (*no, Some((call.name, *timer)))));
        for (call, ..) in waits {
            let request = self.request(&call);
            self.effects.push(Effect::Request(Conn::Counter(id), request));
        }
    }

    /// A call whose time is over: unanswered if it was written, else nothing was added.
    fn counter_late(&mut self, now: f64, id: u64, no: u64) {
        let Some(link) = self.counters.get_mut(&id) else { return };
        if let Some(i) = link.waits.iter().position(|(_, n, _)| *n == no) {
            let (call, ..) = link.waits.remove(i);
            self.door.counted(now, call.name, Counted::Unreached);
            if !link.up && link.waits.is_empty() {
                self.counters.remove(&id);
                self.close(Conn::Counter(id), Why::DialTimeout);
            }
            return;
        }
        let called = link.calls.iter_mut().find(|c| c.0 == no);
        let Some((name, _)) = called.and_then(|c| c.1.take()) else { return };
        link.silent = true;
        self.door.counted(now, name, Counted::Unanswered);
    }

    fn counted(&mut self, now: f64, id: u64, response: Response) {
        let Some(link) = self.counters.get_mut(&id) else { return };
        link.silent = false;
        let Some((_, name)) = link.calls.pop_front() else { return };
        let total = std::str::from_utf8(&response.body).ok().and_then(|t| t.trim().parse::<f64>().ok());
        let result = match (response.status, total.filter(|t| t.is_finite())) {
            (200, Some(total)) => Counted::Total(total),
            (200, None) => Counted::Unanswered,
            _ => Counted::Unreached,
        };
        if let Some((name, timer)) = name {
            self.timers.remove(&timer);
            self.door.counted(now, name, result);
        }
        if response.last {
            self.close(Conn::Counter(id), Why::Closed);
            self.counter_ended(now, id, false);
        }
    }

    fn counter_ended(&mut self, now: f64, id: u64, unsent: bool) {
        let Some(link) = self.counters.remove(&id) else { return };
        for (call, _, timer) in link.waits {
            self.timers.remove(&timer);
            self.door.counted(now, call.name, Counted::Unreached);
        }
        let last = link.calls.len().saturating_sub(1);
        for (i, name) in link.calls.into_iter().enumerate() {
            let result = if unsent && i == last { Counted::Unreached } else { Counted::Unanswered };
            if let Some((name, timer)) = name.1 {
                self.timers.remove(&timer);
                self.door.counted(now, name, result);
            }
        }
    }

    // ======== peers

    fn tell(&mut self, word: Word) {
        match word {
            Word::Backend { tgt } => {
                let Some(name) = self.names.name(tgt) else { return };
                let body = word::encode(&Said::Backend(name.as_bytes().to_vec()));
                self.effects.extend(self.parties.peers_all.map(|to| Effect::Datagram(to, body)));
            }
            Word::Count { name, plan, of, total } => {
                let Some(&customer) = self.customers.name(name.customer) else { return };
                let said = Said::Count { customer, plan, of, series: name.series, total };
                let body = word::encode(&said);
                for peer in (of.first..of.first + of.number).map(|i| i % self.start.doors) {
                    if let Some(&to) = self.parties.peers.get(peer).filter(|_| peer != self.start.slot) {
                        self.effects.push(Effect::Datagram(to, body.clone()));
                    }
                }
            }
        }
    }

    fn heard(&mut self, now: f64, from: SocketAddr, body: &[u8]) {
        let known = self.parties.peers.contains(&from) && body.len() <= DATAGRAM;
        match word::decode(body).filter(|_| known) {
            Some(Said::Backend(name)) => {
                let name = std::str::from_utf8(&name).ok();
                if let Some(tgt) = name.and_then(|n| self.names.find(n)) {
                    self.door.peer_word(now, Word::Backend { tgt });
                }
            }
            Some(Said::Count { customer, plan, of, series, total })
                if plan < self.start.plans.len() && of.first < self.start.doors =>
            {
                let name = CountName { customer: self.customers.index(&customer), series };
                self.door.peer_word(now, Word::Count { name, plan, of, total });
            }
            _ => {
                self.strangers += 1;
                if self.strangers.is_power_of_two() {
                    self.effects.push(Effect::Log(format!("datagrams dropped so far: {}", self.strangers)));
                }
            }
        }
    }

    // ======== descriptors

    fn descriptors(&self) -> usize {
        self.clients.len() + self.links.len() + self.counters.len() + 1
    }

    fn room(&mut self) {
        if self.descriptors() + RESERVE > self.parties.sockets {
            self.make_room();
        }
    }

    /// Closes what stands idle: the backend connection that has longest, else the client's.
    fn make_room(&mut self) {
        let idle = self.places.iter().filter_map(|p| p.idle.first()).copied();
        if let Some(id) = idle.min_by(|a, b| self.links[a].since.total_cmp(&self.links[b].since)) {
            let tgt = self.links[&id].tgt;
            self.places[tgt].idle.retain(|i| *i != id);
            self.close(Conn::Backend(id), Why::Crowded);
            self.links.remove(&id);
            return;
        }
        let idle = self.clients.iter().filter(|(_, c)| c.owed.is_empty());
        if let Some(id) = idle.min_by(|a, b| a.1.used.total_cmp(&b.1.used)).map(|(id, _)| *id) {
            self.clients.remove(&id);
            self.close(Conn::Client(id), Why::Crowded);
        }
    }

    /// Connections that stood idle for half of what the other side allows end here, not there.
    fn sweep(&mut self, now: f64) {
        let old = now - self.start.link_idle / 2.0;
        for tgt in 0..self.places.len() {
            let links = &self.links;
            let (stale, idle) = self.places[tgt].idle.iter().partition(|id| links[id].since < old);
            self.places[tgt].idle = idle;
            let stale: Vec<u64> = stale;
            for id in stale {
                self.close(Conn::Backend(id), Why::Idle);
                self.links.remove(&id);
            }
        }
        let stale = |l: &CounterLink| l.calls.is_empty() && l.waits.is_empty();
        let old = now - COUNTER_IDLE / 2.0;
        let stale = self.counters.iter().filter(|(_, l)| stale(l) && l.used < old);
        for id in stale.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.close(Conn::Counter(id), Why::Idle);
            self.counters.remove(&id);
        }
    }

    // ======== the end

    fn stop(&mut self, now: f64) {
        if !std::mem::replace(&mut self.stopping, true) {
            self.effects.push(Effect::Log("told to stop: serving on, then ending connections".into()));
            self.at(now + LINGER, Due::Leave);
            self.at(now + self.start.longest.max(KILL) + LINGER, Due::Exit);
        }
    }

    /// Connections between invocations end; the others once they have their answers.
    fn leave(&mut self) {
        self.leaving = true;
        self.effects.push(Effect::StopAccepting);
        let mut free: Vec<u64> = Vec::new();
        free.extend(self.clients.iter().filter(|(_, c)| c.owed.is_empty()).map(|(id, _)| *id));
        free.sort_unstable();
        for id in free {
            self.clients.remove(&id);
            self.close(Conn::Client(id), Why::Stopping);
        }
        self.exit_when_done();
    }

    fn exit_when_done(&mut self) {
        if self.leaving && self.clients.is_empty() {
            self.effects.push(Effect::Exit);
        }
    }
}
