//! Replication: proposals, entries and snapshots for followers, and the commit index.
use super::{Effects, Fault, InstalledSnapshot, Message, Node, NodeId, ReplicatedEntry, Role};
use crate::log::{Entry, LogPosition};

/// Maximum number of entries of one message: about 50 KB with the longest names, so that a message delays a heartbeat only briefly.
const MAX_ENTRIES_PER_MESSAGE: usize = 512;

/// The outcome of appending a leader's entries.
enum AppendOutcome {
    /// The log matches the leader's up to `index`.
    Matched { index: u64 },
    /// The log conflicts with the leader's; the leader has to retry from `retry_from`.
    Conflict { retry_from: u64 },
}

impl<C: Clone + PartialEq> Node<C> {
    /// Appends a command on the leader and returns the index at which it may be committed; `None` if this node is not the leader.
    pub fn propose(&mut self, command: C, effects: &mut Effects<C>) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        Some(self.append(Some(command), effects))
    }

    /// Replicates proposed commands. The caller has to call it once for each batch of proposals.
    pub fn replicate(&mut self, effects: &mut Effects<C>) {
        if self.is_leader() {
            self.heartbeat(effects);
            self.advance_commit_index(effects);
        }
    }

    /// Sends each follower the entries that it lacks; a message without entries is a heartbeat.
    pub fn heartbeat(&mut self, effects: &mut Effects<C>) {
        for peer in self.peers.clone() {
            self.send_entries(peer, effects);
        }
    }

    /// Appends an entry of the current term and returns its index.
    pub(super) fn append(&mut self, command: Option<C>, effects: &mut Effects<C>) -> u64 {
        let index = self.last_position().index + 1;
        let entry = Entry { index, term: self.hard_state.term, command };
        self.entries.push(entry.clone());
        effects.entries.push(entry);
        index
    }

    fn send_entries(&mut self, to: NodeId, effects: &mut Effects<C>) {
        let Role::Leader { next_index, .. } = &self.role else { return };
        let first = next_index.get(&to).copied().unwrap_or(1).max(1);
        let previous_index = first - 1;
        let Some(previous_term) = self.term_at(previous_index) else {
            if !effects.snapshot_targets.contains(&to) {
                effects.snapshot_targets.push(to);
            }
            return;
        };
        let entries: Vec<ReplicatedEntry<C>> = self
            .entries_after(previous_index)
            .iter()
            .take(MAX_ENTRIES_PER_MESSAGE)
            .map(|entry| ReplicatedEntry { term: entry.term, command: entry.command.clone() })
            .collect();
        let end_of_log = self.last_position().index + 1;
        let next_unsent = (first + entries.len() as u64).min(end_of_log);
        // Pipelining: the entries count as received until the follower reports a conflict.
        if let Role::Leader { next_index, .. } = &mut self.role {
            next_index.insert(to, next_unsent);
        }
        let message = Message::AppendEntries {
            term: self.hard_state.term,
            previous: LogPosition { index: previous_index, term: previous_term },
            entries,
            commit_index: self.commit_index,
        };
        effects.send(to, message);
    }

    /// Rejects entries or a snapshot of a stale leader; the response carries the newer term.
    pub(super) fn reject_append(&mut self, leader: NodeId, effects: &mut Effects<C>) {
        self.respond(leader, AppendOutcome::Conflict { retry_from: 0 }, effects);
    }

    /// Appends a leader's entries, if they continue this log, and responds.
    pub(super) fn handle_append_entries(
        &mut self,
        leader: NodeId,
        previous: LogPosition,
        entries: Vec<ReplicatedEntry<C>>,
        leader_commit_index: u64,
        effects: &mut Effects<C>,
    ) {
        self.role = Role::Follower { leader: Some(leader) };
        let outcome = self.accept_entries(previous, entries, leader_commit_index, effects);
        self.respond(leader, outcome, effects);
    }

    /// Records a follower's progress, and sends further entries if the follower lacks some.
    pub(super) fn handle_append_response(
        &mut self,
        follower: NodeId,
        match_index: Option<u64>,
        retry_from: u64,
        effects: &mut Effects<C>,
    ) {
        let Role::Leader { next_index, match_index: matched, active } = &mut self.role else { return };
        active.insert(follower);
        let Some(index) = match_index else {
            next_index.insert(follower, retry_from.max(1));
            self.send_entries(follower, effects);
            return;
        };
        let matched_index = matched.entry(follower).or_default();
        *matched_index = (*matched_index).max(index);
        // Entries in flight are not sent again.
        let next = next_index.entry(follower).or_insert(1);
        *next = (*next).max(*matched_index + 1);
        let lacks_entries = *next <= self.last_position().index;
        self.advance_commit_index(effects);
        if lacks_entries {
            self.send_entries(follower, effects);
        }
    }

    /// Replaces the log up to a snapshot of the leader, unless this node has committed the included entries already, and responds.
    pub(super) fn handle_install_snapshot(
        &mut self,
        leader: NodeId,
        last_included: LogPosition,
        state: Vec<u8>,
        effects: &mut Effects<C>,
    ) {
        self.role = Role::Follower { leader: Some(leader) };
        if last_included.index > self.commit_index {
            let continues = self.term_at(last_included.index) == Some(last_included.term);
            self.entries = if continues { self.entries_after(last_included.index).to_vec() } else { vec![] };
            self.snapshot_position = last_included;
            self.commit_index = last_included.index;
            effects.installed_snapshot = Some(InstalledSnapshot { last_included, state });
            effects.commit_index = Some(last_included.index);
        }
        let index = last_included.index.max(self.snapshot_position.index);
        self.respond(leader, AppendOutcome::Matched { index }, effects);
    }

    fn respond(&self, leader: NodeId, outcome: AppendOutcome, effects: &mut Effects<C>) {
        let (match_index, retry_from) = match outcome {
            AppendOutcome::Matched { index } => (Some(index), 0),
            AppendOutcome::Conflict { retry_from } => (None, retry_from),
        };
        let term = self.hard_state.term;
        effects.send(leader, Message::AppendResponse { term, match_index, retry_from });
    }

    fn accept_entries(
        &mut self,
        mut previous: LogPosition,
        mut entries: Vec<ReplicatedEntry<C>>,
        leader_commit_index: u64,
        effects: &mut Effects<C>,
    ) -> AppendOutcome {
        if previous.index < self.snapshot_position.index {
            // Entries that the snapshot includes were committed, so they match the leader's.
            let included = (self.snapshot_position.index - previous.index) as usize;
            if included > entries.len() {
                return AppendOutcome::Matched { index: self.snapshot_position.index };
            }
            entries.drain(..included);
            previous = self.snapshot_position;
        }
        if let Some(retry_from) = self.conflict_at(previous) {
            return AppendOutcome::Conflict { retry_from };
        }
        let mut index = previous.index;
        for ReplicatedEntry { term, command } in entries {
            index += 1;
            if self.term_at(index) != Some(term) {
                self.replace_from(Entry { index, term, command }, effects);
            }
        }
        self.commit_up_to(leader_commit_index.min(index), effects);
        AppendOutcome::Matched { index }
    }

    /// Returns the index from which the leader has to retry; `None` if the log has the entry at this position.
    fn conflict_at(&self, position: LogPosition) -> Option<u64> {
        let Some(term) = self.term_at(position.index) else {
            return Some(self.last_position().index + 1);
        };
        if term == position.term {
            return None;
        }
        // Skips the complete conflicting term, to save round trips.
        let first_of_term = self.entries.iter().find(|entry| entry.term == term);
        let first = first_of_term.map_or(position.index, |entry| entry.index);
        Some(first.max(self.snapshot_position.index + 1).min(position.index))
    }

    /// Appends an entry and truncates conflicting entries of another leader from its index on.
    fn replace_from(&mut self, entry: Entry<C>, effects: &mut Effects<C>) {
        let index = entry.index;
        if self.entry(index).is_some() {
            self.entries.retain(|earlier| earlier.index < index);
            let truncated = effects.truncate_from.map_or(index, |earlier| earlier.min(index));
            effects.truncate_from = Some(truncated);
        }
        self.entries.push(entry.clone());
        effects.entries.push(entry);
    }

    /// Commits the entries that a quorum has. Only an entry of the leader's own term is committed directly, together with all
    /// entries before it.
    fn advance_commit_index(&mut self, effects: &mut Effects<C>) {
        let Role::Leader { match_index, .. } = &self.role else { return };
        let replicated = |peer: &NodeId| match_index.get(peer).copied().unwrap_or(0);
        let mut indexes: Vec<u64> = self.peers.iter().map(replicated).collect();
        indexes.push(self.last_position().index);
        indexes.sort_unstable();
        let highest = indexes.len() - 1;
        let quorum = if self.fault == Fault::CommitsWithoutQuorum { highest } else { highest / 2 };
        let index = indexes[quorum];
        if self.term_at(index) == Some(self.hard_state.term) {
            self.commit_up_to(index, effects);
        }
    }

    fn commit_up_to(&mut self, index: u64, effects: &mut Effects<C>) {
        if index > self.commit_index {
            self.commit_index = index;
            effects.commit_index = Some(index);
        }
    }
}
