//! The test bed of one run: the state shared by the stand-in servers that surround the instances on loopback, that is the clock, the
//! condition of each backend and of the counter, the endpoint list, and what the backends executed.
//!
//! The servers (`backend`, `counter`, `discovery`, `peer_relay`) use a thread for each connection. The scale runs have stand-ins of
//! their own (`scale::stand_ins`), which serve thousands of backends from one event loop.
pub(crate) mod backend;
mod condition;
pub(crate) mod counter;
pub(crate) mod discovery;
mod endpoint_list;
mod executions;
mod inject;
pub(crate) mod loopback;
pub(crate) mod peer_relay;

pub use condition::{BackendCondition, BackendOutcome, CounterCondition};
pub use endpoint_list::EndpointList;
pub use executions::{BackendLoad, BackendRequest, CustomerPlan, Executions, TimedUnits, INTERVAL_SECONDS};

use crate::fault_schedule;
use crate::sync::lock;
use quillramp_emulator::scenario::World;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest work of a backend for one request, seconds.
const MAX_WORK_SECONDS: f64 = 60.0;

/// State shared by the stand-ins of one run.
pub struct TestBed {
    /// The deployment that is run.
    pub world: World,
    start: Instant,
    conditions: Vec<Mutex<BackendCondition>>,
    /// One source of random numbers for each backend, and the last one for the counter.
    rngs: Vec<Mutex<ChaCha8Rng>>,
    /// Connections that are open at each backend, to end them with its process.
    connections: Vec<Mutex<Vec<TcpStream>>>,
    /// The condition of both counters.
    pub counter_condition: Mutex<CounterCondition>,
    /// Two sets of counts; the second is in use while they are split.
    pub counter_totals: Mutex<[HashMap<String, f64>; 2]>,
    /// Calls that the counters received.
    pub counter_calls: Mutex<u64>,
    /// The list that the list service serves.
    pub endpoints: EndpointList,
    /// The run is over: threads that wait for something end.
    finished: AtomicBool,
    /// What all backends executed.
    pub executions: Mutex<Executions>,
}

impl TestBed {
    /// A test bed whose backends listen at these addresses.
    pub fn new(world: &World, seed: u64, backends: &[SocketAddr]) -> Arc<TestBed> {
        let backend_count = backends.len();
        let rng = |index: usize| {
            let seed = seed ^ (index as u64 + 1) << 32;
            Mutex::new(ChaCha8Rng::seed_from_u64(seed))
        };
        Arc::new(TestBed {
            world: world.clone(),
            start: Instant::now(),
            conditions: (0..backend_count).map(|_| Mutex::default()).collect(),
            rngs: (0..=backend_count).map(rng).collect(),
            connections: (0..backend_count).map(|_| Mutex::default()).collect(),
            counter_condition: Mutex::default(),
            counter_totals: Mutex::default(),
            counter_calls: Mutex::default(),
            endpoints: EndpointList::new(world, backends),
            finished: AtomicBool::new(false),
            executions: Mutex::new(Executions::new(backend_count)),
        })
    }

    /// Whether the run is over.
    pub fn finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    /// Ends all that the stand-ins still do.
    pub fn finish(&self) {
        self.finished.store(true, Ordering::Relaxed);
        for backend in 0..self.conditions.len() {
            lock(&self.conditions[backend]).down = true;
            self.end_connections(backend);
        }
        self.endpoints.set_down(true);
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The traffic begins now, and with it the time of faults and of the columns of what backends executed. Seconds since the start
    /// of the run.
    pub fn begin_traffic(&self) -> f64 {
        let now = self.now();
        lock(&self.executions).traffic_start = now;
        now
    }

    /// The condition of a backend now.
    pub fn condition(&self, backend: usize) -> BackendCondition {
        lock(&self.conditions[backend]).clone()
    }

    /// A random number from 0 to 1, of a backend or, with the index after the last backend, of the counter.
    fn random(&self, index: usize) -> f64 {
        lock(&self.rngs[index]).gen_range(0.0..1.0)
    }

    /// Draws the outcome of a request that a backend has just begun.
    pub fn draw_outcome(&self, backend: usize, units: f64) -> BackendOutcome {
        let condition = self.condition(backend);
        let age = condition.started_at.map(|started_at| self.now() - started_at);
        let seconds = units * self.world.service_time * condition.work_factor
            / fault_schedule::warm_capacity(&self.world, age);
        let work = Duration::from_secs_f64(seconds.min(MAX_WORK_SECONDS));
        let drawn = self.random(backend);
        let mut cumulative = 0.0;
        let outcomes = [
            (condition.rejected_fraction, BackendOutcome::Reject),
            (condition.failed_fraction, BackendOutcome::Fail(work)),
            (condition.malformed_fraction, BackendOutcome::Malformed(work)),
            (condition.unanswered_fraction, BackendOutcome::LeaveUnanswered(work)),
        ];
        for (fraction, outcome) in outcomes {
            cumulative += fraction;
            if drawn < cumulative {
                return outcome;
            }
        }
        BackendOutcome::Serve(work)
    }

    /// Whether a fault that concerns this fraction of the counter's calls concerns this one.
    pub fn draw_counter_fault(&self, fraction: f64) -> bool {
        fraction > 0.0 && self.random(self.conditions.len()) < fraction
    }

    /// Records that a request took effect at a backend.
    pub fn record_execution(&self, backend: usize, request: &BackendRequest) {
        let at = self.now();
        lock(&self.executions).record(at, backend, request);
    }

    /// Records a new connection to a backend.
    pub fn record_connection(&self, backend: usize, stream: &TcpStream) {
        lock(&self.executions).connections += 1;
        let mut connections = lock(&self.connections[backend]);
        connections.retain(|s| s.take_error().is_ok_and(|e| e.is_none()) && s.peer_addr().is_ok());
        connections.extend(stream.try_clone());
    }

    fn end_connections(&self, backend: usize) {
        for stream in lock(&self.connections[backend]).drain(..) {
            let _ = stream.shutdown(Shutdown::Both); // it may have ended
        }
    }
}
