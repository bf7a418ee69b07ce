//! Groups of embedded instances that share a thread. Their connections to the counter and the list service are real
//! sockets; their clients and backends are simulated in the group.
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

/// Maximum number of threads for the instances; the stand-ins run on one more.
const THREADS: usize = 6;
/// Maximum time of one wait for socket events.
const MAX_POLL_WAIT: Duration = Duration::from_millis(20);
/// Maximum number of socket events per poll.
const EVENT_CAPACITY: usize = 256;

/// Splits the instances into one range for each thread, with sizes that differ by at most one.
pub fn partition(instances: usize) -> impl Iterator<Item = Range<usize>> {
    let threads = THREADS.min(instances);
    (0..threads).map(move |thread| thread * instances / threads..(thread + 1) * instances / threads)
}

/// An event of a group. Instances are identified by the index of their slot.
enum GroupEvent {
    /// An instance processes its pending input.
    Step(usize),
    /// A client of an instance sends a request.
    Request(usize),
    /// A connection to a backend is established.
    Connected(BackendConnection),
    /// Bytes from a backend arrive at an instance.
    Receive(BackendConnection, Vec<u8>),
    /// An instance is killed.
    Stop(usize),
    /// An instance starts again.
    Start(usize),
}

/// A connection from one process of an instance to a backend.
#[derive(Clone, Copy)]
struct BackendConnection {
    slot: usize,
    generation: u64,
    connection: ConnectionId,
}

/// A scheduled restart: the instance is killed, and starts again after a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restart {
    /// Time of the kill, Unix time in seconds.
    pub at: f64,
    /// Index of the instance in the fleet.
    pub instance: usize,
}

/// A version of the endpoint list that an instance has applied. The instance has applied a version once a watch
/// requests the changes since this version or a later one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppliedVersion {
    /// Index of the instance in the fleet.
    pub instance: usize,
    /// Version of the list.
    pub version: u64,
    /// Time of the first such watch, Unix time in seconds.
    pub at: f64,
}

/// State of one instance of the group.
struct Slot {
    /// `None` while the instance restarts.
    instance: Option<EmbeddedInstance>,
    /// Number of restarts. Backend events of an earlier generation are dropped.
    generation: u64,
    /// Sum of the readings of earlier processes.
    previous_processes: Reading,
    /// Newest version of the endpoint list that the instance has applied.
    applied_version: u64,
    requests: RequestSource,
    /// Time of the next step, Unix time in seconds; infinite if no step is scheduled.
    step_at: f64,
}

/// The embedded instances of one thread.
pub struct Group {
    events: EventQueue<GroupEvent>,
    slots: Vec<Slot>,
    sockets: Sockets,
    point: OperatingPoint,
    services: ServiceAddresses,
    /// Index in the fleet of the group's first instance.
    first_instance: usize,
    /// Versions of the endpoint list that the instances have applied so far.
    pub applied_versions: Vec<AppliedVersion>,
}

impl Group {
    /// Starts the instances with these indices in the fleet.
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
        for index in members {
            let requests = RequestSource::new(point, population, index)?;
            let instance = EmbeddedInstance::new(now, point, index, services)?;
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

    /// Schedules the restarts of the instances that belong to this group.
    pub fn schedule_restarts(&mut self, restarts: &[Restart]) {
        let members = self.first_instance..self.first_instance + self.slots.len();
        for restart in restarts.iter().filter(|restart| members.contains(&restart.instance)) {
            self.events.push(restart.at, GroupEvent::Stop(restart.instance - self.first_instance));
        }
    }

    /// Runs the group until a Unix time in seconds.
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

    /// Returns the sum of the readings of all instances, including earlier processes.
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

    /// Returns whether the connection belongs to the current process of its instance.
    fn is_current(&self, backend: BackendConnection) -> bool {
        self.slots[backend.slot].generation == backend.generation
    }
}
