//! The result of a run.
use crate::checker::{Coverage, Violation};
use crate::quota_usage::QuotaUsage;
use crate::scenario::FaultKind;
use std::collections::BTreeMap;

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the scenario.
    pub seed: u64,
    /// Number of events handled.
    pub steps: u64,
    /// Digest of the trace. Equal runs have equal digests.
    pub digest: u64,
    /// Numbers of requests, attempts and checks.
    pub coverage: Coverage,
    /// Number of calls that the counter handled.
    pub counter_calls: u64,
    /// Number of connections that gateway processes opened to backends, including refused ones.
    pub backend_connections: u64,
    /// Units that customers with a quota used.
    pub units: f64,
    /// The part of `units` that exceeded the quotas.
    pub excess_units: f64,
    /// Highest overshoot of a customer over any time span, as a fraction of the units that its quota allowed in that span.
    pub worst_overshoot: f64,
    /// Usage of each customer with a quota.
    pub quota_usage: Vec<QuotaUsage>,
    /// Number of faults injected, by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// The violation that ended the run, if any.
    pub violation: Option<Violation>,
    /// Last lines of the trace, oldest first.
    pub trace: Vec<String>,
}

/// A customer's overshoot and its bound, both as fractions of the units that its quota allowed in the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundedOvershoot {
    /// Units beyond the quota, as a fraction of the allowed units.
    pub overshoot: f64,
    /// Maximum tolerated overshoot.
    pub bound: f64,
}

impl Report {
    /// Returns the customer whose overshoot is furthest beyond its bound, or closest to it if no customer exceeds its bound. Both
    /// values are 0 if no customer has a quota.
    pub fn worst_customer(&self, bound: impl Fn(&QuotaUsage) -> f64) -> BoundedOvershoot {
        let of_customer = |usage: &QuotaUsage| BoundedOvershoot {
            overshoot: usage.excess_units / usage.allowed_units(),
            bound: bound(usage),
        };
        let margin = |customer: &BoundedOvershoot| customer.overshoot - customer.bound;
        let customers = self.quota_usage.iter().map(of_customer);
        customers.max_by(|a, b| margin(a).total_cmp(&margin(b))).unwrap_or_default()
    }
}
