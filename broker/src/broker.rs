//! The broker of one gateway instance: contracts, the fair-share limiter, and budgets.
use crate::budget::{BudgetAccount, BudgetVerdict, CounterCall};
use crate::contract::{Contract, Contracts};
use crate::fair_share::{Available, FairShareLimiter, NoUnits, Source, Terms};
use crate::{Grant, Reason, Request, Response, TeamId, TeamUsage, Usage, Verdict};
use std::collections::HashMap;
use std::sync::Arc;

/// Decides on the requests of teams according to their contracts. Times are Unix seconds.
pub struct Broker {
    contracts: Arc<Contracts>,
    /// Number of gateway instances that share the contracts.
    instances: usize,
    limiter: FairShareLimiter,
    teams: Vec<Team>,
    by_name: HashMap<String, TeamId>,
    /// Time at which the next contract begins or ends, Unix seconds.
    next_change: f64,
}

/// The state of one team, which is kept while the team has no contract.
struct Team {
    name: String,
    /// Version of the team's contract in force; `None` without a contract.
    version: Option<u32>,
    /// Limiter of single operations, by the position of the limit's pattern in `operation_patterns`.
    operation_limiter: FairShareLimiter,
    /// The patterns of all limits that the team's contracts have had. Their positions do not change, as grants refer to them.
    operation_patterns: Vec<String>,
    budget: BudgetAccount,
    usage: Usage,
}

impl Team {
    fn new(name: &str) -> Team {
        Team {
            name: name.to_owned(),
            version: None,
            operation_limiter: FairShareLimiter::new(0.0, 0.0),
            operation_patterns: vec![],
            budget: BudgetAccount::default(),
            usage: Usage::default(),
        }
    }

    /// Returns the position of a pattern; a new pattern gets a new position.
    fn operation_limit(&mut self, pattern: &str) -> usize {
        let known = self.operation_patterns.iter().position(|known| known == pattern);
        known.unwrap_or_else(|| {
            self.operation_patterns.push(pattern.to_owned());
            self.operation_patterns.len() - 1
        })
    }
}

impl Broker {
    /// Creates the broker of one of `instances` gateway instances that share the contracts; `capacity` is that of all instances
    /// together, units per second.
    pub fn new(now: f64, contracts: Contracts, instances: usize, capacity: f64) -> Broker {
        let instances = instances.max(1);
        let mut broker = Broker {
            contracts: Arc::default(),
            instances,
            limiter: FairShareLimiter::new(now, capacity / instances as f64),
            teams: vec![],
            by_name: HashMap::new(),
            next_change: 0.0,
        };
        broker.set_contracts(now, contracts, capacity);
        broker
    }

    /// Replaces all contracts. Existing grants are settled under the version that granted them. Units that a team has spent in a
    /// budget period stay spent, even if the team had no contract in between.
    pub fn set_contracts(&mut self, now: f64, contracts: Contracts, capacity: f64) {
        self.contracts = Arc::new(contracts);
        self.limiter.set_capacity(now, capacity / self.instances as f64);
        let contracts = self.contracts.clone();
        let mut names: Vec<&str> = contracts.teams().collect();
        names.sort_unstable();
        for name in names {
            self.team_id(name);
        }
        self.apply_versions(now);
    }

    /// Returns the id of a team; a new name gets a new id.
    pub fn team_id(&mut self, name: &str) -> TeamId {
        if let Some(team) = self.by_name.get(name) {
            return *team;
        }
        let id = self.teams.len();
        self.teams.push(Team::new(name));
        self.by_name.insert(name.to_owned(), id);
        id
    }

    /// Returns the team whose contract in force names a customer.
    pub fn team_of_customer(&self, now: f64, customer: u64) -> Option<TeamId> {
        let name = self.contracts.team_of_customer(customer, now)?;
        self.by_name.get(name).copied()
    }

    /// Returns the name of a team; `None` for an unknown id.
    pub fn team_name(&self, team: TeamId) -> Option<&str> {
        self.teams.get(team).map(|team| team.name.as_str())
    }

    /// Decides on a request. The caller has to make the counter call of the response, if one is due, regardless of the verdict.
    pub fn request(&mut self, now: f64, id: TeamId, request: Request) -> Response {
        if now >= self.next_change {
            self.apply_versions(now);
        }
        let contracts = self.contracts.clone();
        let Some(team) = self.teams.get_mut(id) else { return Response::deny(Reason::NoContract) };
        let response = match contract_for(&contracts, now, &team.name, request) {
            Ok(contract) => self.request_units(now, id, contract, request),
            Err(reason) => Response::deny(reason),
        };
        self.teams[id].usage.record(&response.verdict, request.units);
        response
    }

    /// Returns the units of a grant that was not used.
    pub fn refund(&mut self, grant: &Grant) {
        self.limiter.refund(grant.team, grant.units, grant.source);
        let team = &mut self.teams[grant.team];
        if let Some(limit) = grant.operation_limit {
            team.operation_limiter.refund(limit, grant.units, Source::Own);
        }
        team.budget.refund(grant.units);
        team.usage.granted -= 1;
        team.usage.units -= grant.units;
        if grant.source == Source::Borrowed {
            team.usage.borrowed -= grant.units;
        }
    }

