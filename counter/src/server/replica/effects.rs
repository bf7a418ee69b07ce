//! Execution of the node's effects: the log, messages to peers, committed entries, and snapshots.
use super::Replica;
use crate::disk::Disk;
use crate::log::{Entry, LogPosition, Snapshot};
use crate::raft::{Effects, InstalledSnapshot, Message, NodeId};
use crate::server::peer::{CallOutcome, PeerMessage};
use crate::totals::{Add, Totals};
use crate::Result;

/// Size above which a log file is replaced by a snapshot, bytes.
const MAX_LOG_BYTES: u64 = 64 << 20;

impl<D: Disk> Replica<D> {
    /// Executes effects: persists, then sends, then applies committed entries and answers their calls. The safety of Raft depends
    /// on this order.
    pub(super) fn execute(&mut self, effects: Effects<Add>) -> Result<()> {
        if let Some(installed) = &effects.installed_snapshot {
            self.install(installed)?;
        }
        if let Some(hard_state) = effects.hard_state {
            self.log.hard_state(hard_state);
        }
        if let Some(index) = effects.truncate_from {
            self.log.truncate_from(index);
        }
        effects.entries.iter().for_each(|entry| self.log.entry(entry));
        self.log.flush()?;
        for outgoing in effects.messages {
            self.peers.send(outgoing.to, PeerMessage::Raft(outgoing.message));
        }
        for to in effects.snapshot_targets {
            self.send_snapshot(to);
        }
        self.apply_committed();
        self.compact_large_log()
    }

    /// Replaces the totals by the snapshot of the leader.
    fn install(&mut self, installed: &InstalledSnapshot) -> Result<()> {
        let state: Totals = postcard::from_bytes(&installed.state).unwrap_or_default();
        self.save_snapshot(installed.last_included, state.clone())?;
        self.totals = state;
        self.applied_index = installed.last_included.index;
        Ok(())
    }

    fn send_snapshot(&self, to: NodeId) {
        if !self.peers.contains(to) {
            return;
        }
        let message = Message::InstallSnapshot {
            term: self.node.hard_state.term,
            last_included: self.applied_position(),
            state: postcard::to_stdvec(&self.totals).expect("plain data can be encoded"),
        };
        self.peers.send(to, PeerMessage::Raft(message));
    }

    fn apply_committed(&mut self) {
        while self.applied_index < self.node.commit_index {
            let Some(entry) = self.node.entry(self.applied_index + 1).cloned() else { break };
            self.apply(entry);
        }
    }

    fn apply(&mut self, Entry { index, term, command }: Entry<Add>) {
        self.applied_index = index;
        let total = command.map(|add| self.totals.add(&add));
        let Some(proposal) = self.proposals.remove(index) else { return };
        // If an entry of another leader replaced the proposal, the call may be committed at another index or not at all.
        let outcome = match total {
            Some(total) if proposal.term == term => CallOutcome::Total(total),
            _ => CallOutcome::Unknown,
        };
        self.answer(proposal.reply_to, outcome);
    }

    fn compact_large_log(&mut self) -> Result<()> {
        if self.log.size() > MAX_LOG_BYTES {
            let position = self.applied_position();
            self.save_snapshot(position, self.totals.clone())?;
            self.node.compact(position.index);
        }
        Ok(())
    }

    fn save_snapshot(&mut self, last_included: LogPosition, state: Totals) -> Result<()> {
        let following = self.node.entries_after(last_included.index).to_vec();
        let snapshot = Snapshot { last_included, state };
        self.log.snapshot(&snapshot, self.node.hard_state, &following)
    }

    fn applied_position(&self) -> LogPosition {
        let index = self.applied_index;
        let term = self.node.entry(index).map_or(self.node.snapshot_position.term, |entry| entry.term);
        LogPosition { index, term }
    }
}
