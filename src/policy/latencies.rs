//! Latency estimates over all backends, by operation.
use crate::state::{update_quantile, LatencyEstimate};
use crate::types::Operation;

/// Initial latency estimate, as a fraction of the operation's latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.25;
/// Quantile of latencies by which backends are compared.
pub(super) const TAIL_QUANTILE: f64 = 0.95;
/// Relative step of the latency quantiles per answer.
const QUANTILE_STEP: f64 = 0.05;
/// Relative increase of the least median per answer, so that an old minimum expires.
const LEAST_MEDIAN_DECAY: f64 = 0.0002;
/// Multiple of the least median above which an answer, or the current median, is slow.
const SLOW_FACTOR: f64 = 3.0;

/// Latency estimates over all backends, by operation.
pub(super) struct LatencyEstimates {
    by_operation: Vec<LatencyEstimate>,
}

impl LatencyEstimates {
    /// Creates the initial estimates, before any answer.
    pub fn new(operations: &[Operation]) -> LatencyEstimates {
        let initial = |operation: &Operation| {
            LatencyEstimate::initial(operation.latency_objective * INITIAL_OBJECTIVE_FRACTION)
        };
        LatencyEstimates { by_operation: operations.iter().map(initial).collect() }
    }

    /// Returns the 95th percentile of an operation's latency for one unit, in seconds.
    pub fn p95(&self, operation: usize) -> f64 {
        self.by_operation[operation].p95
    }

    /// Returns the median latency of an operation, whatever the units of its requests, in seconds.
    pub fn median(&self, operation: usize) -> f64 {
        self.by_operation[operation].median
    }

    /// Returns the lowest recent median latency of an operation, in seconds: its latency without queueing.
    pub fn least_median(&self, operation: usize) -> f64 {
        self.by_operation[operation].least_median
    }

    /// Returns the median latency of the fastest operation, in seconds.
    pub fn shortest_median(&self) -> f64 {
        let medians = self.by_operation.iter().map(|latency| latency.median);
        medians.fold(f64::INFINITY, f64::min)
    }

    /// Whether an answer that took `seconds` is slow for the operation.
    pub fn is_slow(&self, operation: usize, seconds: f64) -> bool {
        seconds > SLOW_FACTOR * self.least_median(operation)
    }

    /// Whether the operation is slow at the backends as a whole, by its median latency.
    pub fn is_fleet_slow(&self, operation: usize) -> bool {
        self.is_slow(operation, self.median(operation))
    }

    /// Records an answer that took `seconds`, to a request of `units`.
    pub fn record(&mut self, operation: usize, seconds: f64, units: f64) {
        let LatencyEstimate { p95, median, least_median } = &mut self.by_operation[operation];
        update_quantile(p95, seconds / units, TAIL_QUANTILE, QUANTILE_STEP);
        update_quantile(median, seconds, 0.5, QUANTILE_STEP);
        *least_median = (*least_median * (1.0 + LEAST_MEDIAN_DECAY)).min(*median);
    }
}
