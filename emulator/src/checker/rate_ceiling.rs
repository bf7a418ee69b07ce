//! Checks that no customer passes its plan's ceiling, and keeps account of its quota.
use super::{Ceiling, Checker, Invariant};
use crate::quota_usage::QuotaUsage;

/// A customer on one of its plans: what quotas and ceilings are kept for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CustomerPlan {
    /// The customer's id.
    pub customer: u64,
    /// The plan's name.
    pub plan: String,
}

/// A token bucket that may be overdrawn.
pub(super) struct CeilingBucket {
    tokens: f64,
    updated_at: f64,
}

impl CeilingBucket {
    /// Refills it up to now, and takes the units.
    fn take(&mut self, ceiling: &Ceiling, now: f64, units: f64) {
        let refilled = self.tokens + ceiling.rate * (now - self.updated_at);
        self.tokens = refilled.min(ceiling.burst) - units;
        self.updated_at = now;
    }
}

impl Checker {
    /// Takes a request's units from its customer's quota and ceiling when it is forwarded for the first time.
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
            // What is allowed during a split is not to be made up for afterwards.
            bucket.tokens = bucket.tokens.max(-ceiling.slack);
        }
        if bucket.tokens < -ceiling.slack {
            let message = format!(
                "customer {:016x} on {} is {:.1} units past its ceiling, slack {:.1}",
                key.customer, key.plan, -bucket.tokens, ceiling.slack
            );
            self.record_violation(Invariant::RateCeiling, now, message);
        }
    }

    /// Until then two counters answer, each as if it were the only one: together they grant a quota twice, and no gateway instance can know
    /// it. Ceilings are not checked meanwhile; `docs/emulator.md` lists it among the open points.
    pub fn counter_split_until(&mut self, until: f64) {
        self.split_until = self.split_until.max(until);
    }
}
