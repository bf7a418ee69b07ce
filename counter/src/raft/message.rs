//! Messages between the nodes.
use crate::log::LogPosition;
use serde::{Deserialize, Serialize};

/// A message between nodes; `term` is the sender's term. The encoding follows the order of the variants, which must not change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message<C> {
    /// A candidate requests a vote.
    RequestVote {
        /// The candidate's term.
        term: u64,
        /// Position of the last entry of the candidate's log.
        last: LogPosition,
    },
    /// The response to a candidate.
    Vote {
        /// The voter's term.
        term: u64,
        /// Whether the candidate gets the vote.
        granted: bool,
    },
    /// A leader's entries; a message without entries is a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// Position of the entry before the first of `entries`.
        previous: LogPosition,
        /// Consecutive entries.
        entries: Vec<ReplicatedEntry<C>>,
        /// The leader's commit index.
        commit_index: u64,
    },
    /// The response to entries and to a snapshot.
    AppendResponse {
        /// The follower's term.
        term: u64,
        /// Highest index up to which the follower's log matches the leader's; `None` if the entries conflict.
        match_index: Option<u64>,
        /// Index from which the leader has to retry if the entries conflict.
        retry_from: u64,
    },
    /// A snapshot, for a follower that lacks entries which the leader's log no longer has.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The last entry that the state includes.
        last_included: LogPosition,
        /// The encoded state.
        state: Vec<u8>,
    },
}

/// An entry within a message; its index follows from its position in the message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicatedEntry<C> {
    /// Term in which the entry was proposed.
    pub term: u64,
    /// The command; `None` in the entry with which a leader begins its term.
    pub command: Option<C>,
}

impl<C> Message<C> {
    /// The sender's term.
    pub(super) fn term(&self) -> u64 {
        match self {
            Message::RequestVote { term, .. }
            | Message::Vote { term, .. }
            | Message::AppendEntries { term, .. }
            | Message::AppendResponse { term, .. }
            | Message::InstallSnapshot { term, .. } => *term,
        }
    }
}
