//! The registry of all contracts, indexed by team and by customer.
use super::{Conflict, Contract};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Relative tolerance of the comparison of promised rates and capacity, because sums of rates are not exact.
const ROUNDING: f64 = 1e-9;

/// All contracts, free of conflicts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contracts {
    contracts: Vec<Contract>,
    /// Indexes of each team's versions, the highest version first.
    by_team: HashMap<String, Vec<usize>>,
    /// Indexes of the contracts that name a customer.
    by_customer: HashMap<u64, Vec<usize>>,
}

/// The sum of the rates of all contracts in force at a time.
struct Promise {
    /// The time, Unix seconds.
    at: f64,
    /// The sum, units per second.
    rate: f64,
}

impl Contracts {
    /// Registers contracts. `capacity` is in units per second. Fails with all conflicts.
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

    /// Returns the version of a team's contract that is in force at a time.
    pub fn in_force(&self, team: &str, now: f64) -> Option<&Contract> {
        let mut versions = self.by_team.get(team)?.iter().map(|index| &self.contracts[*index]);
        versions.find(|contract| contract.is_valid_at(now))
    }

    /// Returns the team whose contract in force names a customer.
    pub fn team_of_customer(&self, customer: u64, now: f64) -> Option<&str> {
        let mut naming = self.by_customer.get(&customer)?.iter().map(|index| &self.contracts[*index]);
        let is_in_force = |contract: &&Contract| {
            self.in_force(&contract.team, now).is_some_and(|in_force| in_force.version == contract.version)
        };
        naming.find(is_in_force).map(|contract| contract.team.as_str())
    }

    /// Returns whether a contract includes a customer; a contract that names no customers includes all.
    pub fn covers(&self, contract: &Contract, customer: u64) -> bool {
        let is_same = |index: &usize| {
            let other = &self.contracts[*index];
            other.team == contract.team && other.version == contract.version
        };
        let names_customer = || self.by_customer.get(&customer).is_some_and(|all| all.iter().any(is_same));
        contract.customers.is_empty() || names_customer()
    }

    /// Returns the names of all teams, in arbitrary order.
    pub fn teams(&self) -> impl Iterator<Item = &str> {
        self.by_team.keys().map(String::as_str)
    }

    /// Returns all contracts, in the order of registration.
    pub fn all(&self) -> &[Contract] {
        &self.contracts
    }

    /// Returns the next time at which a contract begins or ends, Unix seconds; infinite if no contract does.
    pub fn next_change(&self, now: f64) -> f64 {
        self.changes().filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }

    fn add(&mut self, contract: Contract, conflicts: &mut Vec<Conflict>) {
        let index = self.contracts.len();
        let versions = self.by_team.entry(contract.team.clone()).or_default();
        let is_duplicate = |other: &&usize| self.contracts[**other].version == contract.version;
        if let Some(first) = versions.iter().find(is_duplicate) {
            conflicts.push(Conflict::DuplicateVersion { first: *first, second: index });
        }
        versions.push(index);
        for customer in &contract.customers {
            let naming = self.by_customer.entry(*customer).or_default();
            let is_shared = |other: &&usize| {
                // If a contract names a customer twice, `other` is its own index, which is not registered yet.
                let other = self.contracts.get(**other);
                other.is_some_and(|other| other.team != contract.team && other.overlaps(&contract))
            };
            if let Some(first) = naming.iter().find(is_shared) {
                let conflict = Conflict::SharedCustomer { customer: *customer, first: *first, second: index };
                conflicts.push(conflict);
            }
            naming.push(index);
        }
        self.contracts.push(contract);
    }

    fn sort_versions(&mut self) {
        for versions in self.by_team.values_mut() {
            versions.sort_by_key(|index| Reverse(self.contracts[*index].version));
        }
    }

    /// Returns the conflict at the time of the highest promised rate, if that rate exceeds the capacity.
    fn oversold(&self, capacity: f64) -> Option<Conflict> {
        // The promised rate changes only when a contract begins or ends.
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
