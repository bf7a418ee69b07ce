//! How far a customer used more than its quota, as an outside observer calculates it who sees what all gateway instances forward.

/// A token bucket of a quota, full at the start, and the units that it did not hold. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct QuotaUsage {
    rate: f64,
    burst: f64,
    tokens: f64,
    last_sample: f64,
    started: f64,
    /// The span with the highest overshoot that ends now: when it started.
    span_started: f64,
    /// The units that were forwarded in that span.
    span_units: f64,
    /// Units that the bucket did not hold. They take nothing from it: else one overshoot would count again and again.
    pub excess_units: f64,
    /// The highest overshoot over any span, as a fraction of what the quota allowed in that span.
    pub worst_overshoot: f64,
    /// All units that were forwarded.
    pub units: f64,
}

/// Units that were forwarded at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    at: f64,
    units: f64,
}

impl QuotaUsage {
    /// A full bucket of `burst` units that is refilled with `rate` units a second.
    pub fn new(rate: f64, burst: f64, now: f64) -> QuotaUsage {
        QuotaUsage {
            rate,
            burst,
            tokens: burst,
            last_sample: now,
            started: now,
            span_started: now,
            span_units: 0.0,
            excess_units: 0.0,
            worst_overshoot: 0.0,
            units: 0.0,
        }
    }

    /// Units a second of the quota.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Units at once of the quota.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Seconds from the start to the last sample.
    pub fn span(&self) -> f64 {
        self.last_sample - self.started
    }

    /// The units that the quota allowed from the start to the last sample.
    pub fn allowed_units(&self) -> f64 {
        self.burst + self.rate * self.span()
    }

    /// Adds units that were forwarded at that time; times never run backwards.
    pub fn record(&mut self, at: f64, units: f64) {
        self.units += units;
        self.tokens = (self.tokens + self.rate * (at - self.last_sample)).min(self.burst);
        self.last_sample = at;
        let covered = units.min(self.tokens);
        self.tokens -= covered;
        self.excess_units += units - covered;
        // Where the refill exceeds what was forwarded in the span, a span that starts now has a higher overshoot.
        if self.span_units <= self.rate * (at - self.span_started) {
            self.span_started = at;
            self.span_units = 0.0;
        }
        self.span_units += units;
        let allowed = self.burst + self.rate * (at - self.span_started);
        let overshoot = (self.span_units - allowed) / allowed.max(f64::MIN_POSITIVE);
        self.worst_overshoot = self.worst_overshoot.max(overshoot);
    }

    /// The usage of a whole run, from times and units in any order.
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
