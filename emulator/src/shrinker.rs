//! Shrinks a scenario that violates an invariant: searches for a smaller scenario that violates the same invariant.
use crate::checker::Invariant;
use crate::gateway_process::InjectedDefect;
use crate::scenario::{Fault, Scenario};
use crate::simulation::{simulate, Report};

/// Maximum number of times that a fault's duration, and its severity, are halved.
const MAX_HALVINGS: usize = 3;
/// Durations of faults are only halved if they stay above this number of seconds.
const MIN_DURATION: f64 = 0.02;
/// Severities of faults are only halved if they stay above this value.
const MIN_SEVERITY: f64 = 0.05;
/// Seconds for which clients continue to send requests after the violation.
const VIOLATION_MARGIN: f64 = 0.01;

/// The result of a search.
pub struct ShrinkResult {
    /// The smallest scenario found.
    pub scenario: Scenario,
    /// Report of its run.
    pub report: Report,
    /// Number of runs of the search.
    pub runs: usize,
}

/// A search in progress.
struct Shrinker {
    best: ShrinkResult,
    invariant: Invariant,
    defect: Option<InjectedDefect>,
    max_runs: usize,
}

/// Searches for a smaller scenario that violates the same invariant, in about `max_runs` runs. Returns none if the scenario violates no
/// invariant.
pub fn shrink(scenario: &Scenario, defect: Option<InjectedDefect>, max_runs: usize) -> Option<ShrinkResult> {
    let report = simulate(scenario, defect);
    let invariant = report.violation.as_ref()?.invariant;
    let best = ShrinkResult { scenario: scenario.clone(), report, runs: 1 };
    let mut shrinker = Shrinker { best, invariant, defect, max_runs };
    shrinker.shorten_run();
    shrinker.remove_faults();
    shrinker.weaken_faults();
    Some(shrinker.best)
}

impl Shrinker {
    fn run_limit_reached(&self) -> bool {
        self.best.runs >= self.max_runs
    }

    /// Ends the clients' requests shortly after the violation, and removes the faults after that.
    fn shorten_run(&mut self) {
        let violated_at = self.best.report.violation.as_ref().map_or(0.0, |violation| violation.at);
        let seconds = ((violated_at + VIOLATION_MARGIN) * 1e3).ceil() / 1e3;
        if seconds < self.best.scenario.seconds {
            let mut scenario = Scenario { seconds, ..self.best.scenario.clone() };
            scenario.faults.retain(|fault| fault.at < seconds);
            self.try_candidate(scenario);
        }
    }

    /// Removes groups of faults: first groups of half the faults, then smaller ones.
    fn remove_faults(&mut self) {
        let mut group = self.best.scenario.faults.len().div_ceil(2);
        while group > 0 && !self.run_limit_reached() {
            let mut start = 0;
            while start < self.best.scenario.faults.len() && !self.run_limit_reached() {
                let mut faults = self.best.scenario.faults.clone();
                faults.drain(start..(start + group).min(faults.len()));
                if !self.try_candidate(Scenario { faults, ..self.best.scenario.clone() }) {
                    start += group;
                }
            }
            group /= 2;
        }
    }

    /// Shortens each fault and lowers its severity.
    fn weaken_faults(&mut self) {
        for index in 0..self.best.scenario.faults.len() {
            for weaken in [halve_duration, halve_severity] {
                self.weaken_fault(index, weaken);
            }
        }
    }

    /// Applies `weaken` to a fault as long as the scenario violates the same invariant.
    fn weaken_fault(&mut self, index: usize, weaken: fn(&mut Fault) -> bool) {
        for _ in 0..MAX_HALVINGS {
            let mut scenario = self.best.scenario.clone();
            let weakened = weaken(&mut scenario.faults[index]);
            if !weakened || self.run_limit_reached() || !self.try_candidate(scenario) {
                return;
            }
        }
    }

    /// Runs a scenario, and keeps it as the best one if it violates the same invariant. Returns whether it was kept.
    fn try_candidate(&mut self, scenario: Scenario) -> bool {
        self.best.runs += 1;
        let report = simulate(&scenario, self.defect);
        let violates_same =
            report.violation.as_ref().is_some_and(|violation| violation.invariant == self.invariant);
        if violates_same {
            self.best.scenario = scenario;
            self.best.report = report;
        }
        violates_same
    }
}

/// Halves the duration of a fault. Returns whether the new duration is above the minimum; false without a duration.
fn halve_duration(fault: &mut Fault) -> bool {
    fault.duration = fault.duration.map(halve);
    fault.duration.is_some_and(|seconds| seconds > MIN_DURATION)
}

/// Halves the severity of a fault. Returns whether the new severity is above the minimum; false without a severity.
fn halve_severity(fault: &mut Fault) -> bool {
    let min_severity = fault.kind.severity_range().map_or(0.0, |range| range.min);
    fault.severity = fault.severity.map(halve);
    fault.severity.is_some_and(|severity| severity > min_severity.max(MIN_SEVERITY))
}

/// Returns half of a number, rounded to a thousandth.
fn halve(number: f64) -> f64 {
    (number * 500.0).round() / 1e3
}
