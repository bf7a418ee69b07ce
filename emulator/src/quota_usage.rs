//! Calculates by how much a customer exceeds its quota, from the units that all gateway instances together forward.

/// The token bucket of a quota, full at the start, and the units forwarded beyond it. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct QuotaUsage {
    rate: f64,
    burst: f64,
    tokens: f64,
    last_sample_at: f64,
    started_at: f64,
    /// Start of the span that has the highest overshoot among all spans that end now.
    span_started_at: f64,
    /// Units forwarded in that span.
    span_units: f64,
    /// Units that exceeded the tokens in the bucket. They are not taken from the bucket, so that each overshoot counts only once.
    pub excess_units: f64,
    /// Highest overshoot over any time span, as a fraction of the units that the quota allowed in that span.
    pub worst_overshoot: f64,
    /// Total units forwarded.
    pub units: f64,
}

/// Units forwarded at one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    at: f64,
    units: f64,
}

impl QuotaUsage {
    /// Returns a full bucket of `burst` units that is refilled with `rate` units per second.
    pub fn new(rate: f64, burst: f64, now: f64) -> QuotaUsage {
        QuotaUsage {
            rate,
            burst,
            tokens: burst,
            last_sample_at: now,
            started_at: now,
            span_started_at: now,
            span_units: 0.0,
            excess_units: 0.0,
            worst_overshoot: 0.0,
            units: 0.0,
        }
    }

    /// Returns the rate of the quota, in units per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the burst of the quota, in units.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns the seconds from the start to the last sample.
    pub fn span(&self) -> f64 {
        self.last_sample_at - self.started_at
    }

    /// Returns the units that the quota allowed from the start to the last sample.
    pub fn allowed_units(&self) -> f64 {
        self.burst + self.rate * self.span()
    }

    /// Adds units that were forwarded at the time `at`. Calls must be in order of time.
    pub fn record(&mut self, at: f64, units: f64) {
        self.units += units;
        self.tokens = (self.tokens + self.rate * (at - self.last_sample_at)).min(self.burst);
        self.last_sample_at = at;
        let covered = units.min(self.tokens);
        self.tokens -= covered;
        self.excess_units += units - covered;
        // If the refill since the start of the span covers all units forwarded in it, a span that starts now has a higher overshoot.
        if self.span_units <= self.rate * (at - self.span_started_at) {
            self.span_started_at = at;
            self.span_units = 0.0;
        }
        self.span_units += units;
        let allowed = self.burst + self.rate * (at - self.span_started_at);
        let overshoot = (self.span_units - allowed) / allowed.max(f64::MIN_POSITIVE);
        self.worst_overshoot = self.worst_overshoot.max(overshoot);
    }

    /// Returns the usage of a whole run. `samples` are pairs of a time and the units forwarded, in any order.
    pub fn from_samples(samples: &[(f64, f64)], rate: f64, burst: f64) -> QuotaUsage {
        let mut sorted: Vec<Sample> = samples.iter().map(|&(at, units)| Sample { at, units }).collect();
        sorted.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut usage = QuotaUsage::new(rate, burst, sorted.first().map_or(0.0, |first| first.at));
        for sample in sorted {
            usage.record(sample.at, sample.units);
        }
        usage
    }
}
