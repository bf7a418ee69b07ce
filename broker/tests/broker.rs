//! Contracts and budgets of a broker, and the fair-share limiter, on a simulated clock.
use quillramp_broker::budget::CounterCall;
use quillramp_broker::contract::{Budget, Conflict, Contract, Contracts, OperationLimit};
use quillramp_broker::fair_share::{FairShareLimiter, Terms, MAX_BORROWED_SECONDS};
use quillramp_broker::{Broker, Grant, Reason, Request, Verdict};
use std::collections::BTreeMap;

/// Unix time at which each broker starts, seconds.
const START: f64 = 1000.0;

/// A contract of one version that is valid at any time.
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

fn contracts(contracts: Vec<Contract>, capacity: f64) -> Contracts {
    Contracts::new(contracts, capacity).expect("contracts without a conflict")
}

fn new_broker(all: Vec<Contract>, capacity: f64) -> Broker {
    Broker::new(START, contracts(all, capacity), 1, capacity)
}

/// A request of one unit.
fn one_unit(operation: &str, customer: u64) -> Request<'_> {
    Request { operation, customer, units: 1.0 }
}

fn request(broker: &mut Broker, now: f64, team: usize, request: Request) -> Verdict {
    broker.request(now, team, request).verdict
}

fn is_granted(broker: &mut Broker, now: f64, team: usize, request: Request) -> bool {
    matches!(broker.request(now, team, request).verdict, Verdict::Grant(_))
}

/// Teams of the flood, each with the same contract.
const TEAMS: usize = 20;
/// Units per second in the contract of each team.
const TEAM_RATE: f64 = 10.0;
const TEAM_BURST: f64 = 20.0;
/// Units per second of all teams together.
const CAPACITY: f64 = 250.0;
/// Duration of the requests in seconds, and in steps of the clock.
const FLOOD_DURATION: f64 = 60.0;
const STEPS: u32 = 6000;
/// Duration of one step, seconds.
const STEP: f64 = 0.01;
/// Steps between two requests of a team within its contract: about nine requests a second.
const STEPS_PER_REQUEST: f64 = 11.0;

/// Returns the units granted to each team if the first team sends requests at this multiple of the others' rate.
fn granted_units(first_team_factor: f64) -> Vec<u64> {
    let all = (0..TEAMS).map(|team| contract(&format!("t{team:02}"), TEAM_RATE, TEAM_BURST)).collect();
    let mut broker = new_broker(all, CAPACITY);
    let mut granted = vec![0; TEAMS];
    for step in 0..STEPS {
        let step = f64::from(step);
        let now = START + STEP * step;
        for (team, granted) in granted.iter_mut().enumerate() {
            let factor = if team == 0 { first_team_factor } else { 1.0 };
            // Each team has a different phase.
            let sent_by = |step: f64| (step + 0.5 * team as f64) * factor / STEPS_PER_REQUEST;
            let sent = sent_by(step) as u64;
            let sent_before = sent_by(step - 1.0).max(0.0) as u64;
            for _ in sent_before..sent {
                *granted += u64::from(is_granted(&mut broker, now, team, one_unit("look", 1)));
            }
        }
    }
    granted
}

#[test]
fn a_flood_takes_nothing_from_teams_within_their_contracts() {
    let without_flood = granted_units(1.0);
    let with_flood = granted_units(80.0);
    assert_eq!(with_flood[1..], without_flood[1..], "the other teams are granted the same to the unit");
    let flooding_team = with_flood[0];
    assert!(
        flooding_team > 2 * without_flood[0],
        "the flooding team got {flooding_team} units, {} without a flood",
        without_flood[0]
    );
    // The other teams use nine units a second each; the bursts and a margin of a twentieth come on top.
    let unused_rate = CAPACITY - 19.0 * 9.0;
    let bound = FLOOD_DURATION * unused_rate * 1.05 + TEAM_BURST + CAPACITY * MAX_BORROWED_SECONDS;
    assert!(
        (flooding_team as f64) < bound,
        "the flooding team got {flooding_team} units, expected less than {bound}"
    );
}

