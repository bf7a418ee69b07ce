//! Effects of a step, which the caller of a node has to execute.
use super::{Message, NodeId};
use crate::log::{Entry, HardState, LogPosition};

/// The effects of one or more steps. They have to be executed in this order: persist and sync, then send, then apply and answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Effects<C> {
    /// The term and vote to persist.
    pub hard_state: Option<HardState>,
    /// Index from which entries have to be truncated before `entries` are persisted.
    pub truncate_from: Option<u64>,
    /// Entries to persist.
    pub entries: Vec<Entry<C>>,
    /// A snapshot of the leader that replaces the state and the log.
    pub installed_snapshot: Option<InstalledSnapshot>,
    /// Messages to send.
    pub messages: Vec<OutgoingMessage<C>>,
    /// Followers that need a snapshot; the caller sends them its own.
    pub snapshot_targets: Vec<NodeId>,
    /// The new commit index.
    pub commit_index: Option<u64>,
}

/// A message with its recipient.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage<C> {
    /// The recipient.
    pub to: NodeId,
    /// The message.
    pub message: Message<C>,
}

/// A snapshot that was received from the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct InstalledSnapshot {
    /// The last entry that the state includes.
    pub last_included: LogPosition,
    /// The encoded state.
    pub state: Vec<u8>,
}

impl<C> Effects<C> {
    /// Adds a message to send.
    pub(super) fn send(&mut self, to: NodeId, message: Message<C>) {
        self.messages.push(OutgoingMessage { to, message });
    }
}

impl<C> Default for Effects<C> {
    fn default() -> Effects<C> {
        Effects {
            hard_state: None,
            truncate_from: None,
            entries: vec![],
            installed_snapshot: None,
            messages: vec![],
            snapshot_targets: vec![],
            commit_index: None,
        }
    }
}
