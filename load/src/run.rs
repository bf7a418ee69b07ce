//! Runs one variant once: starts the stand-ins and the instances, sends the traffic, injects the faults, and collects the results.
use crate::error::RunError;
use crate::experiment::{Experiment, Variant};
use crate::fault_schedule::{self, FaultStep};
use crate::fleet::{Fleet, FleetUsage, Services};
use crate::generator::{self, RequestRow, RunLabel};
use crate::sync::lock;
use crate::test_bed::counter::CounterInstance;
use crate::test_bed::loopback::bind_listener;
use crate::test_bed::{backend, counter, discovery, BackendLoad, TestBed};
use crate::usage::{self, CustomerUsage};
use quillramp_emulator::scenario::FaultKind;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{scope, sleep};
use std::time::Duration;

/// Interval at which the injector checks whether the next fault step is due.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A row of `plays.csv`: the totals of one run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunSummary {
    /// Name of the variant.
    pub variant: String,
    /// Repetition, from 0.
    pub repetition: usize,
    /// Number of instances.
    #[serde(rename = "doors")]
    pub instances: usize,
    /// Number of requests that clients sent.
    pub sent: u64,
    /// Number of calls that the counters received.
    pub counter_calls: u64,
    /// Number of executions at backends, repeated ones included.
    #[serde(rename = "deliveries")]
    pub executions: u64,
    /// Number of connections that instances opened to backends.
    pub connections: u64,
    /// Repeated executions of requests that are not idempotent.
    #[serde(rename = "twice")]
    pub duplicates: u64,
    /// Executed units; repeated executions of a request do not count.
    pub units: f64,
    /// Executed units beyond the customers' quotas.
    #[serde(rename = "beyond")]
    pub beyond_quota: f64,
    /// Highest overshoot of a customer over any span of time, as a fraction of the units that its quota allowed in that span.
    #[serde(rename = "worst")]
    pub worst_excess: f64,
    /// Processor time of all instances, seconds.
    #[serde(rename = "processor")]
    pub processor_seconds: f64,
    /// Resident memory of all instances at the end of the traffic, MiB.
    #[serde(rename = "memory_mb")]
    pub memory_mib: f64,
    /// Number of instances that exited although no fault ended them.
    #[serde(rename = "died")]
    pub crashed: usize,
    /// Number of executions at each backend, separated by spaces.
    pub by_backend: String,
}

/// The results of a run.
pub struct RunResult {
    /// Totals of the run.
    pub summary: RunSummary,
    /// Usage of each customer with a quota.
    pub customers: Vec<CustomerUsage>,
    /// The outcome of each request.
    pub rows: Vec<RequestRow>,
    /// Executed units by backend and interval.
    pub loads: Vec<BackendLoad>,
}

/// Runs one variant once. The configuration files and logs of the instances are written into the folder. Fails if the stand-ins, the
/// instances or the clients can't be started, or the generator's threads end early.
pub fn run_variant(
    experiment: &Experiment,
    variant: &Variant,
    repetition: usize,
    folder: &Path,
) -> Result<RunResult, RunError> {
    let experiment = &experiment.for_variant(variant);
    let test_bed = start_backends(experiment, repetition)?;
    let services = start_services(&test_bed)?;
    let run = Run { experiment, variant, repetition, test_bed: &test_bed };
    let result = run.measure(folder, &services);
    test_bed.finish();
    result
}

/// Starts the stand-in backends on free ports.
fn start_backends(experiment: &Experiment, repetition: usize) -> Result<Arc<TestBed>, RunError> {
    let world = &experiment.world;
    let mut listeners = vec![];
    for _ in 0..world.backends {
        listeners.push(bind_listener()?);
    }
    let addresses: Vec<_> = listeners.iter().map(|listener| listener.address).collect();
    let test_bed = TestBed::new(world, experiment.seed.wrapping_add(repetition as u64), &addresses);
    for (index, listener) in listeners.into_iter().enumerate() {
        backend::start(listener.socket, index, test_bed.clone());
    }
    Ok(test_bed)
}

