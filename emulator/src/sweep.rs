//! Runs the scenarios of many seeds on several threads. The results are in the order of the seeds.
use crate::checker::Coverage;
use crate::gateway_process::InjectedDefect;
use crate::scenario::{FaultKind, Scenario};
use crate::simulation::{simulate, Report};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Sums over many runs.
#[derive(Default)]
pub struct Totals {
    /// Number of runs.
    pub runs: u64,
    /// Number of events handled.
    pub steps: u64,
    /// Numbers of requests, attempts and checks.
    pub coverage: Coverage,
    /// Number of calls that the counter handled.
    pub counter_calls: u64,
    /// Number of faults injected, by kind.
    pub faults: BTreeMap<FaultKind, u64>,
}

impl Totals {
    /// Returns the sums over all reports.
    pub fn of<'a>(reports: impl IntoIterator<Item = &'a Report>) -> Totals {
        let mut totals = Totals::default();
        reports.into_iter().for_each(|report| totals.add(report));
        totals
    }

    /// Adds the numbers of a run.
    pub fn add(&mut self, report: &Report) {
        self.runs += 1;
        self.steps += report.steps;
        self.counter_calls += report.counter_calls;
        self.coverage.add(&report.coverage);
        for (kind, count) in &report.faults {
            *self.faults.entry(*kind).or_default() += count;
        }
    }
}

/// Options of a sweep.
pub struct SweepOptions {
    /// Seeds of the scenarios.
    pub seeds: Range<u64>,
    /// Number of parallel runs.
    pub threads: usize,
    /// Number of violations after which the sweep stops.
    pub max_violations: usize,
    /// Defect to inject into the gateway processes.
    pub defect: Option<InjectedDefect>,
}

/// Locks a mutex, ignoring poisoning: the panic that poisoned it ends the scope of the threads in any case.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn into_inner<T>(mutex: Mutex<T>) -> T {
    mutex.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Runs `work` for each task on `threads` threads. Returns the results in the order of the tasks.
pub fn run_parallel<T: Send, R: Send>(tasks: Vec<T>, threads: usize, work: impl Fn(T) -> R + Sync) -> Vec<R> {
    let remaining_tasks = Mutex::new(tasks.into_iter().enumerate());
    let results = Mutex::new(vec![]);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let next = lock(&remaining_tasks).next();
                let Some((index, task)) = next else { return };
                let result = work(task);
                lock(&results).push((index, result));
            });
        }
    });
    let mut results = into_inner(results);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Runs the scenarios that the seeds generate, until all are done or the maximum number of violations is reached. `progress` is called
/// with the number of finished runs after each run.
pub fn sweep(options: &SweepOptions, progress: &(dyn Fn(u64) + Sync)) -> Vec<Report> {
    let next_seed = AtomicU64::new(options.seeds.start);
    let limit_reached = AtomicBool::new(false);
    let reports = Mutex::new(vec![]);
    let work = || {
        while !limit_reached.load(Ordering::Relaxed) {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= options.seeds.end {
                return;
            }
            let report = simulate(&Scenario::generate(seed), options.defect);
            let mut reports = lock(&reports);
            reports.push(report);
            progress(reports.len() as u64);
            let violations = reports.iter().filter(|report: &&Report| report.violation.is_some()).count();
            limit_reached.fetch_or(violations >= options.max_violations, Ordering::Relaxed);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(work);
        }
    });
    let mut reports = into_inner(reports);
    reports.sort_by_key(|report| report.seed);
    reports
}
