//! Embedded instances and their stand-in servers in one process, on a simulated clock. The simulation never waits, so
//! a run takes only the processor time of its events, and the simulated figures do not depend on other load of the
//! machine.
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

/// Unix time at which the simulated clock starts: the start of a counter window, so that all runs see the same
/// windows.
const START_UNIX_SECONDS: f64 = 1_700_000_010.0;
/// Seconds over which the starts of the instances are evenly spread.
const START_SPREAD_SECONDS: f64 = 1.0;
/// Port of the first backend's address; the services use lower ports.
const FIRST_BACKEND_PORT: u16 = 1_024;

/// An event on the simulated clock. Instances are identified by the index of their slot.
enum SimulationEvent {
    /// An instance processes its pending input.
    Step(usize),
    /// A client of an instance sends a request.
    Request(usize),
    /// A connection of an instance is established.
    Connected(ConnectionKey),
    /// Bytes arrive at an instance.
    Receive(ConnectionKey, Arc<[u8]>),
    /// Bytes arrive at a server.
    Serve(ConnectionKey, Vec<u8>),
    /// The timeout of a watch of the endpoint list expires.
    WatchTimeout(ConnectionKey),
    /// The endpoint list changes.
    ChangeList,
    /// An instance starts.
    Start(usize),
}

/// Identifies a connection by its instance and the instance's connection id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ConnectionKey {
    instance: usize,
    connection: ConnectionId,
}

/// State of one simulated instance.
struct Slot {
    /// `None` until the instance starts.
    instance: Option<EmbeddedInstance>,
    requests: RequestSource,
    /// Time of the next step, Unix time in seconds; infinite if no step is scheduled.
    step_at: f64,
}

/// A simulation of some or all instances of a fleet.
pub struct Simulation {
    point: OperatingPoint,
    events: EventQueue<SimulationEvent>,
    slots: Vec<Slot>,
    totals: CounterTotals,
    endpoints: EndpointRotation,
    watches: Vec<PendingWatch>,
    /// Encoded responses of the list service, by the version in the request; valid until the next change of the list.
    list_answers: HashMap<u64, Arc<[u8]>>,
    /// Traffic between the instances and the servers.
    pub traffic: ServerTraffic,
}

/// Returns an address that is never dialled: the simulation finds the server by the kind of the connection id.
fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Simulation {
    /// Creates a simulation of `instances` instances; the counter estimates what the rest of the fleet would add.
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

    /// Starts to change the endpoint list `per_second` times per second.
    pub fn start_changes(&mut self, per_second: f64) {
        self.point.changes = per_second;
        self.schedule_change();
    }

    /// Advances the simulation by a number of simulated seconds.
    pub fn run(&mut self, seconds: f64) -> Result<(), ScaleError> {
        let until = self.events.now + seconds;
        while let Some(event) = self.events.pop_due(until) {
            self.handle(event)?;
        }
        self.events.now = until;
        Ok(())
    }

    /// Returns the sum of the readings of all instances.
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
