//! Model checks of the replication: explores the orders of events in small clusters, with elections, lost and delayed messages, and
//! crashes.
use quillramp_counter::log::{HardState, LogPosition};
use quillramp_counter::raft::{Effects, Fault, Message, Node, NodeId, OutgoingMessage};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

type Command = u8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CommittedEntry {
    term: u64,
    command: Option<Command>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClusterState {
    members: Vec<Node<Command>>,
    /// Messages in flight: each may be delivered at any time, or never.
    in_flight: BTreeSet<(NodeId, NodeId, Message<Command>)>,
    /// Number of commands that were proposed.
    proposed: u8,
    crashes: u8,
    /// Every entry that was ever committed, by index.
    committed: BTreeMap<u64, CommittedEntry>,
    /// Every leader that was ever elected, by term.
    leaders: BTreeMap<u64, NodeId>,
    /// The safety property that was violated, if one was.
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    ElectionTimeout(usize),
    Heartbeat(usize),
    Propose(usize),
    Restart(usize),
    Deliver(NodeId, NodeId, Message<Command>),
    Drop(NodeId, NodeId, Message<Command>),
}

/// Limits of the explored states.
struct ClusterModel {
    members: usize,
    /// Maximum term.
    terms: u64,
    /// Maximum length of a log.
    entries: u64,
    /// Maximum number of proposed commands.
    commands: u8,
    /// Maximum number of restarts of members.
    crashes: u8,
    /// Fault that is injected into each member.
    fault: Fault,
}

impl ClusterState {
    /// Executes the effects of a member's step and checks the safety properties.
    fn execute(&mut self, member: usize, effects: Effects<Command>) {
        let id = self.members[member].id;
        for OutgoingMessage { to, message } in effects.messages {
            self.in_flight.insert((id, to, message));
        }
        for to in effects.snapshot_targets {
            let term = self.members[member].hard_state.term;
            let last_included = self.members[member].snapshot_position;
            self.in_flight.insert((id, to, Message::InstallSnapshot { term, last_included, state: vec![] }));
        }
        if let Some(commit_index) = effects.commit_index {
            for index in 1..=commit_index {
                let Some(entry) = self.members[member].entry(index) else { continue };
                let committed = CommittedEntry { term: entry.term, command: entry.command };
                match self.committed.get(&index) {
                    Some(earlier) if *earlier != committed => {
                        self.violation = Some("two different entries were committed at one index")
                    }
                    Some(_) => {}
                    None => drop(self.committed.insert(index, committed)),
                }
            }
        }
        if self.members[member].is_leader() {
            let term = self.members[member].hard_state.term;
            if *self.leaders.entry(term).or_insert(id) != id {
                self.violation = Some("two leaders were elected in one term");
            }
            // The log of a leader has every entry that was committed in an earlier term.
            let is_missing = |(index, committed): (&u64, &CommittedEntry)| {
                let local = self.members[member].entry(*index);
                let is_in_log = *index > self.members[member].snapshot_position.index; // earlier entries are in the snapshot
                let differs = local
                    .is_none_or(|entry| entry.term != committed.term || entry.command != committed.command);
                is_in_log && committed.term < term && differs
            };
            if self.committed.iter().any(is_missing) {
                self.violation = Some("a leader lacks an entry that was committed in an earlier term");
            }
        }
    }
}

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Event;

    fn init_states(&self) -> Vec<ClusterState> {
        let ids: Vec<NodeId> = (1..=self.members as u64).collect();
        let member = |id: &NodeId| {
            let mut node = Node::new(*id, &ids, HardState::default(), LogPosition::default(), vec![]);
            node.fault = self.fault;
            node
        };
        vec![ClusterState {
            members: ids.iter().map(member).collect(),
            in_flight: BTreeSet::new(),
            proposed: 0,
            crashes: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            violation: None,
        }]
    }

    fn actions(&self, cluster: &ClusterState, events: &mut Vec<Event>) {
        if cluster.violation.is_some() {
            return;
        }
        for (member, node) in cluster.members.iter().enumerate() {
            if !node.is_leader() && node.hard_state.term < self.terms {
                events.push(Event::ElectionTimeout(member));
            }
            if node.is_leader() {
                events.push(Event::Heartbeat(member));
                if cluster.proposed < self.commands && node.last_position().index < self.entries {
                    events.push(Event::Propose(member));
                }
            }
            if cluster.crashes < self.crashes {
                events.push(Event::Restart(member));
            }
        }
        for (from, to, message) in &cluster.in_flight {
            events.push(Event::Deliver(*from, *to, message.clone()));
            events.push(Event::Drop(*from, *to, message.clone()));
        }
    }

    fn next_state(&self, cluster: &ClusterState, event: Event) -> Option<ClusterState> {
        let mut cluster = cluster.clone();
        let mut effects = Effects::default();
        let member = match event {
            Event::ElectionTimeout(member) => {
                cluster.members[member].election_timeout(&mut effects);
                member
            }
            Event::Heartbeat(member) => {
                cluster.members[member].heartbeat(&mut effects);
                member
            }
            Event::Propose(member) => {
                cluster.proposed += 1;
                cluster.members[member].propose(cluster.proposed, &mut effects)?;
                cluster.members[member].replicate(&mut effects);
                member
            }
            Event::Restart(member) => {
                cluster.crashes += 1;
                cluster.members[member].restart();
                member
            }
            Event::Deliver(from, to, message) => {
                cluster.in_flight.remove(&(from, to, message.clone()));
                let member = to as usize - 1;
                cluster.members[member].step(from, message, &mut effects);
                member
            }
            Event::Drop(from, to, message) => {
                cluster.in_flight.remove(&(from, to, message));
                return Some(cluster);
            }
        };
        cluster.execute(member, effects);
        Some(cluster)
    }

    fn properties(&self) -> Vec<Property<ClusterModel>> {
        vec![
            Property::always(
                "one leader per term, and one entry per committed index",
                |_, cluster: &ClusterState| cluster.violation.is_none(),
            ),
            Property::always(
                "logs with the same term at an index have the same entries before it",
                |_, cluster: &ClusterState| {
                    let pairs =
                        cluster.members.iter().flat_map(|a| cluster.members.iter().map(move |b| (a, b)));
                    pairs.into_iter().all(|(a, b)| {
                        let shared = (1..=a.last_position().index.min(b.last_position().index)).rev();
                        let same_term = |index: &u64| {
                            a.entry(*index).map(|entry| entry.term) == b.entry(*index).map(|entry| entry.term)
                        };
                        let mut agreeing = shared.skip_while(|index| !same_term(index));
                        agreeing.all(|index| a.entry(index) == b.entry(index))
                    })
                },
            ),
            Property::sometimes("a command is committed", |_, cluster: &ClusterState| {
                cluster.committed.values().any(|entry| entry.command.is_some())
            }),
            Property::sometimes("two terms have had a leader", |_, cluster: &ClusterState| {
                cluster.leaders.len() > 1
            }),
        ]
    }

    fn within_boundary(&self, cluster: &ClusterState) -> bool {
        cluster.in_flight.len() <= 4
            && cluster
                .members
                .iter()
                .all(|node| node.hard_state.term <= self.terms && node.last_position().index <= self.entries)
    }
}

