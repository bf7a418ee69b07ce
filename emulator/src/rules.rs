//! The five rules, each checked by what passes on the network and by what the models did, never by what a front door says
//! of itself. Whatever a front door writes or reads goes by here as bytes.
use crate::net::WireId;
use crate::quota::Store;
use quillramp::types::{Idempotency, KeyScope};
use quillramp_gateway::wire::{endpoints, http, resp};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Each time limit is that much longer on sockets, seconds.
const SLACK: f64 = 0.05;
/// A client that sends what can't be understood is owed an error or an end within this.
const RUDE: f64 = 3.0;
/// What came later than this after the word to stop may go unanswered.
const LATE_COMER: f64 = 0.7;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// One final answer to each invocation in time, nothing after it.
    OneAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Nothing new to a draining or gone backend past the grace.
    Drains,
    /// No cold backend pushed over.
    Cold,
    /// No ceiling passed.
    Ceilings,
    /// No rule of the five, but a limit: a front door's processes together hold no more descriptors than it may.
    Descriptors,
}

impl Rule {
    pub const ALL: [Rule; 6] =
        [Rule::OneAnswer, Rule::NoEffectTwice, Rule::Drains, Rule::Cold, Rule::Ceilings, Rule::Descriptors];
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one answer",
            Rule::NoEffectTwice => "no effect twice",
            Rule::Drains => "drains",
            Rule::Cold => "cold backends",
            Rule::Ceilings => "ceilings",
            Rule::Descriptors => "descriptors",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    pub at: f64,
    pub says: String,
    /// What happened to the invocation that it is about, a line each.
    pub story: Vec<String>,
}

/// An operation as the rules see it.
#[derive(Clone, Debug)]
pub struct Operation {
    pub name: String,
    pub effect: Idempotency,
}

#[derive(Clone, Copy, Debug)]
pub struct Ceiling {
    pub rate: f64,
    pub burst: f64,
    pub slack: f64,
}

/// The rule on cold backends, and what one warm backend can do, in units a second.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    pub from: f64,
    pub warm_after: f64,
    pub times: f64,
    pub lasts: f64,
    pub capacity: f64,
}

/// The figures of all rules.
pub struct Figures {
    pub operations: Vec<Operation>,
    /// By the plan's name.
    pub ceilings: HashMap<String, Ceiling>,
    /// Rate and burst of each plan that has a quota.
    pub quotas: HashMap<String, (f64, f64)>,
    pub cold: ColdRule,
    pub grace: f64,
    pub second_copies: bool,
    pub most_deliveries: usize,
    /// Each backend's cell and zone.
    pub cells: Vec<usize>,
    pub zones: Vec<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Over {
    TurnedAway,
    Answered,
    /// Its connection ended.
    Ended,
}

/// A delivery that was written whole.
#[derive(Clone, Copy, Debug)]
struct Delivery {
    backend: usize,
    first_byte: f64,
    over: Option<Over>,
}

impl Happened {
    fn shown(self) -> String {
        match self {
            Happened::Taken(wire) => format!("taken, on connection {wire}"),
            Happened::SentTo(backend) => format!("first byte of a delivery to backend {backend}"),
            Happened::Runs(backend) => format!("runs at backend {backend}"),
            Happened::DeliveryOver(backend, over) => format!("delivery to backend {backend}: {over:?}"),
            Happened::Answered(said) => format!("answered: {said:?}"),
        }
    }
}

impl Delivery {
    fn shown(&self) -> String {
        let Delivery { backend, first_byte, over } = self;
        format!("sent to backend {backend} at {first_byte:.4}, {over:?}")
    }
}

#[derive(Debug)]
struct Invocation {
    operation: usize,
    plan: String,
    customer: u64,
    wait: f64,
    answered: Option<f64>,
    deliveries: Vec<Delivery>,
    counted: bool,
    /// The value that a backend made for it has come.
    value: bool,
    /// What happened to it, with the times.
    story: Vec<(f64, Happened)>,
}

#[derive(Clone, Copy, Debug)]
enum Happened {
    Taken(WireId),
    SentTo(usize),
    Runs(usize),
    DeliveryOver(usize, Over),
    Answered(Said),
}

enum Owed {
    Invocation(u64),
    Other,
}

#[derive(Default)]
struct ClientWire {
    process: usize,
    rude: bool,
    got: Vec<u8>,
    out: Vec<u8>,
    owed: VecDeque<(Owed, f64)>,
    /// Since when the oldest command has been the one whose turn it is.
    front: f64,
    /// Nothing after this can be understood.
    broken: bool,
    first: f64,
}

#[derive(Default)]
struct BackendWire {
    backend: usize,
    out: Vec<u8>,
    since: f64,
    got: Vec<u8>,
    carries: VecDeque<(u64, usize)>,
}

#[derive(Default)]
struct Process {
    over: bool,
    stopped: Option<f64>,
    /// It stood still until then.
    still: f64,
    /// Names by backend that it was told serve; and since when a backend has none.
    serves: HashMap<usize, BTreeSet<String>>,
    gone: HashMap<usize, f64>,
}

#[derive(Default)]
struct Newcomer {
    started: f64,
    sent: VecDeque<(f64, f64)>,
    sum: f64,
}

/// What the checks met, so that a run in which nothing could go wrong is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Met {
    pub invocations: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub deliveries: u64,
    pub repeats: u64,
    /// Looks at each rule in which it bound something.
    pub drained: u64,
    pub cold: u64,
    pub ceilings: u64,
    pub turned_away: u64,
    pub descriptors: u64,
}

