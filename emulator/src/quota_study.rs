//! Measures how closely quotas hold while the counter is faulty for minutes (split, unreachable, or losing its totals or its responses),
//! with and without membership. The measured overshoot is compared with the bound that docs/counter.md derives.
use crate::scenario::{Fault, FaultKind, Scenario, World};
use crate::simulation::{simulate, Report};
use crate::sweep;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use std::ops::Range;

/// Time at which the first fault starts, in seconds from the start of the run.
const FIRST_FAULT: f64 = 5.0;
/// Total seconds of a run before the first fault and after the last one.
const FAULT_FREE_SECONDS: f64 = 8.0;
/// Number of consecutive faults in a run with more than one fault.
const FAULT_COUNT: u32 = 4;
/// Fraction of calls that the counter handles without responding.
const LOST_RESPONSE_FRACTION: f64 = 0.33;
/// Interval between heartbeats in runs with membership, in seconds.
const MEMBERSHIP_INTERVAL: f64 = 1.0;
/// Number of heartbeat intervals in the time to detect that the counter became faulty or recovered (see `DETECTION_DELAY`).
const DETECTION_HEARTBEATS: f64 = 4.0;
/// Seconds in the detection time in addition to `DETECTION_HEARTBEATS`. The bound follows from both (docs/counter.md).
const DETECTION_DELAY: f64 = 1.0;
/// XORed into the scenario's seed, so that this study's random draws differ from those of other scenarios.
const SEED_MASK: u64 = 0x7173;

/// A fault of the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum CounterFault {
    /// No fault, to measure the overshoot of normal operation.
    None,
    /// Two counters, each of which responds to half of the gateway instances.
    Split,
    /// The counter refuses connections.
    Down,
    /// The counter does not respond.
    Silent,
    /// The counter loses all totals, several times.
    Lost,
    /// The counter adds the units of one call in three without responding.
    Deaf,
    /// Several of the faults, one after another.
    Mixed,
}

/// Returns a scenario of `seconds` in which the counter is faulty for most of the time.
pub fn scenario(counter_fault: CounterFault, seconds: f64, membership_interval: f64, seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK);
    let world = World {
        instances: rng.gen_range(2..=8),
        backends: 8,
        customers: rng.gen_range(8..=20),
        request_rate: rng.gen_range(150.0..250.0),
        service_time: 0.01,
        slots: 8,
        long_values: 0.0,
        gossip: rng.gen_bool(0.5),
        membership_interval,
        ..World::default()
    };
    let faults = faults(&mut rng, counter_fault, seconds - FAULT_FREE_SECONDS);
    Scenario { seed, seconds, world, faults }
}

/// Returns the faults of a run, which span `duration` seconds in total.
fn faults(rng: &mut ChaCha8Rng, counter_fault: CounterFault, duration: f64) -> Vec<Fault> {
    let continuous_fault = |kind| Fault { duration: Some(duration), ..Fault::new(FIRST_FAULT, kind) };
    match counter_fault {
        CounterFault::None => vec![],
        CounterFault::Split => vec![continuous_fault(FaultKind::CounterSplit)],
        CounterFault::Down => vec![continuous_fault(FaultKind::CounterDown)],
        CounterFault::Silent => vec![continuous_fault(FaultKind::CounterUnresponsive)],
        CounterFault::Lost => {
            let start = |index| FIRST_FAULT + duration / f64::from(FAULT_COUNT) * f64::from(index);
            (0..FAULT_COUNT).map(|index| Fault::new(start(index), FaultKind::CounterReset)).collect()
        }
        CounterFault::Deaf => {
            vec![Fault {
                severity: Some(LOST_RESPONSE_FRACTION),
                ..continuous_fault(FaultKind::CounterLostResponses)
            }]
        }
        CounterFault::Mixed => (0..FAULT_COUNT).map(|index| mixed_fault(rng, index, duration)).collect(),
    }
}

/// Returns one of several consecutive faults. Each starts at the beginning of its slot and ends before the next one starts.
fn mixed_fault(rng: &mut ChaCha8Rng, index: u32, duration: f64) -> Fault {
    let kinds = [
        FaultKind::CounterSplit,
        FaultKind::CounterDown,
        FaultKind::CounterUnresponsive,
        FaultKind::CounterReset,
    ];
    let slot = duration / f64::from(FAULT_COUNT);
    let kind = kinds[rng.gen_range(0..kinds.len())];
    let fault_duration = (!kind.is_instant()).then(|| rng.gen_range(slot / 4.0..slot * 0.9));
    Fault { duration: fault_duration, ..Fault::new(FIRST_FAULT + slot * f64::from(index), kind) }
}

