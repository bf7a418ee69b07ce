//! What one question to the broker costs, by the number of contracts, with a hundred teams that ask and a flood of one. Prints a table.
use quillramp_broker::contract::{Contract, Contracts};
use quillramp_broker::{Broker, Request, Verdict};
use std::time::Instant;

const ASKS: usize = 1_000_000;

fn main() {
    println!("| contracts | ns a question | all taken up in, ms |\n| --- | --- | --- |");
    for number in [10, 1_000, 100_000] {
        let one = |team: usize| Contract {
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
        let from = Instant::now();
        let contracts =
            Contracts::new((0..number).map(one).collect(), 11.0 * number as f64).expect("they can be");
        let mut broker = Broker::new(0.0, contracts, 1, 11.0 * number as f64);
        let up = from.elapsed().as_secs_f64();
        let asking = number.min(100) as u64;
        let (mut taken, from) = (0, Instant::now());
        for i in 0..ASKS {
            let now = i as f64 * 1e-4;
            // Every other question is the flood's.
            let customer = if i % 2 == 0 { 0 } else { i as u64 * 7919 % asking };
            if let Some(team) = broker.team_of_customer(now, customer) {
                let request = Request { operation: "lookup", customer, units: 1.0 };
                let verdict = broker.request(now, team, request).verdict;
                taken += usize::from(matches!(verdict, Verdict::Grant(_)));
            }
        }
        let each = from.elapsed().as_secs_f64() / ASKS as f64 * 1e9;
        println!("| {number} | {each:.0} | {:.1} |", up * 1e3);
        assert!(taken > 1000, "{taken}");
    }
}
