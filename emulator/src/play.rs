//! One run: the world of a script, its faults at their times, every rule checked after each step.
use crate::backends::{Backend, Ills, Life};
use crate::clients::KNOWN;
use crate::clients::{Clients, Offer};
use crate::counter::Counter;
use crate::declared;
use crate::discovery::{Discovery, Entry};
use crate::door::{Outside, Places, Process, Sabotage, OTHERS};
use crate::net::{Ctx, Cut, Item, Party};
use crate::quota::Store;
use crate::rules::{Breach, Ceiling, ColdRule, Figures, Met, Operation, Rules};
use crate::script::{Fault, Kind, Script, World};
use quillramp::settings;
use quillramp::types::{Idempotency, KeyScope};
use quillramp_admission::Limits;
use quillramp_gateway::process::operator;
use quillramp_gateway::state::event::{ConnectionId, Event, OperatorUpdate, SharedState};
use quillramp_gateway::state::reducer::ReducerConfig;
use quillramp_operator::routes::Platform;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// When a run begins: well after 1970, and not at the edge of any window.
const EPOCH: f64 = 1000.0;
/// How long after the last client's invocation a run goes on: longer than any client waits.
const AFTER: f64 = 4.5;
/// A process that was told to stop is killed after so long.
const KILL: f64 = 3.7;
const TOKEN_WINDOW: f64 = 1.5;
const DELIVERIES: usize = 5;
const MOST_UNITS: f64 = 4.0;

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    pub seed: u64,
    pub steps: u64,
    pub digest: u64,
    pub met: Met,
    pub counter_calls: u64,
    /// Connections that were asked for to backends.
    pub connections: u64,
    /// Units of customers with a quota, what of them lay beyond it, and the worst customer's share above what it allowed.
    pub units: f64,
    pub beyond: f64,
    pub worst: f64,
    /// Of each customer with a quota.
    pub stores: Vec<Store>,
    /// How many faults of each kind struck.
    pub faults: BTreeMap<Kind, u64>,
    pub breach: Option<Breach>,
    /// The last lines of what happened.
    pub trace: Vec<String>,
}

impl Report {
    /// The customer that had most beyond its quota, as a share of what that allowed in all; and what `bound` says of it.
    pub fn worst_of(&self, bound: impl Fn(f64, f64) -> f64) -> (f64, f64) {
        let of = |s: &Store| {
            let (rate, burst, span) = s.quota();
            (s.beyond / (burst + rate * span), bound(rate, burst))
        };
        let all = self.stores.iter().map(of);
        all.max_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1))).unwrap_or((0.0, 0.0))
    }
}

/// A front door, whichever process it is.
struct Door {
    /// Its processes that live, the newest last.
    processes: Vec<usize>,
    /// What its operators changed for good.
    out: BTreeMap<String, f64>,
    drained: bool,
    boots: u64,
}

struct Play<'a> {
    script: &'a Script,
    ctx: Ctx,
    places: Places,
    doors: Vec<Door>,
    processes: Vec<Process>,
    backends: Vec<Backend>,
    names: Vec<String>,
    counter: Counter,
    discovery: Discovery,
    clients: Clients,
    breaks: f64,
    /// What processes that leave will not go beyond, in descriptors.
    holds: BTreeMap<usize, usize>,
    sabotage: Option<Sabotage>,
    settings: Value,
    platform: Platform,
    effects: HashMap<Vec<u8>, Idempotency>,
    struck: BTreeMap<Kind, u64>,
}

fn address(group: u8, n: usize, port: u16) -> SocketAddr {
    // Large fleets go on in the next network.
    SocketAddr::from(([127, (n >> 8) as u8, group, n as u8], port))
}
fn counter_at(n: usize) -> SocketAddr {
    address(2, n, 6400)
}
fn list_at(n: usize) -> SocketAddr {
    address(3, n, 8500)
}
fn door_at(n: usize) -> SocketAddr {
    address(4, n, 7946)
}

