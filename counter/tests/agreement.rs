//! The replication, checked over all orders of what can happen in a small world: elections, lost and late messages, crashes.
use quillramp_counter::log::{HardState, LogPosition};
use quillramp_counter::raft::{Effects, Fault, Message, Node, NodeId};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

type Command = u8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    members: Vec<Node<Command>>,
    /// Messages on their way: each may come at any time, or never.
    net: BTreeSet<(NodeId, NodeId, Message<Command>)>,
    proposed: u8,
    crashes: u8,
    /// What was ever agreed on, by index; and who led in which term.
    agreed: BTreeMap<u64, (u64, Option<Command>)>,
    led: BTreeMap<u64, NodeId>,
    broken: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Time(usize),
    Beat(usize),
    Propose(usize),
    Crash(usize),
    Comes(NodeId, NodeId, Message<Command>),
    Lost(NodeId, NodeId, Message<Command>),
}

struct Small {
    members: usize,
    terms: u64,
    entries: u64,
    commands: u8,
    crashes: u8,
    fault: Fault,
}

impl World {
    /// What a step of a member brings.
    fn takes(&mut self, i: usize, out: Effects<Command>) {
        let id = self.members[i].id;
        for (to, message) in out.messages {
            self.net.insert((id, to, message));
        }
        for to in out.snapshot_targets {
            let term = self.members[i].hard_state.term;
            let last_included = self.members[i].snapshot_position;
            self.net.insert((id, to, Message::InstallSnapshot { term, last_included, state: vec![] }));
        }
        if let Some(upto) = out.commit_index {
            for index in 1..=upto {
                let Some(entry) = self.members[i].entry(index) else { continue };
                let is = (entry.term, entry.command);
                match self.agreed.get(&index) {
                    Some(was) if *was != is => self.broken = Some("agreed on twice"),
                    Some(_) => {}
                    None => drop(self.agreed.insert(index, is)),
                }
            }
        }
        if self.members[i].is_leader() {
            let term = self.members[i].hard_state.term;
            if *self.led.entry(term).or_insert(id) != id {
                self.broken = Some("two leaders of one term");
            }
            // A leader has all that was ever agreed on before its term.
            let lacks = |(index, (of, command)): (&u64, &(u64, Option<Command>))| {
                let own = self.members[i].entry(*index);
                let kept = *index > self.members[i].snapshot_position.index; // else a state stands for it
                kept && *of < term && own.is_none_or(|e| (e.term, e.command) != (*of, *command))
            };
            if self.agreed.iter().any(lacks) {
                self.broken = Some("a leader without what was agreed on");
            }
        }
    }
}

impl Model for Small {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let ids: Vec<NodeId> = (1..=self.members as u64).collect();
        let member = |id: &NodeId| {
            let mut m = Node::new(*id, &ids, HardState::default(), LogPosition::default(), vec![]);
            m.fault = self.fault;
            m
        };
        vec![World {
            members: ids.iter().map(member).collect(),
            net: BTreeSet::new(),
            proposed: 0,
            crashes: 0,
            agreed: BTreeMap::new(),
            led: BTreeMap::new(),
            broken: None,
        }]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        if w.broken.is_some() {
            return;
        }
        for (i, m) in w.members.iter().enumerate() {
            if !m.is_leader() && m.hard_state.term < self.terms {
                acts.push(Act::Time(i));
            }
            if m.is_leader() {
                acts.push(Act::Beat(i));
                if w.proposed < self.commands && m.last_position().index < self.entries {
                    acts.push(Act::Propose(i));
                }
            }
            if w.crashes < self.crashes {
                acts.push(Act::Crash(i));
            }
        }
        for (from, to, message) in &w.net {
            acts.push(Act::Comes(*from, *to, message.clone()));
            acts.push(Act::Lost(*from, *to, message.clone()));
        }
    }

    fn next_state(&self, w: &World, act: Act) -> Option<World> {
        let mut w = w.clone();
        let mut out = Effects::default();
        let i = match act {
            Act::Time(i) => {
                w.members[i].election_timeout(&mut out);
                i
            }
            Act::Beat(i) => {
                w.members[i].heartbeat(&mut out);
                i
            }
            Act::Propose(i) => {
                w.proposed += 1;
                w.members[i].propose(w.proposed, &mut out)?;
                w.members[i].replicate(&mut out);
                i
            }
            Act::Crash(i) => {
                w.crashes += 1;
                w.members[i].restart();
                i
            }
            Act::Comes(from, to, message) => {
                w.net.remove(&(from, to, message.clone()));
                let i = to as usize - 1;
                w.members[i].step(from, message, &mut out);
                i
            }
            Act::Lost(from, to, message) => {
                w.net.remove(&(from, to, message));
                return Some(w);
            }
        };
        w.takes(i, out);
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Small>> {
        vec![
            Property::always("one leader a term, one history", |_, w: &World| w.broken.is_none()),
            Property::always("logs that agree at an index agree before it", |_, w: &World| {
                let pairs = w.members.iter().flat_map(|a| w.members.iter().map(move |b| (a, b)));
                pairs.into_iter().all(|(a, b)| {
                    let shared = (1..=a.last_position().index.min(b.last_position().index)).rev();
                    let same = |i: &u64| a.entry(*i).map(|e| e.term) == b.entry(*i).map(|e| e.term);
                    let mut agreeing = shared.skip_while(|i| !same(i));
                    agreeing.all(|i| a.entry(i) == b.entry(i))
                })
            }),
            Property::sometimes("a command is agreed on", |_, w: &World| {
                w.agreed.values().any(|a| a.1.is_some())
            }),
            Property::sometimes("two terms have led", |_, w: &World| w.led.len() > 1),
        ]
    }

    fn within_boundary(&self, w: &World) -> bool {
        w.net.len() <= 4
            && w.members
                .iter()
                .all(|m| m.hard_state.term <= self.terms && m.last_position().index <= self.entries)
    }
}

