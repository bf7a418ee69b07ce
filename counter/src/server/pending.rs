//! Pending calls: proposals that are not committed yet, and calls that were forwarded to the leader.
use super::client::ResponseSlot;
use crate::raft::NodeId;
use std::collections::{BTreeMap, HashMap};

/// The recipient of a call's outcome.
pub(super) enum ReplyTo {
    /// A client of this replica.
    Client(ResponseSlot),
    /// A peer that forwarded the call, with the id that the peer assigned.
    Peer { id: NodeId, call_id: u64 },
}

/// A proposal that is not committed yet.
pub(super) struct Proposal {
    /// The term of the proposal.
    pub term: u64,
    /// Time of the proposal, seconds since the start of the replica.
    pub since: f64,
    /// The recipient of the outcome.
    pub reply_to: ReplyTo,
}

/// Pending proposals by log index.
#[derive(Default)]
pub(super) struct Proposals(BTreeMap<u64, Proposal>);

impl Proposals {
    /// Adds a proposal. Returns an earlier proposal with the same index, whose entry another leader has truncated.
    pub(super) fn insert(&mut self, index: u64, proposal: Proposal) -> Option<Proposal> {
        self.0.insert(index, proposal)
    }

    /// Removes the proposal of an index.
    pub(super) fn remove(&mut self, index: u64) -> Option<Proposal> {
        self.0.remove(&index)
    }

    /// Removes and returns the first proposal if it was made before a time.
    pub(super) fn pop_before(&mut self, time: f64) -> Option<Proposal> {
        let first = self.0.first_entry()?;
        (first.get().since < time).then(|| first.remove())
    }
}

/// Forwarded calls without a response from the leader, by id.
#[derive(Default)]
pub(super) struct ForwardedCalls {
    last_id: u64,
    by_id: HashMap<u64, ForwardedCall>,
}

struct ForwardedCall {
    /// Time of forwarding, seconds since the start of the replica.
    since: f64,
    response: ResponseSlot,
}

impl ForwardedCalls {
    /// Adds a call and returns the id under which to forward it.
    pub(super) fn insert(&mut self, since: f64, response: ResponseSlot) -> u64 {
        self.last_id += 1;
        self.by_id.insert(self.last_id, ForwardedCall { since, response });
        self.last_id
    }

    /// Removes a call.
    pub(super) fn remove(&mut self, id: u64) -> Option<ResponseSlot> {
        self.by_id.remove(&id).map(|call| call.response)
    }

    /// Returns the ids of the calls that were forwarded before a time.
    pub(super) fn before(&self, time: f64) -> Vec<u64> {
        let is_before = |call: &ForwardedCall| call.since < time;
        self.by_id.iter().filter(|(_, call)| is_before(call)).map(|(id, _)| *id).collect()
    }
}
