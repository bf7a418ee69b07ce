//! Runs the same traffic and backends with growing numbers of gateway instances, undisturbed and with half of the instances killed at
//! once. The study shows the cost of each instance to the counter and the backends, and how closely quotas hold. The figures come from
//! the emulator's models and are meant to be compared with each other.
use crate::scenario::{Fault, FaultKind, Scenario, World};
use crate::simulation::{simulate, Report};
use crate::sweep;
use std::fmt::Write;

/// Time at which instances are killed, in seconds from the start of the run.
const MASS_RESTART_AT: f64 = 3.0;
/// Seconds from the kill of an instance to its restart.
const RESTART_DELAY: f64 = 0.6;
/// Seconds for which clients send requests.
const TRAFFIC_SECONDS: f64 = 8.0;

/// The result of one run.
#[derive(Clone, Debug)]
pub struct GrowthResult {
    /// Number of gateway instances.
    pub instances: usize,
    /// Whether half of the instances were killed at once.
    pub mass_restart: bool,
    /// Report of the run.
    pub report: Report,
    /// Wall-clock time of the run, in seconds.
    pub elapsed: f64,
}

impl GrowthResult {
    /// Returns the name of the scenario in tables.
    pub fn scenario_name(&self) -> &'static str {
        if self.mass_restart {
            "half killed at once"
        } else {
            "undisturbed"
        }
    }
}

/// Returns a scenario with forty backends, four hundred customers and a number of instances.
pub fn scenario(instances: usize, mass_restart: bool, seed: u64) -> Scenario {
    let world = World {
        instances,
        backends: 40,
        zones: 2,
        cells: 8,
        customers: 400,
        request_rate: 700.0,
        service_time: 0.02,
        slots: 4,
        max_connections: 4000,
        slow_start_duration: 5.0,
        ..World::default()
    };
    let killed = (0..instances / 2).filter(|_| mass_restart).map(|index| Fault {
        instance: Some(2 * index),
        duration: Some(RESTART_DELAY),
        ..Fault::new(MASS_RESTART_AT, FaultKind::Kill)
    });
    Scenario { seed, seconds: TRAFFIC_SECONDS, world, faults: killed.collect() }
}

/// Runs each number of instances, undisturbed and with a mass restart, `threads` runs at a time. Returns the undisturbed runs first.
/// `progress` is called with each result when its run ends.
pub fn run(
    instance_counts: &[usize],
    seed: u64,
    threads: usize,
    progress: &(dyn Fn(&GrowthResult) + Sync),
) -> Vec<GrowthResult> {
    let tasks =
        instance_counts.iter().flat_map(|instances| [(*instances, false), (*instances, true)]).collect();
    let mut results = sweep::run_parallel(tasks, threads, |(instances, mass_restart)| {
        let start = std::time::Instant::now();
        let report = simulate(&scenario(instances, mass_restart, seed), None);
        let elapsed = start.elapsed().as_secs_f64();
        let result = GrowthResult { instances, mass_restart, report, elapsed };
        progress(&result);
        result
    });
    results.sort_by_key(|result| (result.mass_restart, result.instances));
    results
}

/// Returns the results as a Markdown table, one row per run.
pub fn table(results: &[GrowthResult]) -> String {
    let mut text = String::from(
        "| instances | scenario | succeeded | throttled | errored | attempts per request | counter calls per request | \
         backend connections per instance | units beyond quotas | worst customer's overshoot | violation | duration |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for result in results {
        let _ = writeln!(text, "{}", table_row(result));
    }
    text
}

fn table_row(result: &GrowthResult) -> String {
    let report = &result.report;
    let coverage = &report.coverage;
    let requests = coverage.requests.max(1) as f64;
    let fraction = |count: u64| format!("{:.3}", count as f64 / requests);
    let violated = report.violation.as_ref().map_or("none", |violation| violation.invariant.name());
    format!(
        "| {} | {} | {} | {} | {} | {} | {} | {:.1} | {:.4} | {:.2} | {violated} | {:.1} s |",
        result.instances,
        result.scenario_name(),
        fraction(coverage.succeeded),
        fraction(coverage.throttled),
        fraction(coverage.errored),
        fraction(coverage.attempts),
        fraction(report.counter_calls),
        report.backend_connections as f64 / result.instances as f64,
        report.excess_units / report.units.max(1.0),
        report.worst_overshoot,
        result.elapsed
    )
}
