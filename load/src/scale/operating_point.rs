//! The operating point of a scale run: the sizes of the fleet, its traffic, and the distribution of the traffic over
//! the tenants.
use super::error::ScaleError;
use quillramp_emulator::deployment::gateway_settings;
use quillramp_emulator::scenario::World;
use rand::distributions::WeightedIndex;
use serde_json::{json, Value};

/// Distribution of the fleet's requests over its tenants.
#[derive(Clone, Copy, Debug, PartialEq, clap::ValueEnum)]
pub enum Spread {
    /// All tenants send equally many requests.
    Uniform,
    /// The tenant of rank n sends 1/n as many requests as the first (Zipf's law, exponent 1).
    Zipf,
}

impl Spread {
    /// Returns the name of the distribution in rows and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Spread::Uniform => "uniform",
            Spread::Zipf => "zipf",
        }
    }
}

/// Fleet sizes and traffic of one measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct OperatingPoint {
    /// Seed of the traffic and of the instances' random draws.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of gateway instances in the fleet, as stated in the settings of each instance.
    #[arg(long = "front-doors", value_name = "INSTANCES", default_value_t = 420)]
    pub instances: usize,
    /// Number of backends on the endpoint list.
    #[arg(long, default_value_t = 3_800)]
    pub backends: usize,
    /// Number of tenants, each with its own quota.
    #[arg(long, default_value_t = 14_000)]
    pub tenants: usize,
    /// Requests per second of the whole fleet; the quotas are derived from this rate.
    #[arg(long, default_value_t = 97_000.0)]
    pub fleet_requests: f64,
    /// Requests per second at each measured instance.
    #[arg(long, default_value_t = 231.0)]
    pub requests: f64,
    /// Number of routes in the operator's file, each for a few tenants; 0 omits the file.
    #[arg(long, default_value_t = 0)]
    pub routes: usize,
    /// Changes of the endpoint list per second; each sets one backend to draining and another back to serving.
    #[arg(long, default_value_t = 0.0)]
    pub changes: f64,
    /// Distribution of the requests over the tenants.
    #[arg(long, value_enum, default_value_t = Spread::Uniform)]
    pub spread: Spread,
    /// Run the instances without a counter.
    #[arg(long)]
    pub without_counter: bool,
    /// Do not let the stand-in counter estimate what instances that do not run would add.
    #[arg(long)]
    pub alone: bool,
}

/// Plan of a tenant, and the request rate that the fleet receives for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Index of the tenant's plan, less than `PLAN_COUNT`.
    pub plan: usize,
    /// Requests per second of this tenant at all instances together.
    pub offered_rate: f64,
}

/// Quota of plan 0 in units per second. Each further plan has twice the quota of the one before; plan 4 has 7 units
/// per second.
const SMALLEST_QUOTA_PER_SECOND: f64 = 7.0 / 16.0;
/// Number of plans. The largest quota exceeds the rate of the first of 900 tenants under Zipf's law, with 97,000
/// requests per second for all tenants.
const PLAN_COUNT: usize = 16;
/// Burst of a plan as seconds of its quota; the emulator's plans use the same value.
const BURST_SECONDS: f64 = 2.0;
/// Minimum burst of a plan in units, so that a request of one unit always fits.
const MIN_BURST_UNITS: f64 = 2.0;
/// Response time of a stand-in backend in seconds.
pub const BACKEND_RESPONSE_SECONDS: f64 = 0.005;

/// Returns the quota of a plan in units per second.
pub fn quota(plan: usize) -> f64 {
    SMALLEST_QUOTA_PER_SECOND * f64::powi(2.0, plan as i32)
}

/// Returns the burst of a plan in units.
pub fn burst(plan: usize) -> f64 {
    (quota(plan) * BURST_SECONDS).max(MIN_BURST_UNITS)
}

/// Returns the name of a plan in the settings.
pub fn plan_name(plan: usize) -> String {
    format!("plan{plan}")
}

impl OperatingPoint {
    /// Returns the command-line arguments that give the same operating point.
    pub fn arguments(&self) -> Vec<String> {
        let numbers = [
            ("--seed", self.seed.to_string()),
            ("--front-doors", self.instances.to_string()),
            ("--backends", self.backends.to_string()),
            ("--tenants", self.tenants.to_string()),
            ("--fleet-requests", self.fleet_requests.to_string()),
            ("--requests", self.requests.to_string()),
            ("--routes", self.routes.to_string()),
            ("--changes", self.changes.to_string()),
            ("--spread", self.spread.name().to_owned()),
        ];
        let mut words: Vec<String> =
            numbers.into_iter().flat_map(|(name, value)| [name.to_owned(), value]).collect();
        words.extend(self.without_counter.then(|| "--without-counter".to_owned()));
        words.extend(self.alone.then(|| "--alone".to_owned()));
        words
    }

    /// Returns the relative request rate of each tenant, not normalized.
    fn weights(&self) -> Vec<f64> {
        let weight = |rank: usize| match self.spread {
            Spread::Uniform => 1.0,
            Spread::Zipf => 1.0 / rank as f64,
        };
        (1..=self.tenants).map(weight).collect()
    }

    /// Returns the distribution of requests over the tenants; fails if there are no tenants.
    pub fn distribution(&self) -> Result<WeightedIndex<f64>, ScaleError> {
        WeightedIndex::new(self.weights()).map_err(ScaleError::Tenants)
    }

    /// Returns the fraction of the fleet that does not run if `instances` run, which the counter estimates. Returns
    /// `None` if the whole fleet runs, or if the estimate is disabled.
    pub fn absent_fraction(&self, instances: usize) -> Option<f64> {
        let absent_fraction = 1.0 - instances as f64 / self.instances as f64;
        (absent_fraction > 0.0 && !self.alone).then_some(absent_fraction)
    }

    /// Returns the tenants. Each gets the smallest plan whose quota covers its request rate.
    pub fn tenants(&self) -> Vec<Tenant> {
        let weights = self.weights();
        let total_weight: f64 = weights.iter().sum();
        let tenant = |weight: f64| {
            let offered_rate = self.fleet_requests * weight / total_weight;
            let plan =
                (0..PLAN_COUNT - 1).find(|plan| quota(*plan) >= offered_rate).unwrap_or(PLAN_COUNT - 1);
            Tenant { plan, offered_rate }
        };
        weights.into_iter().map(tenant).collect()
    }

    /// Returns the settings of the instance with this index.
    pub fn settings(&self, instance: usize) -> Value {
        let world =
            World { instances: self.instances, backends: self.backends, gossip: false, ..World::default() };
        let mut settings = gateway_settings(&world, None);
        settings["slot_no"] = json!(instance);
        settings["extra"]["counter"] = json!(!self.without_counter);
        let plan = |plan: usize| {
            json!({"name": plan_name(plan), "per_second": quota(plan), "depth": burst(plan), "parallel": 0,
                   "ceiling_rate": 0.0, "ceiling_slack": 0.0, "hard_burst": 0.0})
        };
        settings["tariffs"] = (0..PLAN_COUNT).map(plan).collect();
        settings
    }
}
