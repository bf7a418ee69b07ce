//! What a simulation is run with: demand, losses and faults. Times are seconds since its start.
use super::gateway::GatewayId;
use quillramp_lease::fault_injection::InjectedFault;
use quillramp_lease::shard_map::{ShardId, ShardMap};

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub duration: f64,
    /// Requests per second of each tenant in each region, up to `demand_change_at` and from then on.
    pub demand: [f64; 2],
    pub later_demand: [f64; 2],
    pub demand_change_at: f64,
    pub injected_fault: Option<InjectedFault>,
    /// Probability that a response is lost with its connection.
    pub response_loss: f64,
    /// The same for responses to batches that only return units.
    pub return_response_loss: f64,
    /// Probability that a frame between shards is lost.
    pub peer_frame_loss: f64,
    /// The regions are partitioned once the first transfer has arrived, up to the end.
    pub partition_at_transfer: bool,
    /// Faults in the order of time.
    pub faults: Vec<TimedFault>,
}

impl Scenario {
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

#[derive(Clone, Debug)]
pub struct TimedFault {
    pub at: f64,
    pub fault: Fault,
}

#[derive(Clone, Debug)]
pub enum Fault {
    /// The process or the machine of a shard stops; if `unresponsive`, its connections stay open without an
    /// answer.
    StopShard {
        shard: ShardId,
        unresponsive: bool,
    },
    /// A process without any state takes its place.
    StartShard {
        shard: ShardId,
    },
    PartitionRegions,
    HealPartition,
    /// A gateway instance is killed once a shard has applied its next batch, and restarts a second later.
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
    /// Begins the measurement window.
    BeginWindow,
    EndWindow,
}