#[test]
fn unused_capacity_is_lent_by_weighted_max_min() {
    const UNITS: f64 = 0.1;
    const SECONDS: f64 = 20.0;
    let mut limiter = FairShareLimiter::new(0.0, 100.0);
    for (team, weight) in [1.0, 3.0, 1.0, 1.0].into_iter().enumerate() {
        limiter.set_terms(0.0, team, Terms { rate: 10.0, burst: 1.0, weight });
    }
    let mut granted = [0.0; 4];
    for step in 1..=20_000 {
        let now = 0.001 * f64::from(step);
        // Two teams request all they can get, the third slightly more than its rate, the fourth nothing.
        for team in [0, 1] {
            while limiter.try_take(now, team, UNITS).is_ok() {
                granted[team] += UNITS;
            }
        }
        if step % 8 == 0 && limiter.try_take(now, 2, UNITS).is_ok() {
            granted[2] += UNITS;
        }
    }
    let rates = granted.map(|units| units / SECONDS);
    // The third team's 12.5 leave 87.5: the first two get their rates of 10 each, and the other 67.5 in the ratio one to three.
    assert!((rates[2] - 12.5).abs() < 0.3, "{rates:?}");
    assert!((rates[0] - (10.0 + 67.5 * 0.25)).abs() < 1.0, "{rates:?}");
    assert!((rates[1] - (10.0 + 67.5 * 0.75)).abs() < 1.0, "{rates:?}");
}

/// Takes all units that are available to a team; returns their number.
fn drain(limiter: &mut FairShareLimiter, now: f64, team: usize) -> f64 {
    const UNITS: f64 = 0.5;
    let mut drained = 0.0;
    while limiter.try_take(now, team, UNITS).is_ok() {
        drained += UNITS;
    }
    drained
}

/// An owner whose capacity was lent has its full bucket at once. In the second after that, borrowers take no more than the
/// documented bound.
#[test]
fn an_owner_that_requests_again_has_its_full_burst() {
    const OWNER: usize = 0;
    const BORROWER: usize = 1;
    let mut limiter = FairShareLimiter::new(0.0, 20.0);
    for team in [OWNER, BORROWER] {
        limiter.set_terms(0.0, team, Terms { rate: 10.0, burst: 20.0, weight: 1.0 });
    }
    for step in 1..=1000 {
        drain(&mut limiter, 0.01 * f64::from(step), BORROWER);
    }
    let burst = drain(&mut limiter, 10.01, OWNER);
    assert!((20.0..=20.5).contains(&burst), "the owner got {burst} units");
    let second_after = (0..100).map(|step| 10.02 + 0.01 * f64::from(step));
    let borrowed: f64 = second_after.map(|now| drain(&mut limiter, now, BORROWER)).sum();
    assert!(
        borrowed <= 10.0 + 20.0 * MAX_BORROWED_SECONDS + 0.5,
        "borrowed {borrowed} units in the second after"
    );
}

#[test]
fn a_contract_limits_operations_and_customers() {
    let radiology = Contract {
        operations: vec!["look*".into()],
        customers: vec![7, 8],
        ..contract("radiology", 10.0, 10.0)
    };
    let mut broker = new_broker(vec![radiology, contract("surgery", 5.0, 5.0)], 20.0);
    let radiology = broker.team_id("radiology");
    let surgery = broker.team_id("surgery");
    let no_contract = broker.team_id("nobody");
    let mut verdict =
        |team, operation, customer| request(&mut broker, START, team, one_unit(operation, customer));
    let granted = verdict(radiology, "lookup", 7);
    assert!(matches!(granted, Verdict::Grant(_)), "{granted:?}");
    assert_eq!(verdict(radiology, "order", 7), Verdict::Deny(Reason::Operation));
    assert_eq!(verdict(radiology, "lookup", 9), Verdict::Deny(Reason::Customer));
    let granted = verdict(surgery, "order", 9);
    assert!(matches!(granted, Verdict::Grant(_)), "{granted:?}");
    assert_eq!(verdict(no_contract, "look", 7), Verdict::Deny(Reason::NoContract));

    assert_eq!(broker.team_of_customer(START, 8), Some(radiology));
    assert_eq!(broker.team_of_customer(START, 9), None);
    let usage = |name: &str| broker.usage().find(|team| team.team == name).expect("a team with requests");
    let of_radiology = usage("radiology");
    assert_eq!(of_radiology.version, Some(1));
    assert_eq!(of_radiology.usage.granted, 1);
    assert_eq!(of_radiology.usage.denied, 2);
    let without_contract = usage("nobody");
    assert_eq!(without_contract.version, None);
    assert_eq!(without_contract.usage.granted, 0);
    assert_eq!(without_contract.usage.denied, 1);
}

