//! Embedded instances and their stand-ins in one process, on a simulated clock: nothing waits, so a run takes as long as its decisions
//! do, and its figures do not depend on what else the machine has to do.
mod instances;
mod servers;

use super::counter_totals::CounterTotals;
use super::embedded::{EmbeddedInstance, Reading};
use super::endpoint_rotation::EndpointRotation;
use super::error::ScaleError;
use super::event_queue::EventQueue;
use super::operating_point::OperatingPoint;
use super::requests::{Population, RequestSource};
use super::server_traffic::ServerTraffic;
use quillramp_gateway::state::connection::ConnectionId;
use servers::PendingWatch;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// When a run begins on its clock: Unix time at the edge of a count's window, so that windows are seen alike.
const START_UNIX_SECONDS: f64 = 1_700_000_010.0;
/// Instances start one after another within this, seconds.
const START_SPREAD_SECONDS: f64 = 1.0;
/// The port of the first backend; ports below it are the other servers'.
const FIRST_BACKEND_PORT: u16 = 1_024;

/// Something that happens at a time.
enum SimulationEvent {
    /// An instance processes what it has received.
    Step(usize),
    /// A client of an instance sends a request.
    Request(usize),
    /// A connection of an instance is established.
    Connected(ConnectionKey),
    /// Bytes come to an instance.
    Receive(ConnectionKey, Arc<[u8]>),
    /// Bytes come to a server.
    Serve(ConnectionKey, Vec<u8>),
    /// A watch of the list has waited for as long as it was to.
    WatchTimeout(ConnectionKey),
    /// The list changes.
    ChangeList,
    /// An instance starts.
    Start(usize),
}

/// A connection of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ConnectionKey {
    instance: usize,
    connection: ConnectionId,
}

/// An instance of the fleet.
struct Slot {
    /// None until it starts.
    instance: Option<EmbeddedInstance>,
    requests: RequestSource,
    /// When it is stepped next.
    step_at: f64,
}

/// Some instances of a fleet, or all of them, on a simulated clock.
pub struct Simulation {
    point: OperatingPoint,
    events: EventQueue<SimulationEvent>,
    slots: Vec<Slot>,
    totals: CounterTotals,
    endpoints: EndpointRotation,
    watches: Vec<PendingWatch>,
    /// Answers of the list service until the next change, by the version that the caller had.
    list_answers: HashMap<u64, Arc<[u8]>>,
    /// What crossed the connections of the servers.
    pub traffic: ServerTraffic,
}

/// An address that nobody dials: servers are told apart by what a connection is for.
fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Simulation {
    /// `instances` of the point's fleet; the counter estimates what the rest of it would add.
    pub fn new(point: &OperatingPoint, instances: usize) -> Result<Simulation, ScaleError> {
        let population = Population::new(point)?;
        let mut slots = vec![];
        for instance in 0..instances {
            let requests = RequestSource::new(point, &population, instance)?;
            slots.push(Slot { instance: None, requests, step_at: f64::INFINITY });
        }
        let backend = |index: usize| address(FIRST_BACKEND_PORT + index as u16);
        let backends: Vec<SocketAddr> = (0..point.backends).map(backend).collect();
        let mut simulation = Simulation {
            point: point.clone(),
            events: EventQueue::new(START_UNIX_SECONDS),
            slots,
            totals: CounterTotals::new(point.tenants(), point.absent_fraction(instances)),
            endpoints: EndpointRotation::new(&backends),
            watches: vec![],
            list_answers: HashMap::new(),
            traffic: ServerTraffic::default(),
        };
        for slot in 0..instances {
            let at = START_UNIX_SECONDS + START_SPREAD_SECONDS * slot as f64 / instances as f64;
            simulation.events.push(at, SimulationEvent::Start(slot));
        }
        Ok(simulation)
    }

    /// Changes the list `per_second` times a second from now on.
    pub fn start_changes(&mut self, per_second: f64) {
        self.point.changes = per_second;
        self.schedule_change();
    }

    /// Runs for some seconds of the simulated clock.
    pub fn run(&mut self, seconds: f64) -> Result<(), ScaleError> {
        let until = self.events.now + seconds;
        while let Some(event) = self.events.pop_due(until) {
            self.handle(event)?;
        }
        self.events.now = until;
        Ok(())
    }

    /// What all instances have done until now.
    pub fn read(&self) -> Reading {
        let mut sum = Reading::default();
        for instance in self.slots.iter().filter_map(|slot| slot.instance.as_ref()) {
            sum.add(instance.reading());
        }
        sum
    }

    fn handle(&mut self, event: SimulationEvent) -> Result<(), ScaleError> {
        match event {
            SimulationEvent::Start(slot) => self.start(slot)?,
            SimulationEvent::Step(slot) => self.step(slot),
            SimulationEvent::Request(slot) => self.request(slot),
            SimulationEvent::Connected(key) => {
                self.with_instance(key, |instance| instance.connected(key.connection))
            }
            SimulationEvent::Receive(key, bytes) => {
                self.with_instance(key, |instance| instance.received(key.connection, &bytes))
            }
            SimulationEvent::Serve(key, bytes) => self.serve(key, &bytes).map_err(|error| {
                ScaleError::Protocol { connection: format!("{:?}", key.connection), reason: error.0 }
            })?,
            SimulationEvent::WatchTimeout(key) => self.end_watch(key),
            SimulationEvent::ChangeList => self.change_list(),
        }
        Ok(())
    }
}