/// The operations of every world: name, effect, seconds of objective and of time-out, weight.
fn operations() -> [(&'static str, Idempotency, f64, f64, f64); 4] {
    let tokened = |group| Idempotency::Keyed { scope: group, window: TOKEN_WINDOW };
    [
        ("look", Idempotency::Idempotent, 0.4, 1.5, 0.5),
        ("hold", tokened(KeyScope::Cell), 0.6, 2.0, 0.15),
        ("note", tokened(KeyScope::All), 0.6, 2.0, 0.1),
        ("order", Idempotency::NonIdempotent, 1.0, 3.0, 0.25),
    ]
}

/// The plans: name, rate, burst, deliveries out at once, times the quota that the ceiling is (0 for none).
const PLANS: [(&str, f64, f64, usize, f64); 4] = [
    ("small", 24.0, 48.0, 0, 0.0),
    ("wide", 8.0, 16.0, 0, 1.8),
    ("capped", 0.0, 0.0, 6, 0.0),
    ("large", 60.0, 80.0, 0, 2.0),
];

/// The settings that a front door of this world is told.
pub fn settings(world: &World, sabotage: Option<Sabotage>) -> Value {
    let classes: Vec<Value> = operations()
        .into_iter()
        .map(|(name, effect, aim, give_up, _)| {
            let (how, group, window) = match effect {
                Idempotency::Idempotent => ("retryable", "all", 0.0),
                Idempotency::NonIdempotent => ("fragile", "all", 0.0),
                Idempotency::Keyed { scope: KeyScope::Cell, window } => ("dedup", "cell", window),
                Idempotency::Keyed { scope: KeyScope::Zone, window } => ("dedup", "zone", window),
                Idempotency::Keyed { window, .. } => ("dedup", "all", window),
            };
            json!({"aim_us": aim * 1e6, "give_up_us": give_up * 1e6, "group": group, "idempotency": how,
                   "name": name, "window_us": window * 1e6})
        })
        .collect();
    let busts = if sabotage == Some(Sabotage::BustsCeilings) { 50.0 } else { 1.0 };
    let tariffs: Vec<Value> = PLANS
        .into_iter()
        .map(|(name, rate, burst, parallel, ceiling)| {
            json!({"ceiling_rate": rate * ceiling * busts, "ceiling_slack": slack(burst * ceiling) * busts,
                   "depth": burst * busts, "hard_burst": burst * ceiling * busts, "name": name,
                   "parallel": parallel, "per_second": rate * busts})
        })
        .collect();
    let zones: Vec<String> = (0..world.zones).map(|z| format!("z{z}")).collect();
    json!({
        "balancers": world.doors, "slot_no": 0,
        "discovery": if world.asks { "on_request" } else { "pushed" }, "zones": zones,
        "caps": {"cancel": world.cancels, "conn_idle_us": 15e6, "dial_timeout_us": 250e3,
                 "max_attempts": DELIVERIES, "max_retry_after_us": 1e6, "peers": world.peers, "retry_after": true,
                 "second_copies": world.second_copies, "streams_per_conn": world.per_connection},
        "classes": classes,
        "extra": {"counter": true, "counter_timeout_us": 60e3, "max_units": MOST_UNITS, "peer_intake": 60},
        "rules": {"cold_from": world.cold_from, "warm_after_us": world.warm_after * 1e6},
        "tariffs": tariffs
    })
}

fn slack(ceiling: f64) -> f64 {
    if ceiling > 0.0 {
        (ceiling * 0.1).max(MOST_UNITS)
    } else {
        0.0
    }
}

fn figures(world: &World) -> Figures {
    let ceilings = PLANS.into_iter().filter(|p| p.4 > 0.0).map(|(name, rate, burst, _, times)| {
        let ceiling = Ceiling { rate: rate * times, burst: burst * times, slack: slack(burst * times) };
        (name.to_owned(), ceiling)
    });
    Figures {
        operations: operations().into_iter().map(|o| Operation { name: o.0.into(), effect: o.1 }).collect(),
        ceilings: ceilings.collect(),
        quotas: PLANS.into_iter().filter(|p| p.1 > 0.0).map(|p| (p.0.to_owned(), (p.1, p.2))).collect(),
        cold: ColdRule {
            from: world.cold_from,
            warm_after: world.warm_after,
            times: world.cold_times,
            lasts: world.cold_for,
            capacity: world.slots as f64 / world.service,
        },
        grace: world.drain_grace,
        second_copies: world.second_copies,
        most_deliveries: DELIVERIES,
        cells: (0..world.backends).map(|b| b % world.cells).collect(),
        zones: (0..world.backends).map(|b| b % world.zones).collect(),
    }
}

/// The limits of admission, where a world has them: clients' own addresses are known.
fn limits(world: &World) -> Limits {
    let connections = world.sockets - 60;
    Limits {
        connections,
        reserve: connections / 2,
        per_address: connections,
        strangers: connections / 3,
        rate: 60.0,
        burst: 90.0,
        unfinished: 4 * connections,
        first_word: 1.0,
        known_for: 0.0,
        known: vec![KNOWN.parse().expect("a network")],
    }
}

/// Plays a script to its end, or to the first broken rule.
pub fn play(script: &Script, sabotage: Option<Sabotage>) -> Report {
    let mut play = Play::new(script, sabotage);
    play.run();
    let Play { ctx, counter, struck, .. } = play;
    Report {
        seed: script.seed,
        steps: ctx.trace.steps,
        digest: ctx.trace.digest(),
        met: ctx.rules.met,
        counter_calls: counter.calls,
        connections: ctx.connections,
        units: ctx.rules.stores.values().map(|s| s.units).sum(),
        beyond: ctx.rules.stores.values().map(|s| s.beyond).sum(),
        worst: ctx.rules.stores.values().map(|s| s.worst).fold(0.0, f64::max),
        stores: ctx.rules.stores.values().copied().collect(),
        faults: struck,
        breach: ctx.rules.breach.clone().map(|b| Breach { at: b.at - EPOCH, ..b }),
        trace: ctx.trace.last(),
    }
}

impl<'a> Play<'a> {
    fn new(script: &'a Script, sabotage: Option<Sabotage>) -> Play<'a> {
        let world = script.world.clone();
        let rng = ChaCha8Rng::seed_from_u64(script.seed ^ 0x71_75_69_6c_6c);
        let ctx = Ctx::new(rng, Rules::new(figures(&world)), world.clone(), EPOCH);
        let mut places = Places::default();
        for i in 0..2 {
            places.parties.insert(counter_at(i), Party::Counter);
            places.parties.insert(list_at(i), Party::List);
        }
        for b in 0..world.backends {
            places.parties.insert(address(1, b, 7000), Party::Backend(b));
        }
        if world.peers {
            places.words = (0..world.doors).map(|d| (door_at(d), d)).collect();
            places.words_all = Some(address(5, 1, 7946));
        }
        let offers = operations().map(|(name, effect, _, timeout, weight)| {
            let get = effect == Idempotency::Idempotent;
            Offer { name: name.into(), get, timeout, weight }
        });
        let plans = PLANS.iter().map(|p| p.0.to_owned()).collect();
        let effects = operations().into_iter().map(|o| (o.0.as_bytes().to_vec(), o.1)).collect();
        let names: Vec<String> = (0..world.backends).map(|b| format!("s{b}.0")).collect();
        let told = settings(&world, sabotage);
        let about = settings::load(0, told.to_string().as_bytes()).expect("settings of our own").instance;
        let platform = operator::platform(&about, world.sockets);
        let new_door = || Door { processes: vec![], out: BTreeMap::new(), drained: false, boots: 0 };
        let mut play = Play {
            settings: told,
            platform,
            discovery: Discovery::new(vec![], 0),
            clients: Clients::new(offers.into(), plans),
            script,
            ctx,
            places,
            doors: (0..world.doors).map(|_| new_door()).collect(),
            processes: vec![],
            backends: (0..world.backends).map(Backend::new).collect(),
            names,
            counter: Counter::default(),
            breaks: 0.0,
            holds: BTreeMap::new(),
            sabotage,
            effects,
            struck: BTreeMap::new(),
        };
        let first = (0..world.backends).map(|b| play.entry(b, "SERVING")).collect();
        play.discovery = Discovery::new(first, world.doors);
        for b in 0..world.backends {
            play.ctx.rules.names.insert(play.names[b].clone(), b);
        }
        for door in 0..world.doors {
            play.start(door);
        }
        for (index, fault) in script.faults.iter().enumerate() {
            play.ctx.agenda.put(EPOCH + fault.at, Item::Fault { index, over: false });
        }
        play.ctx.later(0.05, Item::Comes);
        play
    }

    fn entry(&self, b: usize, status: &'static str) -> Entry {
        let world = &self.script.world;
        Entry {
            name: self.names[b].clone(),
            address: address(1, b, 7000),
            zone: format!("z{}", b % world.zones),
            cell: b % world.cells,
            status,
            since: self.backends[b].started.unwrap_or(0.0),
        }
    }

    fn run(&mut self) {
        let end = EPOCH + self.script.seconds + AFTER;
        while self.ctx.rules.breach.is_none() {
            let Some((at, item)) = self.ctx.agenda.next() else { break };
            if at > end {
                break;
            }
            self.ctx.now = at;
            self.ctx.trace.steps += 1;
            self.happens(item);
            self.ctx.rules.check(at);
        }
        self.ctx.rules.check(end);
    }

    fn happens(&mut self, item: Item) {
        let ctx = &mut self.ctx;
        match item {
            Item::Bytes { wire, to_door, bytes } => {
                let Some(w) = ctx.wires.get(&wire) else { return };
                let (party, process) = (w.party, w.process);
                if to_door {
                    if w.door_open {
                        self.processes[process].bytes(ctx, wire, &bytes);
                    }
                } else if w.party_open {
                    match party {
                        Party::Client => self.clients.bytes(ctx, wire, &bytes),
                        Party::Backend(b) => self.backends[b].bytes(ctx, wire, &bytes),
                        Party::Counter => self.counter.bytes(ctx, wire, &bytes),
                        Party::List => self.discovery.bytes(ctx, wire, &bytes),
                        Party::Operator | Party::Nobody => {}
                    }
                }
            }
            Item::End { wire, to_door, reset } => {
                let Some(w) = ctx.wires.get(&wire) else { return };
                let (party, process) = (w.party, w.process);
                if to_door {
                    return self.processes[process].ended(ctx, wire, reset);
                }
                match party {
                    Party::Client => self.clients.ended(ctx, wire),
                    Party::Backend(b) => self.backends[b].ended(ctx, wire),
                    Party::Counter => self.counter.ended(ctx, wire),
                    Party::List => self.discovery.ended(ctx, wire),
                    Party::Operator | Party::Nobody => ctx.ended(wire, false),
                }
            }
            Item::Dial(wire) => {
                let Some(w) = ctx.wires.get(&wire).filter(|w| w.door_open) else { return };
                let (party, process) = (w.party, w.process);
                let door = self.processes[process].door;
                match party {
                    Party::Client | Party::Operator => self.processes[process].connects(ctx, wire),
                    Party::Backend(b) => self.backends[b].dialled(ctx, wire),
                    Party::Counter => self.counter.dialled(ctx, wire, door),
                    Party::List => self.discovery.dialled(ctx, wire, door),
                    Party::Nobody => ctx.later(0.001, Item::Up { wire, taken: false }),
                }
            }
            Item::Up { wire, taken } => {
                let Some(w) = ctx.wires.get(&wire).filter(|w| w.door_open) else { return };
                let process = w.process;
                self.processes[process].up(ctx, wire, taken);
            }
            Item::Step(process) => {
                let outside = self.processes[process].step(ctx, &self.places);
                let door = self.processes[process].door;
                let held = self.doors[door].processes.iter().map(|p| self.processes[*p].held() + OTHERS);
                let (held, most) = (held.sum(), self.ctx.world.sockets);
                self.ctx.rules.descriptors(self.ctx.now, door, held, most);
                for what in outside {
                    self.outside(process, what);
                }
            }
            Item::Word { door, from, body } => {
                if let Some(&process) = self.doors[door].processes.last() {
                    self.processes[process].tell(ctx, Event::Datagram { from, body });
                }
            }
            Item::Done { backend, job } => self.backends[backend].done(ctx, job),
            Item::Fault { index, over } => self.fault(index, over),
            Item::Comes => {
                let until = EPOCH + self.script.seconds;
                let serving = self.serving();
                self.clients.comes(&mut self.ctx, &serving, until);
            }
            Item::RudeComes => {
                let serving = self.serving();
                self.clients.rude_comes(&mut self.ctx, &serving);
            }
            Item::Again(which) => {
                let serving = self.serving();
                if self.ctx.now < EPOCH + self.script.seconds {
                    self.clients.ask(&mut self.ctx, &serving, which);
                }
            }
            Item::Leaves(wire) => self.clients.leaves(ctx, wire),
            Item::Breaks => {
                if self.breaks > 0.0 {
                    let wires = ctx.wires_of(|w| w.party != Party::Operator && w.party_open);
                    if !wires.is_empty() {
                        let wire = wires[ctx.rng.gen_range(0..wires.len())];
                        ctx.reset(wire);
                    }
                    ctx.later(1.0 / self.breaks, Item::Breaks);
                }
            }
            Item::Counts(wire) => self.counter.counts(ctx, wire),
            Item::Watched { wire, no } => self.discovery.watched(ctx, wire, no),
            Item::News(door) => self.discovery.news(ctx, door),
            Item::Kill(process) => self.dies(process, true),
            Item::Start(door) => {
                if self.doors[door].processes.is_empty() {
                    self.start(door);
                }
            }
            Item::Back { backend, boot } => self.back(backend, boot),
        }
    }

    // ======== front doors

    /// By front door, the process that takes new connections.
    fn serving(&self) -> Vec<Option<usize>> {
        self.doors.iter().map(|d| d.processes.last().copied()).collect()
    }

    fn shared(&self, door: usize, process: Option<usize>) -> SharedState {
        let Door { processes, out, drained, .. } = &self.doors[door];
        let beside = processes.iter().any(|p| Some(*p) != process);
        let newer = beside && processes.last().copied() != process && process.is_some();
        let other = processes.iter().find(|p| Some(**p) != process);
        let holds = other.and_then(|p| self.holds.get(p).copied());
        SharedState {
            ejected_backends: out.clone(),
            drained: *drained,
            peer_process_running: beside,
            peer_process_newer: newer,
            peer_descriptor_limit: holds,
        }
    }

    fn start(&mut self, door: usize) {
        self.doors[door].boots += 1;
        let world = &self.script.world;
        let mut settings = self.settings.clone();
        settings["slot_no"] = json!(door);
        let seed =
            self.script.seed.wrapping_mul(31).wrapping_add(door as u64 * 1009 + self.doors[door].boots);
        let start = settings::load(seed, settings.to_string().as_bytes()).expect("settings of our own");
        let peers = (0..world.doors).map(door_at).collect();
        let parties = ReducerConfig {
            peers: if world.peers { peers } else { vec![] },
            peer_broadcast: self.places.words_all,
            counter: Some(counter_at(0)),
            discovery: list_at(0),
            max_descriptors: world.sockets,
            inherited_listener: world.passed,
            admin_enabled: true,
            saves_changes: true,
        };
        let index = self.processes.len();
        let shared = SharedState { drained: false, ..self.shared(door, None) };
        self.doors[door].drained = false;
        let known = self.discovery.known(door);
        let limits = world.admission.then(|| limits(world));
        let drawn = if world.declared {
            declared::draw(&mut self.ctx.rng, &self.platform)
        } else {
            OperatorUpdate::default()
        };
        let presence = (world.presence > 0.0).then_some(world.presence);
        let declares = OperatorUpdate { admission: limits, presence_interval: presence, ..drawn };
        let process = Process::boot(
            &mut self.ctx,
            (index, door, door_at(door)),
            (start, self.effects.clone()),
            (parties, &known, shared, declares),
            self.sabotage,
        );
        self.ctx.trace.line(self.ctx.now, &format!("door {door} [{index}] starts"));
        self.processes.push(process);
        self.doors[door].processes.push(index);
    }

    fn outside(&mut self, process: usize, what: Outside) {
        match what {
            Outside::Exit => self.dies(process, false),
            Outside::Holds(most) => {
                let door = self.processes[process].door;
                self.holds.insert(process, most);
                self.kept(door, None);
            }
            Outside::Keep { call, change } => {
                let door = self.processes[process].door;
                let Door { out, drained, .. } = &mut self.doors[door];
                change.apply(out, drained);
                self.kept(door, Some((process, call)));
            }
        }
    }

    /// The processes of a front door hear what is shared now.
    fn kept(&mut self, door: usize, asked: Option<(usize, u64)>) {
        for process in self.doors[door].processes.clone() {
            let call = asked.filter(|(p, _)| *p == process).map(|(_, call)| call);
            let shared = Ok(self.shared(door, Some(process)));
            self.processes[process].tell(&mut self.ctx, Event::SharedStateSaved { call, shared });
        }
    }

    fn dies(&mut self, process: usize, killed: bool) {
        if !self.processes[process].alive {
            return;
        }
        let door = self.processes[process].door;
        let how = if killed { "is killed" } else { "has ended" };
        self.ctx.trace.line(self.ctx.now, &format!("door {door} [{process}] {how}"));
        self.processes[process].dies(&mut self.ctx, killed);
        self.doors[door].processes.retain(|p| *p != process);
        self.kept(door, None);
    }

    fn operator(&mut self, door: usize, call: &str) {
        let Some(&process) = self.doors[door].processes.last() else { return };
        let wire = self.ctx.open(process, ConnectionId::Admin(0), Party::Operator);
        if let Some(w) = self.ctx.wires.get_mut(&wire) {
            w.party_open = true;
        }
        self.ctx.dial_in(wire);
        let call = format!("POST {call} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        self.ctx.send(wire, true, call.as_bytes());
    }

    // ======== backends

    /// A backend's process begins, and the list says so.
    fn back(&mut self, b: usize, boot: u64) {
        if self.backends[b].boot != boot || self.backends[b].life == Life::Up {
            return;
        }
        self.backends[b].starts(&mut self.ctx);
        let entry = self.entry(b, "SERVING");
        self.discovery.changes(&mut self.ctx, entry);
    }

    fn falls(&mut self, b: usize, says: bool, lasts: f64) {
        if self.backends[b].life != Life::Up {
            return;
        }
        self.backends[b].dies(&mut self.ctx, says);
        let boot = self.backends[b].boot;
        self.ctx.later(lasts, Item::Back { backend: b, boot });
    }

    fn renamed(&mut self, b: usize) {
        self.names[b] = format!("s{b}.{}", self.backends[b].boot + 1);
        self.ctx.rules.names.insert(self.names[b].clone(), b);
    }

    // ======== faults

    fn fault(&mut self, index: usize, over: bool) {
        let fault: Fault = self.script.faults[index].clone();
        let whom = fault.backend.or(fault.door).or(fault.zone).map_or(String::new(), |n| format!(" {n}"));
        let says = format!("{}{whom} {}", fault.kind.name(), if over { "is over" } else { "strikes" });
        self.ctx.trace.line(self.ctx.now, &says);
        if !over {
            *self.struck.entry(fault.kind).or_default() += 1;
            if let Some(lasts) = fault.lasts {
                self.ctx.later(lasts, Item::Fault { index, over: true });
            }
        }
        let by = fault.by.unwrap_or(0.0);
        let share = if over { 0.0 } else { by };
        let times = if over { 1.0 } else { by };
        let lasts = fault.lasts.unwrap_or(0.0);
        match fault.kind {
            Kind::Crash | Kind::Vanish | Kind::Drain | Kind::Replace => self.strikes_life(&fault, over),
            Kind::Slow => self.ills(&fault).slow = times,
            Kind::Swallow => self.ills(&fault).swallow = share,
            Kind::Spoil => self.ills(&fault).spoil = share,
            Kind::Surplus => self.ills(&fault).surplus = share,
            Kind::Err => self.ills(&fault).err = share,
            Kind::TurnAway => self.ills(&fault).turn_away = share,
            Kind::CloseBehind => self.ills(&fault).close_behind = share,
            Kind::BreakOff => self.ills(&fault).break_off = share,
            Kind::ZoneLoss => {
                for b in self.of_zone(&fault).into_iter().filter(|_| !over) {
                    self.falls(b, true, lasts);
                }
            }
            Kind::ZoneCut => {
                let until = self.ctx.now + lasts;
                if !over {
                    self.ctx.cuts.push(Cut { zone: fault.zone.unwrap_or(0), until });
                }
                let now = self.ctx.now;
                self.ctx.cuts.retain(|c| c.until > now);
            }
            Kind::Kill
            | Kind::Term
            | Kind::Upgrade
            | Kind::Stall
            | Kind::DrainDoor
            | Kind::Ban
            | Kind::Reload
            | Kind::Redeclare
            | Kind::Choke => self.strikes_door(&fault, over),
            Kind::CounterDown if over => self.counter.down = false,
            Kind::CounterDown => self.counter.goes_down(&mut self.ctx),
            Kind::CounterSilent if over => self.counter.speaks_again(&mut self.ctx),
            Kind::CounterSilent => self.counter.silent = true,
            Kind::CounterSlow => self.counter.slow = times,
            Kind::CounterLost => self.counter.forgets(),
            Kind::CounterSplit if over => self.counter.joins(),
            Kind::CounterSplit => {
                // And what was leased twice is still there for a while.
                self.ctx.rules.two_counters(self.ctx.now + lasts + 5.0);
                self.counter.splits();
            }
            Kind::CounterSpoilt => self.counter.spoilt = share,
            Kind::CounterDeaf => self.counter.deaf = share,
            Kind::CounterTurnsAway => self.counter.turns_away = share,
            Kind::ListLate => self.discovery.late = if over { 0.0 } else { lasts },
            Kind::ListDown => self.discovery.down = !over,
            Kind::ListGarbled => self.discovery.garbled = !over,
            Kind::ListStale => {
                self.discovery.stale = (!over).then(|| self.discovery.latest());
                self.discovery.whole_again(&mut self.ctx);
            }
            Kind::ListShrunk => {
                let number = ((self.names.len() as f64 * share) as usize).min(self.names.len() - 1);
                self.discovery.left_out = self.names[..number].to_vec();
                self.discovery.whole_again(&mut self.ctx);
            }
            Kind::Resets => {
                self.breaks = share;
                self.ctx.later(0.0, Item::Breaks);
            }
            Kind::PeersLost => self.ctx.peers_lost = share,
            Kind::Delay => self.ctx.slowness = times,
            Kind::Burst => self.clients.burst = times,
            Kind::Leave => self.clients.leave = share,
            Kind::Rude => {
                self.clients.rude = share;
                self.ctx.later(0.0, Item::RudeComes);
            }
            Kind::Herd => {
                let serving = self.serving();
                self.clients.herd(&mut self.ctx, &serving, by as usize);
            }
        }
    }

    fn ills(&mut self, fault: &Fault) -> &mut Ills {
        &mut self.backends[fault.backend.unwrap_or(0)].ills
    }

    fn of_zone(&self, fault: &Fault) -> Vec<usize> {
        (0..self.backends.len()).filter(|b| Some(b % self.script.world.zones) == fault.zone).collect()
    }

    fn strikes_life(&mut self, fault: &Fault, over: bool) {
        let b = fault.backend.unwrap_or(0);
        let lasts = fault.lasts.unwrap_or(0.0);
        match (fault.kind, over) {
            (Kind::Crash, false) => self.falls(b, true, lasts),
            (Kind::Vanish, false) => self.falls(b, false, lasts),
            (Kind::Drain, false) => {
                self.backends[b].drains = true;
                let entry = self.entry(b, "DRAINING");
                self.discovery.changes(&mut self.ctx, entry);
            }
            (Kind::Drain, true) | (Kind::Replace, false) => {
                let gone = self.entry(b, "DELETED");
                self.discovery.changes(&mut self.ctx, gone);
                if self.backends[b].life == Life::Up {
                    self.backends[b].dies(&mut self.ctx, true);
                }
                self.renamed(b);
                // The next one takes its place in a while.
                let boot = self.backends[b].boot;
                self.ctx.later(0.4, Item::Back { backend: b, boot });
            }
            _ => {}
        }
    }

    fn strikes_door(&mut self, fault: &Fault, over: bool) {
        let door = fault.door.unwrap_or(0);
        let lasts = fault.lasts.unwrap_or(0.0);
        let newest = self.doors[door].processes.last().copied();
        let now = self.ctx.now;
        match (fault.kind, over) {
            (Kind::Kill, false) => {
                for process in self.doors[door].processes.clone() {
                    self.dies(process, true);
                }
                self.ctx.later(lasts, Item::Start(door));
            }
            (Kind::Term, false) => {
                for process in self.doors[door].processes.clone() {
                    self.ctx.rules.told_to_stop(now, process);
                    self.processes[process].tell(&mut self.ctx, Event::Shutdown);
                    self.ctx.later(KILL, Item::Kill(process));
                }
                self.ctx.later(KILL + lasts, Item::Start(door));
            }
            (Kind::Upgrade, false) => {
                let Some(old) = newest.filter(|_| self.doors[door].processes.len() == 1) else { return };
                self.start(door);
                self.kept(door, None);
                self.ctx.rules.told_to_stop(now, old);
                self.processes[old].tell(&mut self.ctx, Event::Shutdown);
                self.ctx.later(KILL, Item::Kill(old));
            }
            (Kind::Stall, false) => {
                if let Some(process) = newest {
                    self.processes[process].stand_still(&mut self.ctx, lasts);
                }
            }
            (Kind::DrainDoor, false) => self.operator(door, "/healthcheck/fail"),
            (Kind::DrainDoor, true) => self.operator(door, "/healthcheck/ok"),
            (Kind::Ban, over) => {
                let name = self.names[fault.backend.unwrap_or(0)].clone();
                let what = if over { "ready" } else { "maint" };
                self.operator(door, &format!("/backends/{name}/{what}"));
            }
            (Kind::Reload, false) => {
                self.discovery.leaves(&mut self.ctx, door);
                if let Some(process) = newest {
                    let moved =
                        Event::ConfigurationReloaded { discovery: list_at(1), counter: Some(counter_at(1)) };
                    self.processes[process].tell(&mut self.ctx, moved);
                }
            }
            (Kind::Redeclare, false) => {
                if let Some(process) = newest {
                    let limits = self.script.world.admission.then(|| limits(&self.script.world));
                    let drawn = declared::draw(&mut self.ctx.rng, &self.platform);
                    let presence = (self.script.world.presence > 0.0).then_some(self.script.world.presence);
                    let declares = OperatorUpdate { admission: limits, presence_interval: presence, ..drawn };
                    self.processes[process]
                        .tell(&mut self.ctx, Event::OperatorFileReloaded(Box::new(declares)));
                }
            }
            (Kind::Choke, false) => {
                let until = now + lasts;
                for w in self.ctx.wires.values_mut() {
                    if newest == Some(w.process) && matches!(w.party, Party::Backend(_)) {
                        w.choked = until;
                    }
                }
            }
            _ => {}
        }
    }
}
