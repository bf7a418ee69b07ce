//! Events of the simulation and their queue.
use super::gateway::GatewayId;
use super::scenario::Fault;
use quillramp_lease::shard::ConnectionId;
use quillramp_lease::shard_map::{ShardId, TenantId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[derive(Debug)]
pub enum Event {
    RequestArrival { region: usize, tenant: TenantId },
    Fault(Fault),
    GatewayTimer(GatewayId),
    ShardTimer(ShardId),
    StartGateway(GatewayId),
    ConnectCompleted { gateway: GatewayId, shard: ShardId, connection: ConnectionId, accepted: bool },
    BytesToShard { connection: ConnectionId, bytes: Vec<u8> },
    BytesToGateway { connection: ConnectionId, bytes: Vec<u8> },
    ConnectionReset { connection: ConnectionId },
    PeerFrame { to: ShardId, bytes: Vec<u8> },
}

/// An event with its time (Unix time in seconds).
pub struct ScheduledEvent {
    pub at: f64,
    /// Position in the order of scheduling, which orders events at the same time.
    number: u64,
    pub event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

/// Queue of events, ordered by time.
#[derive(Default)]
pub struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_number: u64,
}

impl EventQueue {
    pub fn schedule(&mut self, at: f64, event: Event) {
        self.last_number += 1;
        self.events.push(Reverse(ScheduledEvent { at, number: self.last_number, event }));
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<ScheduledEvent> {
        self.events.pop().map(|Reverse(scheduled)| scheduled)
    }
}