/// Starts both counters and the list service on free ports.
fn start_services(test_bed: &Arc<TestBed>) -> Result<Services, RunError> {
    let first = bind_listener()?;
    let second = bind_listener()?;
    let list = bind_listener()?;
    counter::start(first.socket, CounterInstance::First, test_bed.clone());
    counter::start(second.socket, CounterInstance::Second, test_bed.clone());
    discovery::start(list.socket, test_bed.clone());
    let endpoints = test_bed.endpoints.snapshot().unwrap_or_default();
    Ok(Services { counters: [first.address, second.address], discovery: list.address, endpoints })
}

/// A run whose stand-ins have been started.
struct Run<'a> {
    experiment: &'a Experiment,
    variant: &'a Variant,
    repetition: usize,
    test_bed: &'a TestBed,
}

impl Run<'_> {
    /// Starts the instances, drives the traffic and collects the results.
    fn measure(&self, folder: &Path, services: &Services) -> Result<RunResult, RunError> {
        let fleet = Fleet::start(self.experiment, self.variant, folder, services)?;
        let _idle =
            generator::open_idle_connections(&fleet.routes, self.experiment.traffic.idle_connections)?;
        let rows = self.drive(&fleet)?;
        let crashed = fleet.crashed_instances();
        let fleet_usage = fleet.usage();
        drop(fleet);
        let customers = self.customer_usage();
        let summary = self.summary(rows.len(), crashed, fleet_usage, &customers);
        let loads = lock(&self.test_bed.executions).loads(&self.variant.name, self.repetition);
        Ok(RunResult { summary, customers: customers.rows, rows, loads })
    }

    /// Sends the requests while another thread injects the faults.
    fn drive(&self, fleet: &Fleet) -> Result<Vec<RequestRow>, RunError> {
        let start = self.test_bed.begin_traffic();
        let steps = fault_schedule::schedule(&self.experiment.faults, &self.experiment.world);
        let finished = AtomicBool::new(false);
        let label = RunLabel { variant: self.variant.name.clone(), repetition: self.repetition };
        scope(|threads| {
            threads.spawn(|| self.inject(&steps, fleet, start, &finished));
            let rows = generator::drive(self.experiment, &label, &fleet.routes);
            finished.store(true, Ordering::Relaxed);
            rows
        })
    }

    /// Injects the fault steps at their times; drops those that are not due before the traffic ends. `start` is the start of the traffic,
    /// in seconds since the start of the run.
    fn inject(&self, steps: &[FaultStep], fleet: &Fleet, start: f64, finished: &AtomicBool) {
        for step in steps {
            while self.test_bed.now() < start + step.at {
                if finished.load(Ordering::Relaxed) {
                    return;
                }
                sleep(FAULT_POLL_INTERVAL);
            }
            match step.kind {
                FaultKind::Kill
                | FaultKind::Terminate
                | FaultKind::Stall
                | FaultKind::ReloadConfiguration => fleet.inject(step),
                _ => self.test_bed.inject(step),
            }
        }
    }

    fn customer_usage(&self) -> usage::FleetQuotaUsage {
        let label = RunLabel { variant: self.variant.name.clone(), repetition: self.repetition };
        usage::compare_with_quotas(
            &self.experiment.world,
            &label,
            &lock(&self.test_bed.executions).customer_units,
        )
    }

    fn summary(
        &self,
        sent: usize,
        crashed: usize,
        fleet_usage: FleetUsage,
        customers: &usage::FleetQuotaUsage,
    ) -> RunSummary {
        let counter_calls = *lock(&self.test_bed.counter_calls);
        let executions = lock(&self.test_bed.executions);
        let by_backend: Vec<String> = executions.total_by_backend.iter().map(u64::to_string).collect();
        RunSummary {
            variant: self.variant.name.clone(),
            repetition: self.repetition,
            instances: self.experiment.world.instances,
            sent: sent as u64,
            counter_calls,
            executions: executions.total,
            connections: executions.connections,
            duplicates: executions.duplicates,
            units: customers.units,
            beyond_quota: customers.beyond_quota,
            worst_excess: customers.worst_excess,
            processor_seconds: fleet_usage.processor_seconds,
            memory_mib: fleet_usage.memory_mib,
            crashed,
            by_backend: by_backend.join(" "),
        }
    }
}
