//! Contracts between teams: the broker grants a request before the policy engine routes it, and is refunded for requests
//! that were never forwarded.
use super::log_message::LogMessage;
use super::reducer::Reducer;
use crate::wire::resp::{ClientReply, RequestCommand};
use quillramp::types::*;
use quillramp_broker::budget;
use quillramp_broker::{Broker, Grant, Reason, Request, TeamId, TeamUsage, Verdict};
use quillramp_operator::broker::BrokerSettings;
use serde::Serialize;
use std::collections::BTreeMap;

/// Lowest number of a team's budget in counter keys; the numbers of customers and of groups of instances are lower.
const FIRST_BUDGET_NUMBER: u64 = 1 << 41;
/// Maximum number of budget periods for which results of counter calls are still accepted.
const MAX_PENDING_PERIODS: usize = 64;
/// Maximum Retry-After in replies to clients, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 3600.0;

/// The broker, its settings, and the counters of budgets. Without contracts it is kept, inactive: grants of requests in
/// flight are settled with it, and units that a team has spent stay spent.
pub struct BrokerState {
    broker: Broker,
    /// `None` without contracts.
    settings: Option<BrokerSettings>,
    /// Teams, by the customer index of their budget's counter.
    teams: BTreeMap<CustomerIndex, TeamId>,
    /// Budget periods, by the series of their counter.
    periods: BTreeMap<u32, u64>,
}

/// The usage of a team's contract, as operators read it.
#[derive(Serialize)]
struct TeamUsageReport {
    version: Option<u32>,
    #[serde(rename = "taken")]
    granted: u64,
    units: f64,
    #[serde(rename = "lent")]
    borrowed: f64,
    #[serde(rename = "later")]
    deferred: u64,
    #[serde(rename = "never")]
    denied: u64,
}

/// Returns the number of a team's budget in counter keys, the same at every instance (from an FNV-1a hash).
fn budget_number(team: &str) -> u64 {
    let hash = team
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    FIRST_BUDGET_NUMBER | (hash & (FIRST_BUDGET_NUMBER - 1))
}

/// Returns the reply to a request that the contract denies.
fn denied_by_contract(reason: Reason) -> ClientReply {
    ClientReply::Error(format!("contract: {}", reason.message()))
}

impl BrokerState {
    fn new(now: f64, settings: BrokerSettings, instances: usize) -> BrokerState {
        let broker = Broker::new(now, settings.contracts.clone(), instances, settings.capacity);
        BrokerState { broker, settings: Some(settings), teams: BTreeMap::new(), periods: BTreeMap::new() }
    }

    /// Replaces the contracts, or removes them.
    fn update(&mut self, now: f64, settings: Option<BrokerSettings>) {
        let (contracts, capacity) =
            settings.as_ref().map_or_else(Default::default, |new| (new.contracts.clone(), new.capacity));
        self.broker.set_contracts(now, contracts, capacity);
        self.settings = settings;
    }

    /// Returns whether there are contracts.
    pub fn is_active(&self) -> bool {
        self.settings.is_some()
    }

    /// Returns whether this counter is that of a budget.
    pub fn owns_counter(&self, key: CounterKey) -> bool {
        self.teams.contains_key(&key.customer)
    }

    /// Handles the result of a call to the counter; returns the next call if one is due.
    pub fn counter_answered(
        &mut self,
        now: f64,
        key: CounterKey,
        result: CounterResult,
    ) -> Option<CounterCall> {
        let team = *self.teams.get(&key.customer)?;
        let period = *self.periods.get(&key.series)?;
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        let call = self.broker.call_answered(now, team, period, total)?;
        Some(CounterCall { key, delta: call.amount, lifetime: call.lifetime })
    }
}

impl Reducer {
    /// Replaces the contracts, or removes them. Requests that were accepted before keep their grants.
    pub(super) fn set_contracts(&mut self, now: f64, settings: Option<BrokerSettings>) {
        let previous = self.broker.as_ref().and_then(|state| state.settings.as_ref());
        if previous == settings.as_ref() {
            return;
        }
        self.log(match &settings {
            None => LogMessage::ContractsRemoved,
            Some(BrokerSettings { contracts, capacity, .. }) => LogMessage::Contracts {
                contracts: contracts.all().len(),
                teams: contracts.teams().count(),
                capacity: *capacity,
            },
        });
        match (&mut self.broker, settings) {
            (Some(broker), settings) => broker.update(now, settings),
            (broker, Some(settings)) => {
                *broker = Some(BrokerState::new(now, settings, self.instance.instances));
            }
            (None, None) => {}
        }
    }

