//! The token bucket that enforces one region's fraction of a tenant's quota.
use crate::shard_map::{Plan, FULL_QUOTA_PPM};

/// Maximum debt, as a fraction of the capacity. Units spent without a lease may become debt, which refills
/// pay off. Debt beyond this limit is forgiven, because a tenant would otherwise stay locked out for a long
/// time.
const MAX_DEBT_FRACTION: f64 = 1.0;
/// Tolerance, as a fraction of a step, when a balance is divided into steps: floating-point sums of fractions
/// may be slightly too small.
const STEP_ROUNDING_TOLERANCE: f64 = 1e-6;

/// Balance of units that refills at a constant rate up to a capacity and may be in debt.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    /// Refill rate in units per second.
    rate: f64,
    /// Maximum balance in units.
    capacity: f64,
    /// Units available; a negative balance is debt.
    balance: f64,
    /// Unix time in seconds of the last refill.
    refilled_at: f64,
}

impl TokenBucket {
    /// Creates a bucket for a fraction of a plan (parts per million). The bucket was empty at `empty_at` and
    /// is refilled up to `now` (both Unix time in seconds).
    pub fn new(plan: &Plan, fraction_ppm: u32, empty_at: f64, now: f64) -> TokenBucket {
        let fraction = fraction_of_quota(fraction_ppm);
        let mut bucket = TokenBucket {
            rate: plan.rate * fraction,
            capacity: plan.burst * fraction,
            balance: 0.0,
            refilled_at: empty_at,
        };
        bucket.refill(now);
        bucket
    }

    /// Switches to another plan or fraction (parts per million). The switch may reduce the balance, but never
    /// adds to it.
    pub fn reconfigure(&mut self, plan: &Plan, fraction_ppm: u32, now: f64) {
        self.refill(now);
        let fraction = fraction_of_quota(fraction_ppm);
        self.rate = plan.rate * fraction;
        self.capacity = plan.burst * fraction;
        self.balance = self.balance.min(self.capacity);
    }

    /// Deducts units that were spent without a lease. Negative `units` are unspent units that are returned to
    /// the bucket.
    pub fn deduct(&mut self, units: f64, now: f64) {
        self.refill(now);
        self.balance = (self.balance - units).clamp(-self.capacity * MAX_DEBT_FRACTION, self.capacity);
    }

    /// Takes up to `requested` units in whole multiples of `step` units, and returns the units taken.
    pub fn take(&mut self, requested: f64, step: f64, now: f64) -> f64 {
        self.refill(now);
        let steps = (requested.min(self.balance).max(0.0) / step + STEP_ROUNDING_TOLERANCE).floor();
        self.balance -= steps * step;
        steps * step
    }

    /// Returns the balance in units; a negative balance is debt.
    pub fn balance(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.balance
    }

    /// Returns the maximum balance in units.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Adds the units of the time since the last refill. Ignores a clock that runs backwards.
    fn refill(&mut self, now: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.balance = (self.balance + elapsed * self.rate).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Converts parts per million of the quota to a fraction from 0 to 1.
fn fraction_of_quota(fraction_ppm: u32) -> f64 {
    f64::from(fraction_ppm) / f64::from(FULL_QUOTA_PPM)
}
