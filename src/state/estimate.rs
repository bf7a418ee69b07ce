//! Running estimates of quantiles and fractions.

/// Answer times of one operation over all backends, seconds.
#[derive(Clone, Copy)]
pub struct LatencyEstimate {
    /// 95th percentile, for one unit.
    pub p95: f64,
    /// Median of all answers, whatever their units.
    pub median: f64,
    /// The least median of late: what answers take where nothing waits.
    pub least_median: f64,
}

impl LatencyEstimate {
    /// The estimate before any answer.
    pub fn initial(seconds: f64) -> LatencyEstimate {
        LatencyEstimate { p95: seconds, median: seconds, least_median: seconds }
    }
}

/// Moves the estimate of a quantile by one observed value. `step` is the relative size of a step.
pub fn update_quantile(estimate: &mut f64, value: f64, quantile: f64, step: f64) {
    *estimate *= if value > *estimate { 1.0 + step * quantile } else { 1.0 - step * (1.0 - quantile) };
}

/// Moves an exponentially weighted fraction by one case. `step` is the weight of the case.
pub fn update_fraction(fraction: &mut f64, is_counted: bool, step: f64) {
    *fraction += step * (f64::from(u8::from(is_counted)) - *fraction);
}
