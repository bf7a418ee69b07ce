//! The test bed of one run: the state that the stand-in servers around the instances share. It includes the clock, the condition of
//! each backend and of the counters, the endpoint list, and the executions at the backends.
//!
//! The servers (`backend`, `counter`, `discovery`, `peer_relay`) use a thread for each connection. The scale runs use
//! `scale::stand_ins` instead, which serve thousands of backends from one event loop.
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

/// Maximum time that a backend works on one request, seconds.
const MAX_WORK_SECONDS: f64 = 60.0;

/// The state that the stand-in servers of one run share.
pub struct TestBed {
    /// The deployment.
    pub world: World,
    start: Instant,
    conditions: Vec<Mutex<BackendCondition>>,
    /// Random number generators: one per backend, and the last one for the counters.
    rngs: Vec<Mutex<ChaCha8Rng>>,
    /// Open connections of each backend, which end with its process.
    connections: Vec<Mutex<Vec<TcpStream>>>,
    /// Condition of both counters.
    pub counter_condition: Mutex<CounterCondition>,
    /// Two sets of totals by counter key; the second one is used only while the counters are split.
    pub counter_totals: Mutex<[HashMap<String, f64>; 2]>,
    /// Number of calls that the counters received.
    pub counter_calls: Mutex<u64>,
    /// The endpoint list that the list service serves.
    pub endpoints: EndpointList,
    /// Whether the run is over; waiting threads then end.
    finished: AtomicBool,
    /// Requests that all backends executed.
    pub executions: Mutex<Executions>,
}

impl TestBed {
    /// Creates a test bed whose backends listen at these addresses.
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
    pub fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    /// Ends the run: stops the backends and the list service.
    pub fn finish(&self) {
        self.finished.store(true, Ordering::Relaxed);
        for backend in 0..self.conditions.len() {
            lock(&self.conditions[backend]).down = true;
            self.end_connections(backend);
        }
        self.endpoints.set_down(true);
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Marks the start of the traffic, which fault times and the intervals of the executions count from. Returns it in seconds since the
    /// start of the run.
    pub fn begin_traffic(&self) -> f64 {
        let now = self.now();
        lock(&self.executions).traffic_start = now;
        now
    }

    /// Returns the current condition of a backend.
    pub fn condition(&self, backend: usize) -> BackendCondition {
        lock(&self.conditions[backend]).clone()
    }

    /// Draws a random number from 0 to 1 from the generator of a backend, or of the counters if the index is the number of backends.
    fn random(&self, index: usize) -> f64 {
        lock(&self.rngs[index]).gen_range(0.0..1.0)
    }

    /// Draws the outcome of a request at a backend, with the duration of the work.
    pub fn draw_outcome(&self, backend: usize, units: f64) -> BackendOutcome {
        let condition = self.condition(backend);
        let age = condition.started_at.map(|started_at| self.now() - started_at);
        let seconds = units * self.world.service_time * condition.work_factor
            / fault_schedule::warm_capacity(&self.world, age);
        let work = Duration::from_secs_f64(seconds.min(MAX_WORK_SECONDS));
        let random = self.random(backend);
        let mut cumulative = 0.0;
        let outcomes = [
            (condition.rejected_fraction, BackendOutcome::Reject),
            (condition.failed_fraction, BackendOutcome::Fail(work)),
            (condition.malformed_fraction, BackendOutcome::Malformed(work)),
            (condition.unanswered_fraction, BackendOutcome::LeaveUnanswered(work)),
        ];
        for (fraction, outcome) in outcomes {
            cumulative += fraction;
            if random < cumulative {
                return outcome;
            }
        }
        BackendOutcome::Serve(work)
    }

    /// Draws whether a counter fault that affects this fraction of the calls affects this call.
    pub fn draw_counter_fault(&self, fraction: f64) -> bool {
        fraction > 0.0 && self.random(self.conditions.len()) < fraction
    }

    /// Records that a backend executed a request.
    pub fn record_execution(&self, backend: usize, request: &BackendRequest) {
        let at = self.now();
        lock(&self.executions).record(at, backend, request);
    }

    /// Counts a new connection to a backend, and keeps it to end it with the process.
    pub fn record_connection(&self, backend: usize, stream: &TcpStream) {
        lock(&self.executions).connections += 1;
        let mut connections = lock(&self.connections[backend]);
        connections.retain(|s| s.take_error().is_ok_and(|e| e.is_none()) && s.peer_addr().is_ok());
        connections.extend(stream.try_clone());
    }

    fn end_connections(&self, backend: usize) {
        for stream in lock(&self.connections[backend]).drain(..) {
            let _ = stream.shutdown(Shutdown::Both); // fails if the connection has ended already
        }
    }
}
