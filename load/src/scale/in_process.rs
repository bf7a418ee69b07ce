//! Hollow front doors and their stand-ins in one process, on a clock of their own: nothing waits, so a run takes as
//! long as its decisions do, and its figures do not depend on what else the machine has to do.
use super::agenda::Agenda;
use super::counts::Counts;
use super::discovery::Discovery;
use super::hollow::{Action, HollowFrontDoor, Parts};
use super::point::{Point, SERVICE};
use super::servers;
use super::tally::{Role, Tallies};
use super::traffic::{Answered, Arrivals, Population};
use quillramp_gateway::state::event::ConnectionId;
use quillramp_gateway::wire::ProtocolError;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Seconds from one machine to another, one way: within one zone.
const LATENCY: f64 = 0.000_25;
/// Seconds in which what comes to a front door makes one batch: about what a wake-up takes.
const BATCH: f64 = 50e-6;
/// When a run begins on its clock: Unix time at the edge of a count's window, so that windows are seen alike.
const BEGIN: f64 = 1_700_000_010.0;
/// Front doors start one after another within this, seconds.
const START_SPREAD: f64 = 1.0;

/// Something that happens at a time.
enum Item {
    /// A front door looks at what has come.
    Step(usize),
    /// A client of a front door asks.
    Arrive(usize),
    /// A connection of a front door is up.
    Up(Port),
    /// Bytes come to a front door.
    Receive(Port, Arc<[u8]>),
    /// Bytes come to a server.
    Serve(Port, Vec<u8>),
    /// A watch of the list has waited for as long as it was to.
    WatchOver(Port),
    /// The list changes.
    Change,
    /// A front door starts, the first time or again.
    Start(usize),
}

/// A connection of a front door's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Port {
    front_door: usize,
    /// Counts the starts of the front door: what is on its way to an earlier process is lost.
    start: u32,
    conn: ConnectionId,
}

struct Slot {
    front_door: Option<HollowFrontDoor>,
    arrivals: Arrivals,
    starts: u32,
    /// When it is stepped next.
    step_at: f64,
    /// What earlier processes of it answered and used.
    answered: Answered,
    processor: Duration,
}

/// A watch of the list that waits for news.
struct Waiting {
    port: Port,
    since: u64,
    until: f64,
}

/// When a version of the list was written, and when each front door first asked for what comes after it.
#[derive(Clone, Debug)]
pub struct Spreading {
    pub written: f64,
    pub in_force: Vec<Option<f64>>,
}

/// A fleet, or some front doors of one, on a clock of its own.
pub struct Simulation {
    point: Point,
    agenda: Agenda<Item>,
    slots: Vec<Slot>,
    counts: Counts,
    discovery: Discovery,
    watches: Vec<Waiting>,
    /// Whole lists and changes as they were last written, by the version that the caller had; until the next change.
    written: HashMap<u64, Arc<[u8]>>,
    pub tallies: Tallies,
    /// By version of the list, from the first change on.
    pub spreading: Vec<Spreading>,
}

