//! Deterministic simulation of gateway instances, the shards of two regions and a network on a virtual clock.
//! A seed determines all random choices. An exact token bucket of each full quota serves as the reference.
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

/// Unix time in seconds at which the simulation starts.
pub const START: f64 = 1_000_000.0;
pub const TENANTS: [TenantId; 2] = [0x1_2345_6789, 7];
pub const GATEWAYS_PER_REGION: usize = 4;
pub const REGIONS: [&str; 2] = ["north", "south"];
/// Refill rate of each tenant's quota, in units per second.
pub const RATE: f64 = 10.0;
/// Burst of each tenant's quota, in units.
pub const BURST: f64 = 400.0;

/// Returns a map of two regions, each with half of every quota and with the shards of these ids.
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
