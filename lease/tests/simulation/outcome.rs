//! Outcome of a simulation.

/// Counts and maxima observed in a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Maximum units admitted beyond a quota in any window of time, over all tenants.
    pub max_excess_units: f64,
    pub requests: u64,
    pub admitted: u64,
    pub rejected: u64,
    /// Requests within the measurement windows.
    pub window_requests: u64,
    /// Requests admitted within the measurement windows.
    pub window_admitted: u64,
    /// Units by which the quotas refilled within the measurement windows.
    pub window_quota_units: f64,
    /// Maximum sum of both regions' fractions of a tenant's quota, in parts per million.
    pub max_fraction_sum_ppm: u32,
    /// Units spent on credit whose report is unconfirmed or was lost with a killed gateway instance.
    pub lost_credit_units: f64,
    /// Leased units lost with killed gateway instances.
    pub lost_lease_units: f64,
    /// Peer frames with a quota transfer that arrived.
    pub transfers: u64,
}