/// An address that nobody dials: servers are told apart by what a connection is for.
fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Simulation {
    /// So many front doors of the point's fleet; the counter reckons what the rest of it would add.
    pub fn new(point: &Point, front_doors: usize) -> Result<Simulation, String> {
        let population = Population::new(point)?;
        let mut slots = vec![];
        for slot in 0..front_doors {
            let arrivals = Arrivals::new(point, &population, slot)?;
            let (answered, processor) = (Answered::default(), Duration::ZERO);
            slots.push(Slot {
                front_door: None,
                arrivals,
                starts: 0,
                step_at: f64::INFINITY,
                answered,
                processor,
            });
        }
        let first_port = 1_024;
        let backends: Vec<SocketAddr> = (0..point.backends).map(|b| address(first_port + b as u16)).collect();
        let absent = 1.0 - front_doors as f64 / point.front_doors as f64;
        let others = (absent > 0.0 && !point.alone).then_some(absent);
        let agenda = Agenda::new(BEGIN);
        let mut new = Simulation {
            point: point.clone(),
            agenda,
            slots,
            counts: Counts::new(point.tenants(), others),
            discovery: Discovery::new(&backends),
            watches: vec![],
            written: HashMap::new(),
            tallies: Tallies::default(),
            spreading: vec![],
        };
        for slot in 0..front_doors {
            new.agenda.put(BEGIN + START_SPREAD * slot as f64 / front_doors as f64, Item::Start(slot));
        }
        Ok(new)
    }

    /// Seconds since the beginning of the run.
    pub fn elapsed(&self) -> f64 {
        self.agenda.now - BEGIN
    }

    /// Lets the list change so many times a second from now on.
    pub fn begin_changes(&mut self, per_second: f64) {
        self.point.changes = per_second;
        if per_second > 0.0 {
            self.agenda.put(self.agenda.now + 1.0 / per_second, Item::Change);
        }
    }

    /// A front door is killed, and starts again after so many seconds.
    pub fn restart(&mut self, slot: usize, after: f64) {
        let gone = &mut self.slots[slot];
        if let Some(front_door) = gone.front_door.take() {
            gone.answered = gone.answered.plus(&front_door.answered);
            gone.processor += front_door.processor;
        }
        gone.starts += 1;
        gone.step_at = f64::INFINITY;
        self.watches.retain(|w| w.port.front_door != slot);
        self.agenda.put(self.agenda.now + after, Item::Start(slot));
    }

    /// Runs for so many seconds of its own clock.
    pub fn run(&mut self, seconds: f64) -> Result<(), String> {
        let until = self.agenda.now + seconds;
        while let Some(item) = self.agenda.take(until) {
            self.happen(item)?;
        }
        self.agenda.now = until;
        Ok(())
    }

    /// What became of the requests of all front doors.
    pub fn answered(&self) -> Answered {
        let of =
            |slot: &Slot| slot.front_door.as_ref().map_or(slot.answered, |f| slot.answered.plus(&f.answered));
        self.slots.iter().map(of).fold(Answered::default(), |all, one| all.plus(&one))
    }

    /// Processor time of all front doors.
    pub fn processor(&self) -> Duration {
        let of =
            |slot: &Slot| slot.processor + slot.front_door.as_ref().map_or(Duration::ZERO, |f| f.processor);
        self.slots.iter().map(of).sum()
    }

    fn happen(&mut self, item: Item) -> Result<(), String> {
        match item {
            Item::Start(slot) => self.start(slot)?,
            Item::Step(slot) => self.step(slot),
            Item::Arrive(slot) => self.arrive(slot),
            Item::Up(port) => self.reach(port, |front_door| front_door.connected(port.conn)),
            Item::Receive(port, bytes) => {
                self.reach(port, |front_door| front_door.received(port.conn, &bytes))
            }
            Item::Serve(port, bytes) => {
                self.serve(port, &bytes).map_err(|e| format!("{:?}: {}", port.conn, e.0))?
            }
            Item::WatchOver(port) => self.watch_over(port),
            Item::Change => self.change(),
        }
        Ok(())
    }

    fn start(&mut self, slot: usize) -> Result<(), String> {
        let parts = Parts { counter: address(1), list: address(2) };
        let front_door = HollowFrontDoor::new(self.agenda.now, &self.point, slot, parts)?;
        let begun = self.slots[slot].starts > 0;
        self.slots[slot].front_door = Some(front_door);
        self.wake(slot, self.agenda.now);
        if !begun && self.point.requests > 0.0 {
            self.next_arrival(slot);
        }
        Ok(())
    }

    fn next_arrival(&mut self, slot: usize) {
        let gap = self.slots[slot].arrivals.gap();
        self.agenda.put(self.agenda.now + gap, Item::Arrive(slot));
    }

    fn arrive(&mut self, slot: usize) {
        let request = self.slots[slot].arrivals.request();
        if let Some(front_door) = &mut self.slots[slot].front_door {
            front_door.request(&request);
        }
        self.wake(slot, self.agenda.now + BATCH);
        self.next_arrival(slot);
    }

    /// Does something to the process that a connection belongs to, if that is still there.
    fn reach(&mut self, port: Port, what: impl FnOnce(&mut HollowFrontDoor)) {
        let slot = &mut self.slots[port.front_door];
        if slot.starts != port.start {
            return;
        }
        if let Some(front_door) = &mut slot.front_door {
            what(front_door);
        }
        self.wake(port.front_door, self.agenda.now + BATCH);
    }

    fn wake(&mut self, slot: usize, at: f64) {
        if at < self.slots[slot].step_at {
            self.slots[slot].step_at = at;
            self.agenda.put(at, Item::Step(slot));
        }
    }

    fn step(&mut self, slot: usize) {
        let now = self.agenda.now;
        let own = &mut self.slots[slot];
        if own.step_at > now {
            return; // it was put off since
        }
        own.step_at = f64::INFINITY;
        let Some(front_door) = &mut own.front_door else { return };
        let (next, actions) = front_door.step(now);
        let start = own.starts;
        for action in actions {
            self.carry_out(slot, start, action);
        }
        if let Some(next) = next {
            self.wake(slot, next.max(now));
        }
    }

    fn carry_out(&mut self, front_door: usize, start: u32, action: Action) {
        let port = |conn: ConnectionId| Port { front_door, start, conn };
        let now = self.agenda.now;
        match action {
            Action::Dial(conn, _) => {
                if let Some(role) = role(conn) {
                    self.tallies.of(role).connected();
                }
                self.agenda.put(now + 2.0 * LATENCY, Item::Up(port(conn)));
            }
            Action::Send(conn, bytes) => {
                if let Some(role) = role(conn) {
                    self.tallies.of(role).received(bytes.len());
                    self.agenda.put(now + LATENCY, Item::Serve(port(conn), bytes));
                }
            }
            Action::Close(conn) => self.watches.retain(|w| w.port != port(conn)),
        }
    }

    fn serve(&mut self, port: Port, bytes: &[u8]) -> Result<(), ProtocolError> {
        let Some(role) = role(port.conn) else { return Ok(()) };
        let mut used = 0;
        while used < bytes.len() {
            let rest = &bytes[used..];
            let n = match role {
                Role::Counter => {
                    servers::count(self.agenda.now, &mut self.counts, rest)?.map(|(answer, n)| {
                        self.answer(port, role, answer.into(), 0.0);
                        n
                    })
                }
                Role::Backend => servers::invoke(rest)?.map(|(answer, n)| {
                    self.answer(port, role, answer.into(), SERVICE);
                    n
                }),
                Role::List => servers::watch(rest)?.map(|(watch, n)| {
                    self.watch(port, watch);
                    n
                }),
            };
            // Requests leave whole, in one piece, and come so.
            used += n.ok_or(ProtocolError("half a request"))?;
            self.tallies.of(role).called();
        }
        Ok(())
    }

    fn answer(&mut self, port: Port, role: Role, bytes: Arc<[u8]>, after: f64) {
        self.tallies.of(role).sent(bytes.len());
        self.agenda.put(self.agenda.now + after + LATENCY, Item::Receive(port, bytes));
    }

    // ======== the list

    fn watch(&mut self, port: Port, watch: servers::Watch) {
        self.note_in_force(port.front_door, watch.since);
        if watch.since < self.discovery.version() {
            return self.tell(port, watch.since);
        }
        let until = self.agenda.now + watch.wait.as_secs_f64();
        self.watches.push(Waiting { port, since: watch.since, until });
        self.agenda.put(until, Item::WatchOver(port));
    }

    /// Who asks for what comes after a version has it in force.
    fn note_in_force(&mut self, front_door: usize, version: u64) {
        let now = self.agenda.now;
        for change in self.spreading.iter_mut().take((version as usize).saturating_sub(1)).rev() {
            if change.in_force[front_door].is_some() {
                return; // and all before it
            }
            change.in_force[front_door] = Some(now);
        }
    }

    fn tell(&mut self, port: Port, since: u64) {
        let answer =
            self.written.entry(since).or_insert_with(|| servers::listing(&self.discovery, since).into());
        let answer = answer.clone();
        self.answer(port, Role::List, answer, 0.0);
    }

    fn watch_over(&mut self, port: Port) {
        let now = self.agenda.now;
        if let Some(i) = self.watches.iter().position(|w| w.port == port && now >= w.until) {
            let watch = self.watches.swap_remove(i);
            self.tell(port, watch.since);
        }
    }

    fn change(&mut self) {
        self.discovery.change();
        self.written.clear();
        let in_force = vec![None; self.slots.len()];
        self.spreading.push(Spreading { written: self.agenda.now, in_force });
        for watch in std::mem::take(&mut self.watches) {
            self.tell(watch.port, watch.since);
        }
        if self.point.changes > 0.0 {
            self.agenda.put(self.agenda.now + 1.0 / self.point.changes, Item::Change);
        }
    }
}

fn role(conn: ConnectionId) -> Option<Role> {
    match conn {
        ConnectionId::Counter(_) => Some(Role::Counter),
        ConnectionId::Discovery(_) => Some(Role::List),
        ConnectionId::Backend(_) => Some(Role::Backend),
        ConnectionId::Client(_) | ConnectionId::Admin(_) => None,
    }
}
