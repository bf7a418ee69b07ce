//! Parameters of a simulation: demand, losses and faults. Times are in seconds since the start of the
//! simulation.
use super::gateway::GatewayId;
use quillramp_lease::fault_injection::InjectedFault;
use quillramp_lease::shard_map::{ShardId, ShardMap};

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub duration: f64,
    /// Requests per second of each tenant in each region, before `demand_change_at`.
    pub demand: [f64; 2],
    /// Requests per second of each tenant in each region, from `demand_change_at` on.
    pub later_demand: [f64; 2],
    pub demand_change_at: f64,
    pub injected_fault: Option<InjectedFault>,
    /// Probability that the connection is reset instead of delivering a response.
    pub response_loss: f64,
    /// Like `response_loss`, but for responses to batches that only return units.
    pub return_response_loss: f64,
    /// Probability that a frame between shards is lost.
    pub peer_frame_loss: f64,
    /// Whether the regions are partitioned from the arrival of the first transfer to the end of the run.
    pub partition_at_transfer: bool,
    /// Faults with their times. Faults at the same time are applied in this order.
    pub faults: Vec<TimedFault>,
}

impl Scenario {
    /// Returns a scenario whose only fault is the loss of 1 % of the frames between shards. In each region
    /// the demand equals the full quota of each tenant.
    pub fn new(seed: u64, duration: f64) -> Scenario {
        Scenario {
            seed,
            duration,
            demand: [10.0, 10.0],
            later_demand: [10.0, 10.0],
            demand_change_at: duration,
            injected_fault: None,
            response_loss: 0.0,
            return_response_loss: 0.0,
            peer_frame_loss: 0.01,
            partition_at_transfer: false,
            faults: vec![],
        }
    }
}

/// Fault that is applied at a given time.
#[derive(Clone, Debug)]
pub struct TimedFault {
    pub at: f64,
    pub fault: Fault,
}

/// Fault, or another scheduled change of the simulation.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A shard stops. If `unresponsive`, its connections stay open without any response, as after a machine
    /// failure; otherwise they are reset, as after the end of a process.
    StopShard {
        shard: ShardId,
        unresponsive: bool,
    },
    /// A new process without any state replaces a stopped shard.
    StartShard {
        shard: ShardId,
    },
    PartitionRegions,
    HealPartition,
    /// A gateway instance is killed when a shard has applied its next batch, and restarts a second later.
    KillGatewayAtNextBatch {
        gateway: GatewayId,
    },
    DeliverMapToShard {
        shard: ShardId,
        map: ShardMap,
    },
    DeliverMapToGateway {
        gateway: GatewayId,
        map: ShardMap,
    },
    /// A measurement window begins.
    BeginWindow,
    /// The measurement window ends.
    EndWindow,
}
