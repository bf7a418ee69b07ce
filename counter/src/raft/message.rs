//! Messages between the nodes.
use crate::log::LogPosition;
use serde::{Deserialize, Serialize};

/// A message of one node to another; `term` is the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message<C> {
    /// A candidate asks for a vote.
    RequestVote {
        /// The candidate's term.
        term: u64,
        /// Where the candidate's log ends.
        last: LogPosition,
    },
    /// The answer to a candidate.
    Vote {
        /// The voter's term.
        term: u64,
        /// Whether the candidate has the vote.
        granted: bool,
    },
    /// A leader's entries; without any it is a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// The entry that comes before the first of `entries`.
        previous: LogPosition,
        /// Consecutive entries.
        entries: Vec<ReplicatedEntry<C>>,
        /// The leader's commit index.
        commit_index: u64,
    },
    /// The answer to entries and to a snapshot.
    AppendResponse {
        /// The follower's term.
        term: u64,
        /// Up to where the follower's log equals the leader's; none if the entries did not fit.
        match_index: Option<u64>,
        /// Index from which the leader is to try again if the entries did not fit.
        retry_from: u64,
    },
    /// The whole state, for a follower that is further behind than the leader's log reaches.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The last entry that the state includes.
        last_included: LogPosition,
        /// The encoded state.
        state: Vec<u8>,
    },
}

/// An entry as a message carries it; its index follows from its place in the message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicatedEntry<C> {
    /// Term in which the entry was proposed.
    pub term: u64,
    /// None: the entry with which a leader begins its term.
    pub command: Option<C>,
}

impl<C> Message<C> {
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
