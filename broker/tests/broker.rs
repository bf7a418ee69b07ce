//! Contracts, fair sharing and budgets, on a simulated clock.
use proptest::prelude::*;
use quillramp_broker::budget::{BudgetAccount, BudgetVerdict};
use quillramp_broker::contract::{Budget, Conflict, Contract, Contracts, OperationLimit};
use quillramp_broker::fair_share::{FairShareLimiter, Source, Terms, MAX_BORROWED_SECONDS};
use quillramp_broker::{Broker, Reason, Request, Verdict};
use std::collections::BTreeMap;

fn contract(team: &str, rate: f64, burst: f64) -> Contract {
    Contract {
        team: team.into(),
        version: 1,
        valid_from: 0.0,
        valid_until: f64::INFINITY,
        operations: vec![],
        customers: vec![],
        rate,
        burst,
        operation_limits: vec![],
        weight: 1.0,
        budget: None,
    }
}

fn new_broker(contracts: Vec<Contract>, capacity: f64) -> Broker {
    Broker::new(1000.0, Contracts::new(contracts, capacity).expect("they can be"), 1, capacity)
}

fn request(
    broker: &mut Broker,
    now: f64,
    team: usize,
    (operation, customer): (&str, u64),
    units: f64,
) -> Verdict {
    broker.request(now, team, Request { operation, customer, units }).verdict
}

fn is_granted(broker: &mut Broker, now: f64, team: usize, units: f64) -> bool {
    matches!(request(broker, now, team, ("look", 1), units), Verdict::Grant(_))
}

/// Twenty teams send at nine tenths of their contracts; then one of them floods.
#[test]
fn a_flood_takes_nothing_from_teams_within_their_contracts() {
    let served = |flood: f64| {
        let all = (0..20).map(|t| contract(&format!("t{t:02}"), 10.0, 20.0)).collect();
        let mut broker = new_broker(all, 250.0);
        let mut taken = vec![0; 20];
        for step in 0..6000 {
            let now = 1000.0 + 0.01 * f64::from(step);
            for (team, taken) in taken.iter_mut().enumerate() {
                // Each team requests nine units per second, with a phase of its own; the first one requests more.
                let every = if team == 0 { 11.0 / flood } else { 11.0 };
                let due = ((f64::from(step) + 0.5 * team as f64) / every) as u64;
                let before = ((f64::from(step) - 1.0 + 0.5 * team as f64) / every).max(0.0) as u64;
                for _ in before..due {
                    *taken += u64::from(is_granted(&mut broker, now, team, 1.0));
                }
            }
        }
        taken
    };
    let calm = served(1.0);
    let flooded = served(80.0);
    assert_eq!(calm[1..], flooded[1..], "the others' service is the same to the unit");
    assert!(flooded[0] > 2 * calm[0], "it has what nobody uses: {} {}", flooded[0], calm[0]);
    // The capacity is 250 a second; the others use 19 times nine.
    assert!((flooded[0] as f64) < 60.0 * (250.0 - 19.0 * 9.0) * 1.05 + 20.0 + 12.5, "{}", flooded[0]);
}

#[test]
fn unused_capacity_is_lent_by_weighted_max_min() {
    let mut limiter = FairShareLimiter::new(0.0, 100.0);
    for (team, weight) in [(0, 1.0), (1, 3.0), (2, 1.0), (3, 1.0)] {
        limiter.set_terms(0.0, team, Terms { rate: 10.0, burst: 1.0, weight });
    }
    let mut granted = [0.0f64; 4];
    for step in 1..=20_000 {
        let now = 0.001 * f64::from(step);
        // Two teams request without end, the third a little more than its own, the fourth nothing.
        for team in [0, 1] {
            while limiter.try_take(now, team, 0.1).is_ok() {
                granted[team] += 0.1;
            }
        }
        if step % 8 == 0 && limiter.try_take(now, 2, 0.1).is_ok() {
            granted[2] += 0.1;
        }
    }
    let rate = granted.map(|units| units / 20.0);
    // 100 less the third's 12.5: 87.5; two have 10 each, and what is left one to three.
    assert!((rate[2] - 12.5).abs() < 0.3, "{rate:?}");
    assert!((rate[0] - (10.0 + 67.5 / 4.0)).abs() < 1.0, "{rate:?}");
    assert!((rate[1] - (10.0 + 67.5 * 0.75)).abs() < 1.0, "{rate:?}");
}

