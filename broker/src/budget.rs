//! A team's budget for a period, shared by all gateway instances. Each instance leases parts of it from a count per team and period
//! on the counter, like the quotas of customers. While the counter is unreachable, an instance spends an even share of the
//! units that were left when the counter last answered. In a new period instances lease on demand, which avoids a thundering herd.
use crate::contract::Budget;

/// Size of a lease as a fraction of an instance's even share: small, so that few units are leased and unspent at any time.
const LEASE_FRACTION: f64 = 1.0 / 16.0;
/// Fraction of a lease below which the next one is requested.
const LOW_LEASE_FRACTION: f64 = 1.0 / 4.0;
/// Delay after which a request may be retried while a call is pending, seconds: longer than a call usually takes.
const PENDING_RETRY_AFTER: f64 = 0.05;
/// Timeout of a call, and pause after a failed call, seconds.
const CALL_TIMEOUT: f64 = 1.0;
/// Lifetime of a period's count, in periods: the count has to outlast its period.
pub const COUNT_LIFETIME_PERIODS: f64 = 1.5;

/// A call on the count of a team's period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The index of the period, counted from 1970.
    pub period: u64,
    /// The amount to add to the count; negative to return units.
    pub amount: f64,
    /// Lifetime of the count if it is new, seconds.
    pub lifetime: f64,
}

/// The verdict of a budget on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetVerdict {
    /// The units are granted and count as spent.
    Granted,
    /// The budget of the period is spent.
    Exhausted {
        /// Time until the next period begins, seconds.
        retry_after: f64,
    },
    /// No units are leased, and a call is pending.
    Pending {
        /// Delay after which to retry, seconds.
        retry_after: f64,
    },
}

/// The response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetResponse {
    /// The verdict.
    pub verdict: BudgetVerdict,
    /// The call that the caller has to make, if one is due.
    pub counter_call: Option<CounterCall>,
}

/// One instance's account of a team's budget, for the current period.
#[derive(Clone, Debug, Default)]
pub struct BudgetAccount {
    /// The index of the current period.
    period: u64,
    /// Units that are leased and unspent; negative if requests took more than was granted.
    leased: f64,
    /// Units that all instances have leased, according to the counter's last answer.
    total_leased: f64,
    /// Whether the counter has answered in this period.
    has_total: bool,
    /// Units of the even share that were spent without a lease and have to be added to the count.
    debt: f64,
    outstanding: Option<OutstandingCall>,
    /// Earliest time of the next call, seconds.
    next_call: f64,
    /// Units that this instance has spent in this period.
    pub spent: f64,
}

/// A call whose answer is pending.
#[derive(Clone, Copy, Debug)]
struct OutstandingCall {
    /// Time of the call, seconds.
    since: f64,
    /// Units to lease.
    lease: f64,
    /// Units that settle the debt.
    debt: f64,
}

impl BudgetAccount {
    /// Decides on a request; its units are spent if the lease or the even share covers them.
    pub fn request(&mut self, now: f64, budget: &Budget, instances: usize, units: f64) -> BudgetResponse {
        self.enter_period(now, budget);
        if let Some(excess) = self.take_excess(budget) {
            let verdict = if self.leased >= units { self.spend(units) } else { self.exhausted(now, budget) };
            return BudgetResponse { verdict, counter_call: Some(self.call(budget, -excess)) };
        }
        if self.leased >= units {
            let verdict = self.spend(units);
            let is_low = self.leased < lease_size(budget, instances) * LOW_LEASE_FRACTION;
            let counter_call = if is_low { self.lease(now, budget, instances, units) } else { None };
            return BudgetResponse { verdict, counter_call };
        }
        self.request_unleased(now, budget, instances, units)
    }

