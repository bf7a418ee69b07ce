//! The reference: an exact token bucket of the full quota that accounts for every admitted unit.

/// Token bucket with unlimited debt.
pub struct ReferenceBucket {
    /// Refill rate in units per second.
    rate: f64,
    /// Maximum balance in units.
    burst: f64,
    /// Units available; a negative balance is debt.
    balance: f64,
    /// Unix time of the last refill, in seconds.
    refilled_at: f64,
    /// Maximum units beyond the quota, `spent - (burst + rate * window)`, in any window of time that ends
    /// with a spend.
    pub max_excess_units: f64,
}

impl ReferenceBucket {
    /// Creates an empty bucket. The shards start empty too; a full bucket would hide any excess smaller than
    /// a burst.
    pub fn new(rate: f64, burst: f64, now: f64) -> ReferenceBucket {
        ReferenceBucket { rate, burst, balance: 0.0, refilled_at: now, max_excess_units: 0.0 }
    }

    /// Deducts units. The debt is unlimited, so that every excess counts until refills have paid it off.
    pub fn spend(&mut self, units: f64, now: f64) {
        self.balance = (self.balance + (now - self.refilled_at) * self.rate).min(self.burst) - units;
        self.refilled_at = now;
        self.max_excess_units = self.max_excess_units.max(-self.balance);
    }
}
