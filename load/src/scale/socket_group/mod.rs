//! Embedded instances with real sockets towards a counter and a list service, many to one thread. Their clients and backends are in
//! this process.
mod instances;
mod sockets;

use super::clock::unix_now;
use super::embedded::{EmbeddedInstance, Reading, ServiceAddresses};
use super::error::ScaleError;
use super::event_queue::EventQueue;
use super::operating_point::OperatingPoint;
use super::requests::{Population, RequestSource};
use mio::{Events, Token};
use quillramp_gateway::state::connection::ConnectionId;
use sockets::Sockets;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// Threads that the instances are spread over; the stand-ins have another one.
const THREADS: usize = 6;
/// The longest sleep.
const MAX_POLL_WAIT: Duration = Duration::from_millis(20);
/// Socket events that are taken at once.
const EVENT_CAPACITY: usize = 256;

/// Instances by thread: consecutive numbers, as evenly as they go.
pub fn partition(instances: usize) -> impl Iterator<Item = Range<usize>> {
    let threads = THREADS.min(instances);
    (0..threads).map(move |thread| thread * instances / threads..(thread + 1) * instances / threads)
}

enum GroupEvent {
    /// An instance processes what it has received.
    Step(usize),
    /// A client of an instance sends a request.
    Request(usize),
    /// A connection to a backend is established.
    Connected(BackendConnection),
    /// Bytes of a backend come to an instance.
    Receive(BackendConnection, Vec<u8>),
    /// An instance is killed.
    Stop(usize),
    /// An instance starts again.
    Start(usize),
}

/// A connection to a backend, of one process of an instance.
#[derive(Clone, Copy)]
struct BackendConnection {
    slot: usize,
    generation: u64,
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

/// An instance first requested the changes after a version of the list: all versions until then are in force there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppliedVersion {
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
    generation: u64,
    /// What earlier processes did.
    previous_processes: Reading,
    /// The newest version of the list that it has had in force.
    applied_version: u64,
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
    services: ServiceAddresses,
    /// The number in the fleet of its first instance.
    first_instance: usize,
    /// When its instances had which version of the list in force.
    pub applied_versions: Vec<AppliedVersion>,
}

impl Group {
    /// Starts the instances of these numbers.
    pub fn start(
        point: &OperatingPoint,
        population: &Arc<Population>,
        members: Range<usize>,
        services: ServiceAddresses,
    ) -> Result<Group, ScaleError> {
        let sockets = Sockets::new()?;
        let now = unix_now();
        let first_instance = members.start;
        let mut slots = vec![];
        for number in members {
            let requests = RequestSource::new(point, population, number)?;
            let instance = EmbeddedInstance::new(now, point, number, services)?;
            slots.push(Slot {
                instance: Some(instance),
                generation: 0,
                previous_processes: Reading::default(),
                applied_version: 0,
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
            first_instance,
            applied_versions: vec![],
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
        let numbers = self.first_instance..self.first_instance + self.slots.len();
        for restart in restarts.iter().filter(|restart| numbers.contains(&restart.instance)) {
            self.events.push(restart.at, GroupEvent::Stop(restart.instance - self.first_instance));
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
            let wait = self.events.next_at().map_or(MAX_POLL_WAIT, sleep).min(MAX_POLL_WAIT);
            if self.sockets.poll(&mut socket_events, wait).is_ok() {
                let ready: Vec<Token> = socket_events.iter().map(|event| event.token()).collect();
                ready.into_iter().for_each(|token| self.socket_ready(token));
            }
        }
    }

    /// What all of them have done until now.
    pub fn read(&self) -> Reading {
        let mut sum = Reading::default();
        for slot in &self.slots {
            sum.add(&slot.previous_processes);
            slot.instance.iter().for_each(|instance| sum.add(instance.reading()));
        }
        sum
    }

    fn handle(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Step(slot) => self.step(slot),
            GroupEvent::Request(slot) => {
                let request = self.slots[slot].requests.next_request();
                self.with_instance(slot, |instance| instance.request(&request));
                self.schedule_request(slot, self.events.now);
            }
            GroupEvent::Connected(backend) if self.is_current(backend) => {
                self.with_instance(backend.slot, |instance| instance.connected(backend.connection));
            }
            GroupEvent::Receive(backend, bytes) if self.is_current(backend) => {
                self.with_instance(backend.slot, |instance| instance.received(backend.connection, &bytes));
            }
            GroupEvent::Connected(_) | GroupEvent::Receive(..) => {}
            GroupEvent::Stop(slot) => self.stop(slot),
            GroupEvent::Start(slot) => self.restart(slot),
        }
    }

    /// Whether the process that the connection belongs to is still running.
    fn is_current(&self, backend: BackendConnection) -> bool {
        self.slots[backend.slot].generation == backend.generation
    }
}
