//! Calls of clients, which are proposed on the leader or forwarded to it, and answered.
use super::Replica;
use crate::disk::Disk;
use crate::http::Response;
use crate::raft::Effects;
use crate::server::peer::{CallOutcome, PeerMessage};
use crate::server::pending::{Proposal, ReplyTo};
use crate::totals::Add;

impl<D: Disk> Replica<D> {
    /// Proposes a call if this node is the leader, otherwise forwards it to the leader; true if it was proposed.
    pub(super) fn propose_or_forward(
        &mut self,
        add: Add,
        reply_to: ReplyTo,
        effects: &mut Effects<Add>,
    ) -> bool {
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
            // No leader is known, or a peer forwarded the call here and this replica is not the leader any more.
            (reply_to, _) => self.answer(reply_to, CallOutcome::NotAdded),
        }
        false
    }

    /// Answers the client of a forwarded call; does nothing if the call was answered before.
    pub(super) fn answer_forwarded(&mut self, call_id: u64, outcome: CallOutcome) {
        if let Some(response) = self.forwarded.remove(call_id) {
            self.answer(ReplyTo::Client(response), outcome);
        }
    }

    /// Sends the outcome of a call to its recipient.
    pub(super) fn answer(&self, reply_to: ReplyTo, outcome: CallOutcome) {
        match reply_to {
            ReplyTo::Client(slot) => {
                let _ = slot.respond(response(outcome)); // the client may have disconnected
            }
            ReplyTo::Peer { id, call_id } => {
                self.peers.send(id, PeerMessage::ForwardedOutcome { call_id, outcome });
            }
        }
    }
}

fn response(outcome: CallOutcome) -> Response {
    match outcome {
        CallOutcome::Total(total) => Response::Total(total),
        CallOutcome::NotAdded => Response::Unavailable,
        CallOutcome::Unknown => Response::Unknown,
    }
}
