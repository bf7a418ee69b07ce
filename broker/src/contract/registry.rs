//! All contracts, found by team and by customer.
use super::{Conflict, Contract};
use std::cmp::Reverse;
use std::collections::HashMap;

/// What contracts may promise beyond the capacity: sums of rates are not exact.
const ROUNDING: f64 = 1e-9;

/// Contracts that do not contradict each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contracts {
    contracts: Vec<Contract>,
    /// Places of each team's versions, the highest version first.
    by_team: HashMap<String, Vec<usize>>,
    /// Places of the contracts that name a customer.
    by_customer: HashMap<u64, Vec<usize>>,
}

/// What contracts in force promise together.
struct Promise {
    at: f64,
    /// Units a second.
    rate: f64,
}

impl Contracts {
    /// Takes contracts in, with a capacity in units a second; or says all that contradicts.
    pub fn new(contracts: Vec<Contract>, capacity: f64) -> Result<Contracts, Vec<Conflict>> {
        let mut registry = Contracts::default();
        let mut conflicts = vec![];
        for contract in contracts {
            registry.add(contract, &mut conflicts);
        }
        registry.sort_versions();
        conflicts.extend(registry.oversold(capacity));
        if conflicts.is_empty() {
            Ok(registry)
        } else {
            Err(conflicts)
        }
    }

    /// The version of a team's contract that is in force.
    pub fn in_force(&self, team: &str, now: f64) -> Option<&Contract> {
        let mut versions = self.by_team.get(team)?.iter().map(|place| &self.contracts[*place]);
        versions.find(|contract| contract.is_valid_at(now))
    }

    /// The team that speaks for a customer now, where a contract names the customer.
    pub fn team_of_customer(&self, customer: u64, now: f64) -> Option<&str> {
        let mut naming = self.by_customer.get(&customer)?.iter().map(|place| &self.contracts[*place]);
        let is_in_force = |contract: &&Contract| {
            self.in_force(&contract.team, now).is_some_and(|in_force| in_force.version == contract.version)
        };
        naming.find(is_in_force).map(|contract| contract.team.as_str())
    }

    /// Whether a contract speaks for a customer: for all, where it names none.
    pub fn covers(&self, contract: &Contract, customer: u64) -> bool {
        let is_same = |place: &usize| {
            let other = &self.contracts[*place];
            other.team == contract.team && other.version == contract.version
        };
        let names_customer = || self.by_customer.get(&customer).is_some_and(|all| all.iter().any(is_same));
        contract.customers.is_empty() || names_customer()
    }

    /// Names of all teams, in no order.
    pub fn teams(&self) -> impl Iterator<Item = &str> {
        self.by_team.keys().map(String::as_str)
    }

    /// All contracts, as they were given.
    pub fn all(&self) -> &[Contract] {
        &self.contracts
    }

    /// When the next contract begins or ends, after now; infinite if none does.
    pub fn next_change(&self, now: f64) -> f64 {
        self.changes().filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }

    fn add(&mut self, contract: Contract, conflicts: &mut Vec<Conflict>) {
        let place = self.contracts.len();
        let versions = self.by_team.entry(contract.team.clone()).or_default();
        let is_duplicate = |other: &&usize| self.contracts[**other].version == contract.version;
        if let Some(first) = versions.iter().find(is_duplicate) {
            conflicts.push(Conflict::DuplicateVersion { first: *first, second: place });
        }
        versions.push(place);
        for customer in &contract.customers {
            let naming = self.by_customer.entry(*customer).or_default();
            let is_shared = |other: &&usize| {
                // The contract itself, where it names a customer twice, is not there yet.
                let other = self.contracts.get(**other);
                other.is_some_and(|other| other.team != contract.team && other.overlaps(&contract))
            };
            if let Some(first) = naming.iter().find(is_shared) {
                let conflict = Conflict::SharedCustomer { customer: *customer, first: *first, second: place };
                conflicts.push(conflict);
            }
            naming.push(place);
        }
        self.contracts.push(contract);
    }

    fn sort_versions(&mut self) {
        for versions in self.by_team.values_mut() {
            versions.sort_by_key(|place| Reverse(self.contracts[*place].version));
        }
    }

    /// Where the contracts promise most, if that is more than the capacity.
    fn oversold(&self, capacity: f64) -> Option<Conflict> {
        // What is promised changes where a contract begins or ends.
        let mut changes: Vec<f64> = self.changes().filter(|at| at.is_finite()).collect();
        changes.push(0.0);
        changes.sort_by(f64::total_cmp);
        changes.dedup();
        let promises = changes.into_iter().map(|at| Promise { at, rate: self.promised_rate(at) });
        let highest = promises.max_by(|a, b| a.rate.total_cmp(&b.rate))?;
        let is_oversold = highest.rate > capacity * (1.0 + ROUNDING);
        is_oversold.then_some(Conflict::Oversold { promised: highest.rate, capacity, at: highest.at })
    }

    fn promised_rate(&self, now: f64) -> f64 {
        let in_force = self.by_team.keys().filter_map(|team| self.in_force(team, now));
        in_force.map(|contract| contract.rate).sum()
    }

    fn changes(&self) -> impl Iterator<Item = f64> + '_ {
        self.contracts.iter().flat_map(|contract| [contract.valid_from, contract.valid_until])
    }
}
