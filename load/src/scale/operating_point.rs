//! The operating point of a scale run: the sizes of the fleet, its traffic and how that is spread over the tenants.
use super::error::ScaleError;
use quillramp_emulator::deployment::gateway_settings;
use quillramp_emulator::scenario::World;
use rand::distributions::WeightedIndex;
use serde_json::{json, Value};

/// How the requests of the fleet are spread over its tenants.
#[derive(Clone, Copy, Debug, PartialEq, clap::ValueEnum)]
pub enum Spread {
    /// Every tenant sends as many requests as any other.
    Uniform,
    /// The tenant of rank n sends 1/n as many requests as the first (Zipf's law, exponent 1).
    Zipf,
}

impl Spread {
    /// The name of the spread, as the rows have it.
    pub fn name(self) -> &'static str {
        match self {
            Spread::Uniform => "uniform",
            Spread::Zipf => "zipf",
        }
    }
}

/// The sizes and the traffic of one measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct OperatingPoint {
    /// Seed of the traffic and of the instances' random draws.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of gateway instances in the fleet, as the settings of each instance have it.
    #[arg(long = "front-doors", value_name = "INSTANCES", default_value_t = 420)]
    pub instances: usize,
    /// Number of backends on the endpoint list.
    #[arg(long, default_value_t = 3_800)]
    pub backends: usize,
    /// Number of tenants, each with a quota of its own.
    #[arg(long, default_value_t = 14_000)]
    pub tenants: usize,
    /// Requests a second at all instances of the fleet together; the quotas are derived from it.
    #[arg(long, default_value_t = 97_000.0)]
    pub fleet_requests: f64,
    /// Requests a second at each instance that is measured.
    #[arg(long, default_value_t = 231.0)]
    pub requests: f64,
    /// Number of routes in the operator's file, each for a few tenants of its own; 0: no such file.
    #[arg(long, default_value_t = 0)]
    pub routes: usize,
    /// Changes of the endpoint list a second: a backend is draining, or is ready again.
    #[arg(long, default_value_t = 0.0)]
    pub changes: f64,
    /// How the requests are distributed over the tenants.
    #[arg(long, value_enum, default_value_t = Spread::Uniform)]
    pub spread: Spread,
    /// Run the instances without a counter.
    #[arg(long)]
    pub without_counter: bool,
    /// Let the stand-in counter add nothing for instances of the fleet that do not run.
    #[arg(long)]
    pub alone: bool,
}

/// A tenant's quota: its plan, and the requests a second that the whole fleet gets for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Index of its plan in `PLANS`.
    pub plan: usize,
    /// Requests a second at all instances together.
    pub offered_rate: f64,
}

/// Quotas there are: the smallest in units a second, each next one twice the one before; 7 is one of them.
const SMALLEST_QUOTA_PER_SECOND: f64 = 7.0 / 16.0;
/// How many: the largest is above the rate that Zipf's first of 900 tenants has of 97,000 requests.
const PLAN_COUNT: usize = 16;
/// Seconds of its quota that a tenant may have at once, as the emulator's plans have it.
const BURST_SECONDS: f64 = 2.0;
/// Units that any tenant may have at once: a request of one unit fits.
const MIN_BURST_UNITS: f64 = 2.0;
/// How long a backend of these runs takes to answer, seconds.
pub const BACKEND_RESPONSE_SECONDS: f64 = 0.005;

/// Units a second of a plan.
pub fn quota(plan: usize) -> f64 {
    SMALLEST_QUOTA_PER_SECOND * f64::powi(2.0, plan as i32)
}

/// Units that a plan allows at once.
pub fn burst(plan: usize) -> f64 {
    (quota(plan) * BURST_SECONDS).max(MIN_BURST_UNITS)
}

/// The name of a plan in the settings.
pub fn plan_name(plan: usize) -> String {
    format!("plan{plan}")
}

impl OperatingPoint {
    /// The command-line arguments for the same point.
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

    /// The weight of each tenant among all requests, not normalized.
    fn weights(&self) -> Vec<f64> {
        let weight = |rank: usize| match self.spread {
            Spread::Uniform => 1.0,
            Spread::Zipf => 1.0 / rank as f64,
        };
        (1..=self.tenants).map(weight).collect()
    }

    /// The distribution that tenants are drawn by; an error where there are none.
    pub fn distribution(&self) -> Result<WeightedIndex<f64>, ScaleError> {
        WeightedIndex::new(self.weights()).map_err(ScaleError::Tenants)
    }

    /// The fraction of the fleet that is absent where so many instances are there, for the counter to estimate; none where nothing is
    /// to be estimated.
    pub fn absent_fraction(&self, instances: usize) -> Option<f64> {
        let absent_fraction = 1.0 - instances as f64 / self.instances as f64;
        (absent_fraction > 0.0 && !self.alone).then_some(absent_fraction)
    }

    /// Each tenant, with the smallest quota that covers the requests that the fleet gets for it.
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

    /// The settings in the configuration of the instance of that number.
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