/// Explores the model up to a number of states. Returns the number of unique states, whether all states were explored, and the violated
/// properties.
fn check(model: ClusterModel, max_states: usize) -> (usize, bool, Vec<&'static str>) {
    let checker = model.checker().threads(6).target_state_count(max_states).spawn_bfs().join();
    let violations =
        checker.discoveries().into_keys().filter(|n| !n.contains("is committed") && !n.contains("two terms"));
    (checker.unique_state_count(), checker.is_done(), violations.collect())
}

const THREE_MEMBERS: ClusterModel =
    ClusterModel { members: 3, terms: 2, entries: 3, commands: 1, crashes: 0, fault: Fault::None };

#[test]
fn safety_holds_in_every_order_of_events_of_three_members() {
    let (states, _, violations) = check(THREE_MEMBERS, 150_000);
    assert_eq!(violations, Vec::<&str>::new());
    assert!(states > 50_000, "{states}");
    let (states, _, violations) = check(ClusterModel { crashes: 1, terms: 3, ..THREE_MEMBERS }, 150_000);
    assert_eq!(violations, Vec::<&str>::new());
    assert!(states > 50_000, "{states}");
}

#[test]
fn safety_holds_for_one_and_two_members() {
    for members in [1, 2] {
        let (states, is_done, violations) =
            check(ClusterModel { members, crashes: 1, ..THREE_MEMBERS }, 400_000);
        assert_eq!((is_done, violations), (true, vec![]), "{members}: {states}");
    }
}

