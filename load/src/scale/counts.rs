//! The counts of a stand-in counter. Where one instance stands for a fleet, what the others would have added is estimated:
//! what they spend of each tenant's quota, and how they correct upwards a count that lags behind what its token bucket regained. So the
//! instances that are there make hardly any corrections; of those of a whole fleet each would make its part.
use super::operating_point::{burst, quota, Tenant};
use std::collections::HashMap;

/// Seconds that one name of a count is in use, as the decisions have it (`WINDOW` in `src/policy/counter.rs`).
const WINDOW: f64 = 30.0;
/// The part of the burst by which a count may lag behind what its token bucket regained before an instance corrects it
/// (`TOLERATED_LAG_FRACTION` in `src/policy/leases.rs`).
const LAG: f64 = 1.0 / 8.0;
/// Windows after which a count is forgotten.
const EXPIRY_WINDOWS: f64 = 2.0;

struct Level {
    units: f64,
    /// When it was last asked for, Unix time in seconds.
    at: f64,
}

/// The counts by name.
pub struct Counts {
    levels: HashMap<String, Level>,
    tenants: Vec<Tenant>,
    /// The fraction of each tenant's requests that absent instances would get; none where they are not estimated.
    absent: Option<f64>,
}

impl Counts {
    /// Counts for these tenants, with the fraction of the requests that is estimated for instances that are not there.
    pub fn new(tenants: Vec<Tenant>, absent: Option<f64>) -> Counts {
        Counts { levels: HashMap::new(), tenants, absent }
    }

    /// Adds to a count (`tenant.series`, the tenant in hexadecimal); its new total. `now` is Unix time in seconds.
    pub fn add(&mut self, now: f64, name: &str, by: f64) -> f64 {
        let estimate = self.absent.and_then(|fraction| self.estimate(name, fraction));
        let began = estimate.map_or(now, |estimate| estimate.began);
        if !self.levels.contains_key(name) {
            self.levels.insert(name.to_owned(), Level { units: 0.0, at: began });
        }
        let Some(level) = self.levels.get_mut(name) else { return by };
        if let Some(estimate) = estimate {
            level.units = estimate.units(now, level);
        }
        level.at = now;
        level.units += by;
        level.units
    }

    /// Forgets counts whose window is past, as their time to live would end.
    pub fn expire(&mut self, now: f64) {
        self.levels.retain(|_, level| now - level.at < EXPIRY_WINDOWS * WINDOW);
    }

    fn estimate(&self, name: &str, fraction: f64) -> Option<FleetEstimate> {
        let (tenant, series) = name.split_once('.')?;
        let tenant = self.tenants.get(usize::from_str_radix(tenant, 16).ok()?)?;
        let began = series.parse::<f64>().ok()? * WINDOW;
        Some(FleetEstimate {
            began,
            quota: quota(tenant.plan),
            burst: burst(tenant.plan),
            spends: tenant.offered * fraction,
        })
    }
}

/// What the absent instances do with a count.
#[derive(Clone, Copy)]
struct FleetEstimate {
    /// Beginning of the count's window, Unix time in seconds.
    began: f64,
    /// Units a second of the tenant's plan.
    quota: f64,
    /// Units at once of the tenant's plan.
    burst: f64,
    /// Units a second at the absent instances.
    spends: f64,
}

impl FleetEstimate {
    /// Where the count stands now, with what the others spent and corrected since it was last asked for.
    fn units(&self, now: f64, last: &Level) -> f64 {
        let regained = |at: f64| self.quota * (at - self.began).max(0.0);
        let lag = regained(now) - last.units - self.spends * (now - last.at);
        // Whichever of them sees it lag so far corrects it to what was regained, again and again.
        let lag = if lag > LAG * self.burst { lag % (LAG * self.burst) } else { lag };
        regained(now) - lag.max(-self.burst)
    }
}
