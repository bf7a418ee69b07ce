//! The replica: turns events and time into steps of the node, and executes their effects on the log, the peers and the clients.
use super::peer::{CallOutcome, PeerLinks, PeerMessage};
use super::pending::{ForwardedCalls, Proposal, Proposals, ReplyTo};
use super::{Event, ReplicaConfig, Timing};
use crate::disk::Disk;
use crate::http::Response;
use crate::log::{Entry, Log, LogPosition, Recovered, Snapshot};
use crate::raft::{Effects, InstalledSnapshot, Message, Node, NodeId};
use crate::totals::{Add, Totals};
use crate::Result;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Size above which a log file is replaced by a snapshot, bytes.
const MAX_LOG_BYTES: u64 = 64 << 20;
/// The most events of a batch, whose effects are persisted with one sync; bounds how long a client waits for that sync.
const MAX_BATCH: usize = 4096;
/// Ticks of the replica per heartbeat interval.
const TICKS_PER_HEARTBEAT: f64 = 4.0;
/// The shortest tick, seconds.
const MIN_TICK: f64 = 0.001;
/// Interval between a leader's quorum checks, in election timeouts: a follower stands for election after at most two.
const QUORUM_CHECK_TIMEOUTS: f64 = 2.0;

pub(super) struct Replica<D> {
    config: ReplicaConfig,
    timing: Timing,
    node: Node<Add>,
    log: Log<D>,
    totals: Totals,
    /// Index of the last entry that the totals include.
    applied_index: u64,
    rng: ChaCha8Rng,
    started: Instant,
    clock: Deadlines,
    peers: PeerLinks,
    proposals: Proposals,
    forwarded: ForwardedCalls,
    /// The leader in the latest log line about a change.
    logged_leader: Option<NodeId>,
}

/// When the next election, heartbeat and quorum check are due, seconds since the start.
#[derive(Default)]
struct Deadlines {
    election: f64,
    heartbeat: f64,
    quorum_check: f64,
}

impl<D: Disk> Replica<D> {
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
            clock: Deadlines::default(),
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

