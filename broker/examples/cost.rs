//! Measures the cost of a broker request by the number of contracts, with a hundred active teams, one of which floods. Prints a
//! table.
use quillramp_broker::contract::{Contract, Contracts};
use quillramp_broker::{Broker, Request, Verdict};
use std::time::Instant;

/// Number of requests of each measurement.
const REQUESTS: usize = 1_000_000;

fn main() {
    println!("| contracts | ns per request | registration of all, ms |\n| --- | --- | --- |");
    for number in [10, 1_000, 100_000] {
        let contract = |team: usize| Contract {
            team: format!("team-{team}"),
            version: 1,
            valid_from: 0.0,
            valid_until: f64::INFINITY,
            operations: vec!["look*".into(), "order".into()],
            customers: vec![team as u64],
            rate: 10.0,
            burst: 20.0,
            operation_limits: vec![],
            weight: 1.0,
            budget: None,
        };
        let began = Instant::now();
        let contracts = Contracts::new((0..number).map(contract).collect(), 11.0 * number as f64)
            .expect("contracts without a conflict");
        let mut broker = Broker::new(0.0, contracts, 1, 11.0 * number as f64);
        let load_seconds = began.elapsed().as_secs_f64();
        let active_teams = number.min(100) as u64;
        let mut granted = 0;
        let began = Instant::now();
        for sequence in 0..REQUESTS {
            let now = sequence as f64 * 1e-4;
            // Every other request comes from the flooding team.
            let customer = if sequence % 2 == 0 { 0 } else { sequence as u64 * 7919 % active_teams };
            if let Some(team) = broker.team_of_customer(now, customer) {
                let request = Request { operation: "lookup", customer, units: 1.0 };
                let verdict = broker.request(now, team, request).verdict;
                granted += usize::from(matches!(verdict, Verdict::Grant(_)));
            }
        }
        let nanoseconds = began.elapsed().as_secs_f64() / REQUESTS as f64 * 1e9;
        println!("| {number} | {nanoseconds:.0} | {:.1} |", load_seconds * 1e3);
        assert!(granted > 1000, "{granted}");
    }
}
