//! Contracts, lending and budgets, on a clock of the tests' own.
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

fn broker(all: Vec<Contract>, capacity: f64) -> Broker {
    Broker::new(1000.0, Contracts::new(all, capacity).expect("they can be"), 1, capacity)
}

fn ask(b: &mut Broker, now: f64, team: usize, (operation, customer): (&str, u64), units: f64) -> Verdict {
    b.request(now, team, Request { operation, customer, units }).verdict
}

fn took(b: &mut Broker, now: f64, team: usize, units: f64) -> bool {
    matches!(ask(b, now, team, ("look", 1), units), Verdict::Grant(_))
}

/// Twenty teams at nine tenths of their contracts; one of them then floods.
#[test]
fn a_flood_takes_nothing_from_those_who_keep_to_their_contracts() {
    let served = |flood: f64| {
        let all = (0..20).map(|t| contract(&format!("t{t:02}"), 10.0, 20.0)).collect();
        let mut b = broker(all, 250.0);
        let mut taken = vec![0; 20];
        for step in 0..6000 {
            let now = 1000.0 + 0.01 * f64::from(step);
            for (team, taken) in taken.iter_mut().enumerate() {
                // Each asks for nine units a second at moments of its own; the first one for more.
                let every = if team == 0 { 11.0 / flood } else { 11.0 };
                let due = ((f64::from(step) + 0.5 * team as f64) / every) as u64;
                let before = ((f64::from(step) - 1.0 + 0.5 * team as f64) / every).max(0.0) as u64;
                for _ in before..due {
                    *taken += u64::from(took(&mut b, now, team, 1.0));
                }
            }
        }
        taken
    };
    let (calm, flooded) = (served(1.0), served(80.0));
    assert_eq!(calm[1..], flooded[1..], "the others' service is the same to the unit");
    assert!(flooded[0] > 2 * calm[0], "it has what nobody uses: {} {}", flooded[0], calm[0]);
    // The capacity is 250 a second; the others use 19 times nine.
    assert!((flooded[0] as f64) < 60.0 * (250.0 - 19.0 * 9.0) * 1.05 + 20.0 + 12.5, "{}", flooded[0]);
}

#[test]
fn unused_room_is_lent_by_weight_and_max_min() {
    let mut l = FairShareLimiter::new(0.0, 100.0);
    for (team, weight) in [(0, 1.0), (1, 3.0), (2, 1.0), (3, 1.0)] {
        l.set_terms(0.0, team, Terms { rate: 10.0, burst: 1.0, weight });
    }
    let mut got = [0.0f64; 4];
    for step in 1..=20_000 {
        let now = 0.001 * f64::from(step);
        // Two ask without end; the third for a little more than its own; the fourth for nothing.
        for team in [0, 1] {
            while l.try_take(now, team, 0.1).is_ok() {
                got[team] += 0.1;
            }
        }
        if step % 8 == 0 && l.try_take(now, 2, 0.1).is_ok() {
            got[2] += 0.1;
        }
    }
    let rate = got.map(|g| g / 20.0);
    // 100 less the third's 12.5: 87.5; two have 10 each, and what is left one to three.
    assert!((rate[2] - 12.5).abs() < 0.3, "{rate:?}");
    assert!((rate[0] - (10.0 + 67.5 / 4.0)).abs() < 1.0, "{rate:?}");
    assert!((rate[1] - (10.0 + 67.5 * 0.75)).abs() < 1.0, "{rate:?}");
}

/// What was lent is back at once: its owner finds its whole store, and beside it goes what the rule on held room says, no more.
#[test]
fn an_owner_that_comes_back_finds_its_own() {
    let mut l = FairShareLimiter::new(0.0, 20.0);
    l.set_terms(0.0, 0, Terms { rate: 10.0, burst: 20.0, weight: 1.0 });
    l.set_terms(0.0, 1, Terms { rate: 10.0, burst: 20.0, weight: 1.0 });
    let mut drain = |now: f64, team| {
        let mut n = 0.0;
        while l.try_take(now, team, 0.5).is_ok() {
            n += 0.5;
        }
        n
    };
    (1..=1000).for_each(|i| drop(drain(0.01 * f64::from(i), 1).to_string()));
    let back = drain(10.01, 0);
    assert!((20.0..=20.5).contains(&back), "{back}: its burst, at once");
    let beside: f64 = (0..100).map(|i| drain(10.02 + 0.01 * f64::from(i), 1)).sum();
    assert!(beside <= 10.0 + 20.0 * MAX_BORROWED_SECONDS + 0.5, "{beside} in the second after");
}

