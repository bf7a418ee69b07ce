//! Timed actions of the replica: elections, heartbeats, quorum checks, and timeouts of calls.
use super::Replica;
use crate::disk::Disk;
use crate::raft::Effects;
use crate::server::peer::CallOutcome;
use crate::totals::Add;
use rand::Rng;

/// Interval between a leader's quorum checks, in minimum election timeouts: a follower starts an election after at most two.
const QUORUM_CHECK_TIMEOUTS: f64 = 2.0;

/// Times of the next election, heartbeat and quorum check, seconds since the start.
#[derive(Default)]
pub(super) struct Deadlines {
    /// The next election, unless a message from a leader arrives before.
    pub election: f64,
    /// The next heartbeat while this node is the leader.
    pub heartbeat: f64,
    /// The next quorum check while this node is the leader.
    pub quorum_check: f64,
}

impl<D: Disk> Replica<D> {
    /// Executes the timed actions that are due.
    pub(super) fn tick(&mut self, effects: &mut Effects<Add>) {
        let now = self.now();
        if self.node.is_leader() {
            self.tick_leader(now, effects);
        } else if now > self.deadlines.election {
            self.reset_election_timeout();
            self.node.election_timeout(effects);
            self.deadlines.quorum_check = now + QUORUM_CHECK_TIMEOUTS * self.timing.election_timeout;
        }
        self.abandon_overdue_calls(now);
        self.log_leader_change();
    }

    fn tick_leader(&mut self, now: f64, effects: &mut Effects<Add>) {
        if now >= self.deadlines.heartbeat {
            self.deadlines.heartbeat = now + self.timing.heartbeat_interval;
            self.node.heartbeat(effects);
        }
        if now >= self.deadlines.quorum_check {
            self.deadlines.quorum_check = now + QUORUM_CHECK_TIMEOUTS * self.timing.election_timeout;
            self.node.check_quorum();
            if !self.node.is_leader() {
                self.reset_election_timeout();
            }
        }
    }

    /// Draws a new election timeout, which starts now.
    pub(super) fn reset_election_timeout(&mut self) {
        let timeout = self.timing.election_timeout * self.rng.gen_range(1.0..2.0);
        self.deadlines.election = self.now() + timeout;
    }

    /// Abandons calls that were not committed within the request timeout. Their outcome is unknown, because they may still be
    /// committed.
    fn abandon_overdue_calls(&mut self, now: f64) {
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
}
