//! Runs a scenario: gateway processes and models on a virtual clock, with the scenario's faults. The checker's invariants are checked
//! after each event.
//!
//! | module | what it does |
//! | --- | --- |
//! | `dispatch` | dispatches each event to the process or model that handles it |
//! | `instances` | starts and ends processes of gateway instances, keeps their shared state |
//! | `backends` | starts, fails and replaces backends |
//! | `faults` | starts and ends the scenario's faults |
//! | `report` | the result of a run |
mod backends;
mod dispatch;
mod faults;
mod instances;
mod report;

pub use report::{BoundedOvershoot, Report};

use crate::addresses;
use crate::backend::Backend;
use crate::checker::{Checker, Violation};
use crate::clients::{ClientOperation, Clients};
use crate::context::Context;
use crate::counter::Counter;
use crate::deployment::{checked_limits, gateway_settings, operations, PLANS};
use crate::discovery::Discovery;
use crate::gateway_process::{Addresses, GatewayProcess, InjectedDefect};
use crate::network::Remote;
use crate::scenario::{FaultKind, Scenario, World};
use crate::scheduled_event::ScheduledEvent;
use instances::Instance;
use quillramp::settings;
use quillramp::types::Idempotency;
use quillramp_gateway::process::operator;
use quillramp_operator::routes::Platform;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// Virtual time at which a run starts, in seconds since the start of 1970: well after 0, and not at the edge of a time window.
const START_TIME: f64 = 1000.0;
/// Seconds for which a run continues after the clients' last request: longer than any client timeout.
const COOLDOWN: f64 = 4.5;
/// Seconds from the start of a run to the clients' first request.
const FIRST_REQUEST_DELAY: f64 = 0.05;
/// XORed into the scenario's seed, so that a run's random draws differ from those that generated the scenario.
const RUN_SEED_MASK: u64 = 0x71_75_69_6c_6c;

/// A run in progress.
struct Simulation<'a> {
    scenario: &'a Scenario,
    ctx: Context,
    addresses: Addresses,
    instances: Vec<Instance>,
    /// All processes started so far, running or ended, by index.
    processes: Vec<GatewayProcess>,
    backends: Vec<Backend>,
    /// Name of each backend on the endpoint list, by index; a replacement has a new name.
    backend_names: Vec<String>,
    counter: Counter,
    discovery: Discovery,
    clients: Clients,
    /// Rate at which random links are reset, per second.
    reset_rate: f64,
    /// Descriptor limits that processes announced when they began to shut down, by the process's index.
    descriptor_limits: BTreeMap<usize, usize>,
    defect: Option<InjectedDefect>,
    settings: Value,
    platform: Platform,
    idempotency: HashMap<Vec<u8>, Idempotency>,
    fault_counts: BTreeMap<FaultKind, u64>,
}

/// Runs a scenario to its end, or until an invariant is violated.
pub fn simulate(scenario: &Scenario, defect: Option<InjectedDefect>) -> Report {
    let mut simulation = Simulation::new(scenario, defect);
    simulation.run();
    simulation.into_report()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, defect: Option<InjectedDefect>) -> Simulation<'a> {
        let world = scenario.world.clone();
        let rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ RUN_SEED_MASK);
        let settings = gateway_settings(&world, defect);
        let loaded =
            settings::load(0, settings.to_string().as_bytes()).expect("the generated settings are valid");
        let idempotency = operations().map(|op| (op.name.as_bytes().to_vec(), op.idempotency));
        let mut simulation = Simulation {
            scenario,
            ctx: Context::new(rng, Checker::new(checked_limits(&world)), world.clone(), START_TIME),
            addresses: listening_addresses(&world),
            instances: (0..world.instances).map(|_| Instance::default()).collect(),
            processes: vec![],
            backends: (0..world.backends).map(Backend::new).collect(),
            backend_names: (0..world.backends).map(|backend| format!("s{backend}.0")).collect(),
            counter: Counter::default(),
            discovery: Discovery::new(vec![], 0),
            clients: new_clients(),
            reset_rate: 0.0,
            descriptor_limits: BTreeMap::new(),
            defect,
            settings,
            platform: operator::platform(&loaded.instance, world.max_descriptors),
            idempotency: idempotency.into(),
            fault_counts: BTreeMap::new(),
        };
        simulation.populate();
        simulation
    }

    /// Publishes the backends on the endpoint list, starts the instances, and schedules the faults and the first request.
    fn populate(&mut self) {
        let world = &self.scenario.world;
        let entries = (0..world.backends).map(|backend| self.endpoint_entry(backend, "SERVING")).collect();
        self.discovery = Discovery::new(entries, world.instances);
        for (backend, name) in self.backend_names.iter().enumerate() {
            self.ctx.checker.backend_names.insert(name.clone(), backend);
        }
        for instance in 0..world.instances {
            self.start_process(instance);
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let start = ScheduledEvent::FaultBoundary { index, ended: false };
            self.ctx.events.schedule(START_TIME + fault.at, start);
        }
        self.ctx.schedule_in(FIRST_REQUEST_DELAY, ScheduledEvent::RequestDue);
    }

    /// Returns the time from which clients send no more requests.
    fn clients_stop_at(&self) -> f64 {
        START_TIME + self.scenario.seconds
    }

    fn run(&mut self) {
        let end = self.clients_stop_at() + COOLDOWN;
        while self.ctx.checker.violation.is_none() {
            let Some((at, event)) = self.ctx.events.pop() else { break };
            if at > end {
                break;
            }
            self.ctx.now = at;
            self.ctx.trace.steps += 1;
            self.handle(event);
            self.ctx.checker.check_deadlines(at);
        }
        self.ctx.checker.check_deadlines(end);
    }

    fn into_report(self) -> Report {
        let checker = &self.ctx.checker;
        let usage = || checker.quota_usage.values();
        Report {
            seed: self.scenario.seed,
            steps: self.ctx.trace.steps,
            digest: self.ctx.trace.digest(),
            coverage: checker.coverage,
            counter_calls: self.counter.calls,
            backend_connections: self.ctx.backend_connections,
            units: usage().map(|usage| usage.units).sum(),
            excess_units: usage().map(|usage| usage.excess_units).sum(),
            worst_overshoot: usage().map(|usage| usage.worst_overshoot).fold(0.0, f64::max),
            quota_usage: usage().copied().collect(),
            faults: self.fault_counts,
            violation: checker
                .violation
                .clone()
                .map(|found| Violation { at: found.at - START_TIME, ..found }),
            trace: self.ctx.trace.recent_lines(),
        }
    }
}

/// Returns the addresses of the models and of the gateway instances.
fn listening_addresses(world: &World) -> Addresses {
    let mut listeners = Addresses::default();
    for index in 0..2 {
        listeners.remotes.insert(addresses::counter(index), Remote::Counter);
        listeners.remotes.insert(addresses::discovery(index), Remote::Discovery);
    }
    for backend in 0..world.backends {
        listeners.remotes.insert(addresses::backend(backend), Remote::Backend(backend));
    }
    if world.gossip {
        let instances = 0..world.instances;
        listeners.instances = instances.map(|instance| (addresses::instance(instance), instance)).collect();
        listeners.broadcast = Some(addresses::broadcast());
    }
    listeners
}

fn new_clients() -> Clients {
    let client_operations = operations().map(|operation| ClientOperation {
        name: operation.name.into(),
        uses_get: operation.idempotency == Idempotency::Idempotent,
        timeout: operation.timeout,
        weight: operation.weight,
    });
    Clients::new(client_operations.into(), PLANS.iter().map(|plan| plan.name.to_owned()).collect())
}