/// Lent capacity is available to its owner at once: a full bucket. Beside it, borrowers take no more than the documented bound.
#[test]
fn an_owner_that_returns_has_its_full_burst() {
    let mut limiter = FairShareLimiter::new(0.0, 20.0);
    limiter.set_terms(0.0, 0, Terms { rate: 10.0, burst: 20.0, weight: 1.0 });
    limiter.set_terms(0.0, 1, Terms { rate: 10.0, burst: 20.0, weight: 1.0 });
    let mut drain = |now: f64, team| {
        let mut units = 0.0;
        while limiter.try_take(now, team, 0.5).is_ok() {
            units += 0.5;
        }
        units
    };
    (1..=1000).for_each(|i| drop(drain(0.01 * f64::from(i), 1).to_string()));
    let back = drain(10.01, 0);
    assert!((20.0..=20.5).contains(&back), "{back}: its burst, at once");
    let borrowed: f64 = (0..100).map(|i| drain(10.02 + 0.01 * f64::from(i), 1)).sum();
    assert!(borrowed <= 10.0 + 20.0 * MAX_BORROWED_SECONDS + 0.5, "{borrowed} in the second after");
}

#[test]
fn a_contract_limits_operations_and_customers() {
    let mut radiology = contract("radiology", 10.0, 10.0);
    radiology.operations = vec!["look*".into()];
    radiology.customers = vec![7, 8];
    let mut broker = new_broker(vec![radiology, contract("surgery", 5.0, 5.0)], 20.0);
    let radiology = broker.team_id("radiology");
    let surgery = broker.team_id("surgery");
    assert!(matches!(request(&mut broker, 1000.0, radiology, ("lookup", 7), 1.0), Verdict::Grant(_)));
    assert_eq!(request(&mut broker, 1000.0, radiology, ("order", 7), 1.0), Verdict::Deny(Reason::Operation));
    assert_eq!(request(&mut broker, 1000.0, radiology, ("lookup", 9), 1.0), Verdict::Deny(Reason::Customer));
    assert!(matches!(request(&mut broker, 1000.0, surgery, ("order", 9), 1.0), Verdict::Grant(_)));
    assert_eq!(
        (broker.team_of_customer(1000.0, 8), broker.team_of_customer(1000.0, 9)),
        (Some(radiology), None)
    );
    let nobody = broker.team_id("nobody");
    assert_eq!(request(&mut broker, 1000.0, nobody, ("look", 7), 1.0), Verdict::Deny(Reason::NoContract));
    let usage: BTreeMap<_, _> = broker
        .usage()
        .map(|team| (team.team.to_owned(), (team.version, team.usage.granted, team.usage.denied)))
        .collect();
    assert_eq!(usage["radiology"], (Some(1), 1, 2));
    assert_eq!(usage["nobody"], (None, 0, 1));
}

#[test]
fn an_operation_limit_applies_and_refunds_rejected_requests() {
    let mut contract = contract("t", 100.0, 100.0);
    contract.operation_limits = vec![OperationLimit { operation: "order".into(), rate: 1.0, burst: 2.0 }];
    let mut broker = new_broker(vec![contract], 100.0);
    let order = |broker: &mut Broker, now: f64| request(broker, now, 0, ("order", 1), 1.0);
    assert!((0..2).all(|_| matches!(order(&mut broker, 1000.0), Verdict::Grant(_))));
    assert!(
        matches!(order(&mut broker, 1000.0), Verdict::RetryAfter { seconds, reason: Reason::OperationRate } if (seconds - 1.0).abs() < 1e-6)
    );
    assert_eq!(broker.available(0).own, 98.0, "what was refused is not spent");
    // A request that the contract's rate rejects does not count against the operation's limit.
    while is_granted(&mut broker, 1000.0, 0, 1.0) {}
    assert!(matches!(order(&mut broker, 1003.0), Verdict::Grant(_)));
    assert!(matches!(
        request(&mut broker, 1003.0, 0, ("look", 1), 500.0),
        Verdict::RetryAfter { .. } | Verdict::Grant(_)
    ));
}

/// A counter that answers at once.
#[derive(Default)]
struct InstantCounter {
    /// The total of each period.
    totals: BTreeMap<u64, f64>,
}