#[test]
fn a_contract_says_who_may_ask_for_what() {
    let mut radiology = contract("radiology", 10.0, 10.0);
    radiology.operations = vec!["look*".into()];
    radiology.customers = vec![7, 8];
    let mut b = broker(vec![radiology, contract("surgery", 5.0, 5.0)], 20.0);
    let (r, s) = (b.team_id("radiology"), b.team_id("surgery"));
    assert!(matches!(ask(&mut b, 1000.0, r, ("lookup", 7), 1.0), Verdict::Grant(_)));
    assert_eq!(ask(&mut b, 1000.0, r, ("order", 7), 1.0), Verdict::Deny(Reason::Operation));
    assert_eq!(ask(&mut b, 1000.0, r, ("lookup", 9), 1.0), Verdict::Deny(Reason::Customer));
    assert!(matches!(ask(&mut b, 1000.0, s, ("order", 9), 1.0), Verdict::Grant(_)));
    assert_eq!((b.team_of_customer(1000.0, 8), b.team_of_customer(1000.0, 9)), (Some(r), None));
    let nobody = b.team_id("nobody");
    assert_eq!(ask(&mut b, 1000.0, nobody, ("look", 7), 1.0), Verdict::Deny(Reason::NoContract));
    let usage: BTreeMap<_, _> =
        b.usage().map(|u| (u.team.to_owned(), (u.version, u.usage.granted, u.usage.denied))).collect();
    assert_eq!(usage["radiology"], (Some(1), 1, 2));
    assert_eq!(usage["nobody"], (None, 0, 1));
}

#[test]
fn one_operation_has_its_own_limit_and_costs_nothing_where_it_is_refused() {
    let mut c = contract("t", 100.0, 100.0);
    c.operation_limits = vec![OperationLimit { operation: "order".into(), rate: 1.0, burst: 2.0 }];
    let mut b = broker(vec![c], 100.0);
    let order = |b: &mut Broker, now: f64| ask(b, now, 0, ("order", 1), 1.0);
    assert!((0..2).all(|_| matches!(order(&mut b, 1000.0), Verdict::Grant(_))));
    assert!(
        matches!(order(&mut b, 1000.0), Verdict::RetryAfter { seconds, reason: Reason::OperationRate } if (seconds - 1.0).abs() < 1e-6)
    );
    assert_eq!(b.available(0).own, 98.0, "what was refused is not spent");
    // And what the rate refuses is not taken from the operation's.
    while took(&mut b, 1000.0, 0, 1.0) {}
    assert!(matches!(order(&mut b, 1003.0), Verdict::Grant(_)));
    assert!(matches!(
        ask(&mut b, 1003.0, 0, ("look", 1), 500.0),
        Verdict::RetryAfter { .. } | Verdict::Grant(_)
    ));
}

/// Versions: the highest in force holds; what was taken is settled under its own; a team that was gone and is back has spent what it had.
#[test]
fn contracts_change_in_service() {
    let budget = |units| Some(Budget { units, period: 3600.0 });
    let one = Contract { budget: budget(100.0), ..contract("t", 1000.0, 1000.0) };
    let mut b = broker(vec![one.clone()], 2000.0);
    // A counter that adds at once.
    let mut counts: BTreeMap<u64, f64> = BTreeMap::new();
    let mut spend = |b: &mut Broker, now: f64, units: f64| loop {
        let request = Request { operation: "look", customer: 1, units };
        let response = b.request(now, 0, request);
        let mut next = response.counter_call;
        let called = next.is_some();
        while let Some(call) = next {
            let total = counts.entry(call.period).or_default();
            *total += call.amount;
            next = b.call_answered(now, 0, call.period, Some(*total));
        }
        if !(called && matches!(response.verdict, Verdict::RetryAfter { reason: Reason::Budget, .. })) {
            return response.verdict;
        }
    };
    let Verdict::Grant(grant) = spend(&mut b, 1000.0, 30.0) else { panic!("a full budget") };
    assert_eq!(grant.version, 1);
    // Cut below what is spent: nothing more in this period.
    let two = Contract { version: 2, budget: budget(20.0), ..one.clone() };
    b.set_contracts(
        1001.0,
        Contracts::new(vec![one.clone(), two], 2000.0).expect("two versions may overlap"),
        2000.0,
    );
    assert!(
        matches!(spend(&mut b, 1001.0, 30.0), Verdict::RetryAfter { seconds, reason: Reason::Budget } if seconds > 2000.0)
    );
    // Gone: never. What is under way ends in peace.
    b.set_contracts(1002.0, Contracts::default(), 2000.0);
    assert_eq!(spend(&mut b, 1002.0, 1.0), Verdict::Deny(Reason::NoContract));
    b.settle(1002.0, &grant, 25.0);
    // Back, with room again: what it spent is spent.
    let three = Contract { version: 3, budget: budget(60.0), ..one };
    b.set_contracts(1003.0, Contracts::new(vec![three], 2000.0).expect("one"), 2000.0);
    let mut more = 0.0;
    while matches!(spend(&mut b, 1003.0, 5.0), Verdict::Grant(_)) {
        more += 5.0;
    }
    assert!((20.0..=35.0).contains(&more), "{more}");
    assert!(matches!(spend(&mut b, 4000.0, 5.0), Verdict::Grant(_)), "another period");
}

