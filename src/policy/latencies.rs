//! How long answers take over all backends, operation by operation.
use crate::state::{update_quantile, LatencyEstimate};
use crate::types::Operation;

/// Answer times are at first taken for this fraction of the operation's latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.25;
/// The quantile of answer times that judges a backend.
pub(super) const TAIL_QUANTILE: f64 = 0.95;
/// The relative step by which an answer moves the quantiles.
const QUANTILE_STEP: f64 = 0.05;
/// The fraction by which an answer raises the least median, so that it is forgotten in time.
const LEAST_MEDIAN_DECAY: f64 = 0.0002;
/// An answer is slow, and so is a median, that takes so many times the least median.
const SLOW_FACTOR: f64 = 3.0;

/// Estimates of answer times over all backends, by operation.
pub(super) struct LatencyEstimates {
    by_operation: Vec<LatencyEstimate>,
}

impl LatencyEstimates {
    /// The estimates before any answer.
    pub fn new(operations: &[Operation]) -> LatencyEstimates {
        let initial = |operation: &Operation| {
            LatencyEstimate::initial(operation.latency_objective * INITIAL_OBJECTIVE_FRACTION)
        };
        LatencyEstimates { by_operation: operations.iter().map(initial).collect() }
    }

    /// The 95th percentile of the time that an operation takes for one unit, seconds.
    pub fn p95(&self, operation: usize) -> f64 {
        self.by_operation[operation].p95
    }

    /// The median of an operation's answers, seconds, whatever their units.
    pub fn median(&self, operation: usize) -> f64 {
        self.by_operation[operation].median
    }

    /// The least median of an operation's answers of late, seconds: what they take where nothing waits.
    pub fn least_median(&self, operation: usize) -> f64 {
        self.by_operation[operation].least_median
    }

    /// The median of the operation that is answered fastest, seconds.
    pub fn shortest_median(&self) -> f64 {
        let medians = self.by_operation.iter().map(|latency| latency.median);
        medians.fold(f64::INFINITY, f64::min)
    }

    /// Whether an answer that took so many seconds is slow for the operation.
    pub fn is_slow(&self, operation: usize, seconds: f64) -> bool {
        seconds > SLOW_FACTOR * self.least_median(operation)
    }

    /// Whether answers to the operation are slow everywhere.
    pub fn is_fleet_slow(&self, operation: usize) -> bool {
        self.is_slow(operation, self.median(operation))
    }

    /// Learns from an answer that took so many seconds for so many units.
    pub fn record(&mut self, operation: usize, seconds: f64, units: f64) {
        let LatencyEstimate { p95, median, least_median } = &mut self.by_operation[operation];
        update_quantile(p95, seconds / units, TAIL_QUANTILE, QUANTILE_STEP);
        update_quantile(median, seconds, 0.5, QUANTILE_STEP);
        *least_median = (*least_median * (1.0 + LEAST_MEDIAN_DECAY)).min(*median);
    }
}
