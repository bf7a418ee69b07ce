//! A run of a scenario: a world of gateway processes and models, its faults at their times, every invariant checked after each event.
//!
//! | module | what it does |
//! | --- | --- |
//! | `dispatch` | hands each event to the party that it concerns |
//! | `instances` | starts and ends processes of gateway instances, and what those share |
//! | `backends` | starts and ends backends |
//! | `faults` | begins and ends the scenario's faults |
//! | `report` | the result |
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

/// The virtual clock's time at which a run starts, in seconds: well after 1970, and not at the edge of any window.
const START_TIME: f64 = 1000.0;
/// How long a run goes on after the clients' last request, in seconds: longer than any client waits.
const COOLDOWN: f64 = 4.5;
/// When the clients' first request comes, in seconds from the start.
const FIRST_REQUEST: f64 = 0.05;
/// Keeps the draws of a run apart from those that generated its scenario.
const RUN_SEED_MASK: u64 = 0x71_75_69_6c_6c;

/// A run in progress.
struct Simulation<'a> {
    scenario: &'a Scenario,
    ctx: Context,
    addresses: Addresses,
    instances: Vec<Instance>,
    /// All processes that were ever started, by index.
    processes: Vec<GatewayProcess>,
    backends: Vec<Backend>,
    /// The name of each backend's newest incarnation on the endpoint list.
    backend_names: Vec<String>,
    counter: Counter,
    discovery: Discovery,
    clients: Clients,
    /// Links that are reset at random, a second.
    reset_rate: f64,
    /// The descriptors that a process which shuts down will not go beyond, by the process's index.
    descriptor_limits: BTreeMap<usize, usize>,
    defect: Option<InjectedDefect>,
    settings: Value,
    platform: Platform,
    idempotency: HashMap<Vec<u8>, Idempotency>,
    fault_counts: BTreeMap<FaultKind, u64>,
}

/// Runs a scenario to its end, or to the first violation.
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
        let loaded = settings::load(0, settings.to_string().as_bytes()).expect("settings of our own");
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

    /// Lists the backends, starts the instances and schedules what comes from outside.
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
        self.ctx.schedule_in(FIRST_REQUEST, ScheduledEvent::RequestDue);
    }

    /// When clients send their last request.
    fn last_request(&self) -> f64 {
        START_TIME + self.scenario.seconds
    }

    fn run(&mut self) {
        let end = self.last_request() + COOLDOWN;
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

fn listening_addresses(world: &World) -> Addresses {
    let mut known = Addresses::default();
    for index in 0..2 {
        known.remotes.insert(addresses::counter(index), Remote::Counter);
        known.remotes.insert(addresses::discovery(index), Remote::Discovery);
    }
    for backend in 0..world.backends {
        known.remotes.insert(addresses::backend(backend), Remote::Backend(backend));
    }
    if world.gossip {
        let instances = 0..world.instances;
        known.instances = instances.map(|instance| (addresses::instance(instance), instance)).collect();
        known.broadcast = Some(addresses::broadcast());
    }
    known
}

fn new_clients() -> Clients {
    let offered = operations().map(|operation| ClientOperation {
        name: operation.name.into(),
        uses_get: operation.idempotency == Idempotency::Idempotent,
        timeout: operation.timeout,
        weight: operation.weight,
    });
    Clients::new(offered.into(), PLANS.iter().map(|plan| plan.name.to_owned()).collect())
}
