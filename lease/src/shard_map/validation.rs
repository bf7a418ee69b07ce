//! Validation of the constraints on a shard map that its field types do not express.
use super::{Plan, PlanId, Region, ShardMap, ShardMapError, QUOTA_FRACTION_TOLERANCE};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Range of valid bursts, in units. Up to the maximum, hundredths of a unit fit into the 32 bits of the wire
/// format.
const BURST_RANGE: RangeInclusive<f64> = 1.0..=1e7;

pub(super) fn validate(map: &ShardMap) -> Result<(), ShardMapError> {
    if !map.active_at.is_finite() || map.active_at < 0.0 {
        return Err(ShardMapError::InvalidActiveAt(map.active_at));
    }
    validate_plans(&map.plans)?;
    validate_regions(&map.regions)
}

fn validate_plans(plans: &[Plan]) -> Result<(), ShardMapError> {
    if plans.is_empty() || plans.len() > usize::from(PlanId::MAX) {
        return Err(ShardMapError::InvalidPlanCount { found: plans.len() });
    }
    match plans.iter().find(|plan| !is_valid_plan(plan)) {
        Some(plan) => Err(ShardMapError::InvalidPlan(plan.name.clone())),
        None => Ok(()),
    }
}

fn is_valid_plan(plan: &Plan) -> bool {
    plan.rate.is_finite() && plan.rate > 0.0 && BURST_RANGE.contains(&plan.burst)
}

fn validate_regions(regions: &[Region]) -> Result<(), ShardMapError> {
    if regions.is_empty() {
        return Err(ShardMapError::NoRegions);
    }
    let mut names = BTreeSet::new();
    let mut ids = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for region in regions {
        if !names.insert(&region.name) {
            return Err(ShardMapError::DuplicateRegion(region.name.clone()));
        }
        validate_region(region)?;
        for shard in &region.shards {
            if !ids.insert(shard.id) {
                return Err(ShardMapError::DuplicateShardId(shard.id));
            }
            if !addresses.insert(shard.address) {
                return Err(ShardMapError::DuplicateAddress(shard.id));
            }
        }
    }
    validate_fraction_sum(regions)
}

fn validate_region(region: &Region) -> Result<(), ShardMapError> {
    let fraction = region.quota_fraction;
    if !(fraction > 0.0 && fraction <= 1.0) {
        return Err(ShardMapError::InvalidQuotaFraction { region: region.name.clone(), fraction });
    }
    if region.shards.is_empty() {
        return Err(ShardMapError::NoShards(region.name.clone()));
    }
    Ok(())
}

fn validate_fraction_sum(regions: &[Region]) -> Result<(), ShardMapError> {
    let sum: f64 = regions.iter().map(|region| region.quota_fraction).sum();
    if (sum - 1.0).abs() > QUOTA_FRACTION_TOLERANCE {
        return Err(ShardMapError::InvalidQuotaFractionSum(sum));
    }
    Ok(())
}
