//! The totals of a stand-in counter. If only some instances of the fleet run, the totals include an estimate of what
//! the absent instances would add: the units they spend of each tenant's quota, and their corrections of a total that
//! lags behind the refill of its token bucket. The estimate makes nearly all corrections, so the running instances
//! make hardly any; in a whole fleet each instance would make its share of them.
use super::operating_point::{burst, quota, Tenant};
use std::collections::HashMap;

/// Seconds for which instances use one counter key (equal to `WINDOW` in `src/policy/counter.rs`).
const WINDOW_SECONDS: f64 = 30.0;
/// Lag of a total behind the refill of its token bucket, as a fraction of the burst, above which an instance corrects
/// the total (equal to `TOLERATED_LAG_FRACTION` in `src/policy/leases.rs`).
const CORRECTED_LAG_FRACTION: f64 = 1.0 / 8.0;
/// Number of windows without a call after which a total is removed.
const EXPIRY_WINDOWS: f64 = 2.0;

/// Total of one counter key.
struct Total {
    units: f64,
    /// Time of the last call for this key, Unix time in seconds.
    updated_at: f64,
}

/// The totals of a counter by key.
pub struct CounterTotals {
    totals: HashMap<String, Total>,
    tenants: Vec<Tenant>,
    /// Fraction of each tenant's requests that absent instances would receive; `None` if they are not estimated.
    absent_fraction: Option<f64>,
}

impl CounterTotals {
    /// Creates a counter without totals. `absent_fraction` is the fraction of each tenant's requests that absent
    /// instances would receive; `None` disables the estimate.
    pub fn new(tenants: Vec<Tenant>, absent_fraction: Option<f64>) -> CounterTotals {
        CounterTotals { totals: HashMap::new(), tenants, absent_fraction }
    }

    /// Adds `by` units to the total of a key (`tenant.series`, the tenant in hexadecimal) and returns the new total.
    /// `now` is Unix time in seconds.
    pub fn add(&mut self, now: f64, key: &str, by: f64) -> f64 {
        let estimate = self.absent_fraction.and_then(|fraction| self.estimate(key, fraction));
        let window_start = estimate.map_or(now, |estimate| estimate.window_start);
        if !self.totals.contains_key(key) {
            self.totals.insert(key.to_owned(), Total { units: 0.0, updated_at: window_start });
        }
        let Some(total) = self.totals.get_mut(key) else { return by };
        if let Some(estimate) = estimate {
            total.units = estimate.units(now, total);
        }
        total.updated_at = now;
        total.units += by;
        total.units
    }

    /// Removes totals whose window is over, as a counter does when the time to live of a key ends.
    pub fn expire(&mut self, now: f64) {
        self.totals.retain(|_, total| now - total.updated_at < EXPIRY_WINDOWS * WINDOW_SECONDS);
    }

    fn estimate(&self, key: &str, fraction: f64) -> Option<AbsentInstances> {
        let (tenant, series) = key.split_once('.')?;
        let tenant = self.tenants.get(usize::from_str_radix(tenant, 16).ok()?)?;
        let window_start = series.parse::<f64>().ok()? * WINDOW_SECONDS;
        Some(AbsentInstances {
            window_start,
            quota: quota(tenant.plan),
            burst: burst(tenant.plan),
            spend_rate: tenant.offered_rate * fraction,
        })
    }
}

/// Estimate of what the absent instances add to one total.
#[derive(Clone, Copy)]
struct AbsentInstances {
    /// Start of the key's window, Unix time in seconds.
    window_start: f64,
    /// Quota of the tenant's plan, units per second.
    quota: f64,
    /// Burst of the tenant's plan, units.
    burst: f64,
    /// Units per second that the absent instances spend.
    spend_rate: f64,
}

impl AbsentInstances {
    /// Returns the total at `now`, including what the absent instances spent and corrected since the previous call.
    fn units(&self, now: f64, previous: &Total) -> f64 {
        let refilled = |at: f64| self.quota * (at - self.window_start).max(0.0);
        let lag = refilled(now) - previous.units - self.spend_rate * (now - previous.updated_at);
        // Each time the lag exceeds the threshold, an absent instance corrects the total to the refilled amount.
        let lag = if lag > CORRECTED_LAG_FRACTION * self.burst {
            lag % (CORRECTED_LAG_FRACTION * self.burst)
        } else {
            lag
        };
        refilled(now) - lag.max(-self.burst)
    }
}
