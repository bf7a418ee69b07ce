//! The shard map: which regions and shards there are, what share of every quota each region has, and the plans.
//!
//! A map is a TOML file that the operator distributes; a newer one has a higher epoch and takes effect at `active_at`
//! everywhere.
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;

/// Number of a shard, unique within a map.
pub type ShardId = u16;
/// A customer whose quota is kept.
pub type TenantId = u64;
/// Index of a plan in the map.
pub type PlanId = u16;

/// Shares of a quota are counted in parts per million.
pub const FULL_QUOTA_PPM: u32 = 1_000_000;
/// Shares may differ from a whole by rounding in the file.
const QUOTA_FRACTION_TOLERANCE: f64 = 1e-6;

/// What a tenant may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name in logs.
    pub name: String,
    /// Units regained a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
}

impl Plan {
    /// Seconds until an empty bucket is full.
    pub fn refill_time(&self) -> f64 {
        self.burst / self.rate
    }
}

/// One process that keeps buckets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// Unique in the map.
    pub id: ShardId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Shards that share a part of every quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Unique in the map.
    pub name: String,
    /// Part of every quota, 0 to 1; all regions add up to 1.
    #[serde(rename = "share")]
    pub quota_fraction: f64,
    /// Its shards.
    #[serde(rename = "shard")]
    pub shards: Vec<ShardEntry>,
}

impl Region {
    /// The share in parts per million, rounded down, so that all shares never add up to more than a whole.
    pub fn quota_fraction_ppm(&self) -> u32 {
        (self.quota_fraction * f64::from(FULL_QUOTA_PPM) + QUOTA_FRACTION_TOLERANCE).floor() as u32
    }

    /// The shard that keeps a tenant's bucket in this region, by rendezvous hashing.
    pub fn owner(&self, tenant: TenantId) -> ShardId {
        let weight =
            |shard: &ShardEntry| xxhash_rust::xxh64::xxh64(&tenant.to_le_bytes(), u64::from(shard.id));
        let best = self.shards.iter().max_by_key(|shard| (weight(shard), shard.id));
        best.expect("a checked region has shards").id
    }
}

/// A checked shard map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// Grows with each change.
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

/// Why a map is refused.
#[derive(Debug, Error, PartialEq)]
pub enum ShardMapError {
    /// Not TOML, or a field is missing, unknown or of a wrong type.
    #[error("no shard map: {0}")]
    Syntax(String),
    /// `active_at` is no time.
    #[error("active_at: expected seconds of Unix time, found {0}")]
    InvalidActiveAt(f64),
    /// Plans are missing, or too many for their index.
    #[error("plan: expected 1 to {max} plans, found {found}", max = PlanId::MAX)]
    InvalidPlanCount {
        /// Plans in the file.
        found: usize,
    },
    /// A plan's rate or burst is not usable.
    #[error("plan '{0}': expected a rate above 0 and a burst from 1 to 1e7 units, both finite")]
    InvalidPlan(String),
    /// No region.
    #[error("region: expected at least one")]
    NoRegions,
    /// A region has no shard.
    #[error("region '{0}': expected at least one shard")]
    NoShards(String),
    /// Two regions have one name.
    #[error("region '{0}': named twice")]
    DuplicateRegion(String),
    /// A share is not within 0 to 1.
    #[error("region '{name}': share: expected above 0 to 1, found {share}")]
    InvalidQuotaFraction {
        /// The region.
        name: String,
        /// Its share.
        share: f64,
    },
    /// Shares don't add up.
    #[error("shares of all regions: expected a sum of 1, found {0}")]
    QuotaFractionSum(f64),
    /// Two shards have one id.
    #[error("shard {0}: numbered twice")]
    DuplicateShardId(ShardId),
    /// Two shards have one address.
    #[error("shard {0}: another shard has its address")]
    DuplicateAddress(ShardId),
    /// The map lacks a region that somebody belongs to.
    #[error("region '{0}': not in the map")]
    UnknownRegion(String),
    /// The map lacks a shard in its region.
    #[error("shard {id}: not in region '{region}' of the map")]
    UnknownShard {
        /// The shard.
        id: ShardId,
        /// Its region.
        region: String,
    },
    /// A map that is no newer than the one there is.
    #[error("epoch {found}: expected above {current}")]
    StaleEpoch {
        /// Epoch of the newest map known.
        current: u32,
        /// Epoch of the one offered.
        found: u32,
    },
}

