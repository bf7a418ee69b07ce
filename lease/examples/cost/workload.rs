//! The traffic of the target: requests of many tenants at one gateway instance, and the quotas of the
//! tenants.
use quillramp_lease::shard_map::{Plan, Region, ShardEntry, ShardId, ShardMap, TenantId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};

/// Number of tenants of the target.
pub const TENANTS: usize = 14_000;
/// Requests per second at one gateway instance.
pub const REQUEST_RATE: f64 = 231.0;
/// Number of gateway instances of the target.
pub const GATEWAYS: f64 = 420.0;
/// Shards of the region.
pub const SHARDS: [ShardId; 3] = [1, 2, 3];
/// Name of the region.
pub const REGION: &str = "north";
/// Quota of a tenant, as a multiple of its traffic at all gateway instances.
const QUOTA_TO_TRAFFIC_RATIO: f64 = 1.5;
/// Time in seconds in which the rate refills the burst of a quota.
const BURST_REFILL_TIME: f64 = 2.0;
/// Minimum burst, in units.
const MIN_BURST: f64 = 4.0;

/// Distribution of the requests over the tenants.
#[derive(Clone, Copy, PartialEq)]
pub enum TenantDistribution {
    Uniform,
    Zipf,
}

impl TenantDistribution {
    /// Returns the name of the distribution in the CSV.
    pub fn name(self) -> &'static str {
        match self {
            TenantDistribution::Uniform => "uniform",
            TenantDistribution::Zipf => "zipf",
        }
    }

    /// Draws the index of a request's tenant.
    pub fn draw(self, rng: &mut ChaCha8Rng) -> usize {
        match self {
            TenantDistribution::Uniform => rng.gen_range(0..TENANTS),
            TenantDistribution::Zipf => {
                let zipf = Zipf::new(TENANTS as u64, 1.0).expect("valid parameters");
                zipf.sample(rng) as usize - 1
            }
        }
    }

    /// Returns each tenant's fraction of the traffic.
    fn weights(self) -> Vec<f64> {
        let raw_weights = (1..=TENANTS).map(|rank| match self {
            TenantDistribution::Uniform => 1.0,
            TenantDistribution::Zipf => 1.0 / rank as f64,
        });
        let raw_weights: Vec<f64> = raw_weights.collect();
        let sum: f64 = raw_weights.iter().sum();
        raw_weights.into_iter().map(|weight| weight / sum).collect()
    }

    /// Returns a map with one plan per tenant, sized so that every tenant uses the same part of its quota.
    pub fn shard_map(self) -> ShardMap {
        let shards =
            SHARDS.iter().map(|id| ShardEntry { id: *id, address: ([127, 0, 0, 1], 7000 + *id).into() });
        ShardMap {
            epoch: 1,
            active_at: 0.0,
            plans: self.weights().into_iter().map(plan_of_weight).collect(),
            regions: vec![Region { name: REGION.into(), quota_fraction: 1.0, shards: shards.collect() }],
        }
    }
}

fn plan_of_weight(weight: f64) -> Plan {
    let rate = weight * REQUEST_RATE * GATEWAYS * QUOTA_TO_TRAFFIC_RATIO;
    Plan { name: "plan".into(), rate, burst: (rate * BURST_REFILL_TIME).max(MIN_BURST) }
}

/// Returns the id of the tenant with this index, spread over the range below 2^33.
pub fn tenant_id(index: usize) -> TenantId {
    (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 31
}

/// Draws the time in seconds until the next event of a Poisson process. `rate` is in events per second.
pub fn draw_interval(rng: &mut ChaCha8Rng, rate: f64) -> f64 {
    -(1.0 - rng.gen::<f64>()).ln() / rate
}