    /// Returns whether there are contracts between teams.
    pub(super) fn has_contracts(&self) -> bool {
        self.broker.as_ref().is_some_and(BrokerState::is_active)
    }

    /// Returns the grant of the team's contract for a request, `None` without contracts, or the reply that rejects the
    /// request. `caller_team`: the team of the client's token, if clients must authenticate.
    pub(super) fn request_grant(
        &mut self,
        now: f64,
        caller_team: Option<String>,
        command: &RequestCommand,
        attributes: &RequestAttributes,
    ) -> Result<Option<Grant>, ClientReply> {
        let Some(state) = &mut self.broker else { return Ok(None) };
        let Some(settings) = &state.settings else { return Ok(None) };
        let team = match caller_team {
            Some(name) => Some(state.broker.team_id(&name)),
            None => state.broker.team_of_customer(now, command.customer),
        };
        let team = match team {
            Some(team) => team,
            None if settings.admits_unknown_customers => return Ok(None),
            None => return Err(denied_by_contract(Reason::NoContract)),
        };
        let operation = &self.instance.operations[attributes.operation].name;
        let request = Request { operation, customer: command.customer, units: attributes.units };
        let response = state.broker.request(now, team, request);
        if let Some(call) = response.counter_call {
            self.call_budget_counter(now, team, call);
        }
        match response.verdict {
            Verdict::Grant(grant) => Ok(Some(grant)),
            Verdict::RetryAfter { seconds, .. } => {
                let retry_after = seconds.min(MAX_RETRY_AFTER_SECONDS);
                Err(ClientReply::busy(self.instance.sends_retry_after.then_some(retry_after)))
            }
            Verdict::Deny(reason) => Err(denied_by_contract(reason)),
        }
    }

    fn call_budget_counter(&mut self, now: f64, team: TeamId, call: budget::CounterCall) {
        let Some(state) = &mut self.broker else { return };
        let Some(number) = state.broker.team_name(team).map(budget_number) else { return };
        let customer = self.customers.intern(&number);
        state.teams.insert(customer, team);
        let series = call.period as u32;
        state.periods.insert(series, call.period);
        while state.periods.len() > MAX_PENDING_PERIODS {
            state.periods.pop_first();
        }
        let key = CounterKey { customer, series };
        self.call_counter(now, CounterCall { key, delta: call.amount, lifetime: call.lifetime });
    }

    /// Corrects the grant of a request to the units that a backend billed for it.
    pub(super) fn settle_grant(&mut self, now: f64, request: RequestIndex, units: f64) {
        let Some(state) = &mut self.broker else { return };
        let pending = self.requests.get_mut(request);
        if let Some(grant) = pending.and_then(|pending| pending.grant.as_mut()) {
            state.broker.settle(now, grant, units);
            grant.units = units;
        }
    }

    /// Refunds the grant of a request that has ended without being forwarded.
    pub(super) fn refund_if_not_forwarded(&mut self, request: RequestIndex) {
        let Some(pending) = self.requests.get_mut(request) else { return };
        if !pending.attempts.is_empty() {
            return;
        }
        if let (Some(state), Some(grant)) = (&mut self.broker, pending.grant.take()) {
            state.broker.refund(&grant);
        }
    }

    /// Returns each team's usage of its contract, as JSON for operators.
    pub(super) fn contract_usage(&self) -> String {
        let Some(state) = self.broker.as_ref().filter(|state| state.is_active()) else { return "{}".into() };
        let report = |TeamUsage { team, version, usage }| {
            let report = TeamUsageReport {
                version,
                granted: usage.granted,
                units: usage.units,
                borrowed: usage.borrowed,
                deferred: usage.deferred,
                denied: usage.denied,
            };
            (team, report)
        };
        let reports: BTreeMap<&str, TeamUsageReport> = state.broker.usage().map(report).collect();
        serde_json::to_string(&reports).expect("strings and numbers serialize to JSON")
    }
}
