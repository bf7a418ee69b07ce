//! A broker between teams: each has a contract that says what it may ask for, at which rate, and within which budget. A team that asks for more is
//! told when to come again; the others do not notice. Room that nobody uses is lent.
//!
//! No I/O, no clock. It says nothing of backends, repeats and customers' own quotas, which are `quillramp::decide`'s: an invocation is asked about here
//! first, and what that then refuses is given back.
pub mod budget;
pub mod contract;
pub mod lending;

use budget::{Account, Call, Says};
use contract::{Contract, Contracts};
use lending::{Lender, Source, Team};
use std::collections::HashMap;
use std::sync::Arc;

/// What was taken for an invocation, under the version that was in force then.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    pub team: Team,
    pub version: u32,
    pub units: f64,
    source: Source,
    expected: Option<usize>,
}

/// Why a team has no units now, or none at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    /// No contract of its is in force.
    NoContract,
    /// Its contract does not have the operation.
    Operation,
    /// It does not speak for the customer.
    Customer,
    Rate,
    Expected,
    Budget,
}

impl Why {
    pub fn code(self) -> &'static str {
        match self {
            Why::NoContract => "no contract in force",
            Why::Operation => "not an operation of its contract",
            Why::Customer => "not a customer that it speaks for",
            Why::Rate => "rate",
            Why::Expected => "rate of the operation",
            Why::Budget => "budget",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum May {
    Take(Grant),
    /// Come again in so many seconds.
    Later(f64, Why),
    Never(Why),
}

/// A team's figures, from the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    pub taken: u64,
    pub units: f64,
    /// Of these, of others' unused room.
    pub lent: f64,
    pub later: u64,
    pub never: u64,
}

struct Held {
    name: String,
    /// The version whose terms hold, and stores of single operations under it.
    version: Option<u32>,
    each: Lender,
    budget: Account,
    usage: Usage,
}

pub struct Broker {
    contracts: Arc<Contracts>,
    doors: usize,
    capacity: f64,
    lender: Lender,
    teams: Vec<Held>,
    by_name: HashMap<String, Team>,
    /// When the next contract begins or ends.
    edge: f64,
}

impl Broker {
    /// One of so many front doors, which have so many units a second together.
    pub fn new(now: f64, contracts: Contracts, doors: usize, capacity: f64) -> Broker {
        let doors = doors.max(1);
        let mut new = Broker {
            contracts: Arc::default(),
            doors,
            capacity,
            lender: Lender::new(now, capacity / doors as f64),
            teams: vec![],
            by_name: HashMap::new(),
            edge: 0.0,
        };
        new.changes(now, contracts, capacity);
        new
    }

    // ======== facts

    /// Other contracts from now on, taken whole. What was taken before is settled under the version it was taken under; what a team has spent of
    /// a period stays spent, also where it was gone meanwhile.
    pub fn changes(&mut self, now: f64, contracts: Contracts, capacity: f64) {
        self.contracts = Arc::new(contracts);
        self.capacity = capacity;
        self.lender.capacity_is(now, capacity / self.doors as f64);
        let contracts = self.contracts.clone();
        let mut names: Vec<&str> = contracts.teams().collect();
        names.sort_unstable();
        for name in names {
            self.team(name);
        }
        self.versions(now);
    }

    /// The terms of whatever is in force now.
    fn versions(&mut self, now: f64) {
        let contracts = self.contracts.clone();
        self.edge = contracts.next_edge(now);
        for team in 0..self.teams.len() {
            let contract = contracts.of(&self.teams[team].name, now);
            let share = 1.0 / self.doors as f64;
            let terms = contract.map_or((0.0, 0.0, 1.0), |c| (c.rate * share, c.burst * share, c.weight));
            self.lender.terms(now, team, terms);
            let held = &mut self.teams[team];
            held.version = contract.map(|c| c.version);
            let each = contract.map_or(&[][..], |c| &c.each);
            for (i, e) in each.iter().enumerate() {
                held.each.terms(now, i, (e.rate * share, e.burst * share, 1.0));
            }
        }
    }

    /// Its number here; a name that was not known becomes one.
    pub fn team(&mut self, name: &str) -> Team {
        if let Some(team) = self.by_name.get(name) {
            return *team;
        }
        let held = Held {
            name: name.to_owned(),
            version: None,
            each: Lender::new(0.0, 0.0),
            budget: Account::default(),
            usage: Usage::default(),
        };
        self.teams.push(held);
        self.by_name.insert(name.to_owned(), self.teams.len() - 1);
        self.teams.len() - 1
    }

