//! Calls without an answer: proposals that are not committed yet, and calls that were forwarded to the leader.
use super::client::ResponseSlot;
use crate::raft::NodeId;
use std::collections::{BTreeMap, HashMap};

/// Who gets the answer of a call.
pub(super) enum ReplyTo {
    /// A client of this replica.
    Client(ResponseSlot),
    /// A peer that forwarded it, under the peer's own id.
    Peer { id: NodeId, call_id: u64 },
}

/// A proposal that waits for its commit.
pub(super) struct Proposal {
    /// The term in which it was proposed.
    pub term: u64,
    /// When it was proposed, seconds on the replica's clock.
    pub since: f64,
    /// Who gets its answer.
    pub reply_to: ReplyTo,
}

/// Proposals by index.
#[derive(Default)]
pub(super) struct Proposals(BTreeMap<u64, Proposal>);

impl Proposals {
    /// Adds a proposal; one that was waiting for the same index is handed back: another leader has truncated it.
    pub(super) fn insert(&mut self, index: u64, proposal: Proposal) -> Option<Proposal> {
        self.0.insert(index, proposal)
    }

    /// Takes the proposal of an index out.
    pub(super) fn remove(&mut self, index: u64) -> Option<Proposal> {
        self.0.remove(&index)
    }

    /// Takes the first proposal out if it was made before a time.
    pub(super) fn pop_before(&mut self, time: f64) -> Option<Proposal> {
        let first = self.0.first_entry()?;
        (first.get().since < time).then(|| first.remove())
    }
}

/// Calls that wait for the leader's answer, by their id.
#[derive(Default)]
pub(super) struct ForwardedCalls {
    last_id: u64,
    by_id: HashMap<u64, ForwardedCall>,
}

struct ForwardedCall {
    since: f64,
    response: ResponseSlot,
}

impl ForwardedCalls {
    /// Adds a call: the id under which it is forwarded.
    pub(super) fn insert(&mut self, since: f64, response: ResponseSlot) -> u64 {
        self.last_id += 1;
        self.by_id.insert(self.last_id, ForwardedCall { since, response });
        self.last_id
    }

    /// Takes a call out.
    pub(super) fn remove(&mut self, id: u64) -> Option<ResponseSlot> {
        self.by_id.remove(&id).map(|call| call.response)
    }

    /// Ids of the calls that were forwarded before a time.
    pub(super) fn before(&self, time: f64) -> Vec<u64> {
        let is_late = |call: &ForwardedCall| call.since < time;
        self.by_id.iter().filter(|(_, call)| is_late(call)).map(|(id, _)| *id).collect()
    }
}
