//! Adaptive limit on the units that this instance has in flight at all backends together. It rises while
//! latencies are normal and falls when answers are slow.
use crate::types::LoadReport;

/// Initial limit per backend for all instances together, in units in flight.
const INITIAL_UNITS_PER_BACKEND: f64 = 10.0;
/// Change of the limit per answer, in units.
const LIMIT_STEP: f64 = 0.25;
/// Fraction of the limit that a slow answer of a saturated backend removes.
const SATURATED_CUT_FRACTION: f64 = 0.5;
/// Fraction of busy cores above which a backend is saturated.
const SATURATED_CPU_UTILIZATION: f64 = 0.9;
/// Ratio of response time to service time above which a backend is saturated.
const SATURATED_RESPONSE_RATIO: f64 = 2.0;

/// Limit on the units in flight at all backends together.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// Current limit, in units.
    pub limit: f64,
    /// Whether more than half of the limit that applied to the last selection of a backend was in flight.
    pub over_half_used: bool,
    /// Time when the limit was last reached, in seconds.
    pub reached_at: f64,
}

impl ConcurrencyLimit {
    /// Sets the initial limit for the given number of backends, as one of `instances` gateway instances.
    pub fn reset(&mut self, backends: usize, instances: f64) {
        self.limit = (INITIAL_UNITS_PER_BACKEND * backends as f64 / instances).max(1.0);
    }

    /// Adjusts the limit after an answer. The backend's load report distinguishes queueing from a long
    /// service time.
    pub fn record_answer(&mut self, is_slow: bool, report: Option<LoadReport>) {
        let is_saturated = report.is_some_and(|report| is_saturated(&report));
        let change = if is_slow {
            let cut = if is_saturated { SATURATED_CUT_FRACTION * self.limit } else { 0.0 };
            -cut.max(LIMIT_STEP)
        } else if self.over_half_used && !is_saturated {
            LIMIT_STEP
        } else {
            0.0
        };
        self.limit = (self.limit + change).max(1.0);
    }
}

/// Whether requests queue at a backend, according to its load report; false if it does not report that.
fn is_saturated(report: &LoadReport) -> bool {
    let by_service_time = report.in_flight.zip(report.throughput).zip(report.service_time).map(
        |((in_flight, throughput), service_time)| {
            in_flight > SATURATED_RESPONSE_RATIO * service_time * throughput
        },
    );
    let by_queue = report
        .queued
        .zip(report.in_flight)
        .map(|(queued, in_flight)| queued * SATURATED_RESPONSE_RATIO > in_flight);
    let by_cpu = report.cpu_utilization.map(|utilization| utilization > SATURATED_CPU_UTILIZATION);
    by_service_time.or(by_queue).or(by_cpu).unwrap_or(false)
}
