//! Embedded instances with real sockets towards a counter and a list service, many to one thread. Their clients and backends are in
//! this process.
mod sockets;

use super::clock::unix_now;
use super::embedded::{ConnectionCommand, EmbeddedInstance, Reading, Services};
use super::error::ScaleError;
use super::event_queue::EventQueue;
use super::operating_point::{OperatingPoint, BACKEND_SECONDS};
use super::requests::{Population, RequestSource};
use super::server_protocol;
use mio::{Events, Token};
use quillramp_gateway::state::event::{CloseReason, ConnectionId};
use sockets::Sockets;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// Threads that the instances are spread over; the stand-ins have another one.
const THREADS: usize = 6;
/// Seconds from an instance to a backend in the same process, one way.
const LATENCY: f64 = 0.000_25;
/// The longest sleep.
const LONGEST_SLEEP: Duration = Duration::from_millis(20);
/// Socket events that are taken at once.
const EVENT_CAPACITY: usize = 256;
/// Seconds that an instance is away for a restart.
const RESTART_SECONDS: f64 = 1.0;

/// Instances by thread: consecutive numbers, as evenly as they go.
pub fn partition(instances: usize) -> impl Iterator<Item = Range<usize>> {
    let threads = THREADS.min(instances);
    (0..threads).map(move |n| n * instances / threads..(n + 1) * instances / threads)
}

enum GroupEvent {
    /// An instance processes what has come.
    Step(usize),
    /// A client of an instance sends a request.
    Request(usize),
    /// A connection to a backend is established.
    Connected(BackendPort),
    /// Bytes of a backend come to an instance.
    Receive(BackendPort, Vec<u8>),
    /// An instance is killed.
    Stop(usize),
    /// An instance starts again.
    Start(usize),
}

/// A connection to a backend, of one process of an instance.
#[derive(Clone, Copy)]
struct BackendPort {
    slot: usize,
    start: u64,
    connection: ConnectionId,
}

/// An instance that is to be killed, and when; it starts again after a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restart {
    /// Unix time in seconds.
    pub at: f64,
    /// Its number in the fleet.
    pub instance: usize,
}

/// An instance first asked for what comes after a version of the list: it has all until then in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InForce {
    /// Its number in the fleet.
    pub instance: usize,
    /// The version.
    pub version: u64,
    /// Unix time in seconds.
    pub at: f64,
}

/// An instance of the group.
struct Slot {
    /// None while it restarts.
    instance: Option<EmbeddedInstance>,
    /// Counts its processes: what is on its way to an earlier one is lost.
    starts: u64,
    /// What earlier processes did.
    earlier: Reading,
    /// The newest version of the list that it has had in force.
    version: u64,
    requests: RequestSource,
    /// When it is stepped next.
    step_at: f64,
}

/// Instances of one thread.
pub struct Group {
    events: EventQueue<GroupEvent>,
    slots: Vec<Slot>,
    sockets: Sockets,
    point: OperatingPoint,
    services: Services,
    /// The number in the fleet of its first instance.
    first: usize,
    /// When its instances had which version of the list in force.
    pub in_force: Vec<InForce>,
}

impl Group {
    /// Starts the instances of these numbers.
    pub fn start(
        point: &OperatingPoint,
        population: &Arc<Population>,
        members: Range<usize>,
        services: Services,
    ) -> Result<Group, ScaleError> {
        let sockets = Sockets::new()?;
        let now = unix_now();
        let first = members.start;
        let mut slots = vec![];
        for number in members {
            let requests = RequestSource::new(point, population, number)?;
            let instance = EmbeddedInstance::new(now, point, number, services)?;
            slots.push(Slot {
                instance: Some(instance),
                starts: 0,
                earlier: Reading::default(),
                version: 0,
                requests,
                step_at: now,
            });
        }
        let mut group = Group {
            events: EventQueue::new(now),
            slots,
            sockets,
            point: point.clone(),
            services,
            first,
            in_force: vec![],
        };
        for slot in 0..group.slots.len() {
            group.events.push(now, GroupEvent::Step(slot));
            if point.requests > 0.0 {
                group.schedule_request(slot, now);
            }
        }
        Ok(group)
    }