impl InstantCounter {
    /// The verdict on a request of the only team, once no further call makes a difference.
    fn request(&mut self, broker: &mut Broker, now: f64, units: f64) -> Verdict {
        loop {
            let request = Request { operation: "look", customer: 1, units };
            let response = broker.request(now, 0, request);
            let mut next = response.counter_call;
            let has_called = next.is_some();
            while let Some(call) = next {
                let total = self.totals.entry(call.period).or_default();
                *total += call.amount;
                next = broker.call_answered(now, 0, call.period, Some(*total));
            }
            let waits = matches!(response.verdict, Verdict::RetryAfter { reason: Reason::Budget, .. });
            if !has_called || !waits {
                return response.verdict;
            }
        }
    }
}

/// The highest valid version is in force; grants are settled under their own version; a team that loses and regains its contract
/// keeps what it has spent.
#[test]
fn contracts_change_in_service() {
    let budget = |units| Some(Budget { units, period: 3600.0 });
    let one = Contract { budget: budget(100.0), ..contract("t", 1000.0, 1000.0) };
    let mut broker = new_broker(vec![one.clone()], 2000.0);
    let mut counter = InstantCounter::default();
    let mut spend = |broker: &mut Broker, now: f64, units: f64| counter.request(broker, now, units);
    let Verdict::Grant(grant) = spend(&mut broker, 1000.0, 30.0) else { panic!("a full budget") };
    assert_eq!(grant.version, 1);
    // Lowered below what is spent: nothing more in this period.
    let two = Contract { version: 2, budget: budget(20.0), ..one.clone() };
    broker.set_contracts(
        1001.0,
        Contracts::new(vec![one.clone(), two], 2000.0).expect("two versions may overlap"),
        2000.0,
    );
    assert!(
        matches!(spend(&mut broker, 1001.0, 30.0), Verdict::RetryAfter { seconds, reason: Reason::Budget } if seconds > 2000.0)
    );
    // Without a contract every request is denied; existing grants are settled.
    broker.set_contracts(1002.0, Contracts::default(), 2000.0);
    assert_eq!(spend(&mut broker, 1002.0, 1.0), Verdict::Deny(Reason::NoContract));
    broker.settle(1002.0, &grant, 25.0);
    // With a contract and a larger budget again: what was spent stays spent.
    let three = Contract { version: 3, budget: budget(60.0), ..one };
    broker.set_contracts(1003.0, Contracts::new(vec![three], 2000.0).expect("one"), 2000.0);
    let mut more = 0.0;
    while matches!(spend(&mut broker, 1003.0, 5.0), Verdict::Grant(_)) {
        more += 5.0;
    }
    assert!((20.0..=35.0).contains(&more), "{more}");
    assert!(matches!(spend(&mut broker, 4000.0, 5.0), Verdict::Grant(_)), "another period");
}

#[test]
fn versions_begin_and_end_by_time() {
    let current = Contract { valid_until: 1010.0, ..contract("t", 10.0, 10.0) };
    let next = Contract {
        version: 2,
        valid_from: 1005.0,
        valid_until: 1020.0,
        operations: vec!["order".into()],
        ..contract("t", 10.0, 10.0)
    };
    let mut broker = new_broker(vec![current, next], 10.0);
    assert!(is_granted(&mut broker, 1004.9, 0, 1.0));
    assert!(!is_granted(&mut broker, 1005.0, 0, 1.0), "the higher version has no look");
    assert!(matches!(request(&mut broker, 1019.0, 0, ("order", 1), 1.0), Verdict::Grant(_)));
    assert_eq!(request(&mut broker, 1020.0, 0, ("order", 1), 1.0), Verdict::Deny(Reason::NoContract));
}

#[test]
fn conflicting_contracts_are_rejected() {
    let naming = |team: &str, customers: Vec<u64>| Contract { customers, ..contract(team, 60.0, 1.0) };
    let conflicts = |contracts: Vec<Contract>| Contracts::new(contracts, 100.0).expect_err("wrong");
    assert_eq!(
        conflicts(vec![contract("a", 1.0, 1.0), contract("a", 2.0, 1.0)]),
        vec![Conflict::DuplicateVersion { first: 0, second: 1 }]
    );
    let shared = conflicts(vec![naming("a", vec![1, 2]), Contract { rate: 1.0, ..naming("b", vec![2]) }]);
    assert_eq!(shared, vec![Conflict::SharedCustomer { customer: 2, first: 0, second: 1 }]);
    assert!(
        matches!(conflicts(vec![naming("a", vec![]), naming("b", vec![])])[..], [Conflict::Oversold { promised, .. }] if promised == 120.0)
    );
    // Consecutive contracts do not conflict.
    let first = Contract { valid_until: 50.0, ..naming("a", vec![1]) };
    let second = Contract { valid_from: 50.0, ..naming("b", vec![1]) };
    let both = Contracts::new(vec![first, second], 100.0).expect("they can be");
    assert_eq!((both.team_of_customer(1, 49.0), both.team_of_customer(1, 51.0)), (Some("a"), Some("b")));
}

