//! The counts of a stand-in counter. Where one instance stands for a fleet, what the others would have added is estimated:
//! what they spend of each tenant's quota, and how they correct upwards a count that lags behind what its token bucket regained. So the
//! instances that are there make hardly any corrections; of those of a whole fleet each would make its part.
use super::operating_point::{burst, quota, Tenant};
use std::collections::HashMap;

/// Seconds that one name of a count is in use, as the decisions have it (`WINDOW` in `src/policy/counter.rs`).
const WINDOW_SECONDS: f64 = 30.0;
/// The part of the burst by which a count may lag behind what its token bucket regained before an instance corrects it
/// (`TOLERATED_LAG_FRACTION` in `src/policy/leases.rs`).
const CORRECTED_LAG_FRACTION: f64 = 1.0 / 8.0;
/// Windows after which a count is forgotten.
const EXPIRY_WINDOWS: f64 = 2.0;

struct Total {
    units: f64,
    /// When it was last asked for, Unix time in seconds.
    updated_at: f64,
}

/// The counts by name.
pub struct CounterTotals {
    totals: HashMap<String, Total>,
    tenants: Vec<Tenant>,
    /// The fraction of each tenant's requests that absent instances would get; none where they are not estimated.
    absent_fraction: Option<f64>,
}

impl CounterTotals {
    /// Counts for these tenants, with the fraction of the requests that is estimated for instances that are not there.
    pub fn new(tenants: Vec<Tenant>, absent_fraction: Option<f64>) -> CounterTotals {
        CounterTotals { totals: HashMap::new(), tenants, absent_fraction }
    }

    /// Adds to a count (`tenant.series`, the tenant in hexadecimal); its new total. `now` is Unix time in seconds.
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

    /// Forgets counts whose window is past, as their time to live would end.
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

/// What the absent instances do with a count.
#[derive(Clone, Copy)]
struct AbsentInstances {
    /// Beginning of the count's window, Unix time in seconds.
    window_start: f64,
    /// Units a second of the tenant's plan.
    quota: f64,
    /// Units at once of the tenant's plan.
    burst: f64,
    /// Units a second at the absent instances.
    spend_rate: f64,
}

impl AbsentInstances {
    /// Where the count stands now, with what the others spent and corrected since it was last asked for.
    fn units(&self, now: f64, previous: &Total) -> f64 {
        let refilled = |at: f64| self.quota * (at - self.window_start).max(0.0);
        let lag = refilled(now) - previous.units - self.spend_rate * (now - previous.updated_at);
        // Whichever of them sees it lag so far corrects it to what was regained, again and again.
        let lag = if lag > CORRECTED_LAG_FRACTION * self.burst {
            lag % (CORRECTED_LAG_FRACTION * self.burst)
        } else {
            lag
        };
        refilled(now) - lag.max(-self.burst)
    }
}
