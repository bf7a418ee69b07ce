//! Estimate of a tenant's demand at one owner.

/// Time constant of the average, in seconds: about twice the time in which a tenant with seven requests per
/// second makes ten of them. The factor of two keeps the estimate stable.
const TIME_CONSTANT: f64 = 3.0;

/// Exponentially decaying average of a demand.
#[derive(Clone, Debug)]
pub struct DemandEstimate {
    /// Estimate at `updated_at`, in units per second.
    rate: f64,
    /// Unix time of the last update, in seconds.
    updated_at: f64,
}

impl DemandEstimate {
    /// Creates an estimate of zero.
    pub fn new(now: f64) -> DemandEstimate {
        DemandEstimate { rate: 0.0, updated_at: now }
    }

    /// Adds units that were spent or requested at `now`.
    pub fn record(&mut self, units: f64, now: f64) {
        self.rate = self.rate(now) + units.max(0.0) / TIME_CONSTANT;
        self.updated_at = now;
    }

    /// Returns the estimated demand at `now`, in units per second.
    pub fn rate(&self, now: f64) -> f64 {
        self.rate * (-(now - self.updated_at).max(0.0) / TIME_CONSTANT).exp()
    }
}
