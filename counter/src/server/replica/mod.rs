//! The replica: advances the node by events and by time, and executes the effects on the log, the peers and the clients.
mod calls;
mod clock;
mod effects;

use super::peer::{PeerLinks, PeerMessage};
use super::pending::{ForwardedCalls, Proposals, ReplyTo};
use super::{Event, ReplicaConfig, Timing};
use crate::disk::Disk;
use crate::log::{Log, Recovered, Snapshot};
use crate::raft::{Effects, Message, Node, NodeId};
use crate::totals::{Add, Totals};
use crate::Result;
use clock::Deadlines;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::ops::ControlFlow;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Maximum number of events in a batch, whose effects are persisted with one sync; bounds the time that a client waits for the
/// sync.
const MAX_BATCH: usize = 4096;
/// Number of ticks of the replica per heartbeat interval.
const TICKS_PER_HEARTBEAT: f64 = 4.0;
/// Minimum tick interval, seconds.
const MIN_TICK: f64 = 0.001;

/// A replica of the counter, which runs in a separate thread.
pub(super) struct Replica<D> {
    config: ReplicaConfig,
    timing: Timing,
    node: Node<Add>,
    log: Log<D>,
    totals: Totals,
    /// Index of the last entry that the totals include.
    applied_index: u64,
    /// Random source of the election timeouts.
    rng: ChaCha8Rng,
    /// Time zero of the replica's clock.
    started: Instant,
    deadlines: Deadlines,
    peers: PeerLinks,
    proposals: Proposals,
    forwarded: ForwardedCalls,
    /// The leader in the latest log line about a change of leader.
    logged_leader: Option<NodeId>,
}

impl<D: Disk> Replica<D> {
    /// Creates a follower with the recovered state. `seed` randomizes the election timeouts.
    pub(super) fn new(
        config: ReplicaConfig,
        timing: Timing,
        log: Log<D>,
        recovered: Recovered<Totals, Add>,
        peers: PeerLinks,
        seed: u64,
    ) -> Replica<D> {
        let members: Vec<NodeId> = config.peer_addresses.keys().copied().collect();
        let Snapshot { last_included, state } = recovered.snapshot;
        let node = Node::new(config.id, &members, recovered.hard_state, last_included, recovered.entries);
        let mut replica = Replica {
            node,
            log,
            totals: state,
            applied_index: last_included.index,
            rng: ChaCha8Rng::seed_from_u64(seed ^ config.id),
            started: Instant::now(),
            deadlines: Deadlines::default(),
            peers,
            proposals: Proposals::default(),
            forwarded: ForwardedCalls::default(),
            logged_leader: None,
            config,
            timing,
        };
        replica.reset_election_timeout();
        replica
    }

    /// Handles events until shutdown. Fails when the disk fails.
    pub(super) fn run(mut self, events: &Receiver<Event>) -> Result<()> {
        let tick =
            Duration::from_secs_f64((self.timing.heartbeat_interval / TICKS_PER_HEARTBEAT).max(MIN_TICK));
        while let Some(batch) = next_batch(events, tick) {
            let mut effects = Effects::default();
            if self.handle_batch(batch, &mut effects)?.is_break() {
                return self.log.flush();
            }
            self.tick(&mut effects);
            self.execute(effects)?;
        }
        Ok(())
    }

    /// Handles events and replicates all commands that they propose together. Breaks at a shutdown.
    fn handle_batch(&mut self, batch: Vec<Event>, effects: &mut Effects<Add>) -> Result<ControlFlow<()>> {
        let mut has_proposed = false;
        for event in batch {
            has_proposed |= match event {
                Event::Shutdown => return Ok(ControlFlow::Break(())),
                Event::ClientCall { add, response } => {
                    self.propose_or_forward(add, ReplyTo::Client(response), effects)
                }
                Event::PeerMessage { from, message } => self.handle_peer_message(from, message, effects)?,
            };
        }
        if has_proposed {
            self.node.replicate(effects);
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Handles a peer's message; true if a command was proposed.
    fn handle_peer_message(
        &mut self,
        from: NodeId,
        message: PeerMessage,
        effects: &mut Effects<Add>,
    ) -> Result<bool> {
        match message {
            PeerMessage::ForwardedCall { call_id, add } => {
                Ok(self.propose_or_forward(add, ReplyTo::Peer { id: from, call_id }, effects))
            }
            PeerMessage::ForwardedOutcome { call_id, outcome } => {
                self.answer_forwarded(call_id, outcome);
                Ok(false)
            }
            PeerMessage::Raft(message) => {
                self.step_node(from, message, effects);
                self.execute(std::mem::take(effects))?;
                Ok(false)
            }
        }
    }

    fn step_node(&mut self, from: NodeId, message: Message<Add>, effects: &mut Effects<Add>) {
        let is_from_leader =
            matches!(message, Message::AppendEntries { .. } | Message::InstallSnapshot { .. });
        let previous = self.node.hard_state;
        self.node.step(from, message, effects);
        let current = self.node.hard_state;
        let has_granted_vote = current != previous && current.vote == Some(from);
        if has_granted_vote || is_from_leader && self.node.leader() == Some(from) {
            self.reset_election_timeout();
        }
    }

    /// Returns the time since the start, seconds.
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// Waits for an event, at most for a tick, and returns all events that have arrived; `None` once all senders are gone.
fn next_batch(events: &Receiver<Event>, tick: Duration) -> Option<Vec<Event>> {
    let mut batch = vec![];
    match events.recv_timeout(tick) {
        Ok(event) => batch.push(event),
        Err(RecvTimeoutError::Timeout) => {}
        Err(RecvTimeoutError::Disconnected) => return None,
    }
    let more = MAX_BATCH.saturating_sub(batch.len());
    batch.extend(events.try_iter().take(more));
    Some(batch)
}
