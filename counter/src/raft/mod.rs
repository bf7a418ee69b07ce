//! A node of the Raft consensus algorithm with fixed membership, free of clock and I/O: the caller reports timeouts, persists what
//! [`Effects`] holds before it sends anything, and transports the messages. A deposed leader is fenced by the algorithm itself:
//! without a quorum none of its proposals is committed, so no call is answered.
mod effects;
mod election;
mod fault;
mod message;
mod replication;
pub use effects::{Effects, InstalledSnapshot, OutgoingMessage};
pub use fault::Fault;
pub use message::{Message, ReplicatedEntry};

use crate::log::{Entry, HardState, LogPosition};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a node of the cluster.
pub type NodeId = u64;

/// The role of a node in its current term, with the state that belongs to the role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts the entries of a leader.
    Follower {
        /// The leader of the current term; `None` until one is known.
        leader: Option<NodeId>,
    },
    /// Requests votes to become the leader.
    Candidate {
        /// Nodes that voted for this node, including itself.
        votes: BTreeSet<NodeId>,
    },
    /// Proposes entries and replicates them.
    Leader {
        /// Index of the entry to send next, by follower.
        next_index: BTreeMap<NodeId, u64>,
        /// Highest index known to be replicated, by follower.
        match_index: BTreeMap<NodeId, u64>,
        /// Followers that have responded since the last quorum check.
        active: BTreeSet<NodeId>,
    },
}

/// The state of one node; `C` is a command of the replicated state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node<C> {
    /// The id of this node.
    pub id: NodeId,
    peers: Vec<NodeId>,
    /// Term and vote, which have to be persisted.
    pub hard_state: HardState,
    /// Role of the node in its current term.
    pub role: Role,
    /// Position of the last entry that the snapshot includes; entries up to it are not in the log.
    pub snapshot_position: LogPosition,
    entries: Vec<Entry<C>>,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// A fault that a test injects.
    pub fault: Fault,
}

impl<C: Clone + PartialEq> Node<C> {
    /// Creates a follower with the state that was recovered from the log; `members` includes this node.
    pub fn new(
        id: NodeId,
        members: &[NodeId],
        hard_state: HardState,
        snapshot_position: LogPosition,
        entries: Vec<Entry<C>>,
    ) -> Node<C> {
        Node {
            id,
            peers: members.iter().copied().filter(|member| *member != id).collect(),
            hard_state,
            role: Role::Follower { leader: None },
            snapshot_position,
            entries,
            commit_index: snapshot_position.index,
            fault: Fault::None,
        }
    }

    /// Returns whether this node is the leader of its term; a later term may have another leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        match self.role {
            Role::Leader { .. } => Some(self.id),
            Role::Follower { leader } => leader,
            Role::Candidate { .. } => None,
        }
    }

    /// Returns the position of the last entry of the log.
    pub fn last_position(&self) -> LogPosition {
        self.entries.last().map_or(self.snapshot_position, Entry::position)
    }

    /// Returns the entry with an index; `None` if it is not in the log.
    pub fn entry(&self, index: u64) -> Option<&Entry<C>> {
        let offset = index.checked_sub(self.snapshot_position.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the entries after an index.
    pub fn entries_after(&self, index: u64) -> &[Entry<C>] {
        let offset = index.saturating_sub(self.snapshot_position.index) as usize;
        &self.entries[offset.min(self.entries.len())..]
    }

    /// Drops the entries up to a committed index, once a snapshot includes them.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        if index <= self.snapshot_position.index || index > self.commit_index {
            return;
        }
        self.entries.retain(|entry| entry.index > index);
        self.snapshot_position = LogPosition { index, term };
    }

    /// Handles a message of another node.
    pub fn step(&mut self, from: NodeId, message: Message<C>, effects: &mut Effects<C>) {
        if message.term() > self.hard_state.term {
            self.adopt_term(message.term(), effects);
        }
        let is_stale = message.term() < self.hard_state.term;
        match message {
            Message::RequestVote { last, .. } => self.handle_request_vote(from, last, is_stale, effects),
            Message::Vote { granted, .. } => self.handle_vote(from, granted && !is_stale, effects),
            Message::AppendEntries { .. } | Message::InstallSnapshot { .. } if is_stale => {
                self.reject_append(from, effects);
            }
            Message::AppendEntries { previous, entries, commit_index, .. } => {
                self.handle_append_entries(from, previous, entries, commit_index, effects);
            }
            Message::AppendResponse { .. } if is_stale => {}
            Message::AppendResponse { match_index, retry_from, .. } => {
                self.handle_append_response(from, match_index, retry_from, effects);
            }
            Message::InstallSnapshot { last_included, state, .. } => {
                self.handle_install_snapshot(from, last_included, state, effects);
            }
        }
    }

    /// Simulates a restart after a crash: keeps only the persisted state.
    pub fn restart(&mut self) {
        if self.fault == Fault::LosesVote {
            self.hard_state.vote = None;
        }
        self.role = Role::Follower { leader: None };
        self.commit_index = self.snapshot_position.index;
    }

    fn adopt_term(&mut self, term: u64, effects: &mut Effects<C>) {
        self.hard_state = HardState { term, vote: None };
        effects.hard_state = Some(self.hard_state);
        self.role = Role::Follower { leader: None };
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_position.index {
            return Some(self.snapshot_position.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    fn is_quorum(&self, nodes: usize) -> bool {
        let members = self.peers.len() + 1;
        2 * nodes > members
    }
}
