//! An exact token bucket of the full quota, which observes every unit spent.

pub struct ReferenceBucket {
    /// Units per second.
    rate: f64,
    /// Units.
    burst: f64,
    /// Units; negative: debt.
    balance: f64,
    /// Unix time, seconds.
    refilled_at: f64,
    /// Most units beyond the quota in any window of time that ends with a spend: `spent - (burst + rate *
    /// window)`.
    pub max_excess_units: f64,
}

impl ReferenceBucket {
    /// It begins empty, as the shards do: a full one would hide whatever is less than a burst.
    pub fn new(rate: f64, burst: f64, now: f64) -> ReferenceBucket {
        ReferenceBucket { rate, burst, balance: 0.0, refilled_at: now, max_excess_units: 0.0 }
    }

    /// Debt is kept in full, so that nothing beyond the quota is forgotten before it is refilled.
    pub fn spend(&mut self, units: f64, now: f64) {
        self.balance = (self.balance + (now - self.refilled_at) * self.rate).min(self.burst) - units;
        self.refilled_at = now;
        self.max_excess_units = self.max_excess_units.max(-self.balance);
    }
}