fn checked(small: Small, most: usize) -> (usize, bool, Vec<&'static str>) {
    let checker = small.checker().threads(6).target_state_count(most).spawn_bfs().join();
    let found =
        checker.discoveries().into_keys().filter(|n| !n.contains("is agreed on") && !n.contains("two terms"));
    (checker.unique_state_count(), checker.is_done(), found.collect())
}

const SMALL: Small = Small { members: 3, terms: 2, entries: 3, commands: 1, crashes: 0, fault: Fault::None };

#[test]
fn every_order_of_a_small_world_holds() {
    let (states, _, broken) = checked(SMALL, 150_000);
    assert_eq!(broken, Vec::<&str>::new());
    assert!(states > 50_000, "{states}");
    let (states, _, broken) = checked(Small { crashes: 1, terms: 3, ..SMALL }, 150_000);
    assert_eq!(broken, Vec::<&str>::new());
    assert!(states > 50_000, "{states}");
}

#[test]
fn two_members_and_one_hold() {
    for members in [1, 2] {
        let (states, done, broken) = checked(Small { members, crashes: 1, ..SMALL }, 400_000);
        assert_eq!((done, broken), (true, vec![]), "{members}: {states}");
    }
}

/// Each flaw is found: the check is no ornament.
#[test]
fn what_is_broken_is_found() {
    let blind = Small { fault: Fault::VotesBlindly, commands: 0, ..SMALL };
    let (_, _, broken) = checked(blind, 400_000);
    assert!(!broken.is_empty(), "blind votes");
    let forgets = Small { fault: Fault::ForgetsVote, crashes: 1, terms: 1, entries: 1, commands: 0, ..SMALL };
    let (_, _, broken) = checked(forgets, 400_000);
    assert!(!broken.is_empty(), "a forgotten vote");
}

/// A walk by chance through larger worlds: more terms, more commands, crashes, and messages out of order.
#[test]
fn long_walks_hold() {
    use rand::{Rng, SeedableRng};
    let walk = |fault: Fault, seed: u64| {
        let small = Small { members: 3, terms: 40, entries: 60, commands: 40, crashes: 20, fault };
        let mut r = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut w = small.init_states().remove(0);
        for _ in 0..1500 {
            let mut acts = vec![];
            small.actions(&w, &mut acts);
            // Time and crashes are rare; what is lost is less than what comes.
            acts.retain(|a| match a {
                Act::Time(_) => r.gen_bool(0.05),
                Act::Crash(_) => r.gen_bool(0.01),
                Act::Lost(..) => r.gen_bool(0.2),
                _ => true,
            });
            if acts.is_empty() {
                continue;
            }
            let act = acts.swap_remove(r.gen_range(0..acts.len()));
            w = small.next_state(&w, act).unwrap_or(w);
            // Now and then a member keeps its state whole, and needs no entries before it.
            if r.gen_bool(0.02) {
                let i = r.gen_range(0..3);
                let commit = w.members[i].commit_index;
                w.members[i].compact(commit);
            }
        }
        (w.broken, w.agreed.len())
    };
    let mut agreed = 0;
    for seed in 0..40 {
        let (broken, n) = walk(Fault::None, seed);
        assert_eq!(broken, None, "seed {seed}");
        agreed += n;
    }
    assert!(agreed > 400, "{agreed}");
    for fault in [Fault::CommitsAlone, Fault::VotesBlindly] {
        assert!((0..200).any(|seed| walk(fault, seed).0.is_some()), "{fault:?}");
    }
}

/// Guards: each answer of a follower set the leader back to what that answer covered, and all that was on its way was sent once more: with
/// hundreds of calls out, two members took 2,400 calls a second and three let them pass their time.
#[test]
fn what_is_on_its_way_is_not_sent_again() {
    let ids = [1, 2, 3];
    let new = |id| Node::new(id, &ids, HardState::default(), LogPosition::default(), vec![]);
    let (mut leader, mut other) = (new(1), new(2));
    let mut out = Effects::default();
    leader.election_timeout(&mut out);
    leader.step(2, Message::Vote { term: 1, granted: true }, &mut out);
    for command in 0..20u8 {
        leader.propose(command, &mut out);
        leader.replicate(&mut out);
    }
    // Whatever the leader has sent reaches the follower, whose answers reach the leader, until nothing is left.
    let mut sent = 0;
    let mut on_the_way: std::collections::VecDeque<_> = out.messages.into();
    while let Some((to, message)) = on_the_way.pop_front() {
        let (Message::AppendEntries { entries, .. }, 2) = (&message, to) else { continue };
        sent += entries.len();
        let (mut said, mut more) = (Effects::default(), Effects::default());
        other.step(1, message, &mut said);
        said.messages.into_iter().for_each(|(_, answer)| leader.step(2, answer, &mut more));
        on_the_way.extend(more.messages);
    }
    assert_eq!(
        (sent, other.last_position(), leader.commit_index),
        (21, LogPosition { index: 21, term: 1 }, 21)
    );
}
