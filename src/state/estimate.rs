//! Running estimates of quantiles and fractions.

/// Estimates of the latency of one operation over all backends, in seconds.
#[derive(Clone, Copy)]
pub struct LatencyEstimate {
    /// 95th percentile of the latency per unit.
    pub p95: f64,
    /// Median latency of all answers, regardless of their units.
    pub median: f64,
    /// Lowest recent median: the latency without queueing.
    pub least_median: f64,
}

impl LatencyEstimate {
    /// Returns the estimates before any answer, all equal to `seconds`.
    pub fn initial(seconds: f64) -> LatencyEstimate {
        LatencyEstimate { p95: seconds, median: seconds, least_median: seconds }
    }
}

/// Updates the estimate of a quantile with one observed value. `step` is the relative step size.
pub fn update_quantile(estimate: &mut f64, value: f64, quantile: f64, step: f64) {
    *estimate *= if value > *estimate { 1.0 + step * quantile } else { 1.0 - step * (1.0 - quantile) };
}

/// Updates an exponentially weighted fraction with one observation, whose weight is `step`.
pub fn update_fraction(fraction: &mut f64, is_counted: bool, step: f64) {
    *fraction += step * (f64::from(u8::from(is_counted)) - *fraction);
}