    /// Handles events until shutdown, or until the disk fails, which is the error.
    pub(super) fn run(mut self, events: &Receiver<Event>) -> Result<()> {
        let tick =
            Duration::from_secs_f64((self.timing.heartbeat_interval / TICKS_PER_HEARTBEAT).max(MIN_TICK));
        let mut batch = vec![];
        loop {
            match events.recv_timeout(tick) {
                Ok(event) => batch.push(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let more = MAX_BATCH.saturating_sub(batch.len());
            batch.extend(events.try_iter().take(more));
            let mut effects = Effects::default();
            let mut has_proposed = false;
            for event in batch.drain(..) {
                match event {
                    Event::Shutdown => return self.log.flush(),
                    Event::ClientCall { add, response } => {
                        has_proposed |= self.propose_or_forward(add, ReplyTo::Client(response), &mut effects);
                    }
                    Event::PeerMessage { from, message } => {
                        has_proposed |= self.handle_peer_message(from, message, &mut effects)?;
                    }
                }
            }
            if has_proposed {
                self.node.replicate(&mut effects);
            }
            self.tick(&mut effects);
            self.execute(effects)?;
        }
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

    fn tick(&mut self, effects: &mut Effects<Add>) {
        let now = self.now();
        if self.node.is_leader() {
            self.tick_leader(now, effects);
        } else if now > self.clock.election {
            self.reset_election_timeout();
            self.node.election_timeout(effects);
            self.clock.quorum_check = now + QUORUM_CHECK_TIMEOUTS * self.timing.election_timeout;
        }
        self.abandon_late_calls(now);
        self.log_leader_change();
    }

    fn tick_leader(&mut self, now: f64, effects: &mut Effects<Add>) {
        if now >= self.clock.heartbeat {
            self.clock.heartbeat = now + self.timing.heartbeat_interval;
            self.node.heartbeat(effects);
        }
        if now >= self.clock.quorum_check {
            self.clock.quorum_check = now + QUORUM_CHECK_TIMEOUTS * self.timing.election_timeout;
            self.node.check_quorum();
            if !self.node.is_leader() {
                self.reset_election_timeout();
            }
        }
    }

    /// Draws a new election timeout that begins now.
    fn reset_election_timeout(&mut self) {
        let timeout = self.timing.election_timeout * self.rng.gen_range(1.0..2.0);
        self.clock.election = self.now() + timeout;
    }

    /// Abandons calls that were not committed in time; they may still be committed, so their outcome is unknown.
    fn abandon_late_calls(&mut self, now: f64) {
        let limit = now - self.timing.request_timeout;
        while let Some(proposal) = self.proposals.pop_before(limit) {
            self.answer(proposal.reply_to, CallOutcome::Unknown);
        }
        for call_id in self.forwarded.before(limit) {
            self.answer_forwarded(call_id, CallOutcome::Unknown);
        }
    }

    fn log_leader_change(&mut self) {
        let leader = self.node.leader();
        if leader == self.logged_leader {
            return;
        }
        let change = leader.map_or("nobody leads".into(), |id| format!("member {id} leads"));
        let term = self.node.hard_state.term;
        eprintln!("quillramp-counter: member {}, term {term}: {change}", self.config.id);
        self.logged_leader = leader;
    }

    /// Proposes a call on the leader, else forwards it to the leader; true if it was proposed.
    fn propose_or_forward(&mut self, add: Add, reply_to: ReplyTo, effects: &mut Effects<Add>) -> bool {
        let now = self.now();
        if let Some(index) = self.node.propose(add.clone(), effects) {
            let proposal = Proposal { term: self.node.hard_state.term, since: now, reply_to };
            if let Some(truncated) = self.proposals.insert(index, proposal) {
                self.answer(truncated.reply_to, CallOutcome::Unknown);
            }
            return true;
        }
        let leader = self.node.leader().filter(|leader| self.peers.contains(*leader));
        match (reply_to, leader) {
            (ReplyTo::Client(response), Some(leader)) => {
                let call_id = self.forwarded.insert(now, response);
                self.peers.send(leader, PeerMessage::ForwardedCall { call_id, add });
            }
            // There is no known leader, or the replica that a call was forwarded to is not the leader any more.
            (reply_to, _) => self.answer(reply_to, CallOutcome::NotAdded),
        }
        false
    }

    fn answer_forwarded(&mut self, call_id: u64, outcome: CallOutcome) {
        if let Some(response) = self.forwarded.remove(call_id) {
            self.answer(ReplyTo::Client(response), outcome);
        }
    }

    fn answer(&self, reply_to: ReplyTo, outcome: CallOutcome) {
        match reply_to {
            ReplyTo::Client(slot) => {
                let _ = slot.respond(response(outcome)); // the client may have gone
            }
            ReplyTo::Peer { id, call_id } => {
                self.peers.send(id, PeerMessage::ForwardedOutcome { call_id, outcome });
            }
        }
    }

    /// Executes effects: persists, then sends, then applies committed entries and answers their calls. The order is what makes Raft
    /// safe.
    fn execute(&mut self, effects: Effects<Add>) -> Result<()> {
        if let Some(installed) = &effects.installed_snapshot {
            self.install(installed)?;
        }
        if let Some(hard_state) = effects.hard_state {
            self.log.hard_state(hard_state);
        }
        if let Some(index) = effects.truncate_from {
            self.log.truncate_from(index);
        }
        effects.entries.iter().for_each(|entry| self.log.entry(entry));
        self.log.flush()?;
        for (to, message) in effects.messages {
            self.peers.send(to, PeerMessage::Raft(message));
        }
        for to in effects.snapshot_targets {
            self.send_snapshot(to);
        }
        self.apply_committed()?;
        self.compact_large_log()
    }

    /// Replaces the totals by the snapshot of the leader.
    fn install(&mut self, installed: &InstalledSnapshot) -> Result<()> {
        let state: Totals = postcard::from_bytes(&installed.state).unwrap_or_default();
        self.save_snapshot(installed.last_included, state.clone())?;
        self.totals = state;
        self.applied_index = installed.last_included.index;
        Ok(())
    }

    fn send_snapshot(&self, to: NodeId) {
        if !self.peers.contains(to) {
            return;
        }
        let message = Message::InstallSnapshot {
            term: self.node.hard_state.term,
            last_included: self.applied_position(),
            state: postcard::to_stdvec(&self.totals).expect("plain data can be encoded"),
        };
        self.peers.send(to, PeerMessage::Raft(message));
    }

    fn apply_committed(&mut self) -> Result<()> {
        while self.applied_index < self.node.commit_index {
            let Some(entry) = self.node.entry(self.applied_index + 1).cloned() else { break };
            self.apply(entry);
        }
        Ok(())
    }

    fn apply(&mut self, Entry { index, term, command }: Entry<Add>) {
        self.applied_index = index;
        let total = command.map(|add| self.totals.add(&add));
        let Some(proposal) = self.proposals.remove(index) else { return };
        // The entry of another leader has replaced the proposal: it may be committed at another index, or not at all.
        let outcome = match total {
            Some(total) if proposal.term == term => CallOutcome::Total(total),
            _ => CallOutcome::Unknown,
        };
        self.answer(proposal.reply_to, outcome);
    }

    fn compact_large_log(&mut self) -> Result<()> {
        if self.log.size() > MAX_LOG_BYTES {
            let position = self.applied_position();
            self.save_snapshot(position, self.totals.clone())?;
            self.node.compact(position.index);
        }
        Ok(())
    }

    fn save_snapshot(&mut self, last_included: LogPosition, state: Totals) -> Result<()> {
        let following = self.node.entries_after(last_included.index).to_vec();
        let snapshot = Snapshot { last_included, state };
        self.log.snapshot(&snapshot, self.node.hard_state, &following)
    }

    fn applied_position(&self) -> LogPosition {
        let index = self.applied_index;
        let term = self.node.entry(index).map_or(self.node.snapshot_position.term, |entry| entry.term);
        LogPosition { index, term }
    }

    /// Seconds since the start.
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

fn response(outcome: CallOutcome) -> Response {
    match outcome {
        CallOutcome::Total(total) => Response::Total(total),
        CallOutcome::NotAdded => Response::Unavailable,
        CallOutcome::Unknown => Response::Unknown,
    }
}
