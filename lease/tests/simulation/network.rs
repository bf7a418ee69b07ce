//! The simulated network: connections with random delays, losses and splits of the byte stream, and frames
//! between shards.
use super::driver::Simulation;
use super::events::Event;
use super::gateway::GatewayId;
use quillramp_lease::client::ClientOutput;
use quillramp_lease::shard::{ConnectionId, ShardOutput};
use quillramp_lease::shard_map::ShardId;
use quillramp_lease::wire::{BatchEntry, Frame, FrameDecoder, PeerMessage};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// One-way delay within a region, in seconds.
const DELAY: Range<f64> = 0.0002..0.003;
/// Additional one-way delay between the regions, in seconds.
const INTER_REGION_DELAY: f64 = 0.03;
/// Probability that bytes arrive in two pieces.
const SPLIT_PROBABILITY: f64 = 0.1;

enum Direction {
    ToShard,
    ToGateway,
}

struct OpenConnection {
    gateway: GatewayId,
    shard: ShardId,
    /// Unix time in seconds of the last delivery to the shard.
    last_delivery_to_shard: f64,
    /// Unix time in seconds of the last delivery to the gateway instance.
    last_delivery_to_gateway: f64,
}

pub struct Network {
    connections: BTreeMap<ConnectionId, OpenConnection>,
    next_connection: ConnectionId,
    /// Stopped shards whose connections stay open.
    pub unresponsive_shards: BTreeSet<ShardId>,
    /// Whether the regions are partitioned.
    pub partitioned: bool,
    /// Probability that the connection is reset instead of delivering the next response.
    response_loss: f64,
}

impl Network {
    pub fn new() -> Network {
        Network {
            connections: BTreeMap::new(),
            next_connection: 1,
            unresponsive_shards: BTreeSet::new(),
            partitioned: false,
            response_loss: 0.0,
        }
    }

    fn new_connection_id(&mut self) -> ConnectionId {
        let connection = self.next_connection;
        self.next_connection += 1;
        connection
    }

    fn connection_of(&self, gateway: GatewayId, shard: ShardId) -> Option<ConnectionId> {
        self.connections_where(|open_connection| {
            open_connection.gateway == gateway && open_connection.shard == shard
        })
        .next()
    }

    pub fn connections_to_shard(&self, shard: ShardId) -> Vec<ConnectionId> {
        self.connections_where(|open_connection| open_connection.shard == shard).collect()
    }

    fn connections_of_gateway(&self, gateway: GatewayId) -> Vec<ConnectionId> {
        self.connections_where(|open_connection| open_connection.gateway == gateway).collect()
    }

    /// Returns the connections that satisfy `predicate`.
    fn connections_where<'a>(
        &'a self,
        predicate: impl Fn(&OpenConnection) -> bool + 'a,
    ) -> impl Iterator<Item = ConnectionId> + 'a {
        let connections =
            self.connections.iter().filter(move |(_, open_connection)| predicate(open_connection));
        connections.map(|(connection, _)| *connection)
    }
}

/// Returns the complete frames at the start of `bytes`, a piece of a stream that begins at a frame boundary.
fn complete_frames(bytes: &[u8]) -> Vec<Frame> {
    let mut decoder = FrameDecoder::default();
    decoder.extend(bytes);
    std::iter::from_fn(|| decoder.next_frame().ok().flatten()).collect()
}

/// Whether the frame is a batch whose entries all return units without requesting any.
fn only_returns_units(frame: &Frame) -> bool {
    let returns_units = |entry: &BatchEntry| entry.requested_hundredths == 0 && entry.spent_hundredths < 0;
    matches!(frame, Frame::Batch { entries, .. } if entries.iter().all(returns_units))
}

fn has_transfer(frame: &Frame) -> bool {
    let Frame::Peer { messages, .. } = frame else { return false };
    messages.iter().any(|message| matches!(message, PeerMessage::Transfer { .. }))
}

impl Simulation {
    pub(super) fn handle_client_output(&mut self, gateway: GatewayId, output: ClientOutput) {
        match output {
            ClientOutput::Connect { shard, .. } => self.connect(gateway, shard),
            ClientOutput::Send { shard, bytes } => {
                let Some(connection) = self.network.connection_of(gateway, shard) else { return };
                for bytes in self.split_randomly(bytes) {
                    let at = self.draw_delivery_time(connection, Direction::ToShard);
                    self.queue.schedule(at, Event::BytesToShard { connection, bytes });
                }
            }
            ClientOutput::Close { shard } => {
                if let Some(connection) = self.network.connection_of(gateway, shard) {
                    self.remove_connection(connection);
                }
            }
            ClientOutput::Completed { .. } => {}
        }
    }

    fn connect(&mut self, gateway: GatewayId, shard: ShardId) {
        let connection = self.network.new_connection_id();
        let accepted = self.shards.contains_key(&shard);
        if accepted || !self.network.unresponsive_shards.contains(&shard) {
            let at = self.now + self.draw_delay() * 2.0;
            self.queue.schedule(at, Event::ConnectCompleted { gateway, shard, connection, accepted });
        }
    }