pub struct Rules {
    figures: Figures,
    pub breach: Option<Breach>,
    pub met: Met,
    invocations: HashMap<u64, Invocation>,
    clients: HashMap<WireId, ClientWire>,
    backends: HashMap<WireId, BackendWire>,
    lists: HashMap<WireId, (usize, Vec<u8>)>,
    processes: HashMap<usize, Process>,
    due: BTreeSet<(u64, WireId)>,
    newcomers: HashMap<usize, Newcomer>,
    buckets: HashMap<(u64, String), (f64, f64)>,
    /// What came of each customer's quota.
    pub stores: HashMap<(u64, String), Store>,
    ran: HashMap<u64, Vec<(usize, f64)>>,
    two_counters: f64,
    /// Where each backend's name leads.
    pub names: BTreeMap<String, usize>,
}

impl Rules {
    pub fn new(figures: Figures) -> Rules {
        Rules {
            figures,
            breach: None,
            met: Met::default(),
            invocations: HashMap::new(),
            clients: HashMap::new(),
            backends: HashMap::new(),
            lists: HashMap::new(),
            processes: HashMap::new(),
            due: BTreeSet::new(),
            newcomers: HashMap::new(),
            buckets: HashMap::new(),
            stores: HashMap::new(),
            ran: HashMap::new(),
            two_counters: 0.0,
            names: BTreeMap::new(),
        }
    }

    fn broken(&mut self, rule: Rule, at: f64, says: String) {
        if self.breach.is_none() {
            // The id that it speaks of leads to the story.
            let words = says.split([' ', ',', ':']).filter(|w| w.len() == 16);
            let id = words
                .filter_map(|w| u64::from_str_radix(w, 16).ok())
                .find(|i| self.invocations.contains_key(i));
            let story = id.and_then(|id| self.invocations.get(&id)).map_or(&[][..], |i| &i.story);
            let story = story.iter().map(|(at, what)| format!("{at:9.4} {}", what.shown())).collect();
            self.breach = Some(Breach { rule, at, says, story });
        }
    }

    // ======== one answer

    pub fn client(&mut self, now: f64, wire: WireId, process: usize, rude: bool) {
        let client = ClientWire { process, rude, first: now, ..ClientWire::default() };
        self.clients.insert(wire, client);
        if rude {
            self.due.insert(((now + RUDE).to_bits(), wire));
        }
    }

    /// A client's connection is not taken in: what it hears is an error, and the end. A known one is turned away only where its own
    /// address has too many, or too fast.
    pub fn turned_away(&mut self, now: f64, wire: WireId, known: bool, why: &str) {
        self.met.turned_away += 1;
        if let Some(client) = self.clients.get_mut(&wire) {
            client.broken = true;
        }
        if known && why == "full" {
            self.broken(Rule::OneAnswer, now, format!("wire {wire}: a known client is turned away: {why}"));
        }
    }

