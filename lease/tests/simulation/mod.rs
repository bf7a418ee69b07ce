//! Gateway instances, shards of two regions and a network on a virtual clock, all drawn from a seed, with an
//! exact bucket of each quota as the reference.
mod driver;
mod events;
mod faults;
pub mod gateway;
mod network;
pub mod outcome;
mod reference_bucket;
pub mod scenario;

pub use driver::Simulation;

use quillramp_lease::shard_map::{Plan, Region, ShardEntry, ShardId, ShardMap, TenantId};

/// Unix time of the simulation's start, seconds.
pub const START: f64 = 1_000_000.0;
pub const TENANTS: [TenantId; 2] = [0x1_2345_6789, 7];
pub const GATEWAYS_PER_REGION: usize = 4;
pub const REGIONS: [&str; 2] = ["north", "south"];
/// Units per second of each tenant's quota.
pub const RATE: f64 = 10.0;
/// Units of each tenant's quota that may be used at once.
pub const BURST: f64 = 400.0;

/// A map of two regions with shards of these numbers.
pub fn two_region_map(epoch: u32, active_at: f64, shards: [&[ShardId]; 2]) -> ShardMap {
    let entry = |id: &ShardId| ShardEntry { id: *id, address: ([127, 0, 0, 1], 7000 + *id).into() };
    let region = |index: usize| Region {
        name: REGIONS[index].into(),
        quota_fraction: 0.5,
        shards: shards[index].iter().map(entry).collect(),
    };
    ShardMap {
        epoch,
        active_at,
        plans: vec![Plan { name: "team".into(), rate: RATE, burst: BURST }],
        regions: vec![region(0), region(1)],
    }
}
