//! Errors of shard maps.
use super::{PlanId, ShardId};
use thiserror::Error;

/// Reason for which a shard map is rejected.
#[derive(Debug, Error, PartialEq)]
pub enum ShardMapError {
    /// The text is not TOML, or a field is missing, unknown or of a wrong type.
    #[error("parse error in line {line}: {message}")]
    Syntax {
        /// Line number, starting at 1.
        line: usize,
        /// Message of the parser, on one line.
        message: String,
    },
    /// `active_at` is negative or not finite.
    #[error("active_at: expected Unix time in seconds, found {0}")]
    InvalidActiveAt(f64),
    /// The map has no plan, or more plans than a [`PlanId`] can index.
    #[error("plan: expected 1 to {max} plans, found {found}", max = PlanId::MAX)]
    InvalidPlanCount {
        /// Number of plans in the map.
        found: usize,
    },
    /// The rate or the burst of the plan of this name is out of range.
    #[error("plan '{0}': expected a rate above 0 and a burst from 1 to 1e7 units, both finite")]
    InvalidPlan(String),
    /// The map has no region.
    #[error("region: expected at least one region, found none")]
    NoRegions,
    /// The region of this name has no shard.
    #[error("region '{0}': expected at least one shard, found none")]
    NoShards(String),
    /// Two regions have this name.
    #[error("region '{0}': expected a unique name, found two regions of this name")]
    DuplicateRegion(String),
    /// A region's fraction of the quota is not above 0 and at most 1.
    #[error("region '{region}': expected a share above 0 and at most 1, found {fraction}")]
    InvalidQuotaFraction {
        /// Name of the region.
        region: String,
        /// Fraction of the quota in the map.
        fraction: f64,
    },
    /// The sum of the fractions of all regions has this value instead of 1.
    #[error("shares of all regions: expected a sum of 1, found {0}")]
    InvalidQuotaFractionSum(f64),
    /// Two shards have this id.
    #[error("shard {0}: expected a unique id, found two shards of this id")]
    DuplicateShardId(ShardId),
    /// This shard has the same address as another one.
    #[error("shard {0}: expected a unique address, found another shard of this address")]
    DuplicateAddress(ShardId),
    /// The map does not contain the region of this name, to which a shard or a gateway instance belongs.
    #[error("region '{0}': not in the map")]
    UnknownRegion(String),
    /// The map does not contain the shard in its region.
    #[error("shard {id}: not in region '{region}' of the map")]
    UnknownShard {
        /// Id of the shard.
        id: ShardId,
        /// Name of the shard's region.
        region: String,
    },
    /// The epoch of the map is not above that of the newest map accepted.
    #[error("epoch {found}: expected an epoch above {current}")]
    StaleEpoch {
        /// Epoch of the newest map accepted.
        current: u32,
        /// Epoch of the rejected map.
        found: u32,
    },
}

impl ShardMapError {
    /// Converts the parser's error for `text`.
    pub(super) fn syntax(text: &str, error: &toml::de::Error) -> ShardMapError {
        let offset = error.span().map_or(text.len(), |span| span.start);
        let line = text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1;
        ShardMapError::Syntax { line, message: error.message().replace('\n', ", ") }
    }
}
