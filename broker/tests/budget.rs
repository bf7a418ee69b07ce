//! A budget shared by several gateway instances, which lease its units from a total on the counter, on a simulated clock.
use quillramp_broker::budget::{BudgetAccount, BudgetVerdict};
use quillramp_broker::contract::Budget;

/// Unix time of the start of the budget's period, seconds.
const START: f64 = 1000.0;
const PERIOD: f64 = 1000.0;
/// Seconds between two rounds of requests.
const ROUND_INTERVAL: f64 = 0.05;
const ROUNDS: u32 = 400;
/// Requests of one unit that each instance sends in a round.
const REQUESTS_PER_ROUND: usize = 8;

/// Gateway instances that share a budget, and its total on the counter.
struct Fleet {
    budget: Budget,
    accounts: Vec<BudgetAccount>,
    total: f64,
}

impl Fleet {
    /// Requests a unit at an instance and answers the resulting counter calls.
    fn request(&mut self, now: f64, instance: usize, is_unreachable: bool) -> BudgetVerdict {
        let instances = self.accounts.len();
        let account = &mut self.accounts[instance];
        let response = account.request(now, &self.budget, instances, 1.0);
        let mut next = response.counter_call;
        while let Some(call) = next {
            if is_unreachable {
                account.call_answered(now, &self.budget, call.period, None);
                break;
            }
            self.total += call.amount;
            next = account.call_answered(now, &self.budget, call.period, Some(self.total));
        }
        response.verdict
    }
}

/// Returns the units of one budget that gateway instances spend; the counter may be unreachable for some of them.
fn spend_budget(instances: usize, units: f64, is_unreachable: impl Fn(usize, f64) -> bool) -> f64 {
    let budget = Budget { units, period: PERIOD };
    let mut fleet = Fleet { budget, accounts: vec![BudgetAccount::default(); instances], total: 0.0 };
    for round in 0..ROUNDS {
        let now = START + ROUND_INTERVAL * f64::from(round);
        for instance in 0..instances {
            for _ in 0..REQUESTS_PER_ROUND {
                let verdict = fleet.request(now, instance, is_unreachable(instance, now));
                if matches!(verdict, BudgetVerdict::Exhausted { .. }) {
                    break;
                }
            }
        }
    }
    fleet.accounts.iter().map(|account| account.spent).sum()
}

#[test]
fn a_budget_is_spent_once_by_all_instances_together() {
    let spent = spend_budget(6, 1000.0, |_, _| false);
    assert!((950.0..=1000.0).contains(&spent), "{spent}");
}

#[test]
fn without_a_reachable_counter_each_instance_spends_an_even_share() {
    assert_eq!(spend_budget(5, 1000.0, |_, _| true), 1000.0);
}

/// Two of six instances lose the counter halfway through: they spend at most their even shares of the units that were left.
#[test]
fn instances_that_lose_the_counter_spend_no_more_than_their_even_shares_of_the_rest() {
    let spent = spend_budget(6, 3000.0, |instance, now| instance < 2 && now > START + 2.0);
    assert!((2400.0..=3000.0 * (1.0 + 2.0 / 6.0)).contains(&spent), "{spent}");
}
