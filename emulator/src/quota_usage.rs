//! How far a customer used more than its quota, as an outside observer reckons it who sees what all gateway instances forward.

/// A token bucket of a quota, full at the start, and what came that it did not hold. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct QuotaUsage {
    rate: f64,
    burst: f64,
    tokens: f64,
    last_sample: f64,
    started: f64,
    /// The span that is worst so far: when it started.
    span_started: f64,
    /// The units that came in that span.
    span_units: f64,
    /// Units that came and that the bucket did not hold. They take nothing from it: else one overshoot would count again and again.
    pub excess_units: f64,
    /// How much more came than the quota allowed, at the worst over any span, as a fraction of what that span allowed.
    pub worst_overshoot: f64,
    /// All units that came.
    pub units: f64,
}

/// Units that came at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    at: f64,
    units: f64,
}

impl QuotaUsage {
    /// A full bucket of `burst` units that regains `rate` units a second.
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

    /// Adds units that came at that time; times never run backwards.
    pub fn record(&mut self, at: f64, units: f64) {
        self.units += units;
        self.tokens = (self.tokens + self.rate * (at - self.last_sample)).min(self.burst);
        self.last_sample = at;
        let held = units.min(self.tokens);
        self.tokens -= held;
        self.excess_units += units - held;
        // A span in which less came than was regained meanwhile is better started anew.
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