    /// These bytes of a client have come to the front door's machine.
    pub fn taken(&mut self, now: f64, wire: WireId, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&wire).filter(|c| !c.broken) else { return };
        if client.rude {
            return;
        }
        client.got.extend_from_slice(bytes);
        loop {
            let Some(client) = self.clients.get_mut(&wire) else { return };
            match resp::decode_command(&client.got) {
                Ok(None) => return,
                Err(_) => return client.broken = true,
                Ok(Some((command, n))) => {
                    client.got.drain(..n);
                    if client.owed.is_empty() {
                        client.front = now;
                    }
                    match command {
                        resp::ClientCommand::Request(call) => {
                            client.owed.push_back((Owed::Invocation(call.id), now));
                            self.invocation(now, wire, &call);
                        }
                        _ => client.owed.push_back((Owed::Other, now)),
                    }
                    self.look_at(wire);
                }
            }
        }
    }

    fn invocation(&mut self, now: f64, wire: WireId, call: &resp::RequestCommand) {
        let operation = self.figures.operations.iter().position(|o| o.name.as_bytes() == call.operation());
        let Some(operation) = operation else { return };
        self.met.invocations += 1;
        let plan = String::from_utf8_lossy(call.plan()).into_owned();
        let (customer, wait) = (call.customer, call.timeout_ms / 1e3);
        let (answered, deliveries, counted, value) = (None, vec![], false, false);
        let story = vec![(now, Happened::Taken(wire))];
        self.invocations.insert(
            call.id,
            Invocation { operation, plan, customer, wait, answered, deliveries, counted, value, story },
        );
    }

    /// When the command whose turn it is must have its answer.
    fn due_of(&self, wire: WireId) -> Option<f64> {
        let client = self.clients.get(&wire)?;
        let still = self.processes.get(&client.process).map_or(0.0, |p| p.still);
        if client.rude {
            return Some(client.first.max(still) + RUDE);
        }
        let (owed, came) = client.owed.front()?;
        // What came while it stood still it has from then on: nobody can tell it how long that lay there.
        let came = came.max(still);
        Some(match owed {
            Owed::Invocation(id) => {
                let wait = self.invocations.get(id).map_or(1.0, |i| i.wait);
                (came + wait).max(client.front) + SLACK
            }
            Owed::Other => client.front.max(came) + 1.0,
        })
    }

    fn look_at(&mut self, wire: WireId) {
        if let Some(due) = self.due_of(wire) {
            self.due.insert((due.to_bits(), wire));
        }
    }

    /// What a client was owed by now and has not been given.
    pub fn check(&mut self, now: f64) {
        while let Some(&(_, wire)) = self.due.first().filter(|(at, _)| f64::from_bits(*at) < now) {
            self.due.pop_first();
            let Some(due) = self.due_of(wire) else { continue };
            let client = &self.clients[&wire];
            let process = self.processes.get(&client.process);
            if process.is_none_or(|p| p.over) {
                continue;
            }
            if due >= now || !client.out.is_empty() && !client.rude {
                // Not yet after all; or its answer is on its way in pieces.
                self.due.insert((if due >= now { due } else { now + 0.5 }.to_bits(), wire));
                continue;
            }
            let says = match client.owed.front() {
                _ if client.rude => {
                    format!("wire {wire}: {RUDE} s of what can't be understood, neither error nor end")
                }
                Some((_, came))
                    if process.and_then(|p| p.stopped).is_some_and(|s| *came > s + LATE_COMER) =>
                {
                    continue
                }
                Some((Owed::Invocation(id), came)) => {
                    format!("invocation {id:016x}, taken at {came:.4} on wire {wire}, has no answer in time")
                }
                _ => format!("wire {wire}: a command has no answer in time"),
            };
            self.broken(Rule::OneAnswer, now, says);
        }
    }

    /// These bytes have left a front door for a client.
    pub fn answers(&mut self, now: f64, wire: WireId, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&wire) else { return };
        if client.rude {
            if bytes.starts_with(b"-") {
                self.clients.remove(&wire);
            } else {
                let says = format!("wire {wire}: a client that can't be understood hears no error");
                self.broken(Rule::OneAnswer, now, says);
            }
            return;
        }
        client.out.extend_from_slice(bytes);
        loop {
            let Some(client) = self.clients.get_mut(&wire) else { return };
            let Some((answer, n)) = answer(&client.out) else { return };
            let out: Vec<u8> = client.out.drain(..n).collect();
            client.front = now;
            let Some((owed, _)) = client.owed.pop_front() else {
                if client.broken && answer == Said::Error {
                    continue; // what could not be understood
                }
                let says = format!("wire {wire}: an answer that nothing was asked for: {}", shown(&out));
                return self.broken(Rule::OneAnswer, now, says);
            };
            if let Owed::Invocation(id) = owed {
                self.final_answer(now, id, answer, &out);
            }
            self.look_at(wire);
        }
    }

    fn final_answer(&mut self, now: f64, id: u64, answer: Said, out: &[u8]) {
        let Some(inv) = self.invocations.get_mut(&id) else { return };
        inv.story.push((now, Happened::Answered(answer)));
        if inv.answered.replace(now).is_some() {
            return self.broken(Rule::OneAnswer, now, format!("invocation {id:016x} is answered twice"));
        }
        let effect = self.figures.operations[inv.operation].effect;
        match answer {
            Said::Value => {
                self.met.succeeded += 1;
                let own = format!("{id:016x}");
                let head = &out[..out.len().min(64)];
                let made = head.windows(16).any(|w| w == own.as_bytes()) && inv.value;
                if !made {
                    let says = format!("invocation {id:016x} succeeded with what no backend made for it");
                    self.broken(Rule::OneAnswer, now, says);
                }
            }
            Said::Busy => {
                self.met.throttled += 1;
                let may = match effect {
                    Idempotency::Idempotent => true,
                    _ => inv.deliveries.iter().all(|d| d.over == Some(Over::TurnedAway)),
                };
                if !may {
                    let operation = &self.figures.operations[inv.operation].name;
                    let sent: Vec<String> = inv.deliveries.iter().map(Delivery::shown).collect();
                    let says = format!(
                        "{operation} {id:016x} is throttled though it may have run: {}",
                        sent.join(", ")
                    );
                    self.broken(Rule::NoEffectTwice, now, says);
                }
            }
            Said::Error => self.met.errored += 1,
            Said::Other => {
                let says = format!("invocation {id:016x} is answered by {}", shown(out));
                self.broken(Rule::OneAnswer, now, says);
            }
        }
    }

    /// A client's connection ended, at the front door's side; by the front door itself or by others.
    pub fn client_ended(&mut self, now: f64, wire: WireId, by_door: bool) {
        let Some(client) = self.clients.remove(&wire) else { return };
        let process = self.processes.get(&client.process);
        if !by_door || client.rude || client.broken || process.is_none_or(|p| p.over) {
            return;
        }
        // A value that broke off under way is no whole answer, and the client can tell.
        let begun = usize::from(!client.out.is_empty());
        let lost = client.owed.iter().skip(begun).find_map(|(owed, came)| match owed {
            Owed::Invocation(id) if begun == 0 => Some((*id, *came)),
            _ => None,
        });
        let (stopped, still) = (process.and_then(|p| p.stopped), process.map_or(0.0, |p| p.still));
        // Where it stood still until just now, clients' times are up: what it ends then has failed, and is not lost.
        let duty =
            |came: f64| stopped.is_none_or(|s| came.max(still) <= s + LATE_COMER) && now > still + SLACK;
        if let Some((id, came)) = lost.filter(|(_, came)| duty(*came)) {
            let says = format!(
                "invocation {id:016x}, taken at {came:.4}: its connection {wire} is ended without an answer"
            );
            self.broken(Rule::OneAnswer, now, says);
        }
    }

    // ======== deliveries

    pub fn backend(&mut self, wire: WireId, backend: usize) {
        self.backends.insert(wire, BackendWire { backend, ..BackendWire::default() });
    }

    /// These bytes have left a front door for a backend.
    pub fn written(&mut self, now: f64, wire: WireId, process: usize, bytes: &[u8]) {
        let Some(link) = self.backends.get_mut(&wire) else { return };
        if link.out.is_empty() {
            link.since = now;
        }
        link.out.extend_from_slice(bytes);
        loop {
            let Some(link) = self.backends.get_mut(&wire) else { return };
            let Ok(Some((resp::ClientCommand::Request(call), n))) = resp::decode_command(&link.out) else {
                return;
            };
            link.out.drain(..n);
            let (backend, since) = (link.backend, link.since);
            link.since = now;
            let delivery = Delivery { backend, first_byte: since, over: None };
            self.delivered(now, (wire, process), call.id, delivery);
            self.sent_on(now, call.id, call.units);
        }
    }

    fn delivered(&mut self, now: f64, (wire, process): (WireId, usize), id: u64, delivery: Delivery) {
        self.met.deliveries += 1;
        let (backend, first_byte) = (delivery.backend, delivery.first_byte);
        let figures = &self.figures;
        let Some(inv) = self.invocations.get_mut(&id) else {
            let says = format!("backend {backend} is sent {id:016x}, which no client asked for");
            return self.broken(Rule::OneAnswer, now, says);
        };
        let mut found = None;
        let mut find = |rule: Rule, says: String| found = found.take().or(Some((rule, says)));
        if inv.answered.is_some_and(|at| first_byte > at) {
            find(Rule::OneAnswer, format!("invocation {id:016x} is sent on after its final answer"));
        }
        let may_have_run = inv.deliveries.iter().find(|d| d.over != Some(Over::TurnedAway));
        if let Some(earlier) = may_have_run {
            self.met.repeats += 1;
            match figures.operations[inv.operation].effect {
                Idempotency::Idempotent => {}
                Idempotency::Keyed { scope: group, window } => {
                    let same = match group {
                        KeyScope::All => true,
                        KeyScope::Zone => figures.zones[backend] == figures.zones[earlier.backend],
                        KeyScope::Cell => figures.cells[backend] == figures.cells[earlier.backend],
                    };
                    if !same || first_byte > earlier.first_byte + window + SLACK {
                        let says = format!(
                            "tokened {id:016x} may have run at backend {} and is sent to {backend}, {}",
                            earlier.backend,
                            if same { "after its window" } else { "outside its group" }
                        );
                        find(Rule::NoEffectTwice, says);
                    }
                }
                Idempotency::NonIdempotent => {
                    let says = format!(
                        "non-idempotent {id:016x} may have run at backend {} and is sent to {backend}",
                        earlier.backend
                    );
                    find(Rule::NoEffectTwice, says);
                }
            }
        }
        let out = inv.deliveries.iter().filter(|d| d.over.is_none()).count();
        if out > 0 && !figures.second_copies {
            find(Rule::NoEffectTwice, format!("a second copy of {id:016x}, and none is allowed"));
        }
        if inv.deliveries.len() >= figures.most_deliveries {
            find(Rule::NoEffectTwice, format!("{id:016x} is delivered more often than allowed"));
        }
        inv.story.push((first_byte, Happened::SentTo(backend)));
        inv.deliveries.push(delivery);
        let number = inv.deliveries.len() - 1;
        if let Some(link) = self.backends.get_mut(&wire) {
            link.carries.push_back((id, number));
        }
        let told = self.processes.get(&process).and_then(|p| p.gone.get(&backend)).copied();
        if let Some(told) = told {
            if first_byte > told + figures.grace + SLACK {
                let says = format!(
                    "{id:016x} is sent to backend {backend} at {first_byte:.4}, told at {told:.4} that it drains or is gone"
                );
                find(Rule::Drains, says);
            }
        }
        if let Some((rule, says)) = found {
            self.broken(rule, now, says);
        }
    }

    /// These bytes of a backend have come to a front door.
    pub fn replied(&mut self, now: f64, wire: WireId, bytes: &[u8]) {
        let Some(link) = self.backends.get_mut(&wire) else { return };
        link.got.extend_from_slice(bytes);
        loop {
            let Some(link) = self.backends.get_mut(&wire) else { return };
            // A long value counts from its head on: it may pass before it has all come.
            let long = resp::decode_stream_head(&link.got).ok().flatten();
            if let Some((length, from)) = long {
                if let Some(&(id, _)) = link.carries.front() {
                    self.invocations.entry(id).and_modify(|i| i.value = true);
                }
                let behind = from + length + 2;
                let Some(rest) = link.got.get(behind..) else { return };
                let Ok(Some((_, n))) = resp::decode_trailer(rest) else { return };
                link.got.drain(..behind + n);
                self.came(now, wire, Over::Answered);
                continue;
            }
            match resp::decode_reply(&link.got) {
                Ok(Some((reply, n))) => {
                    link.got.drain(..n);
                    let over = match reply {
                        resp::BackendReply::Rejected => Over::TurnedAway,
                        resp::BackendReply::Value { .. } => {
                            if let Some(&(id, _)) = link.carries.front() {
                                self.invocations.entry(id).and_modify(|i| i.value = true);
                            }
                            Over::Answered
                        }
                        resp::BackendReply::Failed => Over::Answered,
                    };
                    self.came(now, wire, over);
                }
                Ok(None) => return,
                Err(_) => {
                    link.got.clear();
                    return self.came(now, wire, Over::Answered);
                }
            }
        }
    }

    fn came(&mut self, now: f64, wire: WireId, over: Over) {
        let front = self.backends.get_mut(&wire).and_then(|l| l.carries.pop_front());
        if let Some((id, number)) = front {
            self.over(now, id, number, over);
        }
    }

    fn over(&mut self, now: f64, id: u64, number: usize, over: Over) {
        let Some(inv) = self.invocations.get_mut(&id) else { return };
        if let Some(delivery) = inv.deliveries.get_mut(number) {
            delivery.over = delivery.over.or(Some(over));
            inv.story.push((now, Happened::DeliveryOver(delivery.backend, over)));
        }
    }

    pub fn backend_ended(&mut self, now: f64, wire: WireId) {
        let Some(link) = self.backends.remove(&wire) else { return };
        for (id, number) in link.carries {
            self.over(now, id, number, Over::Ended);
        }
    }

    /// A backend has begun to do it: the effect is there.
    pub fn ran(&mut self, now: f64, backend: usize, id: u64) {
        let Some(inv) = self.invocations.get_mut(&id) else { return };
        inv.story.push((now, Happened::Runs(backend)));
        let effect = self.figures.operations[inv.operation].effect;
        let before = self.ran.entry(id).or_default();
        let twice = effect == Idempotency::NonIdempotent && !before.is_empty();
        before.push((backend, now));
        if twice {
            let says = format!("non-idempotent {id:016x} runs a second time, at backend {backend}");
            self.broken(Rule::NoEffectTwice, now, says);
        }
    }

    // ======== drains

    pub fn list_wire(&mut self, wire: WireId, process: usize) {
        self.lists.insert(wire, (process, vec![]));
    }

    /// These bytes of the list service have come to a front door.
    pub fn list_says(&mut self, now: f64, wire: WireId, bytes: &[u8]) {
        let Some((process, got)) = self.lists.get_mut(&wire) else { return };
        let process = *process;
        got.extend_from_slice(bytes);
        while let Ok(Some((response, n))) = http::decode_response(got) {
            got.drain(..n);
            let list = endpoints::decode(&response.body).ok().filter(|_| response.status == 200);
            if let Some(list) = list {
                return self.told(now, process, &list);
            }
        }
    }

    /// A front door knows this list from now on.
    pub fn told(&mut self, now: f64, process: usize, list: &endpoints::EndpointList) {
        let known = self.processes.entry(process).or_default();
        if list.snapshot {
            known.serves.values_mut().for_each(BTreeSet::clear);
        }
        for e in &list.endpoints {
            let Some(&backend) = self.names.get(&e.name) else { continue };
            let names = known.serves.entry(backend).or_default();
            self.met.drained += u64::from(e.status != quillramp::types::EndpointStatus::Ready);
            if e.status == quillramp::types::EndpointStatus::Ready {
                names.insert(e.name.clone());
            } else {
                names.remove(&e.name);
            }
        }
        for (backend, names) in &known.serves {
            if names.is_empty() {
                known.gone.entry(*backend).or_insert(now);
            } else {
                known.gone.remove(backend);
            }
        }
    }

    // ======== cold backends and ceilings

    pub fn started(&mut self, now: f64, backend: usize) {
        self.newcomers.insert(backend, Newcomer { started: now, ..Newcomer::default() });
    }

    /// A delivery has come to a backend whole.
    pub fn arrived(&mut self, now: f64, backend: usize, units: f64) {
        let cold = self.figures.cold;
        if let Some(new) = self.newcomers.get_mut(&backend) {
            let age = now - new.started;
            if age > cold.warm_after {
                self.newcomers.remove(&backend);
            } else {
                self.met.cold += 1;
                new.sent.push_back((now, units));
                new.sum += units;
                while new.sent.front().is_some_and(|(at, _)| *at < now - cold.lasts) {
                    new.sum -= new.sent.pop_front().map_or(0.0, |(_, u)| u);
                }
                let middle = (age - cold.lasts / 2.0).max(0.0);
                let share = (cold.from + (1.0 - cold.from) * middle / cold.warm_after).min(1.0);
                let most = cold.times * cold.capacity * share * cold.lasts;
                if age >= cold.lasts && new.sum > most {
                    let says = format!(
                        "backend {backend}, started {age:.2} s ago, was sent {:.0} units in {} s and can bear {most:.0}",
                        new.sum, cold.lasts
                    );
                    self.broken(Rule::Cold, now, says);
                }
            }
        }
    }

    /// It is sent on for the first time: it takes its units from its customer's ceiling.
    fn sent_on(&mut self, now: f64, id: u64, units: f64) {
        let Some(inv) = self.invocations.get_mut(&id).filter(|i| !i.counted) else { return };
        inv.counted = true;
        if let Some(&(rate, burst)) = self.figures.quotas.get(&inv.plan) {
            let store = self.stores.entry((inv.customer, inv.plan.clone()));
            store.or_insert_with(|| Store::new(rate, burst, now)).comes(now, units);
        }
        let Some(ceiling) = self.figures.ceilings.get(&inv.plan) else { return };
        let (key, Ceiling { rate, burst, slack }) = ((inv.customer, inv.plan.clone()), *ceiling);
        self.met.ceilings += 1;
        let (level, at) = self.buckets.entry(key).or_insert((burst, now));
        *level = (*level + rate * (now - *at)).min(burst) - units;
        *at = now;
        if now <= self.two_counters {
            *level = level.max(-slack); // what is allowed now is not owed later
        }
        if *level < -slack {
            let says = format!(
                "customer {:016x} on {} is {:.1} units past its ceiling, slack {slack:.1}",
                inv.customer, inv.plan, -*level
            );
            self.broken(Rule::Ceilings, now, says);
        }
    }

    /// So many descriptors are held by the processes of one front door, and so many may be.
    pub fn descriptors(&mut self, now: f64, door: usize, held: usize, most: usize) {
        self.met.descriptors += u64::from(2 * held > most);
        if held > most {
            self.broken(
                Rule::Descriptors,
                now,
                format!("door {door} holds {held} descriptors and may hold {most}"),
            );
        }
    }

    // ======== processes

    /// Two counters answer until then, each as if it were the only one: no front door can know, and together they lease a quota
    /// twice. Not held yet; `docs/emulator.md` says so.
    pub fn two_counters(&mut self, until: f64) {
        self.two_counters = self.two_counters.max(until);
    }

    pub fn booted(&mut self, process: usize) {
        self.processes.entry(process).or_default();
    }

    /// It was killed: what it held is no longer its duty.
    pub fn killed(&mut self, process: usize) {
        self.processes.entry(process).or_default().over = true;
    }

    pub fn told_to_stop(&mut self, now: f64, process: usize) {
        self.processes.entry(process).or_default().stopped.get_or_insert(now);
    }

    /// It ended by itself: whoever it still owed an answer has lost it.
    pub fn exited(&mut self, now: f64, process: usize) {
        let wires: BTreeSet<WireId> =
            self.clients.iter().filter(|(_, c)| c.process == process).map(|(w, _)| *w).collect();
        for wire in wires {
            self.client_ended(now, wire, true);
        }
        self.killed(process);
    }

    pub fn stands_still(&mut self, until: f64, process: usize) {
        let still = &mut self.processes.entry(process).or_default().still;
        *still = still.max(until);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    Value,
    Busy,
    Error,
    Other,
}

/// One whole answer to a client, and how long it is.
pub fn answer(bytes: &[u8]) -> Option<(Said, usize)> {
    let line = bytes.iter().take(1024).position(|b| *b == b'\n')? + 1;
    match bytes[0] {
        b'-' if bytes.starts_with(b"-BUSY") => Some((Said::Busy, line)),
        b'-' => Some((Said::Error, line)),
        b'$' => {
            let length: usize = std::str::from_utf8(&bytes[1..line - 2]).ok()?.parse().ok()?;
            (bytes.len() >= line + length + 2).then_some((Said::Value, line + length + 2))
        }
        _ => Some((Said::Other, line)),
    }
}

fn shown(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).escape_debug().to_string()
}
