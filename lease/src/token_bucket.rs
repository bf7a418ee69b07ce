//! A token bucket: one region's fraction of one tenant's quota.
use crate::shard_map::{Plan, FULL_QUOTA_PPM};

/// Lowest balance, as a negative fraction of the capacity. Units spent without a lease become debt, which is paid by
/// refills; debt beyond this limit is forgiven, or a tenant would stay locked out for long.
const MAX_DEBT_FRACTION: f64 = 1.0;
/// Tolerance in steps when a balance is divided into steps: sums of fractions come out a little short.
const STEP_ROUNDING_TOLERANCE: f64 = 1e-6;

/// A balance of units that refills at a constant rate up to a capacity, and that may be in debt.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    /// Units per second.
    rate: f64,
    /// Units.
    capacity: f64,
    /// Units; negative: debt.
    balance: f64,
    /// Unix time in seconds of the last refill.
    refilled_at: f64,
}

impl TokenBucket {
    /// A bucket for a fraction of a plan (parts per million) that was empty at `empty_at`, as of `now` (Unix time,
    /// seconds).
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

    /// Switches to another plan or fraction (parts per million); the balance never grows by it.
    pub fn reconfigure(&mut self, plan: &Plan, fraction_ppm: u32, now: f64) {
        self.refill(now);
        let fraction = fraction_of_quota(fraction_ppm);
        self.rate = plan.rate * fraction;
        self.capacity = plan.burst * fraction;
        self.balance = self.balance.min(self.capacity);
    }

    /// Deducts units that were spent without a lease; negative units are returned units and are added.
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

    /// The balance in units; negative: debt.
    pub fn balance(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.balance
    }

    /// The largest balance, in units.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    fn refill(&mut self, now: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.balance = (self.balance + elapsed * self.rate).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn fraction_of_quota(fraction_ppm: u32) -> f64 {
    f64::from(fraction_ppm) / f64::from(FULL_QUOTA_PPM)
}
