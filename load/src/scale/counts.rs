//! The counts of a stand-in counter. Where one front door stands for a fleet, what the others would have added is reckoned:
//! what they spend of each tenant's quota, and their lifts of a count that lags behind what its store regained. So the
//! front doors that are there make hardly any lifts; of those of a whole fleet each would have its part.
use super::point::{burst, quota, Tenant};
use std::collections::HashMap;

/// Seconds that one name of a count is in use, as the decisions have it (`WINDOW` in `src/decide.rs`).
const WINDOW: f64 = 30.0;
/// The part of the burst by which a count may lag behind what its store regained before somebody lifts it
/// (`SPILL` in `src/decide.rs`).
const LAG: f64 = 1.0 / 8.0;

struct Level {
    units: f64,
    at: f64,
}

/// The counts by name.
pub struct Counts {
    levels: HashMap<String, Level>,
    tenants: Vec<Tenant>,
    /// The share of each tenant's requests that other front doors would get; none where they are not reckoned.
    others: Option<f64>,
}

impl Counts {
    /// Counts for these tenants, with the share of the requests that is reckoned for front doors that are not there.
    pub fn new(tenants: Vec<Tenant>, others: Option<f64>) -> Counts {
        Counts { levels: HashMap::new(), tenants, others }
    }

    /// Adds to a count (`tenant.series`, the tenant in hexadecimal) and says what it stands at. `now` is Unix time in
    /// seconds.
    pub fn add(&mut self, now: f64, name: &str, by: f64) -> f64 {
        let reckoned = self.others.and_then(|share| self.reckon(name, share));
        let began = reckoned.map_or(now, |r| r.began);
        if !self.levels.contains_key(name) {
            self.levels.insert(name.to_owned(), Level { units: 0.0, at: began });
        }
        let Some(level) = self.levels.get_mut(name) else { return by };
        if let Some(r) = reckoned {
            level.units = r.level(now, level);
        }
        level.at = now;
        level.units += by;
        level.units
    }

    /// Forgets counts whose window is past, as their life would end.
    pub fn expire(&mut self, now: f64) {
        self.levels.retain(|_, level| now - level.at < 2.0 * WINDOW);
    }

    fn reckon(&self, name: &str, share: f64) -> Option<Reckoned> {
        let (tenant, series) = name.split_once('.')?;
        let tenant = self.tenants.get(usize::from_str_radix(tenant, 16).ok()?)?;
        let began = series.parse::<f64>().ok()? * WINDOW;
        let (quota, burst) = (quota(tenant.plan), burst(tenant.plan));
        Some(Reckoned { began, quota, burst, spends: tenant.offered * share })
    }
}

/// What is known of the tenant of a count.
#[derive(Clone, Copy)]
struct Reckoned {
    began: f64,
    quota: f64,
    burst: f64,
    /// Units a second at the other front doors.
    spends: f64,
}

impl Reckoned {
    /// Where the count stands now, with what the others spent and lifted since it was last asked about.
    fn level(&self, now: f64, last: &Level) -> f64 {
        let regained = |at: f64| self.quota * (at - self.began).max(0.0);
        let lag = regained(now) - last.units - self.spends * (now - last.at);
        // Whoever of them sees it lag so far lifts it to what was regained, again and again.
        let lag = if lag > LAG * self.burst { lag % (LAG * self.burst) } else { lag };
        regained(now) - lag.max(-self.burst)
    }
}