#[test]
fn an_operation_limit_applies_and_a_rejected_request_spends_nothing() {
    let order_limit = OperationLimit { operation: "order".into(), rate: 1.0, burst: 2.0 };
    let contract = Contract { operation_limits: vec![order_limit], ..contract("t", 100.0, 100.0) };
    let mut broker = new_broker(vec![contract], 100.0);
    let order = one_unit("order", 1);
    let look = one_unit("look", 1);
    assert!(is_granted(&mut broker, START, 0, order));
    assert!(is_granted(&mut broker, START, 0, order));
    let verdict = request(&mut broker, START, 0, order);
    let Verdict::RetryAfter { seconds, reason: Reason::OperationRate } = verdict else {
        panic!("{verdict:?}")
    };
    assert!((seconds - 1.0).abs() < 1e-6, "{seconds}");
    assert_eq!(broker.available(0).own, 98.0, "the rejected request spent nothing");
    // A request that the contract's rate rejects does not count against the operation's limit.
    while is_granted(&mut broker, START, 0, look) {}
    assert!(is_granted(&mut broker, START + 3.0, 0, order));
    let large = Request { units: 500.0, ..look };
    let verdict = request(&mut broker, START + 3.0, 0, large);
    assert!(matches!(verdict, Verdict::RetryAfter { .. } | Verdict::Grant(_)), "{verdict:?}");
}

/// Guards against units that are refunded to another operation: a grant named its limit by its position in the contract, and contracts
/// that are replaced may have their limits in another order.
#[test]
fn a_refund_goes_to_the_limit_of_its_operation_after_limits_were_reordered() {
    let limit = |operation: &str| OperationLimit { operation: operation.into(), rate: 0.001, burst: 2.0 };
    let with_limits = |operations: [&str; 2]| Contract {
        operation_limits: operations.map(limit).into(),
        ..contract("t", 100.0, 100.0)
    };
    let mut broker = new_broker(vec![with_limits(["order", "look"])], 100.0);
    let [order, look] = ["order", "look"].map(|operation| Request { units: 2.0, ..one_unit(operation, 1) });
    let Verdict::Grant(unused) = request(&mut broker, START, 0, order) else { panic!("a full bucket") };
    assert!(is_granted(&mut broker, START, 0, look));
    broker.set_contracts(START, contracts(vec![with_limits(["look", "order"])], 100.0), 100.0);
    broker.refund(&unused);
    assert!(!is_granted(&mut broker, START, 0, look), "the units of an order were refunded to look-ups");
    assert!(is_granted(&mut broker, START, 0, order), "the refunded units are available again");
}

/// A broker of one team whose counter answers each call at once.
struct BudgetedTeam {
    broker: Broker,
    /// Totals on the counter by period.
    totals: BTreeMap<u64, f64>,
}

impl BudgetedTeam {
    const CAPACITY: f64 = 2000.0;

    fn new(contract: Contract) -> BudgetedTeam {
        BudgetedTeam { broker: new_broker(vec![contract], Self::CAPACITY), totals: BTreeMap::new() }
    }

    fn set_contracts(&mut self, now: f64, all: Vec<Contract>) {
        self.broker.set_contracts(now, contracts(all, Self::CAPACITY), Self::CAPACITY);
    }

    /// Requests units, and retries while the verdict depends on a pending counter call.
    fn spend(&mut self, now: f64, units: f64) -> Verdict {
        let request = Request { operation: "look", customer: 1, units };
        loop {
            let response = self.broker.request(now, 0, request);
            let called_counter = response.counter_call.is_some();
            self.answer_counter_calls(now, response.counter_call);
            let is_pending = matches!(response.verdict, Verdict::RetryAfter { reason: Reason::Budget, .. });
            if !(called_counter && is_pending) {
                return response.verdict;
            }
        }
    }

    /// Requests units, which must be granted.
    fn spend_granted(&mut self, now: f64, units: f64) -> Grant {
        match self.spend(now, units) {
            Verdict::Grant(grant) => grant,
            other => panic!("{other:?}"),
        }
    }

    /// Answers a counter call and the calls that follow from the answers.
    fn answer_counter_calls(&mut self, now: f64, first: Option<CounterCall>) {
        let mut next = first;
        while let Some(call) = next {
            let total = self.totals.entry(call.period).or_default();
            *total += call.amount;
            next = self.broker.call_answered(now, 0, call.period, Some(*total));
        }
    }
}

