//! An exact token bucket of the whole quota, which sees every unit spent.

pub struct Referee {
    rate: f64,
    burst: f64,
    tokens: f64,
    as_of: f64,
    /// Most units beyond the quota in any window of time that ends with a spend: `spent - (burst + rate * window)`.
    pub worst: f64,
}

impl Referee {
    /// It begins empty, as the shards do: a full one would hide whatever is less than a burst.
    pub fn new(rate: f64, burst: f64, now: f64) -> Referee {
        Referee { rate, burst, tokens: 0.0, as_of: now, worst: 0.0 }
    }

    /// Debt is kept in full, so that nothing beyond the quota is forgotten before it is regained.
    pub fn spend(&mut self, units: f64, now: f64) {
        self.tokens = (self.tokens + (now - self.as_of) * self.rate).min(self.burst) - units;
        self.as_of = now;
        self.worst = self.worst.max(-self.tokens);
    }
}
