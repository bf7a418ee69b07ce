//! Elections: timeouts, votes, and the step-down of a leader that has lost its quorum.
use super::{Effects, Fault, Message, Node, NodeId, Role};
use crate::log::{HardState, LogPosition};
use std::collections::{BTreeMap, BTreeSet};

impl<C: Clone + PartialEq> Node<C> {
    /// Starts an election, because the election timeout has passed without a message from a leader.
    pub fn election_timeout(&mut self, effects: &mut Effects<C>) {
        if self.is_leader() {
            return;
        }
        self.hard_state = HardState { term: self.hard_state.term + 1, vote: Some(self.id) };
        effects.hard_state = Some(self.hard_state);
        self.role = Role::Candidate { votes: BTreeSet::from([self.id]) };
        let request = Message::RequestVote { term: self.hard_state.term, last: self.last_position() };
        for peer in &self.peers {
            effects.send(*peer, request.clone());
        }
        self.become_leader_if_elected(effects);
    }

    /// Steps down if no quorum has responded since the last call. The caller has to call it once per maximum election timeout of
    /// the followers.
    pub fn check_quorum(&mut self) {
        let Role::Leader { active, .. } = &mut self.role else { return };
        let active_nodes = std::mem::take(active).len() + 1;
        if !self.is_quorum(active_nodes) {
            self.role = Role::Follower { leader: None };
        }
    }

    /// Grants a candidate the vote of the current term if the vote is free and the candidate's log is up to date.
    pub(super) fn handle_request_vote(
        &mut self,
        candidate: NodeId,
        candidate_last: LogPosition,
        is_stale: bool,
        effects: &mut Effects<C>,
    ) {
        let is_up_to_date = candidate_last.is_as_recent_as(self.last_position());
        let is_acceptable = is_up_to_date || self.fault == Fault::VotesForStaleLog;
        let is_free = self.hard_state.vote.is_none_or(|vote| vote == candidate);
        let granted = !is_stale && is_acceptable && is_free && !self.is_leader();
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(candidate);
            effects.hard_state = Some(self.hard_state);
        }
        effects.send(candidate, Message::Vote { term: self.hard_state.term, granted });
    }

    /// Counts a vote, if this node is still a candidate.
    pub(super) fn handle_vote(&mut self, voter: NodeId, granted: bool, effects: &mut Effects<C>) {
        if let Role::Candidate { votes } = &mut self.role {
            if granted {
                votes.insert(voter);
            }
        }
        self.become_leader_if_elected(effects);
    }

    fn become_leader_if_elected(&mut self, effects: &mut Effects<C>) {
        let Role::Candidate { votes } = &self.role else { return };
        if !self.is_quorum(votes.len()) {
            return;
        }
        let next = self.last_position().index + 1;
        self.role = Role::Leader {
            next_index: self.peers.iter().map(|peer| (*peer, next)).collect(),
            match_index: BTreeMap::new(),
            active: BTreeSet::new(),
        };
        // Entries of earlier terms are committed only together with the first entry of the new term.
        self.append(None, effects);
        self.replicate(effects);
    }
}
