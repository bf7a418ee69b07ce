//! A team's budget of a period, shared by many gateway instances: each leases parts of it from a count by team and period, as it does
//! with customers' quotas. While the counter does not answer, an instance spends an even slice of what was left when it last did. At
//! the turn of a period instances call when they need units, not all at once.
use crate::contract::Budget;

/// The part that one lease takes of an instance's even share: small, so that little is out at a time.
const LEASE_FRACTION: f64 = 1.0 / 16.0;
/// With less than this part of a lease left, the next one is asked for.
const LOW_LEASE_FRACTION: f64 = 1.0 / 4.0;
/// A request may be tried again after this while a call is out, seconds: longer than the counter usually takes.
const PENDING_RETRY_AFTER: f64 = 0.05;
/// A call that was not answered within this time is given up, seconds; and none is made again for so long.
const CALL_TIMEOUT: f64 = 1.0;
/// A period's count lives for so many periods, so that it outlasts its period.
pub const COUNT_LIFETIME_PERIODS: f64 = 1.5;

/// A call on the count of a team's period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The period's number.
    pub period: u64,
    /// What is added to its count; negative to give units back.
    pub amount: f64,
    /// How long a new count lives, seconds.
    pub lifetime: f64,
}

/// Whether a budget has units for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetVerdict {
    /// They are spent on it.
    Granted,
    /// It is spent.
    Exhausted {
        /// When the next period begins, seconds from now.
        retry_after: f64,
    },
    /// A call is out.
    Pending {
        /// When to try again, seconds from now.
        retry_after: f64,
    },
}

/// The verdict on a request, and a call on the count that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetResponse {
    /// Whether there are units.
    pub verdict: BudgetVerdict,
    /// The call.
    pub counter_call: Option<CounterCall>,
}

/// What one instance has of a team's budget.
#[derive(Clone, Debug, Default)]
pub struct BudgetAccount {
    period: u64,
    /// Units that are leased and not spent; negative where requests took more than was granted.
    leased: f64,
    /// What all instances have leased, as far as the counter last answered.
    total_leased: f64,
    /// The counter has answered in this period.
    has_total: bool,
    /// Units of the even slice that were spent without a lease, and have to be added to the count.
    debt: f64,
    outstanding: Option<OutstandingCall>,
    /// No call before then, seconds.
    next_call: f64,
    /// Units that this instance has spent in this period.
    pub spent: f64,
}

/// A call without an answer.
#[derive(Clone, Copy, Debug)]
struct OutstandingCall {
    since: f64,
    /// Units to lease.
    lease: f64,
    /// Units that pay debt.
    debt: f64,
}

impl BudgetAccount {
    /// Spends units, if there are some.
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

    /// A call was answered with a total, or not with one; another one may be due.
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
        // What was leased beyond the budget goes back.
        let excess = (total - budget.units).clamp(0.0, call.lease);
        self.leased += call.lease - excess;
        if excess <= 0.0 {
            return None;
        }
        self.next_call = now + CALL_TIMEOUT;
        self.total_leased -= excess;
        Some(self.call(budget, -excess))
    }

    /// Units that were spent and not used.
    pub fn refund(&mut self, units: f64) {
        self.leased += units;
        self.spent -= units;
    }

    /// What a request took beside what was granted; may be negative.
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

    /// Takes out what is leased beyond a budget that was cut.
    fn take_excess(&mut self, budget: &Budget) -> Option<f64> {
        let excess = (self.total_leased - budget.units).clamp(0.0, self.leased.max(0.0));
        if excess <= 0.0 {
            return None;
        }
        self.leased -= excess;
        self.total_leased -= excess;
        Some(excess)
    }

    /// Without enough units leased: leases some, or spends of the even slice while the counter does not answer.
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
            // It may have been added: what it leased is lost to this instance, and not granted twice.
            self.outstanding = None;
            self.next_call = now + CALL_TIMEOUT;
        }
        if now >= self.next_call {
            let counter_call = self.lease(now, budget, instances, units);
            return BudgetResponse { verdict: pending, counter_call };
        }
        let slice = (budget.units - self.total_leased).max(0.0) / instances as f64;
        let has_slice = self.debt + units <= slice;
        if has_slice {
            self.debt += units;
            self.spent += units;
        }
        let verdict = if has_slice { BudgetVerdict::Granted } else { self.exhausted(now, budget) };
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
