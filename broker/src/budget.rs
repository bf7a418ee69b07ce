//! A team's budget of a period, over many front doors: leased in parts from a count by team and period, as customers' units are. While the
//! counter says nothing, an even slice of what was left when it was last heard of; at a period's turn front doors ask when they need, not all at once.
use crate::contract::Budget;

/// The part of a budget that one lease takes, of what a front door's even share of it is.
const PART: f64 = 1.0 / 16.0;
/// While a call is on its way an invocation may come again after this, seconds.
const SOON: f64 = 0.05;
/// A period's count lives for so many periods.
pub const LIVES: f64 = 1.5;
/// A lease that was not answered for so long is given up, seconds; and not asked for again for so long.
const PATIENCE: f64 = 1.0;

/// A call on the count of a team's period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    pub period: u64,
    pub add: f64,
    /// Seconds that a new count lives.
    pub lives: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Account {
    period: u64,
    /// Leased and not yet spent.
    leased: f64,
    /// What all front doors together have leased, when it was last heard of.
    total: f64,
    heard: Option<f64>,
    /// Spent of the even slice while nothing was heard: to be told to the count.
    owed: f64,
    /// A call is out since then, for so many units, of which so many pay what is owed.
    out: Option<(f64, f64, f64)>,
    /// No call before that.
    again: f64,
    /// Spent here in this period.
    pub spent: f64,
}

/// What a budget says to an invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Says {
    Yes,
    /// Spent; the next period begins in so many seconds.
    Spent(f64),
    /// A call is on its way: in so many seconds.
    Soon(f64),
}

impl Account {
    fn turns(&mut self, now: f64, budget: &Budget) {
        let period = (now / budget.period) as u64;
        if period != self.period {
            *self = Account { period, ..Account::default() };
        }
    }

    /// Takes units from what is leased, and may want a call.
    pub fn takes(&mut self, now: f64, budget: &Budget, doors: usize, units: f64) -> (Says, Option<Call>) {
        self.turns(now, budget);
        let ends = (self.period + 1) as f64 * budget.period - now;
        // A budget that was cut takes back what is leased beyond it.
        let over = (self.total - budget.units).clamp(0.0, self.leased.max(0.0));
        if over > 0.0 {
            (self.leased, self.total) = (self.leased - over, self.total - over);
            let back = Call { period: self.period, add: -over, lives: budget.period * LIVES };
            let says = if self.leased >= units { self.spends(units) } else { Says::Spent(ends) };
            return (says, Some(back));
        }
        if self.leased >= units {
            let says = self.spends(units);
            let low = self.leased < budget.units / doors as f64 * PART / 4.0;
            return (says, if low { self.calls(now, budget, doors, units) } else { None });
        }
        if self.heard.is_some() && self.total >= budget.units && self.out.is_none() && now < self.again {
            return (Says::Spent(ends), None);
        }
        if let Some((since, ..)) = self.out {
            if now - since <= PATIENCE {
                return (Says::Soon(SOON), None);
            }
            self.out = None; // it may have been added: what it leased is lost to this front door, not granted twice
            self.again = now + PATIENCE;
        }
        if now >= self.again {
            let call = self.calls(now, budget, doors, units);
            return (Says::Soon(SOON), call);
        }
        // In silence: an even slice of what is left as far as was heard.
        let slice = (budget.units - self.total).max(0.0) / doors as f64;
        if self.owed + units <= slice {
            self.owed += units;
            self.spent += units;
            return (Says::Yes, None);
        }
        (Says::Spent(ends), None)
    }

    fn spends(&mut self, units: f64) -> Says {
        self.leased -= units;
        self.spent += units;
        Says::Yes
    }

    fn calls(&mut self, now: f64, budget: &Budget, doors: usize, units: f64) -> Option<Call> {
        if self.out.is_some() || now < self.again {
            return None;
        }
        let batch = (budget.units / doors as f64 * PART).max(units);
        let add = batch + self.owed;
        self.out = Some((now, batch, self.owed));
        Some(Call { period: self.period, add, lives: budget.period * LIVES })
    }

    /// What came of a call: the total, that nothing was added, or nothing.
    pub fn told(&mut self, now: f64, budget: &Budget, period: u64, came: Option<f64>) -> Option<Call> {
        let (_, batch, owed) = self.out.filter(|_| period == self.period)?;
        self.out = None;
        let Some(total) = came else {
            self.again = now + PATIENCE;
            return None;
        };
        self.owed -= owed;
        (self.heard, self.total) = (Some(now), total);
        // What lies beyond the budget goes back.
        let over = (total - budget.units).clamp(0.0, batch);
        self.leased += batch - over;
        if over <= 0.0 {
            return None;
        }
        self.again = now + PATIENCE;
        self.total -= over;
        Some(Call { period, add: -over, lives: budget.period * LIVES })
    }

    pub fn gives_back(&mut self, units: f64) {
        self.leased += units;
        self.spent -= units;
    }

    /// What it really took beside what was taken for it.
    pub fn settles(&mut self, more: f64) {
        self.leased -= more;
        self.spent += more;
    }
}
