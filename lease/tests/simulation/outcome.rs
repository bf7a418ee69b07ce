//! What a simulation observed.

#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Most units beyond a quota in any window, over all tenants.
    pub max_excess_units: f64,
    pub requests: u64,
    pub admitted: u64,
    pub rejected: u64,
    /// The same within the measurement window.
    pub window_requests: u64,
    pub window_admitted: u64,
    /// Units that the quotas refilled within the measurement window.
    pub window_quota_units: f64,
    /// Largest sum of both regions' fractions of one tenant's quota, parts per million.
    pub max_fraction_sum_ppm: u32,
    /// Units of reports on credit that ended unconfirmed, or were lost with their gateway instance.
    pub lost_credit_units: f64,
    /// Units of leases that were lost with their gateway instance.
    pub lost_lease_units: f64,
    pub transfers: u64,
}