/// The units that gateway instances spend of one budget on one count, which may be unreachable for some.
fn spend_budget(instances: usize, units: f64, is_unreachable: impl Fn(usize, f64) -> bool) -> f64 {
    let budget = Budget { units, period: 1000.0 };
    let mut accounts = vec![BudgetAccount::default(); instances];
    let mut total = 0.0;
    for step in 0..400 {
        let now = 1000.0 + 0.05 * f64::from(step);
        for (instance, account) in accounts.iter_mut().enumerate() {
            for _ in 0..8 {
                let response = account.request(now, &budget, instances, 1.0);
                let mut next = response.counter_call;
                while let Some(call) = next {
                    if is_unreachable(instance, now) {
                        account.call_answered(now, &budget, call.period, None);
                        break;
                    }
                    total += call.amount;
                    next = account.call_answered(now, &budget, call.period, Some(total));
                }
                if matches!(response.verdict, BudgetVerdict::Exhausted { .. }) {
                    break;
                }
            }
        }
    }
    accounts.iter().map(|account| account.spent).sum()
}

#[test]
fn a_budget_is_spent_once_by_all_instances_together() {
    let spent = spend_budget(6, 1000.0, |_, _| false);
    assert!((950.0..=1000.0).contains(&spent), "{spent}");
    // Unreachable for all from the start: even slices.
    assert_eq!(spend_budget(5, 1000.0, |_, _| true), 1000.0);
    // Unreachable for two of six from the middle on: these spend their slices of what was left, and no more.
    let part = spend_budget(6, 3000.0, |instance, now| instance < 2 && now > 1002.0);
    assert!((2400.0..=3000.0 * (1.0 + 2.0 / 6.0)).contains(&part), "{part}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary requests: what is within its contract is always granted to a team, and all grants together never exceed the
    /// capacity.
    #[test]
    fn contracts_are_kept_and_the_capacity_is_never_exceeded(
        teams in proptest::collection::vec((1.0f64..20.0, 1.0f64..30.0, 0.1f64..5.0), 1..8),
        spare in 0.0f64..40.0,
        requests in proptest::collection::vec((0usize..8, 0.1f64..6.0, 0.0f64..0.2), 1..400),
    ) {
        let capacity = teams.iter().map(|terms| terms.0).sum::<f64>() + spare;
        let mut limiter = FairShareLimiter::new(0.0, capacity);
        for (team, terms) in teams.iter().enumerate() {
            let (rate, burst, weight) = *terms;
            limiter.set_terms(0.0, team, Terms { rate, burst, weight });
        }
        // A plain token bucket for each team, as reference: level and time of the last refill.
        let mut buckets: Vec<(f64, f64)> = teams.iter().map(|terms| (terms.1, 0.0)).collect();
        let mut now = 0.0;
        let mut granted = 0.0;
        for (team, units, pause) in requests {
            now += pause;
            let team = team % teams.len();
            let (rate, burst, _) = teams[team];
            let (level, refilled_at) = &mut buckets[team];
            *level = (*level + rate * (now - *refilled_at)).min(burst);
            *refilled_at = now;
            let is_within = *level - 2.0 * rate * 0.001 >= units && units <= burst;
            let taken = limiter.try_take(now, team, units);
            prop_assert!(!is_within || taken.is_ok(), "{level} and {units} refused");
            if taken.is_ok() {
                granted += units;
                if taken == Ok(Source::Own) {
                    *level -= units;
                }
            }
            let max_granted = capacity * now + teams.iter().map(|terms| terms.1).sum::<f64>() + capacity * MAX_BORROWED_SECONDS + 6.0;
            prop_assert!(granted <= max_granted, "{} of {}", granted, max_granted);
        }
    }
}