/// Guards against checks that pass whatever the implementation does.
#[test]
fn injected_faults_are_detected() {
    let votes_blindly = ClusterModel { fault: Fault::VotesForStaleLog, commands: 0, ..THREE_MEMBERS };
    let (_, _, violations) = check(votes_blindly, 400_000);
    assert!(!violations.is_empty(), "votes for candidates whose log is not up to date were not detected");
    let forgets = ClusterModel {
        fault: Fault::LosesVote,
        crashes: 1,
        terms: 1,
        entries: 1,
        commands: 0,
        ..THREE_MEMBERS
    };
    let (_, _, violations) = check(forgets, 400_000);
    assert!(!violations.is_empty(), "a vote that was lost in a restart was not detected");
}

/// The result of a random walk.
struct Walk {
    violation: Option<&'static str>,
    /// Number of committed entries.
    committed: usize,
}

/// Walks at random through the states of a larger model: more terms, more commands, crashes, and reordered messages.
fn random_walk(fault: Fault, seed: u64) -> Walk {
    use rand::{Rng, SeedableRng};
    let model = ClusterModel { members: 3, terms: 40, entries: 60, commands: 40, crashes: 20, fault };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = model.init_states().remove(0);
    for _ in 0..1500 {
        let mut events = vec![];
        model.actions(&cluster, &mut events);
        // Timeouts and crashes are rare; fewer messages are lost than delivered.
        events.retain(|event| match event {
            Event::ElectionTimeout(_) => rng.gen_bool(0.05),
            Event::Restart(_) => rng.gen_bool(0.01),
            Event::Drop(..) => rng.gen_bool(0.2),
            _ => true,
        });
        if events.is_empty() {
            continue;
        }
        let event = events.swap_remove(rng.gen_range(0..events.len()));
        cluster = model.next_state(&cluster, event).unwrap_or(cluster);
        // Occasionally a member takes a snapshot and compacts its log.
        if rng.gen_bool(0.02) {
            let member = rng.gen_range(0..3);
            let commit = cluster.members[member].commit_index;
            cluster.members[member].compact(commit);
        }
    }
    Walk { violation: cluster.violation, committed: cluster.committed.len() }
}

#[test]
fn safety_holds_in_long_random_walks() {
    let mut all_committed = 0;
    for seed in 0..40 {
        let Walk { violation, committed } = random_walk(Fault::None, seed);
        assert_eq!(violation, None, "seed {seed}");
        all_committed += committed;
    }
    assert!(all_committed > 400, "{all_committed}");
}

#[test]
fn injected_faults_are_detected_in_long_random_walks() {
    for fault in [Fault::CommitsWithoutQuorum, Fault::VotesForStaleLog] {
        assert!((0..200).any(|seed| random_walk(fault, seed).violation.is_some()), "{fault:?}");
    }
}

/// Guards against entries that are sent twice: each response of a follower reset `next_index` to the index after the entries that it
/// acknowledged, so that all entries in flight were sent again. With hundreds of pending calls two members answered 2,400 calls per
/// second, and with three members the calls timed out.
#[test]
fn entries_in_flight_are_not_sent_again() {
    let ids = [1, 2, 3];
    let new = |id| Node::new(id, &ids, HardState::default(), LogPosition::default(), vec![]);
    let mut leader = new(1);
    let mut follower = new(2);
    let mut effects = Effects::default();
    leader.election_timeout(&mut effects);
    leader.step(2, Message::Vote { term: 1, granted: true }, &mut effects);
    for command in 0..20u8 {
        leader.propose(command, &mut effects);
        leader.replicate(&mut effects);
    }
    // Delivers the leader's messages to the follower and the responses to the leader, until no message is in flight.
    let mut sent = 0;
    let mut in_flight: std::collections::VecDeque<_> = effects.messages.into();
    while let Some(OutgoingMessage { to, message }) = in_flight.pop_front() {
        let (Message::AppendEntries { entries, .. }, 2) = (&message, to) else { continue };
        sent += entries.len();
        let mut responses = Effects::default();
        let mut further = Effects::default();
        follower.step(1, message, &mut responses);
        responses.messages.into_iter().for_each(|response| leader.step(2, response.message, &mut further));
        in_flight.extend(further.messages);
    }
    assert_eq!(
        (sent, follower.last_position(), leader.commit_index),
        (21, LogPosition { index: 21, term: 1 }, 21)
    );
}