impl ShardMap {
    /// Reads and checks a map.
    pub fn parse(text: &str) -> Result<ShardMap, ShardMapError> {
        let map: ShardMap =
            toml::from_str(text).map_err(|e| ShardMapError::Syntax(e.message().replace('\n', ", ")))?;
        map.check()?;
        Ok(map)
    }

    /// Checks what the types don't say.
    pub fn check(&self) -> Result<(), ShardMapError> {
        if !self.active_at.is_finite() || self.active_at < 0.0 {
            return Err(ShardMapError::InvalidActiveAt(self.active_at));
        }
        self.check_plans()?;
        self.check_regions()
    }

    fn check_plans(&self) -> Result<(), ShardMapError> {
        const LARGEST_BURST: f64 = 1e7; // hundredths of a unit then fit the wire's 32 bits
        if self.plans.is_empty() || self.plans.len() > usize::from(PlanId::MAX) {
            return Err(ShardMapError::InvalidPlanCount { found: self.plans.len() });
        }
        let usable = |plan: &Plan| {
            plan.rate.is_finite() && plan.rate > 0.0 && (1.0..=LARGEST_BURST).contains(&plan.burst)
        };
        match self.plans.iter().find(|plan| !usable(plan)) {
            Some(plan) => Err(ShardMapError::InvalidPlan(plan.name.clone())),
            None => Ok(()),
        }
    }

    fn check_regions(&self) -> Result<(), ShardMapError> {
        let (mut names, mut ids, mut addresses) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        if self.regions.is_empty() {
            return Err(ShardMapError::NoRegions);
        }
        for region in &self.regions {
            if !names.insert(&region.name) {
                return Err(ShardMapError::DuplicateRegion(region.name.clone()));
            }
            if !(region.quota_fraction > 0.0 && region.quota_fraction <= 1.0) {
                return Err(ShardMapError::InvalidQuotaFraction {
                    name: region.name.clone(),
                    share: region.quota_fraction,
                });
            }
            if region.shards.is_empty() {
                return Err(ShardMapError::NoShards(region.name.clone()));
            }
            for shard in &region.shards {
                if !ids.insert(shard.id) {
                    return Err(ShardMapError::DuplicateShardId(shard.id));
                }
                if !addresses.insert(shard.address) {
                    return Err(ShardMapError::DuplicateAddress(shard.id));
                }
            }
        }
        let sum: f64 = self.regions.iter().map(|region| region.quota_fraction).sum();
        if (sum - 1.0).abs() > QUOTA_FRACTION_TOLERANCE {
            return Err(ShardMapError::QuotaFractionSum(sum));
        }
        Ok(())
    }

    /// The region of that name.
    pub fn region(&self, name: &str) -> Result<&Region, ShardMapError> {
        let found = self.regions.iter().find(|region| region.name == name);
        found.ok_or_else(|| ShardMapError::UnknownRegion(name.to_owned()))
    }

    /// The other one of two regions; none where there is one, or more than two.
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

    /// Where a shard listens.
    pub fn shard_address(&self, id: ShardId) -> Option<SocketAddr> {
        self.regions.iter().flat_map(|region| &region.shards).find(|shard| shard.id == id).map(|s| s.address)
    }

    /// Seconds after which every bucket that began empty is full.
    pub fn longest_refill_time(&self) -> f64 {
        self.plans.iter().map(Plan::refill_time).fold(0.0, f64::max)
    }
}