#[test]
fn a_version_begins_and_ends_by_itself() {
    let now = Contract { valid_until: 1010.0, ..contract("t", 10.0, 10.0) };
    let then = Contract {
        version: 2,
        valid_from: 1005.0,
        valid_until: 1020.0,
        operations: vec!["order".into()],
        ..contract("t", 10.0, 10.0)
    };
    let mut b = broker(vec![now, then], 10.0);
    assert!(took(&mut b, 1004.9, 0, 1.0));
    assert!(!took(&mut b, 1005.0, 0, 1.0), "the higher version has no look");
    assert!(matches!(ask(&mut b, 1019.0, 0, ("order", 1), 1.0), Verdict::Grant(_)));
    assert_eq!(ask(&mut b, 1020.0, 0, ("order", 1), 1.0), Verdict::Deny(Reason::NoContract));
}

#[test]
fn contracts_that_cannot_be_say_why() {
    let of = |team: &str, customers: Vec<u64>| Contract { customers, ..contract(team, 60.0, 1.0) };
    let wrong = |all: Vec<Contract>| Contracts::new(all, 100.0).expect_err("wrong");
    assert_eq!(
        wrong(vec![contract("a", 1.0, 1.0), contract("a", 2.0, 1.0)]),
        vec![Conflict::DuplicateVersion { first: 0, second: 1 }]
    );
    let shared = wrong(vec![of("a", vec![1, 2]), Contract { rate: 1.0, ..of("b", vec![2]) }]);
    assert_eq!(shared, vec![Conflict::SharedCustomer { customer: 2, first: 0, second: 1 }]);
    assert!(
        matches!(wrong(vec![of("a", vec![]), of("b", vec![])])[..], [Conflict::Oversold { promised, .. }] if promised == 120.0)
    );
    // One after the other is no conflict.
    let first = Contract { valid_until: 50.0, ..of("a", vec![1]) };
    let second = Contract { valid_from: 50.0, ..of("b", vec![1]) };
    let both = Contracts::new(vec![first, second], 100.0).expect("they can be");
    assert_eq!((both.team_of_customer(1, 49.0), both.team_of_customer(1, 51.0)), (Some("a"), Some("b")));
}

/// Front doors with one budget on one count, which may be silent to some.
fn spend(doors: usize, units: f64, silent: impl Fn(usize, f64) -> bool) -> f64 {
    let budget = Budget { units, period: 1000.0 };
    let (mut accounts, mut total) = (vec![BudgetAccount::default(); doors], 0.0);
    for step in 0..400 {
        let now = 1000.0 + 0.05 * f64::from(step);
        for (d, account) in accounts.iter_mut().enumerate() {
            for _ in 0..8 {
                let response = account.request(now, &budget, doors, 1.0);
                let mut next = response.counter_call;
                while let Some(call) = next {
                    if silent(d, now) {
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
    accounts.iter().map(|a| a.spent).sum()
}

#[test]
fn a_budget_is_spent_once_by_all_front_doors_together() {
    let spent = spend(6, 1000.0, |_, _| false);
    assert!((950.0..=1000.0).contains(&spent), "{spent}");
    // Silent to all from the start: even slices.
    assert_eq!(spend(5, 1000.0, |_, _| true), 1000.0);
    // Silent to two of six from the middle on: these have their part of what was left, and no more beside.
    let part = spend(6, 3000.0, |d, now| d < 2 && now > 1002.0);
    assert!((2400.0..=3000.0 * (1.0 + 2.0 / 6.0)).contains(&part), "{part}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever teams ask for: what is within its contract a team always has, and all together never have more than there is.
    #[test]
    fn own_is_always_there_and_all_is_never_more_than_there_is(
        teams in proptest::collection::vec((1.0f64..20.0, 1.0f64..30.0, 0.1f64..5.0), 1..8),
        spare in 0.0f64..40.0,
        asks in proptest::collection::vec((0usize..8, 0.1f64..6.0, 0.0f64..0.2), 1..400),
    ) {
        let capacity = teams.iter().map(|t| t.0).sum::<f64>() + spare;
        let mut l = FairShareLimiter::new(0.0, capacity);
        for (i, terms) in teams.iter().enumerate() {
            let (rate, burst, weight) = *terms;
            l.set_terms(0.0, i, Terms { rate, burst, weight });
        }
        // A plain store beside, of what a team that kept to its contract would have.
        let mut own: Vec<(f64, f64)> = teams.iter().map(|t| (t.1, 0.0)).collect();
        let (mut now, mut all) = (0.0, 0.0);
        for (team, units, after) in asks {
            now += after;
            let team = team % teams.len();
            let (rate, burst, _) = teams[team];
            let (level, at) = &mut own[team];
            *level = (*level + rate * (now - *at)).min(burst);
            *at = now;
            let within = *level - 2.0 * rate * 0.001 >= units && units <= burst;
            let came = l.try_take(now, team, units);
            prop_assert!(!within || came.is_ok(), "{level} and {units} refused");
            if came.is_ok() {
                all += units;
                if came == Ok(Source::Own) {
                    *level -= units;
                }
            }
            let most = capacity * now + teams.iter().map(|t| t.1).sum::<f64>() + capacity * MAX_BORROWED_SECONDS + 6.0;
            prop_assert!(all <= most, "{} of {}", all, most);
        }
    }
}