    /// The team that speaks for a customer, where contracts name it.
    pub fn speaks_for(&self, now: f64, customer: u64) -> Option<Team> {
        let name = self.contracts.speaks_for(customer, now)?;
        self.by_name.get(name).copied()
    }

    /// What was taken was never sent on.
    pub fn gives_back(&mut self, grant: &Grant) {
        self.lender.gives_back(grant.team, grant.units, grant.source);
        let held = &mut self.teams[grant.team];
        if let Some(i) = grant.expected.filter(|_| held.version == Some(grant.version)) {
            held.each.gives_back(i, grant.units, Source::Own);
        }
        held.budget.gives_back(grant.units);
        held.usage.taken -= 1;
        held.usage.units -= grant.units;
        if grant.source == Source::Lent {
            held.usage.lent -= grant.units;
        }
    }

    /// What it really took.
    pub fn settles(&mut self, now: f64, grant: &Grant, true_units: f64) {
        let more = true_units - grant.units;
        if more != 0.0 {
            self.lender.settles(now, grant.team, more);
            let held = &mut self.teams[grant.team];
            held.budget.settles(more);
            held.usage.units += more;
        }
    }

    /// What came of a call on a team's budget; perhaps another one is due.
    pub fn told(&mut self, now: f64, team: Team, period: u64, came: Option<f64>) -> Option<Call> {
        let contracts = self.contracts.clone();
        let held = self.teams.get_mut(team)?;
        let budget = contracts.of(&held.name, now).and_then(|c| c.budget)?;
        held.budget.told(now, &budget, period, came)
    }

    // ======== the question

    /// Whether this team may have this now, and a call on its budget's count that is due.
    pub fn asks(
        &mut self,
        now: f64,
        team: Team,
        (operation, customer): (&str, u64),
        units: f64,
    ) -> (May, Option<Call>) {
        if now >= self.edge {
            self.versions(now);
        }
        let contracts = self.contracts.clone();
        let Some(held) = self.teams.get_mut(team) else { return (May::Never(Why::NoContract), None) };
        let Some(contract) = contracts.of(&held.name, now) else {
            held.usage.never += 1;
            return (May::Never(Why::NoContract), None);
        };
        let never = |held: &mut Held, why| {
            held.usage.never += 1;
            (May::Never(why), None)
        };
        if !contract.allows(operation) {
            return never(held, Why::Operation);
        }
        if !contracts.covers(contract, customer) {
            return never(held, Why::Customer);
        }
        let (may, call) = self.admits(now, team, contract, operation, units);
        let usage = &mut self.teams[team].usage;
        match &may {
            May::Take(grant) => {
                usage.taken += 1;
                usage.units += units;
                usage.lent += if grant.source == Source::Lent { units } else { 0.0 };
            }
            May::Later(..) => usage.later += 1,
            May::Never(_) => usage.never += 1,
        }
        (may, call)
    }

    /// The operation's own limit, then the contract's rate, then its budget: what an earlier one took is given back where a later one has none.
    fn admits(
        &mut self,
        now: f64,
        team: Team,
        contract: &Contract,
        operation: &str,
        units: f64,
    ) -> (May, Option<Call>) {
        let expected = contract.expected(operation);
        if let Some(i) = expected {
            if let Err(later) = self.teams[team].each.takes(now, i, units) {
                return (May::Later(later, Why::Expected), None);
            }
        }
        let taken = self.lender.takes(now, team, units);
        let held = &mut self.teams[team];
        let source = match taken {
            Ok(source) => source,
            Err(later) => {
                if let Some(i) = expected {
                    held.each.gives_back(i, units, Source::Own);
                }
                return (May::Later(later, Why::Rate), None);
            }
        };
        let mut call = None;
        if let Some(budget) = &contract.budget {
            let (says, due) = held.budget.takes(now, budget, self.doors, units);
            call = due;
            if says != Says::Yes {
                if let Some(i) = expected {
                    held.each.gives_back(i, units, Source::Own);
                }
                self.lender.gives_back(team, units, source);
                let (Says::Spent(later) | Says::Soon(later)) = says else { unreachable!("not yes") };
                return (May::Later(later, Why::Budget), call);
            }
        }
        (May::Take(Grant { team, version: contract.version, units, source, expected }), call)
    }

    /// Each team's name, the version in force, and its figures.
    pub fn usage(&self) -> impl Iterator<Item = (&str, Option<u32>, &Usage)> {
        self.teams.iter().map(|t| (t.name.as_str(), t.version, &t.usage))
    }

    pub fn name(&self, team: Team) -> Option<&str> {
        self.teams.get(team).map(|t| t.name.as_str())
    }

    pub fn at_hand(&self, team: Team) -> (f64, f64) {
        self.lender.at_hand(team)
    }
}
