//! Computes the figures of a run, which summaries and comparisons show.
use crate::generator::{Outcome, RequestRow};
use crate::run::RunSummary;
use hdrhistogram::Histogram;

/// Maximum value of a histogram, microseconds (one minute); longer times count as this value.
const MAX_LATENCY_MICROSECONDS: u64 = 60_000_000;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
const MICROSECONDS_PER_MILLISECOND: f64 = 1e3;
/// Minimum duration that rates are computed over, seconds; prevents a division by 0.
const MIN_RUN_SECONDS: f64 = 0.001;

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Fraction of requests that succeeded.
    pub succeeded: f64,
    /// Fraction of requests that were throttled.
    pub throttled: f64,
    /// Fraction of requests that ended in an error, were not answered, or reached no instance.
    pub failed: f64,
    /// Median latency of the requests that succeeded, milliseconds.
    pub median_latency_ms: f64,
    /// 99th percentile of the latency of the requests that succeeded, milliseconds.
    pub p99_latency_ms: f64,
    /// Requests that succeeded, per second.
    pub succeeded_per_second: f64,
    /// 99th percentile of the generator's delay in sending a request, milliseconds. Latencies below it are not meaningful.
    pub send_delay_p99_ms: f64,
    /// Processor time of all instances per request, milliseconds.
    pub processor_ms_per_request: f64,
    /// Mean resident memory of an instance, MiB.
    pub memory_mib_per_instance: f64,
    /// Executions at backends per request.
    pub executions_per_request: f64,
    /// Counter calls per request.
    pub counter_calls_per_request: f64,
    /// Mean number of connections to backends that an instance opened.
    pub connections_per_instance: f64,
    /// Fraction of the executed units that were beyond quotas.
    pub beyond_quota_fraction: f64,
    /// Highest overshoot of a customer over any span of time, as a fraction of the units that its quota allowed in that span.
    pub worst_excess: f64,
}

/// A figure with its name in summaries.
pub struct NamedFigure {
    /// Name, with the unit.
    pub name: &'static str,
    /// Returns the figure's value.
    pub value: fn(&Figures) -> f64,
}

const fn named(name: &'static str, value: fn(&Figures) -> f64) -> NamedFigure {
    NamedFigure { name, value }
}

/// All figures, in the order of the summary's rows.
pub const FIGURES: [NamedFigure; 14] = [
    named("succeeded, share", |f| f.succeeded),
    named("throttled, share", |f| f.throttled),
    named("failed, share", |f| f.failed),
    named("median, ms", |f| f.median_latency_ms),
    named("99th percentile, ms", |f| f.p99_latency_ms),
    named("succeeded per second", |f| f.succeeded_per_second),
    named("generator late, 99th percentile, ms", |f| f.send_delay_p99_ms),
    named("processor time of instances, ms per request", |f| f.processor_ms_per_request),
    named("memory of an instance, MB", |f| f.memory_mib_per_instance),
    named("executions per request", |f| f.executions_per_request),
    named("counter calls per request", |f| f.counter_calls_per_request),
    named("backend connections per instance", |f| f.connections_per_instance),
    named("units beyond quotas, share", |f| f.beyond_quota_fraction),
    named("worst customer above its quota, share", |f| f.worst_excess),
];

/// Creates a histogram of microseconds up to one minute, with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROSECONDS, 3).expect("the bounds of the histogram are valid")
}

/// Records a time, given in seconds.
pub(crate) fn record(histogram: &mut Histogram<u64>, seconds: f64) {
    histogram.saturating_record((seconds * MICROSECONDS_PER_SECOND) as u64 + 1);
}

/// Returns a quantile in milliseconds.
pub(crate) fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND
}

/// Computes the figures of a run; ignores the rows of other runs.
pub fn figures(run: &RunSummary, rows: &[RequestRow]) -> Figures {
    let is_of_run = |row: &&RequestRow| row.variant == run.variant && row.repetition == run.repetition;
    let run_rows: Vec<&RequestRow> = rows.iter().filter(is_of_run).collect();
    let requests = run_rows.len().max(1) as f64;
    let instances = run.instances.max(1) as f64;
    let fraction =
        |outcome: Outcome| run_rows.iter().filter(|row| row.outcome == outcome).count() as f64 / requests;
    let mut latencies = histogram();
    let mut send_delays = histogram();
    for row in &run_rows {
        record(&mut send_delays, row.send_delay.max(0.0));
        if row.outcome == Outcome::Succeeded {
            record(&mut latencies, row.latency);
        }
    }
    let seconds = run_rows.iter().map(|row| row.at).fold(0.0, f64::max).max(MIN_RUN_SECONDS);
    let succeeded = fraction(Outcome::Succeeded);
    let throttled = fraction(Outcome::Throttled);
    Figures {
        succeeded,
        throttled,
        failed: 1.0 - succeeded - throttled,
        median_latency_ms: quantile_ms(&latencies, 0.5),
        p99_latency_ms: quantile_ms(&latencies, 0.99),
        succeeded_per_second: succeeded * run_rows.len() as f64 / seconds,
        send_delay_p99_ms: quantile_ms(&send_delays, 0.99),
        processor_ms_per_request: MILLISECONDS_PER_SECOND * run.processor_seconds / requests,
        memory_mib_per_instance: run.memory_mib / instances,
        executions_per_request: run.executions as f64 / requests,
        counter_calls_per_request: run.counter_calls as f64 / requests,
        connections_per_instance: run.connections as f64 / instances,
        beyond_quota_fraction: run.beyond_quota / run.units.max(1.0),
        worst_excess: run.worst_excess,
    }
}

/// The figures of all runs of a variant.
pub(super) struct VariantFigures<'a> {
    /// Name of the variant.
    pub name: &'a str,
    /// The figures of each run, in the order of the repetitions.
    pub runs: Vec<Figures>,
}

/// Computes the figures by variant, in the order in which the variants were first run.
pub(super) fn by_variant<'a>(runs: &'a [RunSummary], rows: &[RequestRow]) -> Vec<VariantFigures<'a>> {
    let mut all: Vec<VariantFigures> = vec![];
    for run in runs {
        let figures = figures(run, rows);
        match all.iter_mut().find(|variant| variant.name == run.variant) {
            Some(variant) => variant.runs.push(figures),
            None => all.push(VariantFigures { name: &run.variant, runs: vec![figures] }),
        }
    }
    all
}
