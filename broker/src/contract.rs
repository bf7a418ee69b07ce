//! Contracts as they are written: versions of a team's, of which one is in force at a time.
use std::collections::HashMap;
use std::fmt;

/// One version of a team's contract. Times are Unix seconds, rates units a second, over all front doors.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    pub team: String,
    pub version: u32,
    pub from: f64,
    pub until: f64,
    /// Operations that it may ask for, by name or by the beginning of one with a star; none: all.
    pub operations: Vec<String>,
    /// Customers that it speaks for.
    pub customers: Vec<u64>,
    pub rate: f64,
    pub burst: f64,
    /// Of these, at the most for one operation.
    pub each: Vec<Expected>,
    /// What of unused room it has, beside others who ask for more than theirs.
    pub weight: f64,
    pub budget: Option<Budget>,
}

/// What a team expects of one operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Expected {
    pub operation: String,
    pub rate: f64,
    pub burst: f64,
}

/// So many units in each period of so many seconds, counted from 1970.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub units: f64,
    pub period: f64,
}

impl Contract {
    pub fn holds(&self, now: f64) -> bool {
        now >= self.from && now < self.until
    }

    pub fn allows(&self, operation: &str) -> bool {
        takes(&self.operations, operation)
    }

    /// The limit on one operation, where there is one.
    pub fn expected(&self, operation: &str) -> Option<usize> {
        self.each.iter().position(|e| fits(&e.operation, operation))
    }
}

fn fits(wanted: &str, name: &str) -> bool {
    wanted.strip_suffix('*').map_or(wanted == name, |from| name.starts_with(from))
}

/// Whether a list of names, or of beginnings of names with a star, takes this one. An empty list takes all.
pub fn takes(list: &[String], name: &str) -> bool {
    list.is_empty() || list.iter().any(|wanted| fits(wanted, name))
}

/// Something that contracts say of each other and that can't be.
#[derive(Clone, Debug, PartialEq)]
pub enum Wrong {
    /// Places in the list that was given.
    Twice(usize, usize),
    /// A customer of two teams at the same time.
    Shared { customer: u64, first: usize, second: usize },
    /// Together they promise more than there is.
    Oversold { promised: f64, capacity: f64, at: f64 },
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Wrong::Twice(..) => write!(f, "a version of this team's has this number already"),
            Wrong::Shared { customer, .. } => {
                write!(f, "customer {customer:016x} is another team's at the same time")
            }
            Wrong::Oversold { promised, capacity, at } => write!(
                f,
                "contracts in force at {at} promise {promised} units a second together, of {capacity} that there are"
            ),
        }
    }
}

/// All contracts, by team.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contracts {
    all: Vec<Contract>,
    /// By team, its versions, the highest first.
    teams: HashMap<String, Vec<usize>>,
    /// By customer, contracts that speak for it.
    customers: HashMap<u64, Vec<usize>>,
}

impl Contracts {
    /// Of these, with so many units a second in all; or everything that can't be.
    pub fn new(all: Vec<Contract>, capacity: f64) -> Result<Contracts, Vec<Wrong>> {
        let mut wrong = vec![];
        let mut teams: HashMap<String, Vec<usize>> = HashMap::new();
        let mut customers: HashMap<u64, Vec<usize>> = HashMap::new();
        for (i, c) in all.iter().enumerate() {
            let versions = teams.entry(c.team.clone()).or_default();
            if let Some(other) = versions.iter().find(|o| all[**o].version == c.version) {
                wrong.push(Wrong::Twice(*other, i));
            }
            versions.push(i);
            for customer in &c.customers {
                let of = customers.entry(*customer).or_default();
                let meets = |o: &&usize| {
                    all[**o].team != c.team && all[**o].from < c.until && c.from < all[**o].until
                };
                if let Some(other) = of.iter().find(meets) {
                    wrong.push(Wrong::Shared { customer: *customer, first: *other, second: i });
                }
                of.push(i);
            }
        }
        for versions in teams.values_mut() {
            versions.sort_by_key(|i| std::cmp::Reverse(all[*i].version));
        }
        let contracts = Contracts { all, teams, customers };
        // What is promised changes where a contract begins or ends.
        let mut edges: Vec<f64> =
            contracts.all.iter().flat_map(|c| [c.from, c.until]).filter(|t| t.is_finite()).collect();
        edges.push(0.0);
        edges.sort_by(f64::total_cmp);
        edges.dedup();
        let promised = |at: f64| contracts.in_force(at).map(|c| c.rate).sum::<f64>();
        let worst = edges.into_iter().map(|at| (promised(at), at)).max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((promised, at)) = worst.filter(|w| w.0 > capacity * (1.0 + 1e-9)) {
            wrong.push(Wrong::Oversold { promised, capacity, at });
        }
        if wrong.is_empty() {
            Ok(contracts)
        } else {
            Err(wrong)
        }
    }

    /// The version of a team's that is in force: of several the one with the highest number.
    pub fn of(&self, team: &str, now: f64) -> Option<&Contract> {
        self.teams.get(team)?.iter().map(|i| &self.all[*i]).find(|c| c.holds(now))
    }

    fn in_force(&self, now: f64) -> impl Iterator<Item = &Contract> {
        self.teams.keys().filter_map(move |team| self.of(team, now))
    }

    /// The team that speaks for a customer now.
    pub fn speaks_for(&self, customer: u64, now: f64) -> Option<&str> {
        let of = self.customers.get(&customer)?.iter().map(|i| &self.all[*i]);
        let mut in_force = of.filter(|c| self.of(&c.team, now).is_some_and(|f| f.version == c.version));
        in_force.next().map(|c| c.team.as_str())
    }

    /// Whether a version speaks for a customer: for all, where it names none.
    pub fn covers(&self, contract: &Contract, customer: u64) -> bool {
        let is = |i: &usize| (&self.all[*i].team, self.all[*i].version) == (&contract.team, contract.version);
        contract.customers.is_empty() || self.customers.get(&customer).is_some_and(|of| of.iter().any(is))
    }

    pub fn teams(&self) -> impl Iterator<Item = &str> {
        self.teams.keys().map(String::as_str)
    }

    pub fn all(&self) -> &[Contract] {
        &self.all
    }

    /// When the next contract begins or ends, after now.
    pub fn next_edge(&self, now: f64) -> f64 {
        let edges = self.all.iter().flat_map(|c| [c.from, c.until]).filter(|t| *t > now);
        edges.fold(f64::INFINITY, f64::min)
    }
}