    /// Handles the total that a call returned; `None` if the call failed. Returns a further call that is due.
    pub fn call_answered(
        &mut self,
        now: f64,
        budget: &Budget,
        period: u64,
        total: Option<f64>,
    ) -> Option<CounterCall> {
        let call = self.outstanding.filter(|_| period == self.period)?;
        self.outstanding = None;
        let Some(total) = total else {
            self.next_call = now + CALL_TIMEOUT;
            return None;
        };
        self.debt -= call.debt;
        self.has_total = true;
        self.total_leased = total;
        // Units that were leased beyond the budget are returned.
        let excess = (total - budget.units).clamp(0.0, call.lease);
        self.leased += call.lease - excess;
        if excess <= 0.0 {
            return None;
        }
        self.next_call = now + CALL_TIMEOUT;
        self.total_leased -= excess;
        Some(self.call(budget, -excess))
    }

    /// Returns units that were spent and not used.
    pub fn refund(&mut self, units: f64) {
        self.leased += units;
        self.spent -= units;
    }

    /// Adds to the spent units the difference between the units that a request used and those granted; may be negative.
    pub fn adjust(&mut self, difference: f64) {
        self.leased -= difference;
        self.spent += difference;
    }

    fn enter_period(&mut self, now: f64, budget: &Budget) {
        let period = (now / budget.period) as u64;
        if period != self.period {
            *self = BudgetAccount { period, ..BudgetAccount::default() };
        }
    }

    /// Removes and returns the leased units that exceed a budget after it was lowered.
    fn take_excess(&mut self, budget: &Budget) -> Option<f64> {
        let excess = (self.total_leased - budget.units).clamp(0.0, self.leased.max(0.0));
        if excess <= 0.0 {
            return None;
        }
        self.leased -= excess;
        self.total_leased -= excess;
        Some(excess)
    }

    /// Handles a request beyond the leased units: leases more, or spends from the even share while the counter is unreachable.
    fn request_unleased(
        &mut self,
        now: f64,
        budget: &Budget,
        instances: usize,
        units: f64,
    ) -> BudgetResponse {
        let pending = BudgetVerdict::Pending { retry_after: PENDING_RETRY_AFTER };
        let is_all_leased = self.has_total && self.total_leased >= budget.units;
        if is_all_leased && self.outstanding.is_none() && now < self.next_call {
            return BudgetResponse { verdict: self.exhausted(now, budget), counter_call: None };
        }
        if let Some(call) = self.outstanding {
            if now - call.since <= CALL_TIMEOUT {
                return BudgetResponse { verdict: pending, counter_call: None };
            }
            // The call may have been applied: its lease is forfeited, so that no unit is granted twice.
            self.outstanding = None;
            self.next_call = now + CALL_TIMEOUT;
        }
        if now >= self.next_call {
            let counter_call = self.lease(now, budget, instances, units);
            return BudgetResponse { verdict: pending, counter_call };
        }
        let even_share = (budget.units - self.total_leased).max(0.0) / instances as f64;
        let is_covered = self.debt + units <= even_share;
        if is_covered {
            self.debt += units;
            self.spent += units;
        }
        let verdict = if is_covered { BudgetVerdict::Granted } else { self.exhausted(now, budget) };
        BudgetResponse { verdict, counter_call: None }
    }

    fn spend(&mut self, units: f64) -> BudgetVerdict {
        self.leased -= units;
        self.spent += units;
        BudgetVerdict::Granted
    }

    fn exhausted(&self, now: f64, budget: &Budget) -> BudgetVerdict {
        let next_period = (self.period + 1) as f64 * budget.period;
        BudgetVerdict::Exhausted { retry_after: next_period - now }
    }

    fn lease(&mut self, now: f64, budget: &Budget, instances: usize, units: f64) -> Option<CounterCall> {
        if self.outstanding.is_some() || now < self.next_call {
            return None;
        }
        let lease = lease_size(budget, instances).max(units);
        self.outstanding = Some(OutstandingCall { since: now, lease, debt: self.debt });
        Some(self.call(budget, lease + self.debt))
    }

    fn call(&self, budget: &Budget, amount: f64) -> CounterCall {
        CounterCall { period: self.period, amount, lifetime: budget.period * COUNT_LIFETIME_PERIODS }
    }
}

fn lease_size(budget: &Budget, instances: usize) -> f64 {
    budget.units / instances as f64 * LEASE_FRACTION
}
