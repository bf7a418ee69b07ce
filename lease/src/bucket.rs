//! A token bucket: a region's share of one tenant's quota.
use crate::shard_map::{Plan, FULL_QUOTA_PPM};

/// Tokens may go that far below zero, as a part of the capacity: what front doors spent without a lease is paid for by
/// what the bucket regains, up to here; beyond that it is forgiven, or a tenant would stay locked out for long.
const DEBT: f64 = 1.0;

/// Tokens, and what they are regained by.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    as_of: f64,
}

impl Bucket {
    /// A bucket that was empty at `empty_at`.
    pub fn new(plan: &Plan, share_ppm: u32, empty_at: f64, now: f64) -> Bucket {
        let share = f64::from(share_ppm) / f64::from(FULL_QUOTA_PPM);
        let mut bucket =
            Bucket { rate: plan.rate * share, capacity: plan.burst * share, tokens: 0.0, as_of: empty_at };
        bucket.refill(now);
        bucket
    }

    /// Another plan or share; tokens are never more for it.
    pub fn resize(&mut self, plan: &Plan, share_ppm: u32, now: f64) {
        self.refill(now);
        let share = f64::from(share_ppm) / f64::from(FULL_QUOTA_PPM);
        self.rate = plan.rate * share;
        self.capacity = plan.burst * share;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Subtracts units that were spent without a lease; below 0: adds units that are given back.
    pub fn spend(&mut self, units: f64, now: f64) {
        self.refill(now);
        self.tokens = (self.tokens - units).clamp(-self.capacity * DEBT, self.capacity);
    }

    /// Takes at most `want` units, in steps of `step`; what was taken.
    pub fn take(&mut self, want: f64, step: f64, now: f64) -> f64 {
        const ROUNDING: f64 = 1e-6; // steps; sums of fractions come out a little short
        self.refill(now);
        let steps = (want.min(self.tokens).max(0.0) / step + ROUNDING).floor();
        self.tokens -= steps * step;
        steps * step
    }

    /// Units there are; below 0: debt.
    pub fn tokens(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// The most that it holds, units.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    fn refill(&mut self, now: f64) {
        let elapsed = (now - self.as_of).max(0.0);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity);
        self.as_of = self.as_of.max(now);
    }
}
