//! Contracts between teams that are replaced while requests are in flight: each request is charged to the team
//! whose contract granted it, and to no other.
use crate::bench::*;
use proptest::prelude::*;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::event::Event;
use quillramp_gateway::wire::resp::BackendReply;
use std::collections::BTreeMap;

/// The teams; the customer of each has the number of its position, plus 1.
const TEAMS: [&str; 3] = ["north", "south", "west"];
/// Units that backends bill for each request, which declares one unit.
const BILLED_UNITS: f64 = 3.0;
/// Time after which a backend replies if no step has made it reply, in seconds: well within the client's timeout.
const MAX_REPLY_TIME: f64 = 0.3;
/// Interval at which new connections are established, in seconds.
const CONNECT_INTERVAL: f64 = 0.01;

/// Returns an operator file with contracts of these teams, in this order, for this rate.
fn operator_file(teams: &[usize], rate: f64) -> String {
    if teams.is_empty() {
        return "[log]\nform = \"plain\"\n".into();
    }
    let mut file = "[broker]\ncapacity = 100000.0\nstrangers = \"refuse\"\n".to_owned();
    for team in teams {
        file += &format!(
            "[[contract]]\nteam = \"{}\"\ncustomers = [\"{:016x}\"]\nrate = {rate:.1}\nburst = {rate:.1}\n",
            TEAMS[*team],
            team + 1
        );
    }
    file
}

/// The units that the reducer reports for each team.
fn reported_units(bench: &mut Bench, call: u64) -> BTreeMap<String, f64> {
    bench.trace.clear();
    admin_call(bench, call, "GET /contracts");
    let line = bench.trace.lines().find(|line| line.contains("operator")).expect("a response").to_owned();
    let (_, json) = line.split_once(" 200 ").expect("a successful call");
    let usage: serde_json::Value = serde_json::from_str(json).expect("JSON");
    let teams = usage.as_object().expect("an object of teams").iter();
    teams.map(|(team, usage)| (team.clone(), usage["units"].as_f64().expect("a number"))).collect()
}

/// A bench with contracts, and a plain model of what each team has to be charged.
struct ChargedBench {
    bench: Bench,
    /// Teams whose contracts are in force; empty without contracts.
    contracts: Vec<usize>,
    /// Client of the next request; each request has its own.
    next_client: u64,
    /// Team that is charged for the request of each client.
    charged: BTreeMap<u64, usize>,
    /// Connections to backends with an attempt in flight, with the time of its start.
    in_flight: BTreeMap<u64, f64>,
    /// Length of the trace that has been processed.
    processed: usize,
    /// Units of each team.
    expected: BTreeMap<String, f64>,
}

impl ChargedBench {
    fn new() -> ChargedBench {
        ChargedBench {
            bench: bench_configured(1024, false, true),
            contracts: vec![],
            next_client: 1,
            charged: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            processed: 0,
            expected: BTreeMap::new(),
        }
    }

    fn reload(&mut self, teams: &[usize], rate: f64) {
        reload_operator_file(&mut self.bench, &operator_file(teams, rate));
        self.contracts = teams.to_vec();
    }

    fn request(&mut self, team: usize) {
        let client = self.next_client;
        self.next_client += 1;
        if self.contracts.contains(&team) {
            self.charged.insert(client, team);
        }
        self.bench.client_connects(client).request(client, "look", team as u64 + 1);
    }

    fn reply(&mut self, connection: u64) {
        self.in_flight.remove(&connection);
        let reply =
            BackendReply::Value { value: "a".into(), billed_units: Some(BILLED_UNITS), load_report: None };
        self.bench.event(Event::BackendReply { connection, reply, more_received: false });
    }

    /// Advances the clock, establishes the connections that were opened, and sends overdue replies.
    fn wait(&mut self, seconds: f64) {
        let end = self.bench.now + seconds;
        while self.bench.now < end {
            self.process_trace();
            self.bench.run_until(self.bench.now - 1000.0 + CONNECT_INTERVAL);
            self.process_trace();
            let started_before = self.bench.now - MAX_REPLY_TIME;
            let overdue = self.in_flight.iter().filter(|(_, started_at)| **started_at < started_before);
            let overdue: Vec<u64> = overdue.map(|(connection, _)| *connection).collect();
            overdue.into_iter().for_each(|connection| self.reply(connection));
        }
    }

    /// Processes what was traced since the last call, and what that causes.
    fn process_trace(&mut self) {
        while self.processed < self.bench.trace.len() {
            let lines: Vec<String> =
                self.bench.trace[self.processed..].lines().map(ToOwned::to_owned).collect();
            self.processed = self.bench.trace.len();
            lines.iter().for_each(|line| self.process_line(line));
        }
    }