    /// Corrects the units of a grant to those that its request used.
    pub fn settle(&mut self, now: f64, grant: &Grant, units: f64) {
        let difference = units - grant.units;
        if difference != 0.0 {
            self.limiter.adjust(now, grant.team, difference);
            let team = &mut self.teams[grant.team];
            team.budget.adjust(difference);
            team.usage.units += difference;
        }
    }

    /// Handles the total that a call on a team's budget returned; `None` if the call failed. Returns a further call that is due.
    pub fn call_answered(
        &mut self,
        now: f64,
        team: TeamId,
        period: u64,
        total: Option<f64>,
    ) -> Option<CounterCall> {
        let contracts = self.contracts.clone();
        let team = self.teams.get_mut(team)?;
        let budget = contracts.in_force(&team.name, now).and_then(|contract| contract.budget)?;
        team.budget.call_answered(now, &budget, period, total)
    }

    /// Returns the usage of each team.
    pub fn usage(&self) -> impl Iterator<Item = TeamUsage<'_>> {
        self.teams.iter().map(|team| TeamUsage {
            team: &team.name,
            version: team.version,
            usage: &team.usage,
        })
    }

    /// Returns the units that are available to a team now under its contract's rate.
    pub fn available(&self, team: TeamId) -> Available {
        self.limiter.available(team)
    }

    /// Applies the terms of the contract versions that are in force.
    fn apply_versions(&mut self, now: f64) {
        let contracts = self.contracts.clone();
        self.next_change = contracts.next_change(now);
        let instance_fraction = 1.0 / self.instances as f64;
        for (id, team) in self.teams.iter_mut().enumerate() {
            let contract = contracts.in_force(&team.name, now);
            self.limiter.set_terms(now, id, contract_terms(contract, instance_fraction));
            team.version = contract.map(|contract| contract.version);
            let limits = contract.map_or(&[][..], |contract| &contract.operation_limits);
            // The first of several limits with one pattern counts, so it is applied last.
            for limit in limits.iter().rev() {
                let terms = Terms {
                    rate: limit.rate * instance_fraction,
                    burst: limit.burst * instance_fraction,
                    weight: 1.0,
                };
                let position = team.operation_limit(&limit.operation);
                team.operation_limiter.set_terms(now, position, terms);
            }
        }
    }

    /// Takes units from the operation's limit, the contract's rate and its budget, in this order. If one of them lacks units, the
    /// units taken before are refunded.
    fn request_units(&mut self, now: f64, id: TeamId, contract: &Contract, request: Request) -> Response {
        let units = request.units;
        let team = &mut self.teams[id];
        let operation_limit =
            contract.operation_limit(request.operation).map(|limit| team.operation_limit(&limit.operation));
        if let Some(limit) = operation_limit {
            if let Err(error) = team.operation_limiter.try_take(now, limit, units) {
                return retry_after(error, Reason::OperationRate);
            }
        }
        let refund_operation = |team: &mut Team| {
            if let Some(limit) = operation_limit {
                team.operation_limiter.refund(limit, units, Source::Own);
            }
        };
        let source = match self.limiter.try_take(now, id, units) {
            Ok(source) => source,
            Err(error) => {
                refund_operation(team);
                return retry_after(error, Reason::Rate);
            }
        };
        let grant = Grant { team: id, version: contract.version, units, source, operation_limit };
        let Some(budget) = &contract.budget else {
            return Response { verdict: Verdict::Grant(grant), counter_call: None };
        };
        let response = team.budget.request(now, budget, self.instances, units);
        let verdict = match response.verdict {
            BudgetVerdict::Granted => Verdict::Grant(grant),
            BudgetVerdict::Exhausted { retry_after } | BudgetVerdict::Pending { retry_after } => {
                refund_operation(team);
                self.limiter.refund(id, units, source);
                Verdict::RetryAfter { seconds: retry_after, reason: Reason::Budget }
            }
        };
        Response { verdict, counter_call: response.counter_call }
    }
}

/// Returns the contract in force if it permits the request, otherwise the reason for the denial.
fn contract_for<'a>(
    contracts: &'a Contracts,
    now: f64,
    team: &str,
    request: Request,
) -> Result<&'a Contract, Reason> {
    let contract = contracts.in_force(team, now).ok_or(Reason::NoContract)?;
    if !contract.allows(request.operation) {
        return Err(Reason::Operation);
    }
    if !contracts.covers(contract, request.customer) {
        return Err(Reason::Customer);
    }
    Ok(contract)
}

/// Returns one instance's fraction of a contract's terms; rate and burst are 0 without a contract.
fn contract_terms(contract: Option<&Contract>, instance_fraction: f64) -> Terms {
    match contract {
        Some(contract) => Terms {
            rate: contract.rate * instance_fraction,
            burst: contract.burst * instance_fraction,
            weight: contract.weight,
        },
        None => Terms { rate: 0.0, burst: 0.0, weight: 1.0 },
    }
}

fn retry_after(error: NoUnits, reason: Reason) -> Response {
    let verdict = Verdict::RetryAfter { seconds: error.retry_after, reason };
    Response { verdict, counter_call: None }
}
