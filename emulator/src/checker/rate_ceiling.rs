//! Checks that no customer exceeds the ceiling of its plan, and records the usage of quotas.
use super::{Ceiling, Checker, Invariant};
use crate::quota_usage::QuotaUsage;

/// A customer on one of its plans. Quotas and ceilings apply to each customer and plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CustomerPlan {
    /// Id of the customer.
    pub customer: u64,
    /// Name of the plan.
    pub plan: String,
}

/// The token bucket of a ceiling. The number of tokens may become negative.
pub(super) struct CeilingBucket {
    tokens: f64,
    updated_at: f64,
}

impl CeilingBucket {
    /// Refills the bucket up to now, then takes the units from it.
    fn take(&mut self, ceiling: &Ceiling, now: f64, units: f64) {
        let refilled = self.tokens + ceiling.rate * (now - self.updated_at);
        self.tokens = refilled.min(ceiling.burst) - units;
        self.updated_at = now;
    }
}

impl Checker {
    /// Charges a request's units to the customer's quota and ceiling when the request is forwarded for the first time.
    pub(super) fn charge(&mut self, now: f64, id: u64, units: f64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.charged) else { return };
        request.charged = true;
        let key = CustomerPlan { customer: request.customer, plan: request.plan.clone() };
        if let Some(quota) = self.limits.quotas.get(&key.plan) {
            let usage = self.quota_usage.entry(key.clone());
            usage.or_insert_with(|| QuotaUsage::new(quota.rate, quota.burst, now)).record(now, units);
        }
        let Some(ceiling) = self.limits.ceilings.get(&key.plan).copied() else { return };
        self.coverage.ceiling_checks += 1;
        let full = CeilingBucket { tokens: ceiling.burst, updated_at: now };
        let bucket = self.ceilings.entry(key.clone()).or_insert(full);
        bucket.take(&ceiling, now, units);
        if now <= self.split_until {
            // Units granted beyond the ceiling during a split must not count against the customer afterwards.
            bucket.tokens = bucket.tokens.max(-ceiling.slack);
        }
        if bucket.tokens < -ceiling.slack {
            let message = format!(
                "customer {:016x} on {} exceeds its ceiling by {:.1} units, slack {:.1}",
                key.customer, key.plan, -bucket.tokens, ceiling.slack
            );
            self.record_violation(Invariant::RateCeiling, now, message);
        }
    }

    /// Suspends the check of ceilings until the time `until`. Until then, two counters respond independently of each other. Together they
    /// grant a quota twice, which no gateway instance can detect. `docs/emulator.md` lists this among the open points.
    pub fn counter_split_until(&mut self, until: f64) {
        self.split_until = self.split_until.max(until);
    }
}
