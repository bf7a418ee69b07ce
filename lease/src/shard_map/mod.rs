//! The shard map: the regions with their shards and their fractions of every quota, and the plans.
//!
//! A map is a TOML file that the operator distributes. A newer map has a higher epoch and takes effect everywhere at
//! its `active_at`.
mod error;
mod schedule;
mod validation;

pub use error::ShardMapError;
pub(crate) use schedule::ShardMapSchedule;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of a shard, unique within a map.
pub type ShardId = u16;
/// Number of a tenant: a customer with a quota.
pub type TenantId = u64;
/// Index of a plan in the map.
pub type PlanId = u16;

/// A full quota, in parts per million (ppm).
pub const FULL_QUOTA_PPM: u32 = 1_000_000;
/// The fractions of all regions may differ from a sum of 1 by this much, since the file's figures are rounded.
const QUOTA_FRACTION_TOLERANCE: f64 = 1e-6;

/// The quota of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name in logs.
    pub name: String,
    /// Refill rate, units per second.
    pub rate: f64,
    /// Bucket capacity, units.
    pub burst: f64,
}

impl Plan {
    /// Time until an empty bucket is full, seconds.
    pub fn refill_time(&self) -> f64 {
        self.burst / self.rate
    }
}

/// One shard: a process that keeps token buckets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// Number of the shard, unique in the map.
    pub id: ShardId,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// A group of shards that together keep a fraction of every quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name, unique in the map.
    pub name: String,
    /// Fraction of every quota, above 0 and at most 1; all regions add up to 1.
    #[serde(rename = "share")]
    pub quota_fraction: f64,
    /// The shards, among which the tenants are distributed.
    #[serde(rename = "shard")]
    pub shards: Vec<ShardEntry>,
}

impl Region {
    /// The fraction in parts per million, rounded down, so that all regions never add up to more than a full quota.
    pub fn quota_fraction_ppm(&self) -> u32 {
        (self.quota_fraction * f64::from(FULL_QUOTA_PPM) + QUOTA_FRACTION_TOLERANCE).floor() as u32
    }

    /// The shard that keeps a tenant's bucket in this region, by rendezvous hashing.
    pub fn owner(&self, tenant: TenantId) -> ShardId {
        let best = self.shards.iter().max_by_key(|shard| (rendezvous_weight(shard.id, tenant), shard.id));
        best.expect("a validated region has shards").id
    }
}

/// XXH64, since its values are the same in every build.
fn rendezvous_weight(shard: ShardId, tenant: TenantId) -> u64 {
    xxhash_rust::xxh64::xxh64(&tenant.to_le_bytes(), u64::from(shard))
}

/// A shard map, as in the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// Version of the map; grows with each change.
    pub epoch: u32,
    /// Unix time in seconds from which the map is in force.
    pub active_at: f64,
    /// Plans by index.
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
    /// All regions.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
}

impl ShardMap {
    /// Parses and validates a map file.
    ///
    /// # Errors
    /// [`ShardMapError::Syntax`] if the text is not a map, else as [`ShardMap::validate`].
    pub fn parse(text: &str) -> Result<ShardMap, ShardMapError> {
        let map: ShardMap = toml::from_str(text).map_err(|error| ShardMapError::syntax(text, &error))?;
        map.validate()?;
        Ok(map)
    }

    /// Checks what the types do not say.
    ///
    /// # Errors
    /// The [`ShardMapError`] of the first check that fails.
    pub fn validate(&self) -> Result<(), ShardMapError> {
        validation::validate(self)
    }

    /// The region of this name.
    ///
    /// # Errors
    /// [`ShardMapError::UnknownRegion`] if there is none.
    pub fn region(&self, name: &str) -> Result<&Region, ShardMapError> {
        let found = self.regions.iter().find(|region| region.name == name);
        found.ok_or_else(|| ShardMapError::UnknownRegion(name.to_owned()))
    }

    /// The other one of two regions; `None` if the map has one region, or more than two.
    pub fn peer_region(&self, name: &str) -> Option<&Region> {
        match self.regions.as_slice() {
            [first, second] if second.name == name => Some(first),
            [first, second] if first.name == name => Some(second),
            _ => None,
        }
    }

    /// A plan by its index.
    pub fn plan(&self, id: PlanId) -> Option<&Plan> {
        self.plans.get(usize::from(id))
    }

    /// The address of a shard.
    pub fn shard_address(&self, id: ShardId) -> Option<SocketAddr> {
        let mut shards = self.regions.iter().flat_map(|region| &region.shards);
        shards.find(|shard| shard.id == id).map(|shard| shard.address)
    }

    /// The fraction of every quota by the name of the region, in parts per million.
    pub(crate) fn quota_fractions_ppm(&self) -> BTreeMap<&str, u32> {
        self.regions.iter().map(|region| (region.name.as_str(), region.quota_fraction_ppm())).collect()
    }

    /// Time until every bucket that began empty is full, seconds.
    pub fn longest_refill_time(&self) -> f64 {
        self.plans.iter().map(Plan::refill_time).fold(0.0, f64::max)
    }
}
