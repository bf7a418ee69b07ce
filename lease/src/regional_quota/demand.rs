//! An estimate of a tenant's demand at one owner.

/// Time constant of the average, seconds: some ten requests of a tenant at seven a second, doubled for stability.
const TIME_CONSTANT: f64 = 3.0;

/// Exponentially decaying average of the demand, in units per second.
#[derive(Clone, Debug)]
pub struct DemandEstimate {
    /// Units per second as of `updated_at`.
    rate: f64,
    /// Unix time, seconds.
    updated_at: f64,
}

impl DemandEstimate {
    /// No demand yet.
    pub fn new(now: f64) -> DemandEstimate {
        DemandEstimate { rate: 0.0, updated_at: now }
    }

    /// Adds units that were spent or requested.
    pub fn record(&mut self, units: f64, now: f64) {
        self.rate = self.rate(now) + units.max(0.0) / TIME_CONSTANT;
        self.updated_at = now;
    }

    /// The demand in units per second.
    pub fn rate(&self, now: f64) -> f64 {
        self.rate * (-(now - self.updated_at).max(0.0) / TIME_CONSTANT).exp()
    }
}
