//! Application of a scenario's faults.
use super::driver::Simulation;
use super::events::Event;
use super::gateway::GatewayId;
use super::scenario::Fault;
use super::{RATE, TENANTS};
use quillramp_lease::shard_map::{ShardId, ShardMap};

/// Time in seconds until a killed gateway instance restarts.
const GATEWAY_RESTART_DELAY: f64 = 1.0;
/// Maximum time in seconds from the delivery of a map to its `active_at` for the fraction sums to follow its
/// owners.
const MAX_MAP_LEAD_TIME: f64 = 1000.0;

impl Simulation {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::StopShard { shard, unresponsive } => self.stop_shard(shard, unresponsive),
            Fault::StartShard { shard } => {
                for connection in self.network.connections_to_shard(shard) {
                    self.queue.schedule(self.now, Event::ConnectionReset { connection });
                }
                self.start_shard(shard);
            }
            Fault::PartitionRegions => self.network.partitioned = true,
            Fault::HealPartition => self.network.partitioned = false,
            Fault::KillGatewayAtNextBatch { gateway } => {
                self.gateways_to_kill.insert(gateway);
            }
            Fault::DeliverMapToShard { shard, map } => self.deliver_map_to_shard(shard, map),
            Fault::DeliverMapToGateway { gateway, map } => {
                self.with_gateway(gateway, |gateway, now| {
                    gateway.client.update_map(now, map).expect("a map with a higher epoch is accepted");
                });
            }
            Fault::BeginWindow => self.window_began_at = Some(self.now),
            Fault::EndWindow => {
                if let Some(began_at) = self.window_began_at.take() {
                    let quota_units = RATE * TENANTS.len() as f64 * (self.now - began_at);
                    self.outcome.window_quota_units += quota_units;
                }
            }
        }
    }

    fn stop_shard(&mut self, shard: ShardId, unresponsive: bool) {
        self.shards.remove(&shard);
        if unresponsive {
            self.network.unresponsive_shards.insert(shard);
            return;
        }
        for connection in self.network.connections_to_shard(shard) {
            let at = self.now + self.draw_delay();
            self.queue.schedule(at, Event::ConnectionReset { connection });
        }
    }

    fn deliver_map_to_shard(&mut self, shard: ShardId, map: ShardMap) {
        self.latest_map = map.clone();
        if map.active_at <= self.now + MAX_MAP_LEAD_TIME {
            self.map = map.clone();
        }
        if self.shards.contains_key(&shard) {
            self.with_shard(shard, |shard, now| {
                shard.update_map(now, map).expect("a map with a higher epoch is accepted")
            });
        } else {
            self.start_shard(shard);
        }
    }

    pub(super) fn kill_gateway(&mut self, id: GatewayId) {
        let Some(gateway) = self.gateways.remove(&id) else { return };
        self.outcome.lost_lease_units += gateway.leased_units();
        self.outcome.lost_credit_units += gateway.lost_credit_units + gateway.credit_units();
        self.outcome.rejected += gateway.queued_requests();
        self.remove_connections_of(id);
        self.queue.schedule(self.now + GATEWAY_RESTART_DELAY, Event::StartGateway(id));
    }
}
