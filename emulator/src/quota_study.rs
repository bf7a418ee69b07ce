//! How far quotas hold while the counter is faulty for minutes: split, unreachable for some or for all, forgetful; with membership and
//! without. What is measured is set against the bound that docs/counter.md derives.
use crate::scenario::{Fault, FaultKind, Scenario, World};
use crate::simulation::{simulate, Report};
use crate::sweep;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use std::ops::Range;

/// When the first fault starts, in seconds from the start.
const FIRST_FAULT: f64 = 5.0;
/// Seconds of a run without a fault, before and after.
const CALM: f64 = 8.0;
/// How many faults follow one another where there are several.
const FAULT_COUNT: u32 = 4;
/// The fraction of calls whose response is lost.
const LOST_RESPONSES: f64 = 0.33;
/// Seconds between two heartbeats, where there is membership.
const MEMBERSHIP_INTERVAL: f64 = 1.0;
/// A fault of the counter, or its end, is noticed within so many heartbeats
const DETECTION_HEARTBEATS: f64 = 4.0;
/// and so many seconds; the bound follows from both (docs/counter.md).
const DETECTION_DELAY: f64 = 1.0;
/// Keeps the draws of these scenarios apart from those of others.
const SEED_MASK: u64 = 0x7173;

/// What is wrong with the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum CounterFault {
    /// No fault: the overshoot of normal operation.
    None,
    /// Two counters, each of which answers half of the gateway instances.
    Split,
    /// Connections to it are refused.
    Down,
    /// It is unresponsive.
    Silent,
    /// It loses all totals, several times.
    Lost,
    /// It adds the units of one call in three without an answer.
    Deaf,
    /// Several of these, one after another.
    Mixed,
}

/// A run of so many seconds, with a fault for most of it.
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
    let faults = faults(&mut rng, counter_fault, seconds - CALM);
    Scenario { seed, seconds, world, faults }
}

/// The faults of a run, for so many seconds in all.
fn faults(rng: &mut ChaCha8Rng, counter_fault: CounterFault, duration: f64) -> Vec<Fault> {
    let lasting = |kind| Fault { duration: Some(duration), ..Fault::new(FIRST_FAULT, kind) };
    match counter_fault {
        CounterFault::None => vec![],
        CounterFault::Split => vec![lasting(FaultKind::CounterSplit)],
        CounterFault::Down => vec![lasting(FaultKind::CounterDown)],
        CounterFault::Silent => vec![lasting(FaultKind::CounterUnresponsive)],
        CounterFault::Lost => {
            let start = |index| FIRST_FAULT + duration / f64::from(FAULT_COUNT) * f64::from(index);
            (0..FAULT_COUNT).map(|index| Fault::new(start(index), FaultKind::CounterReset)).collect()
        }
        CounterFault::Deaf => {
            vec![Fault { severity: Some(LOST_RESPONSES), ..lasting(FaultKind::CounterLostResponses) }]
        }
        CounterFault::Mixed => (0..FAULT_COUNT).map(|index| mixed_fault(rng, index, duration)).collect(),
    }
}

/// One of several faults that follow one another.
fn mixed_fault(rng: &mut ChaCha8Rng, index: u32, duration: f64) -> Fault {
    let kinds = [
        FaultKind::CounterSplit,
        FaultKind::CounterDown,
        FaultKind::CounterUnresponsive,
        FaultKind::CounterReset,
    ];
    let slot = duration / f64::from(FAULT_COUNT);
    let kind = kinds[rng.gen_range(0..kinds.len())];
    let lasts = (!kind.is_instant()).then(|| rng.gen_range(slot / 4.0..slot * 0.9));
    Fault { duration: lasts, ..Fault::new(FIRST_FAULT + slot * f64::from(index), kind) }
}

/// How often the counter becomes faulty or recovers: each time quotas may be granted once more.
pub fn transitions(scenario: &Scenario) -> usize {
    scenario.faults.iter().map(|fault| if fault.kind.is_instant() { 1 } else { 2 }).sum()
}

/// What came of a run, for its worst customer, as fractions of what its quota allowed in that time.
#[derive(Clone, Debug)]
pub struct QuotaResult {
    /// What was wrong with the counter.
    pub counter_fault: CounterFault,
    /// The run's seed.
    pub seed: u64,
    /// Seconds between two heartbeats; 0: there was no membership.
    pub membership_interval: f64,
    /// What was beyond the quota.
    pub overshoot: f64,
    /// The most that may be.
    pub bound: f64,
    /// The run.
    pub report: Report,
}

/// Runs one, and sets it against the bound: a burst for the run itself and one for each transition, with the rate for as long as a
/// transition takes to be noticed.
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
        let noticed = DETECTION_HEARTBEATS * membership_interval + DETECTION_DELAY;
        (1 + transitions(&scenario)) as f64 * (burst + rate * noticed) / (burst + rate * scenario.seconds)
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

/// Runs these seeds of each fault, with membership and without.
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

/// The results as a Markdown table, a row for each fault with and without membership.
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
        let own = results.iter().filter(|result| result.counter_fault == fault);
        let own = own.filter(|result| (result.membership_interval > 0.0) == membership).collect();
        if let Some(row) = table_row(fault, membership, own) {
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
