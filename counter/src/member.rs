//! One member of a replicated counter: who leads, what is agreed on. Terms, votes, a log that a majority holds: the published Raft algorithm, with
//! fixed members. No clock, no I/O: the caller says when time is up, writes down what it is told to before it sends anything, and carries
//! messages. An old leader is fenced by that alone: what it can't have a majority for is never agreed on, and never answered.
use crate::log::{Entry, Vow};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

pub type Id = u64;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message<C> {
    /// Somebody wants to lead; where its log ends.
    AskVote {
        term: u64,
        last: (u64, u64),
    },
    Vote {
        term: u64,
        granted: bool,
    },
    /// A leader's entries behind one, by index and term; and up to where all is agreed on.
    Append {
        term: u64,
        prev: (u64, u64),
        entries: Vec<(u64, Option<C>)>,
        commit: u64,
    },
    /// Up to where the log is the leader's now; or, where it did not fit, from where to try again.
    Appended {
        term: u64,
        matched: Option<u64>,
        again: u64,
    },
    /// A whole state, for one who is too far behind.
    Install {
        term: u64,
        upto: (u64, u64),
        state: Vec<u8>,
    },
}

impl<C> Message<C> {
    fn term(&self) -> u64 {
        match self {
            Message::AskVote { term, .. }
            | Message::Vote { term, .. }
            | Message::Append { term, .. }
            | Message::Appended { term, .. }
            | Message::Install { term, .. } => *term,
        }
    }
}

/// What is to be done, in this order: written down and synced; then sent; then what is agreed on taken in and answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Out<C> {
    pub vow: Option<Vow>,
    pub cut: Option<u64>,
    pub entries: Vec<Entry<C>>,
    /// A state that takes the place of everything: up to where, and what.
    pub installed: Option<((u64, u64), Vec<u8>)>,
    pub send: Vec<(Id, Message<C>)>,
    /// Members that want a whole state.
    pub install: Vec<Id>,
    /// All up to here is agreed on.
    pub committed: Option<u64>,
}