/// Returns how often the counter becomes faulty or recovers. Each transition may grant quotas once more.
pub fn transitions(scenario: &Scenario) -> usize {
    scenario.faults.iter().map(|fault| if fault.kind.is_instant() { 1 } else { 2 }).sum()
}

/// The result of one run. Overshoot and bound are those of its worst customer, as fractions of the units that the customer's quota
/// allowed in the run.
#[derive(Clone, Debug)]
pub struct QuotaResult {
    /// The counter's fault.
    pub counter_fault: CounterFault,
    /// Seed of the scenario.
    pub seed: u64,
    /// Interval between heartbeats in seconds, 0 without membership.
    pub membership_interval: f64,
    /// Units beyond the quota.
    pub overshoot: f64,
    /// Maximum tolerated overshoot.
    pub bound: f64,
    /// Report of the run.
    pub report: Report,
}

/// Runs one scenario and calculates the bound of its overshoot. The bound allows a burst, plus the units that the rate grants in the
/// time to detect a transition, once for the run itself and once for each transition.
pub fn measure(
    counter_fault: CounterFault,
    seconds: f64,
    membership_interval: f64,
    seed: u64,
) -> QuotaResult {
    let scenario = scenario(counter_fault, seconds, membership_interval, seed);
    let report = simulate(&scenario, None);
    let worst = report.worst_customer(|usage| {
        let (rate, burst) = (usage.rate(), usage.burst());
        let detection_time = DETECTION_HEARTBEATS * membership_interval + DETECTION_DELAY;
        (1 + transitions(&scenario)) as f64 * (burst + rate * detection_time)
            / (burst + rate * scenario.seconds)
    });
    QuotaResult {
        counter_fault,
        seed,
        membership_interval,
        overshoot: worst.overshoot,
        bound: worst.bound,
        report,
    }
}

/// Runs each fault with each seed, with and without membership, `threads` runs at a time. Returns the results ordered by fault, seed and
/// membership.
pub fn sweep(
    counter_faults: &[CounterFault],
    seconds: f64,
    seeds: Range<u64>,
    threads: usize,
) -> Vec<QuotaResult> {
    let intervals = [0.0, MEMBERSHIP_INTERVAL];
    let mut tasks = vec![];
    for fault in counter_faults {
        for seed in seeds.clone() {
            tasks.extend(intervals.map(|interval| (*fault, interval, seed)));
        }
    }
    let work = |(fault, interval, seed)| measure(fault, seconds, interval, seed);
    let mut results = sweep::run_parallel(tasks, threads, work);
    results.sort_by(|a, b| {
        let by_fault = (a.counter_fault, a.seed).cmp(&(b.counter_fault, b.seed));
        by_fault.then(a.membership_interval.total_cmp(&b.membership_interval))
    });
    results
}

/// Returns the results as a Markdown table, with one row for each fault with membership and one without.
pub fn table(results: &[QuotaResult]) -> String {
    let mut text = String::from(
        "| counter fault | membership | runs | worst customer's overshoot: median, maximum | bound of that maximum | runs beyond their bound | \
         succeeded | violations |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut rows: Vec<(CounterFault, bool)> =
        results.iter().map(|result| (result.counter_fault, result.membership_interval > 0.0)).collect();
    rows.sort();
    rows.dedup();
    for (fault, membership) in rows {
        let row_results = results.iter().filter(|result| result.counter_fault == fault);
        let row_results =
            row_results.filter(|result| (result.membership_interval > 0.0) == membership).collect();
        if let Some(row) = table_row(fault, membership, row_results) {
            let _ = writeln!(text, "{row}");
        }
    }
    text
}

fn table_row(fault: CounterFault, membership: bool, mut results: Vec<&QuotaResult>) -> Option<String> {
    results.sort_by(|a, b| a.overshoot.total_cmp(&b.overshoot));
    let median = results.get(results.len() / 2)?;
    let worst = results.last()?;
    let succeeded = results.iter().map(|result| result.report.coverage.succeeded).sum::<u64>();
    let requests = results.iter().map(|result| result.report.coverage.requests).sum::<u64>();
    Some(format!(
        "| {fault:?} | {} | {} | {:.2}%, {:.2}% | {:.2}% | {} | {:.3} | {} |",
        if membership { "on" } else { "off" },
        results.len(),
        100.0 * median.overshoot,
        100.0 * worst.overshoot,
        100.0 * worst.bound,
        results.iter().filter(|result| result.overshoot > result.bound).count(),
        succeeded as f64 / requests.max(1) as f64,
        results.iter().filter(|result| result.report.violation.is_some()).count()
    ))
}
