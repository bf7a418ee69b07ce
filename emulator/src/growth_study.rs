//! One traffic and one fleet of backends behind more and more gateway instances: what an instance of a large fleet costs others, and how
//! far quotas hold. Calm, and with half of the instances killed at once. Its figures are the emulator's, to be compared with each other.
use crate::scenario::{Fault, FaultKind, Scenario, World};
use crate::simulation::{simulate, Report};
use crate::sweep;
use std::fmt::Write;

/// When instances are killed, in seconds from the start.
const MASS_RESTART: f64 = 3.0;
/// Seconds until they start again.
const RESTART_DELAY: f64 = 0.6;
/// For how long clients send requests.
const SECONDS: f64 = 8.0;

/// What came of one size.
#[derive(Clone, Debug)]
pub struct GrowthResult {
    /// Gateway instances.
    pub instances: usize,
    /// Half of them were killed at once.
    pub mass_restart: bool,
    /// The run.
    pub report: Report,
    /// Seconds that the run took here.
    pub elapsed: f64,
}

impl GrowthResult {
    /// The scenario, in words.
    pub fn scenario_name(&self) -> &'static str {
        if self.mass_restart {
            "half killed at once"
        } else {
            "undisturbed"
        }
    }
}

/// The scenario of the study: forty backends, four hundred customers, that many instances.
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
        ..Fault::new(MASS_RESTART, FaultKind::Kill)
    });
    Scenario { seed, seconds: SECONDS, world, faults: killed.collect() }
}

/// Runs all sizes, calm and with a mass restart, on so many threads; calm ones come first. `progress` gets each result when it is there.
pub fn run(
    sizes: &[usize],
    seed: u64,
    threads: usize,
    progress: &(dyn Fn(&GrowthResult) + Sync),
) -> Vec<GrowthResult> {
    let tasks = sizes.iter().flat_map(|instances| [(*instances, false), (*instances, true)]).collect();
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

/// The results as a Markdown table.
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
