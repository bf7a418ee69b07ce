//! One limit on what this instance has in flight at all backends together, found from answer times: up while answers come as
//! fast as ever, down when they are slow.
use crate::types::LoadReport;

/// Units in flight at the start: so many a backend, for all instances together.
const INITIAL_UNITS_PER_BACKEND: f64 = 10.0;
/// Units by which an answer moves the limit.
const STEP: f64 = 0.25;
/// The fraction of the limit that a slow answer of a saturated backend takes off.
const SATURATED_CUT_FRACTION: f64 = 0.5;
/// A backend is saturated that has more than this fraction of its cores busy,
const SATURATED_CPU: f64 = 0.9;
/// or whose requests take so many times their service time.
const SATURATED_SERVICE_TIMES: f64 = 2.0;

/// The limit on units in flight at all backends together.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// Units.
    pub limit: f64,
    /// Half of it was in flight when last looked at.
    pub half_used: bool,
    /// When it was last reached.
    pub reached_at: f64,
}

impl ConcurrencyLimit {
    /// Sets the limit to what it is at the start with so many backends, for one of so many instances.
    pub fn reset(&mut self, backends: usize, instances: f64) {
        self.limit = (INITIAL_UNITS_PER_BACKEND * backends as f64 / instances).max(1.0);
    }

    /// Moves the limit by one answer. The load report of a backend distinguishes requests that wait from requests that are long.
    pub fn record_answer(&mut self, is_slow: bool, report: Option<LoadReport>) {
        let is_saturated = report.is_some_and(|report| is_saturated(&report));
        let change = if is_slow {
            let cut = if is_saturated { SATURATED_CUT_FRACTION * self.limit } else { 0.0 };
            -cut.max(STEP)
        } else if self.half_used && !is_saturated {
            STEP
        } else {
            0.0
        };
        self.limit = (self.limit + change).max(1.0);
    }
}

/// Whether requests queue at a backend, as far as it reports that.
fn is_saturated(report: &LoadReport) -> bool {
    let by_service_time = report.in_flight.zip(report.throughput).zip(report.service_time).map(
        |((in_flight, throughput), service_time)| {
            in_flight > SATURATED_SERVICE_TIMES * service_time * throughput
        },
    );
    let by_queue = report
        .queued
        .zip(report.in_flight)
        .map(|(queued, in_flight)| queued * SATURATED_SERVICE_TIMES > in_flight);
    let by_cpu = report.cpu_utilization.map(|busy| busy > SATURATED_CPU);
    by_service_time.or(by_queue).or(by_cpu).unwrap_or(false)
}
