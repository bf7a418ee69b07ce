//! The shard map, which defines the plans, the regions, the shards of each region and its fraction of every
//! quota.
//!
//! A map is a TOML file that the operator distributes to all gateway instances and shards. A newer map has a
//! higher epoch and takes effect at all of them at its `active_at`.
mod error;
mod schedule;
mod validation;

pub use error::ShardMapError;
pub(crate) use schedule::ShardMapSchedule;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Id of a shard, unique within a map.
pub type ShardId = u16;
/// Id of a tenant, a customer with a quota.
pub type TenantId = u64;
/// Index of a plan in the map.
pub type PlanId = u16;

/// The full quota in parts per million (ppm).
pub const FULL_QUOTA_PPM: u32 = 1_000_000;
/// Maximum difference between the sum of the fractions of all regions and 1, since the fractions in the file
/// are rounded.
const QUOTA_FRACTION_TOLERANCE: f64 = 1e-6;

/// Quota of the tenants that are on this plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan in log lines.
    pub name: String,
    /// Refill rate in units per second.
    pub rate: f64,
    /// Bucket capacity in units.
    pub burst: f64,
}

impl Plan {
    /// Returns the time in seconds until an empty bucket is full.
    pub fn refill_time(&self) -> f64 {
        self.burst / self.rate
    }
}

/// Entry of one shard in the map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// Id of the shard, unique within the map.
    pub id: ShardId,
    /// Address on which the shard listens.
    pub address: SocketAddr,
}

/// Group of shards that together enforce a fraction of every quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region, unique within the map.
    pub name: String,
    /// Fraction of every quota, above 0 and at most 1. The fractions of all regions have a sum of 1.
    #[serde(rename = "share")]
    pub quota_fraction: f64,
    /// Shards among which the tenants are distributed.
    #[serde(rename = "shard")]
    pub shards: Vec<ShardEntry>,
}

impl Region {
    /// Returns the fraction in parts per million, rounded down so that the sum over all regions never exceeds
    /// the full quota.
    pub fn quota_fraction_ppm(&self) -> u32 {
        (self.quota_fraction * f64::from(FULL_QUOTA_PPM) + QUOTA_FRACTION_TOLERANCE).floor() as u32
    }

    /// Returns the shard that owns a tenant in this region, chosen by rendezvous hashing.
    pub fn owner(&self, tenant: TenantId) -> ShardId {
        let best = self.shards.iter().max_by_key(|shard| (rendezvous_weight(shard.id, tenant), shard.id));
        best.expect("a validated region has at least one shard").id
    }
}

/// Returns the weight of a shard for a tenant. XXH64 yields the same values in every build, so that all
/// processes agree on the owner.
fn rendezvous_weight(shard: ShardId, tenant: TenantId) -> u64 {
    xxhash_rust::xxh64::xxh64(&tenant.to_le_bytes(), u64::from(shard))
}

/// A shard map, in the structure of its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// Version of the map; higher for each newer map.
    pub epoch: u32,
    /// Unix time in seconds at which the map takes effect.
    pub active_at: f64,
    /// Plans, indexed by [`PlanId`].
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
    /// The regions among which every quota is split.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
}

impl ShardMap {
    /// Parses and validates the text of a map file.
    ///
    /// # Errors
    /// Returns [`ShardMapError::Syntax`] if the text is not a map, or an error of [`ShardMap::validate`].
    pub fn parse(text: &str) -> Result<ShardMap, ShardMapError> {
        let map: ShardMap = toml::from_str(text).map_err(|error| ShardMapError::syntax(text, &error))?;
        map.validate()?;
        Ok(map)
    }

    /// Checks the constraints that the field types do not express.
    ///
    /// # Errors
    /// Returns the [`ShardMapError`] of the first check that fails.
    pub fn validate(&self) -> Result<(), ShardMapError> {
        validation::validate(self)
    }

    /// Returns the region of this name.
    ///
    /// # Errors
    /// Returns [`ShardMapError::UnknownRegion`] if the map has no such region.
    pub fn region(&self, name: &str) -> Result<&Region, ShardMapError> {
        let found = self.regions.iter().find(|region| region.name == name);
        found.ok_or_else(|| ShardMapError::UnknownRegion(name.to_owned()))
    }

    /// Returns the other region if the map has exactly two regions and `name` is one of them.
    pub fn peer_region(&self, name: &str) -> Option<&Region> {
        match self.regions.as_slice() {
            [first, second] if second.name == name => Some(first),
            [first, second] if first.name == name => Some(second),
            _ => None,
        }
    }

    /// Returns the plan with this index.
    pub fn plan(&self, id: PlanId) -> Option<&Plan> {
        self.plans.get(usize::from(id))
    }

    /// Returns the address of a shard, `None` if the map does not contain it.
    pub fn shard_address(&self, id: ShardId) -> Option<SocketAddr> {
        let mut shards = self.regions.iter().flat_map(|region| &region.shards);
        shards.find(|shard| shard.id == id).map(|shard| shard.address)
    }

    /// Returns the fraction of every quota by region name, in parts per million.
    pub(crate) fn quota_fractions_ppm(&self) -> BTreeMap<&str, u32> {
        self.regions.iter().map(|region| (region.name.as_str(), region.quota_fraction_ppm())).collect()
    }

    /// Returns the time in seconds until an empty bucket of any plan is full.
    pub fn longest_refill_time(&self) -> f64 {
        self.plans.iter().map(Plan::refill_time).fold(0.0, f64::max)
    }
}