/// The highest valid version is in force; grants are settled under their own version; a team whose contract ends and begins again
/// keeps what it has spent.
#[test]
fn contracts_change_in_service() {
    let budget = |units| Some(Budget { units, period: 3600.0 });
    let version_1 = Contract { budget: budget(100.0), ..contract("t", 1000.0, 1000.0) };
    let mut team = BudgetedTeam::new(version_1.clone());
    let grant = team.spend_granted(1000.0, 30.0);
    assert_eq!(grant.version, 1);
    // A budget below the spent units: no more units in this period.
    let version_2 = Contract { version: 2, budget: budget(20.0), ..version_1.clone() };
    team.set_contracts(1001.0, vec![version_1.clone(), version_2]);
    let verdict = team.spend(1001.0, 30.0);
    let Verdict::RetryAfter { seconds, reason: Reason::Budget } = verdict else { panic!("{verdict:?}") };
    assert!(seconds > 2000.0, "{seconds}");
    // Without a contract every request is denied; existing grants are settled.
    team.broker.set_contracts(1002.0, Contracts::default(), BudgetedTeam::CAPACITY);
    assert_eq!(team.spend(1002.0, 1.0), Verdict::Deny(Reason::NoContract));
    team.broker.settle(1002.0, &grant, 25.0);
    // With a contract and a larger budget again, the spent units stay spent.
    let version_3 = Contract { version: 3, budget: budget(60.0), ..version_1 };
    team.set_contracts(1003.0, vec![version_3]);
    let mut granted = 0.0;
    while matches!(team.spend(1003.0, 5.0), Verdict::Grant(_)) {
        granted += 5.0;
    }
    assert!((20.0..=35.0).contains(&granted), "{granted}");
    let in_next_period = team.spend(4000.0, 5.0);
    assert!(matches!(in_next_period, Verdict::Grant(_)), "{in_next_period:?}");
}

#[test]
fn versions_begin_and_end_by_time() {
    let version_1 = Contract { valid_until: 1010.0, ..contract("t", 10.0, 10.0) };
    let version_2 = Contract {
        version: 2,
        valid_from: 1005.0,
        valid_until: 1020.0,
        operations: vec!["order".into()],
        ..contract("t", 10.0, 10.0)
    };
    let mut broker = new_broker(vec![version_1, version_2], 10.0);
    assert!(is_granted(&mut broker, 1004.9, 0, one_unit("look", 1)));
    assert!(!is_granted(&mut broker, 1005.0, 0, one_unit("look", 1)), "version 2 is only for 'order'");
    assert!(is_granted(&mut broker, 1019.0, 0, one_unit("order", 1)));
    let verdict = request(&mut broker, 1020.0, 0, one_unit("order", 1));
    assert_eq!(verdict, Verdict::Deny(Reason::NoContract));
}

/// A contract for these customers. Two such contracts exceed the capacity of 100 units per second.
fn contract_for(team: &str, customers: Vec<u64>) -> Contract {
    Contract { customers, ..contract(team, 60.0, 1.0) }
}

fn conflicts(contracts: Vec<Contract>) -> Vec<Conflict> {
    Contracts::new(contracts, 100.0).expect_err("a conflict")
}

#[test]
fn conflicting_contracts_are_rejected() {
    let same_version = vec![contract("a", 1.0, 1.0), contract("a", 2.0, 1.0)];
    assert_eq!(conflicts(same_version), [Conflict::DuplicateVersion { first: 0, second: 1 }]);
    let same_customer =
        vec![contract_for("a", vec![1, 2]), Contract { rate: 1.0, ..contract_for("b", vec![2]) }];
    let expected = [Conflict::SharedCustomer { customer: 2, first: 0, second: 1 }];
    assert_eq!(conflicts(same_customer), expected);
    let oversold = conflicts(vec![contract_for("a", vec![]), contract_for("b", vec![])]);
    let [Conflict::Oversold { promised, .. }] = oversold[..] else { panic!("{oversold:?}") };
    assert_eq!(promised, 120.0);
}

#[test]
fn consecutive_contracts_of_one_customer_do_not_conflict() {
    let first = Contract { valid_until: 50.0, ..contract_for("a", vec![1]) };
    let second = Contract { valid_from: 50.0, ..contract_for("b", vec![1]) };
    let both = contracts(vec![first, second], 100.0);
    assert_eq!(both.team_of_customer(1, 49.0), Some("a"));
    assert_eq!(both.team_of_customer(1, 51.0), Some("b"));
}