    fn process_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[1..] {
            ["connect", target, ..] if target.starts_with("Backend(") => {
                let id = target.trim_start_matches("Backend(").trim_end_matches(')');
                self.bench.backend_connected(id.parse().expect("a connection"));
            }
            ["backend", "connection", id, "look", ..] => {
                let connection = id.trim_end_matches(':').parse().expect("a connection");
                self.in_flight.insert(connection, self.bench.now);
            }
            ["client", id, reply, ..] => {
                let client: u64 = id.trim_end_matches(':').parse().expect("a client");
                self.answered(client, reply);
            }
            ["log:", "connection", "backend", id, ..] => {
                self.in_flight.remove(&id.parse().expect("a connection"));
            }
            _ => {}
        }
    }

    /// Charges what was served, and nothing for requests that were never forwarded.
    fn answered(&mut self, client: u64, reply: &str) {
        let Some(team) = self.charged.remove(&client) else { return };
        let units = if reply.starts_with('$') { BILLED_UNITS } else { 0.0 };
        *self.expected.entry(TEAMS[team].to_owned()).or_default() += units;
    }

    /// Lets all requests end, and compares the units of each team with the model.
    fn assert_charges(&mut self) {
        self.wait(2.0);
        assert!(self.charged.is_empty(), "requests without a reply: {:?}", self.charged);
        self.reload(&[0, 1, 2], 1000.0);
        let reported = reported_units(&mut self.bench, 1);
        for team in TEAMS {
            let expected = self.expected.get(team).copied().unwrap_or(0.0);
            let units = reported.get(team).copied().unwrap_or(0.0);
            assert!((units - expected).abs() < 1e-6, "{team}: expected {expected}, found {units}");
        }
    }
}

/// Guards against a process that aborts on a reload: without contracts the broker was dropped, and the numbers of
/// its teams in grants of requests in flight pointed past the teams of the next one.
#[test]
fn a_request_in_flight_is_settled_after_its_contract_was_removed_and_others_were_added() {
    let mut charged = ChargedBench::new();
    charged.reload(&[0, 1], 50.0);
    charged.request(1);
    charged.wait(0.1);
    assert_eq!(charged.in_flight.len(), 1, "{}", charged.bench.trace);
    charged.reload(&[], 0.0);
    charged.reload(&[0], 50.0);
    charged.assert_charges();
    assert_eq!(charged.expected["south"], BILLED_UNITS);
}

/// Guards against units that are refunded to another team: a request that was never forwarded ended after its
/// team had another number.
#[test]
fn a_request_that_is_never_forwarded_is_refunded_to_its_own_team_after_a_reload() {
    let mut charged = ChargedBench::new();
    charged.reload(&[0, 1], 50.0);
    charged.request(1); // waits for the counter
    charged.reload(&[], 0.0);
    charged.reload(&[1, 0], 50.0);
    let client = charged.next_client - 1;
    charged.bench.connection_ended(ConnectionId::Client(client), CloseReason::Closed, false);
    charged.charged.clear();
    charged.assert_charges();
    assert!(charged.expected.is_empty());
}

/// A step of a random run.
#[derive(Clone, Debug)]
enum Step {
    /// The contracts of these teams, in this order, are in force from now on.
    Reload { teams: Vec<usize>, rate: f64 },
    /// The customer of a team sends a request.
    Request { team: usize },
    /// A backend replies to the attempt at this position, if there is one.
    Reply { position: usize },
    /// Time passes.
    Wait { seconds: f64 },
}

fn step() -> impl Strategy<Value = Step> {
    let teams = proptest::sample::subsequence(vec![0, 1, 2], 0..=3).prop_shuffle();
    prop_oneof![
        1 => (teams, 20.0..60.0f64).prop_map(|(teams, rate)| Step::Reload { teams, rate: rate.round() }),
        3 => (0..3usize).prop_map(|team| Step::Request { team }),
        2 => (0..8usize).prop_map(|position| Step::Reply { position }),
        2 => (0.01..0.3f64).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against units that are lost, charged twice or charged to another team when contracts are removed, put
    /// back, reordered or changed while requests are in flight.
    #[test]
    fn each_request_is_charged_to_its_team_through_any_reloads(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut charged = ChargedBench::new();
        for step in steps {
            match step {
                Step::Reload { teams, rate } => charged.reload(&teams, rate),
                Step::Request { team } => charged.request(team),
                Step::Reply { position } => {
                    if let Some(connection) = charged.in_flight.keys().nth(position).copied() {
                        charged.reply(connection);
                    }
                }
                Step::Wait { seconds } => charged.wait(seconds),
            }
        }
        charged.assert_charges();
    }
}
