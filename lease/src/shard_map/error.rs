//! Why a shard map is rejected.
use super::{PlanId, ShardId};
use thiserror::Error;

/// Why a shard map is rejected.
#[derive(Debug, Error, PartialEq)]
pub enum ShardMapError {
    /// Not TOML, or a field is missing, unknown or of a wrong type.
    #[error("no shard map: line {line}: {message}")]
    Syntax {
        /// The line, counted from 1.
        line: usize,
        /// The parser's message, in one line.
        message: String,
    },
    /// `active_at` is not a time.
    #[error("active_at: expected seconds of Unix time, found {0}")]
    InvalidActiveAt(f64),
    /// There is no plan, or more plans than a [`PlanId`] can index.
    #[error("plan: expected 1 to {max} plans, found {found}", max = PlanId::MAX)]
    InvalidPlanCount {
        /// Plans in the file.
        found: usize,
    },
    /// The rate or the burst of the plan of this name is out of range.
    #[error("plan '{0}': expected a rate above 0 and a burst from 1 to 1e7 units, both finite")]
    InvalidPlan(String),
    /// There is no region.
    #[error("region: expected at least one")]
    NoRegions,
    /// The region of this name has no shard.
    #[error("region '{0}': expected at least one shard")]
    NoShards(String),
    /// Two regions have this name.
    #[error("region '{0}': named twice")]
    DuplicateRegion(String),
    /// A region's fraction of the quota is not above 0 and at most 1.
    #[error("region '{region}': share: expected above 0 to 1, found {fraction}")]
    InvalidQuotaFraction {
        /// Name of the region.
        region: String,
        /// Its fraction.
        fraction: f64,
    },
    /// The fractions of all regions add up to this sum instead of 1.
    #[error("shares of all regions: expected a sum of 1, found {0}")]
    InvalidQuotaFractionSum(f64),
    /// Two shards have this id.
    #[error("shard {0}: numbered twice")]
    DuplicateShardId(ShardId),
    /// This shard has the address of another one.
    #[error("shard {0}: another shard has its address")]
    DuplicateAddress(ShardId),
    /// The map lacks the region of this name, to which a shard or a gateway instance belongs.
    #[error("region '{0}': not in the map")]
    UnknownRegion(String),
    /// The map lacks a shard in its region.
    #[error("shard {id}: not in region '{region}' of the map")]
    UnknownShard {
        /// The shard.
        id: ShardId,
        /// Name of its region.
        region: String,
    },
    /// The map is not newer than the newest map known.
    #[error("epoch {found}: expected above {current}")]
    StaleEpoch {
        /// Epoch of the newest map known.
        current: u32,
        /// Epoch of the rejected map.
        found: u32,
    },
}

impl ShardMapError {
    /// The parser's error on a text.
    pub(super) fn syntax(text: &str, error: &toml::de::Error) -> ShardMapError {
        let offset = error.span().map_or(text.len(), |span| span.start);
        let line = text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1;
        ShardMapError::Syntax { line, message: error.message().replace('\n', ", ") }
    }
}
