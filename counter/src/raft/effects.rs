//! What the caller of a node has to do after a step.
use super::{Message, NodeId};
use crate::log::{Entry, HardState, LogPosition};

/// The work that steps of a node leave to the caller, in this order: persist and sync, then send, then apply and answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Effects<C> {
    /// The term and vote to persist.
    pub hard_state: Option<HardState>,
    /// Entries from this index on no longer hold.
    pub truncate_from: Option<u64>,
    /// Entries to persist.
    pub entries: Vec<Entry<C>>,
    /// A snapshot of the leader's that replaces the state and the log.
    pub installed_snapshot: Option<InstalledSnapshot>,
    /// Messages to send.
    pub messages: Vec<(NodeId, Message<C>)>,
    /// Followers that need a snapshot, which the caller sends.
    pub snapshot_targets: Vec<NodeId>,
    /// The new commit index.
    pub commit_index: Option<u64>,
}

/// A state that was received as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct InstalledSnapshot {
    /// The last entry that the state includes.
    pub last_included: LogPosition,
    /// The encoded state.
    pub state: Vec<u8>,
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