impl<C> Default for Out<C> {
    fn default() -> Out<C> {
        Out {
            vow: None,
            cut: None,
            entries: vec![],
            installed: None,
            send: vec![],
            install: vec![],
            committed: None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Follower { leader: Option<Id> },
    Candidate { votes: BTreeSet<Id> },
    Leader { next: BTreeMap<Id, u64>, matched: BTreeMap<Id, u64>, heard: BTreeSet<Id> },
}

/// Members broken on purpose, for tests of what finds them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Flaw {
    #[default]
    None,
    /// Votes for anybody, however short its log.
    VotesBlindly,
    /// Takes for agreed on what it alone holds.
    AgreesAlone,
    /// Forgets its vote over a restart.
    ForgetsVote,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member<C> {
    pub id: Id,
    others: Vec<Id>,
    pub vow: Vow,
    pub role: Role,
    /// Up to where a snapshot stands for the entries: index and term.
    pub base: (u64, u64),
    entries: Vec<Entry<C>>,
    pub commit: u64,
    pub flaw: Flaw,
}

/// The most entries of one message.
const BATCH: usize = 512;

impl<C: Clone + PartialEq> Member<C> {
    /// As it starts: with what it wrote down.
    pub fn new(id: Id, members: &[Id], vow: Vow, base: (u64, u64), entries: Vec<Entry<C>>) -> Member<C> {
        let others = members.iter().copied().filter(|m| *m != id).collect();
        let role = Role::Follower { leader: None };
        Member { id, others, vow, role, base, entries, commit: base.0, flaw: Flaw::None }
    }

    // ======== what it is asked

    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    pub fn leader(&self) -> Option<Id> {
        match self.role {
            Role::Leader { .. } => Some(self.id),
            Role::Follower { leader } => leader,
            Role::Candidate { .. } => None,
        }
    }

    /// Index and term of its last entry.
    pub fn last(&self) -> (u64, u64) {
        self.entries.last().map_or(self.base, |e| (e.index, e.term))
    }

    pub fn entry(&self, index: u64) -> Option<&Entry<C>> {
        self.entries.get(index.checked_sub(self.base.0 + 1)? as usize)
    }

    /// Entries behind an index.
    pub fn behind(&self, index: u64) -> &[Entry<C>] {
        let from = (index.saturating_sub(self.base.0) as usize).min(self.entries.len());
        &self.entries[from..]
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.entry(index).map(|e| e.term)
    }

    fn majority(&self, of: usize) -> bool {
        2 * of > self.others.len() + 1
    }

    // ======== what happens

    /// Nothing was heard of a leader for too long.
    pub fn times_out(&mut self, out: &mut Out<C>) {
        if self.leads() {
            return;
        }
        self.vow = Vow { term: self.vow.term + 1, vote: Some(self.id) };
        out.vow = Some(self.vow);
        self.role = Role::Candidate { votes: BTreeSet::from([self.id]) };
        let ask = Message::AskVote { term: self.vow.term, last: self.last() };
        out.send.extend(self.others.iter().map(|o| (*o, ask.clone())));
        self.wins(out);
    }

    /// A leader's beat: everybody hears of it, and gets what it lacks.
    pub fn beats(&mut self, out: &mut Out<C>) {
        for other in self.others.clone() {
            self.append_to(other, out);
        }
    }

    /// Called once in the time in which others would take it for gone: a leader that no majority has answered since then leads no longer.
    pub fn looks_round(&mut self) {
        let Role::Leader { heard, .. } = &mut self.role else { return };
        let heard = std::mem::take(heard).len() + 1;
        if !self.majority(heard) {
            self.role = Role::Follower { leader: None };
        }
    }

    /// Takes a command in, where it leads: the index under which it will be agreed on, if it is.
    pub fn proposes(&mut self, command: C, out: &mut Out<C>) -> Option<u64> {
        if !self.leads() {
            return None;
        }
        Some(self.adds(Some(command), out))
    }

    /// Once for all commands that were taken in together.
    pub fn spreads(&mut self, out: &mut Out<C>) {
        if self.leads() {
            self.beats(out);
            self.agrees(out);
        }
    }

    fn adds(&mut self, command: Option<C>, out: &mut Out<C>) -> u64 {
        let entry = Entry { index: self.last().0 + 1, term: self.vow.term, command };
        self.entries.push(entry.clone());
        out.entries.push(entry);
        self.last().0
    }

    /// Its state up to there is kept as a whole: entries up to it are not needed.
    pub fn compacts(&mut self, index: u64) {
        let Some(term) = self.term_at(index).filter(|_| index > self.base.0 && index <= self.commit) else {
            return;
        };
        self.entries.retain(|e| e.index > index);
        self.base = (index, term);
    }

    /// What another member says.
    pub fn hears(&mut self, from: Id, message: Message<C>, out: &mut Out<C>) {
        if message.term() > self.vow.term {
            self.vow = Vow { term: message.term(), vote: None };
            out.vow = Some(self.vow);
            self.role = Role::Follower { leader: None };
        }
        let term = self.vow.term;
        let old = message.term() < term;
        match message {
            Message::AskVote { last, .. } => {
                let whole =
                    (last.1, last.0) >= (self.last().1, self.last().0) || self.flaw == Flaw::VotesBlindly;
                let free = self.vow.vote.is_none_or(|v| v == from);
                let granted = !old && whole && free && !self.leads();
                if granted && self.vow.vote.is_none() {
                    self.vow.vote = Some(from);
                    out.vow = Some(self.vow);
                }
                out.send.push((from, Message::Vote { term, granted }));
            }
            Message::Vote { granted, .. } => {
                if let Role::Candidate { votes } = &mut self.role {
                    if granted && !old {
                        votes.insert(from);
                    }
                }
                self.wins(out);
            }
            Message::Append { .. } if old => {
                out.send.push((from, Message::Appended { term, matched: None, again: 0 }));
            }
            Message::Append { prev, entries, commit, .. } => {
                self.role = Role::Follower { leader: Some(from) };
                let answer = self.takes(prev, entries, commit, out);
                out.send.push((
                    from,
                    Message::Appended { term, matched: answer.ok(), again: answer.err().unwrap_or(0) },
                ));
            }
            Message::Appended { matched: got, again, .. } => {
                let Role::Leader { next, matched, heard } = &mut self.role else { return };
                if old {
                    return;
                }
                heard.insert(from);
                match got {
                    Some(index) => {
                        let known = matched.entry(from).or_default();
                        *known = (*known).max(index);
                        // What is on its way already is not sent again.
                        let after = next.entry(from).or_insert(1);
                        *after = (*after).max(*known + 1);
                        let more = *after <= self.last().0;
                        self.agrees(out);
                        if more {
                            self.append_to(from, out);
                        }
                    }
                    None => {
                        next.insert(from, again.max(1));
                        self.append_to(from, out);
                    }
                }
            }
            Message::Install { .. } if old => {
                out.send.push((from, Message::Appended { term, matched: None, again: 0 }));
            }
            Message::Install { upto, state, .. } => {
                self.role = Role::Follower { leader: Some(from) };
                if upto.0 > self.commit {
                    let same = self.term_at(upto.0) == Some(upto.1);
                    let rest = if same { self.behind(upto.0).to_vec() } else { vec![] };
                    (self.entries, self.base, self.commit) = (rest, upto, upto.0);
                    out.installed = Some((upto, state));
                    out.committed = Some(upto.0);
                }
                let matched = Some(upto.0.max(self.base.0));
                out.send.push((from, Message::Appended { term, matched, again: 0 }));
            }
        }
    }

    /// It leads once a majority has voted for it.
    fn wins(&mut self, out: &mut Out<C>) {
        let Role::Candidate { votes } = &self.role else { return };
        if !self.majority(votes.len()) {
            return;
        }
        let after = self.last().0 + 1;
        let next = self.others.iter().map(|o| (*o, after)).collect();
        self.role = Role::Leader { next, matched: BTreeMap::new(), heard: BTreeSet::new() };
        // What earlier leaders left is agreed on together with the first of its own.
        self.adds(None, out);
        self.spreads(out);
    }

    fn append_to(&mut self, to: Id, out: &mut Out<C>) {
        let Role::Leader { next, .. } = &mut self.role else { return };
        let from = next.get(&to).copied().unwrap_or(1).max(1);
        let (prev, last) = (from - 1, self.last().0);
        let Some(prev_term) = self.term_at(prev) else {
            if !out.install.contains(&to) {
                out.install.push(to);
            }
            return;
        };
        let entries =
            self.behind(prev).iter().take(BATCH).map(|e| (e.term, e.command.clone())).collect::<Vec<_>>();
        // It is taken for received, until it says otherwise: more may follow at once.
        if let Role::Leader { next, .. } = &mut self.role {
            next.insert(to, (prev + entries.len() as u64 + 1).min(last + 1));
        }
        let (term, commit) = (self.vow.term, self.commit);
        out.send.push((to, Message::Append { term, prev: (prev, prev_term), entries, commit }));
    }

    /// A leader's entries: up to where its log is ours now, or from where to try again.
    fn takes(
        &mut self,
        prev: (u64, u64),
        entries: Vec<(u64, Option<C>)>,
        commit: u64,
        out: &mut Out<C>,
    ) -> Result<u64, u64> {
        let (mut prev, mut entries) = (prev, entries);
        if prev.0 < self.base.0 {
            // What a snapshot stands for was agreed on and is the same.
            let known = (self.base.0 - prev.0) as usize;
            if known > entries.len() {
                return Ok(self.base.0);
            }
            entries.drain(..known);
            prev = self.base;
        }
        match self.term_at(prev.0) {
            Some(term) if term == prev.1 => {}
            // Back over the whole term that does not fit.
            Some(term) => {
                let first = self.entries.iter().find(|e| e.term == term).map_or(prev.0, |e| e.index);
                return Err(first.max(self.base.0 + 1).min(prev.0));
            }
            None => return Err(self.last().0 + 1),
        }
        let mut index = prev.0;
        for (term, command) in entries {
            index += 1;
            if self.term_at(index) == Some(term) {
                continue;
            }
            if self.entry(index).is_some() {
                self.entries.retain(|e| e.index < index);
                out.cut = Some(out.cut.map_or(index, |cut| cut.min(index)));
            }
            let entry = Entry { index, term, command };
            self.entries.push(entry.clone());
            out.entries.push(entry);
        }
        let agreed = commit.min(index);
        if agreed > self.commit {
            self.commit = agreed;
            out.committed = Some(agreed);
        }
        Ok(index)
    }

    /// What a majority holds of a leader's own term is agreed on, with all before it.
    fn agrees(&mut self, out: &mut Out<C>) {
        let Role::Leader { matched, .. } = &self.role else { return };
        let mut held: Vec<u64> = self.others.iter().map(|o| matched.get(o).copied().unwrap_or(0)).collect();
        held.push(self.last().0);
        held.sort_unstable();
        let least = if self.flaw == Flaw::AgreesAlone { held.len() - 1 } else { (held.len() - 1) / 2 };
        let agreed = held[least];
        if agreed > self.commit && self.term_at(agreed) == Some(self.vow.term) {
            self.commit = agreed;
            out.committed = Some(agreed);
        }
    }

    /// As it comes up again after a crash, with what it had written down.
    pub fn restarts(&mut self) {
        if self.flaw == Flaw::ForgetsVote {
            self.vow.vote = None;
        }
        self.role = Role::Follower { leader: None };
        self.commit = self.base.0;
    }
}
