//! What came of a run.
use crate::checker::{Coverage, Violation};
use crate::quota_usage::QuotaUsage;
use crate::scenario::FaultKind;
use std::collections::BTreeMap;

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The scenario's seed.
    pub seed: u64,
    /// Events that happened.
    pub steps: u64,
    /// The digest of the trace: equal runs have equal digests.
    pub digest: u64,
    /// What there was to check.
    pub coverage: Coverage,
    /// Calls that the counter handled.
    pub counter_calls: u64,
    /// Connections that processes asked for to backends.
    pub backend_connections: u64,
    /// Units of customers with a quota.
    pub units: f64,
    /// Those of them that were beyond the quota.
    pub excess_units: f64,
    /// The most by which a customer was beyond its quota over any span, as a fraction of what it allowed in that span.
    pub worst_overshoot: f64,
    /// What each customer with a quota used.
    pub quota_usage: Vec<QuotaUsage>,
    /// How many faults of each kind struck.
    pub faults: BTreeMap<FaultKind, u64>,
    /// The first violation; the run ended with it.
    pub violation: Option<Violation>,
    /// The last lines of the trace.
    pub trace: Vec<String>,
}

/// A customer's overshoot and its bound, both as fractions of what its quota allowed in the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundedOvershoot {
    /// What was beyond the quota.
    pub overshoot: f64,
    /// The most that is tolerated.
    pub bound: f64,
}

impl Report {
    /// The customer that comes closest to its bound, or furthest beyond it.
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
