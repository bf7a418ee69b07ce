//! Makes a scenario that violates an invariant smaller, as long as it violates the same one.
use crate::checker::Invariant;
use crate::gateway_process::InjectedDefect;
use crate::scenario::{Fault, Scenario};
use crate::simulation::{simulate, Report};

/// How often a fault's duration and severity are halved.
const MAX_HALVINGS: usize = 3;
/// A fault is not made shorter than that, in seconds.
const MIN_DURATION: f64 = 0.02;
/// A fault is not made weaker than that.
const MIN_SEVERITY: f64 = 0.05;
/// Seconds for which clients go on after the violation.
const MARGIN: f64 = 0.01;

/// The smaller scenario.
pub struct ShrinkResult {
    /// The scenario.
    pub scenario: Scenario,
    /// What came of its run.
    pub report: Report,
    /// How many runs it took to find it.
    pub runs: usize,
}

/// A search for a smaller scenario.
struct Shrinker {
    best: ShrinkResult,
    invariant: Invariant,
    defect: Option<InjectedDefect>,
    max_runs: usize,
}

/// A smaller scenario, found in about `max_runs` runs; none where the scenario violates nothing.
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
    fn exhausted(&self) -> bool {
        self.best.runs >= self.max_runs
    }

    /// Clients need not go on for longer than until the violation.
    fn shorten_run(&mut self) {
        let violated_at = self.best.report.violation.as_ref().map_or(0.0, |violation| violation.at);
        let seconds = ((violated_at + MARGIN) * 1e3).ceil() / 1e3;
        if seconds < self.best.scenario.seconds {
            let mut scenario = Scenario { seconds, ..self.best.scenario.clone() };
            scenario.faults.retain(|fault| fault.at < seconds);
            self.try_candidate(scenario);
        }
    }

    /// Removes groups of faults, half of them at once first, then smaller groups.
    fn remove_faults(&mut self) {
        let mut group = self.best.scenario.faults.len().div_ceil(2);
        while group > 0 && !self.exhausted() {
            let mut start = 0;
            while start < self.best.scenario.faults.len() && !self.exhausted() {
                let mut faults = self.best.scenario.faults.clone();
                faults.drain(start..(start + group).min(faults.len()));
                if !self.try_candidate(Scenario { faults, ..self.best.scenario.clone() }) {
                    start += group;
                }
            }
            group /= 2;
        }
    }

    fn weaken_faults(&mut self) {
        for index in 0..self.best.scenario.faults.len() {
            for weaken in [halve_duration, halve_severity] {
                self.weaken_fault(index, weaken);
            }
        }
    }

    fn weaken_fault(&mut self, index: usize, weaken: fn(&mut Fault) -> bool) {
        for _ in 0..MAX_HALVINGS {
            let mut scenario = self.best.scenario.clone();
            let weakened = weaken(&mut scenario.faults[index]);
            if !weakened || self.exhausted() || !self.try_candidate(scenario) {
                return;
            }
        }
    }

    /// Keeps a scenario if it violates the same invariant.
    fn try_candidate(&mut self, scenario: Scenario) -> bool {
        self.best.runs += 1;
        let report = simulate(&scenario, self.defect);
        let same = report.violation.as_ref().is_some_and(|violation| violation.invariant == self.invariant);
        if same {
            self.best.scenario = scenario;
            self.best.report = report;
        }
        same
    }
}

/// False where the duration is as short as it may be.
fn halve_duration(fault: &mut Fault) -> bool {
    fault.duration = fault.duration.map(halve);
    fault.duration.is_some_and(|seconds| seconds > MIN_DURATION)
}

/// False where the severity is as low as it may be.
fn halve_severity(fault: &mut Fault) -> bool {
    let least = fault.kind.severity_range().map_or(0.0, |range| range.min);
    fault.severity = fault.severity.map(halve);
    fault.severity.is_some_and(|severity| severity > least.max(MIN_SEVERITY))
}

/// Half of it, to a thousandth.
fn halve(number: f64) -> f64 {
    (number * 500.0).round() / 1e3
}