    pub(super) fn handle_shard_output(&mut self, output: ShardOutput) {
        match output {
            ShardOutput::Send { connection, bytes } => {
                if self.rng.gen_bool(self.network.response_loss) {
                    let at = self.draw_delivery_time(connection, Direction::ToGateway);
                    return self.queue.schedule(at, Event::ConnectionReset { connection });
                }
                for bytes in self.split_randomly(bytes) {
                    let at = self.draw_delivery_time(connection, Direction::ToGateway);
                    self.queue.schedule(at, Event::BytesToGateway { connection, bytes });
                }
            }
            ShardOutput::Close { connection } => {
                let at = self.draw_delivery_time(connection, Direction::ToGateway);
                self.queue.schedule(at, Event::ConnectionReset { connection });
            }
            ShardOutput::SendToPeer { shard, bytes } => {
                if !self.network.partitioned && !self.rng.gen_bool(self.scenario.peer_frame_loss) {
                    let at = self.now + INTER_REGION_DELAY + self.draw_delay() * 5.0;
                    self.queue.schedule(at, Event::PeerFrame { to: shard, bytes });
                }
            }
        }
    }

    /// Splits bytes into two pieces with probability [`SPLIT_PROBABILITY`], since a stream may arrive in
    /// arbitrary pieces.
    fn split_randomly(&mut self, mut bytes: Vec<u8>) -> Vec<Vec<u8>> {
        if !self.rng.gen_bool(SPLIT_PROBABILITY) {
            return vec![bytes];
        }
        let rest = bytes.split_off(self.rng.gen_range(0..=bytes.len()));
        vec![bytes, rest]
    }

    pub(super) fn draw_delay(&mut self) -> f64 {
        self.rng.gen_range(DELAY)
    }

    /// Returns a random delivery time in seconds of Unix time, not before earlier deliveries in the same
    /// direction, so that bytes arrive in the order in which they were sent.
    fn draw_delivery_time(&mut self, connection: ConnectionId, direction: Direction) -> f64 {
        let at = self.now + self.draw_delay();
        let Some(open_connection) = self.network.connections.get_mut(&connection) else { return at };
        let last_delivery = match direction {
            Direction::ToShard => &mut open_connection.last_delivery_to_shard,
            Direction::ToGateway => &mut open_connection.last_delivery_to_gateway,
        };
        *last_delivery = last_delivery.max(at);
        *last_delivery
    }

    pub(super) fn complete_connect(
        &mut self,
        gateway: GatewayId,
        shard: ShardId,
        connection: ConnectionId,
        accepted: bool,
    ) {
        let is_connected = self.network.connection_of(gateway, shard).is_some();
        if !self.gateways.contains_key(&gateway) || is_connected {
            return;
        }
        if accepted && self.shards.contains_key(&shard) {
            let open_connection =
                OpenConnection { gateway, shard, last_delivery_to_shard: 0.0, last_delivery_to_gateway: 0.0 };
            self.network.connections.insert(connection, open_connection);
            self.with_gateway(gateway, |gateway, now| gateway.client.handle_connected(now, shard));
        } else {
            self.with_gateway(gateway, |gateway, now| gateway.client.handle_disconnected(now, shard));
        }
    }

    pub(super) fn deliver_to_shard(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(open_connection) = self.network.connections.get(&connection) else { return };
        let gateway = open_connection.gateway;
        let shard = open_connection.shard;
        let frames = complete_frames(bytes);
        let has_batch = frames.iter().any(|frame| matches!(frame, Frame::Batch { .. }));
        self.network.response_loss = if frames.iter().any(only_returns_units) {
            self.scenario.return_response_loss
        } else {
            self.scenario.response_loss
        };
        self.with_shard(shard, |shard, now| shard.receive(now, connection, bytes));
        if has_batch && self.gateways_to_kill.remove(&gateway) {
            self.kill_gateway(gateway);
        }
    }

    pub(super) fn deliver_to_gateway(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(open_connection) = self.network.connections.get(&connection) else { return };
        let shard = open_connection.shard;
        self.with_gateway(open_connection.gateway, |gateway, now| gateway.client.receive(now, shard, bytes));
    }

    pub(super) fn reset_connection(&mut self, connection: ConnectionId) {
        let Some(open_connection) = self.remove_connection(connection) else { return };
        let shard = open_connection.shard;
        self.with_gateway(open_connection.gateway, |gateway, now| {
            gateway.client.handle_disconnected(now, shard)
        });
    }

    /// Removes a connection and reports its loss to the shard.
    fn remove_connection(&mut self, connection: ConnectionId) -> Option<OpenConnection> {
        let open_connection = self.network.connections.remove(&connection)?;
        if let Some(shard) = self.shards.get_mut(&open_connection.shard) {
            shard.handle_disconnected(connection);
        }
        Some(open_connection)
    }

    pub(super) fn remove_connections_of(&mut self, gateway: GatewayId) {
        for connection in self.network.connections_of_gateway(gateway) {
            self.remove_connection(connection);
        }
    }

    pub(super) fn deliver_peer_frame(&mut self, to: ShardId, bytes: &[u8]) {
        let has_transfer = complete_frames(bytes).iter().any(has_transfer);
        self.outcome.transfers += u64::from(has_transfer);
        // Each frame between shards uses a new connection.
        let connection = self.network.new_connection_id();
        if has_transfer && self.scenario.partition_at_transfer {
            self.network.partitioned = true;
        }
        self.with_shard(to, |shard, now| {
            shard.receive(now, connection, bytes);
            shard.handle_disconnected(connection);
        });
    }
}