    /// Restarts those of these instances that are its own.
    pub fn schedule_restarts(&mut self, restarts: &[Restart]) {
        let own = self.first..self.first + self.slots.len();
        for restart in restarts.iter().filter(|r| own.contains(&r.instance)) {
            self.events.push(restart.at, GroupEvent::Stop(restart.instance - self.first));
        }
    }

    /// Serves until that Unix time.
    pub fn run(&mut self, until: f64) {
        let mut socket_events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let now = unix_now();
            if now >= until {
                return;
            }
            while let Some(event) = self.events.pop_due(now) {
                self.handle(event);
            }
            let sleep = |at: f64| Duration::from_secs_f64((at - now).max(0.0));
            let wait = self.events.next_at().map_or(LONGEST_SLEEP, sleep).min(LONGEST_SLEEP);
            if self.sockets.poll(&mut socket_events, wait).is_ok() {
                let ready: Vec<Token> = socket_events.iter().map(|event| event.token()).collect();
                ready.into_iter().for_each(|token| self.socket_ready(token));
            }
        }
    }

    /// What all of them have done until now.
    pub fn read(&self) -> Reading {
        let mut all = Reading::default();
        for slot in &self.slots {
            all.add(&slot.earlier);
            slot.instance.iter().for_each(|instance| all.add(instance.reading()));
        }
        all
    }

    fn handle(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Step(slot) => self.step(slot),
            GroupEvent::Request(slot) => {
                let request = self.slots[slot].requests.next_request();
                self.with_instance(slot, |instance| instance.request(&request));
                self.schedule_request(slot, self.events.now);
            }
            GroupEvent::Connected(port) if self.is_current(port) => {
                self.with_instance(port.slot, |instance| instance.connected(port.connection));
            }
            GroupEvent::Receive(port, bytes) if self.is_current(port) => {
                self.with_instance(port.slot, |instance| instance.received(port.connection, &bytes));
            }
            GroupEvent::Connected(_) | GroupEvent::Receive(..) => {}
            GroupEvent::Stop(slot) => self.stop(slot),
            GroupEvent::Start(slot) => self.start_again(slot),
        }
    }

    /// Whether the process that the connection belongs to is still there.
    fn is_current(&self, port: BackendPort) -> bool {
        self.slots[port.slot].starts == port.start
    }

    /// Does something to an instance, if it is there.
    fn with_instance(&mut self, slot: usize, action: impl FnOnce(&mut EmbeddedInstance)) {
        if let Some(instance) = &mut self.slots[slot].instance {
            action(instance);
        }
        self.wake(slot, self.events.now);
    }

    fn stop(&mut self, slot: usize) {
        let state = &mut self.slots[slot];
        state.starts += 1;
        if let Some(instance) = state.instance.take() {
            state.earlier.add(instance.reading());
        }
        self.sockets.close_all(slot);
        self.events.push(self.events.now + RESTART_SECONDS, GroupEvent::Start(slot));
    }

    fn start_again(&mut self, slot: usize) {
        let started = EmbeddedInstance::new(unix_now(), &self.point, self.first + slot, self.services);
        self.slots[slot].instance = started.ok(); // the same settings were read at its first start
        self.wake(slot, self.events.now);
    }

    /// Records the versions that a watch's caller has in force: all until the one that it knows.
    fn record_in_force(&mut self, slot: usize, bytes: &[u8]) {
        let Ok(Some((watch, _))) = server_protocol::decode_watch(bytes) else { return };
        let instance = self.first + slot;
        let state = &mut self.slots[slot];
        if watch.since > state.version {
            let at = unix_now();
            let new = state.version + 1..=watch.since;
            self.in_force.extend(new.map(|version| InForce { instance, version, at }));
            state.version = watch.since;
        }
    }

    fn schedule_request(&mut self, slot: usize, now: f64) {
        let gap = self.slots[slot].requests.next_gap();
        self.events.push(now + gap, GroupEvent::Request(slot));
    }

    fn wake(&mut self, slot: usize, at: f64) {
        if at < self.slots[slot].step_at {
            self.slots[slot].step_at = at;
            self.events.push(at, GroupEvent::Step(slot));
        }
    }

    fn step(&mut self, slot: usize) {
        let now = unix_now();
        if self.slots[slot].step_at > now {
            return; // it was postponed since
        }
        self.slots[slot].step_at = f64::INFINITY;
        let Some(instance) = &mut self.slots[slot].instance else { return };
        let step = instance.step(now);
        for command in step.commands {
            self.execute(slot, command);
        }
        if let Some(next_at) = step.next_at {
            self.wake(slot, next_at);
        }
    }

    fn execute(&mut self, slot: usize, command: ConnectionCommand) {
        let now = self.events.now;
        match command {
            ConnectionCommand::Connect(connection @ ConnectionId::Backend(_), _) => {
                let port = self.backend_port(slot, connection);
                self.events.push(now + 2.0 * LATENCY, GroupEvent::Connected(port));
            }
            ConnectionCommand::Connect(connection, address) => {
                if self.sockets.connect(slot, connection, address).is_err() {
                    self.with_instance(slot, |f| f.ended(connection, CloseReason::Refused));
                }
            }
            ConnectionCommand::Send(connection @ ConnectionId::Backend(_), bytes) => {
                self.answer_commands(self.backend_port(slot, connection), &bytes);
            }
            ConnectionCommand::Send(connection, bytes) => {
                if matches!(connection, ConnectionId::Discovery(_)) {
                    self.record_in_force(slot, &bytes);
                }
                self.send(slot, connection, &bytes);
            }
            ConnectionCommand::Close(connection) => self.sockets.close(slot, connection),
        }
    }

    fn backend_port(&self, slot: usize, connection: ConnectionId) -> BackendPort {
        BackendPort { slot, start: self.slots[slot].starts, connection }
    }

    /// Answers commands as a backend does. An instance writes whole commands, one or more.
    fn answer_commands(&mut self, port: BackendPort, bytes: &[u8]) {
        let at = self.events.now + 2.0 * LATENCY + BACKEND_SECONDS;
        let mut rest = bytes;
        while let Ok(Some((reply, length))) = server_protocol::answer_command(rest) {
            self.events.push(at, GroupEvent::Receive(port, reply));
            rest = &rest[length..];
        }
    }

    fn send(&mut self, slot: usize, connection: ConnectionId, bytes: &[u8]) {
        if let Err(token) = self.sockets.send(slot, connection, bytes) {
            self.end(token, CloseReason::Reset);
        }
    }

    /// Establishes, reads and writes a socket, as far as it goes.
    fn socket_ready(&mut self, token: Token) {
        let Some(owner) = self.sockets.owner(token) else { return };
        match self.sockets.finish_connect(token) {
            sockets::Progress::Established => {}
            sockets::Progress::Connected => {
                self.with_instance(owner.slot, |instance| instance.connected(owner.connection));
            }
            sockets::Progress::Pending => return,
            sockets::Progress::Failed => return self.end(token, CloseReason::Refused),
        }
        let instance = &mut self.slots[owner.slot].instance;
        let received = |bytes: &[u8]| {
            instance.iter_mut().for_each(|instance| instance.received(owner.connection, bytes))
        };
        if let Some(reason) = self.sockets.exchange(token, received) {
            self.end(token, reason);
        }
        self.wake(owner.slot, self.events.now);
    }

    /// A connection ended, and the instance is notified.
    fn end(&mut self, token: Token, reason: CloseReason) {
        let Some(owner) = self.sockets.remove(token) else { return };
        self.with_instance(owner.slot, |instance| instance.ended(owner.connection, reason));
    }
}
