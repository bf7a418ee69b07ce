//! The broker between teams: an invocation is asked about there before the decisions hear of it, and what they refuse is given back.
use super::event::Effect;
use super::reducer::Reducer;
use crate::wire::resp::{ClientReply, RequestCommand};
use quillramp::types::*;
use quillramp_broker::budget;
use quillramp_broker::{Broker, Grant, Reason, Request, TeamId, TeamUsage, Verdict};
use quillramp_operator::broker::BrokerSettings;
use serde::Serialize;
use std::collections::BTreeMap;

/// Outside numbers of customers and of the roster's groups lie below it: budgets' counts are named from here on.
const NAMES: u64 = 1 << 41;

pub struct Brokered {
    broker: Broker,
    terms: BrokerSettings,
    /// The customer's index that stands for a team's budget, with the team; and periods by the series that their counts have.
    counts: BTreeMap<CustomerIndex, TeamId>,
    periods: BTreeMap<u32, u64>,
}

/// A team's figures as operators read them.
#[derive(Serialize)]
struct Shown {
    version: Option<u32>,
    taken: u64,
    units: f64,
    lent: f64,
    later: u64,
    never: u64,
}

/// The same name at every front door.
fn number(team: &str) -> u64 {
    let hash =
        team.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    NAMES | (hash & (NAMES - 1))
}

/// What a client hears whose team may not have what it asks for.
fn denied(reason: Reason) -> ClientReply {
    ClientReply::Error(format!("contract: {}", reason.message()))
}

impl Brokered {
    /// Whether this count is a budget's.
    pub fn calls(&self, name: CounterKey) -> bool {
        self.counts.contains_key(&name.customer)
    }

    /// What came of a call; another one may be due.
    pub fn told(&mut self, now: f64, name: CounterKey, result: CounterResult) -> Option<CounterCall> {
        let (team, period) = (*self.counts.get(&name.customer)?, *self.periods.get(&name.series)?);
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        let call = self.broker.call_answered(now, team, period, total)?;
        Some(CounterCall { key: name, delta: call.amount, lifetime: call.lifetime })
    }
}

impl Reducer {
    /// Contracts hold from now on, or none do. Invocations that were taken keep what they were granted.
    pub(super) fn brokers(&mut self, now: f64, terms: Option<BrokerSettings>) {
        if self.broker.as_ref().map(|b| &b.terms) == terms.as_ref() {
            return;
        }
        let says = match &terms {
            None => "no contracts between teams".into(),
            Some(t) => {
                let (all, teams) = (t.contracts.all().len(), t.contracts.teams().count());
                format!("{all} contracts of {teams} teams, {} units a second in all", t.capacity)
            }
        };
        self.effects.push(Effect::Log(says));
        let doors = self.instance.instances;
        match (&mut self.broker, terms) {
            (broker, None) => *broker = None,
            (Some(b), Some(terms)) => {
                b.broker.set_contracts(now, terms.contracts.clone(), terms.capacity);
                b.terms = terms;
            }
            (broker, Some(terms)) => {
                let new = Broker::new(now, terms.contracts.clone(), doors, terms.capacity);
                *broker =
                    Some(Brokered { broker: new, terms, counts: BTreeMap::new(), periods: BTreeMap::new() });
            }
        }
    }

    /// What its team's contract gives for an invocation, nothing where there is no broker; or what its client hears.
    pub(super) fn contracted(
        &mut self,
        now: f64,
        (client, call): (u64, &RequestCommand),
        ask: &RequestAttributes,
    ) -> Result<Option<Grant>, ClientReply> {
        let answer = match self.known(now, client, ask.operation, call) {
            Ok(speaks) => match self.admitted_by_contract(now, speaks, call, ask) {
                Ok(grant) => return Ok(grant),
                Err(answer) => answer,
            },
            Err(answer) => answer,
        };
        if let Some(gate) = &mut self.admission {
            gate.command_answered(now, client, call.customer, false);
        }
        Err(answer)
    }

    /// `speaks`: the team whose token the client showed, where it had to show one.
    fn admitted_by_contract(
        &mut self,
        now: f64,
        speaks: Option<String>,
        call: &RequestCommand,
        ask: &RequestAttributes,
    ) -> Result<Option<Grant>, ClientReply> {
        let Some(b) = &mut self.broker else { return Ok(None) };
        let team = match speaks {
            Some(name) => Some(b.broker.team_id(&name)),
            None => b.broker.team_of_customer(now, call.customer),
        };
        let operation = &self.instance.operations[ask.operation].name;
        let team = match team {
            Some(team) => team,
            None if b.terms.admits_unknown_customers => return Ok(None),
            None => return Err(denied(Reason::NoContract)),
        };
        let request = Request { operation, customer: call.customer, units: ask.units };
        let response = b.broker.request(now, team, request);
        if let Some(due) = response.counter_call {
            self.calls_budget(now, team, due);
        }
        match response.verdict {
            Verdict::Grant(grant) => Ok(Some(grant)),
            Verdict::RetryAfter { seconds, .. } => {
                let retry_after_ms =
                    self.instance.sends_retry_after.then(|| (seconds.min(3600.0) * 1e3).ceil() as u64);
                Err(ClientReply::Busy { retry_after_ms })
            }
            Verdict::Deny(reason) => Err(denied(reason)),
        }
    }

    fn calls_budget(&mut self, now: f64, team: TeamId, due: budget::CounterCall) {
        let Some(b) = &mut self.broker else { return };
        let Some(name) = b.broker.team_name(team).map(number) else { return };
        let customer = self.customers.intern(&name);
        b.counts.insert(customer, team);
        let series = due.period as u32;
        b.periods.insert(series, due.period);
        while b.periods.len() > 64 {
            b.periods.pop_first();
        }
        let name = CounterKey { customer, series };
        self.count(now, CounterCall { key: name, delta: due.amount, lifetime: due.lifetime });
    }

    /// What an invocation really took.
    pub(super) fn billed(&mut self, now: f64, inv: RequestIndex, units: f64) {
        let Some(b) = &mut self.broker else { return };
        if let Some(grant) = self.requests[inv].as_mut().and_then(|h| h.grant.as_mut()) {
            b.broker.settle(now, grant, units);
            grant.units = units;
        }
    }

    /// An invocation is over that was never sent on.
    pub(super) fn unused(&mut self, inv: RequestIndex) {
        let Some(held) = self.requests[inv].as_mut().filter(|h| h.deliveries.is_empty()) else { return };
        if let (Some(b), Some(grant)) = (&mut self.broker, held.grant.take()) {
            b.broker.refund(&grant);
        }
    }

    /// What teams have of their contracts, for operators.
    pub(super) fn usage(&self) -> String {
        let Some(b) = &self.broker else { return "{}".into() };
        let shown: BTreeMap<&str, Shown> = b
            .broker
            .usage()
            .map(|TeamUsage { team, version, usage }| {
                let shown = Shown {
                    version,
                    taken: usage.granted,
                    units: usage.units,
                    lent: usage.borrowed,
                    later: usage.deferred,
                    never: usage.denied,
                };
                (team, shown)
            })
            .collect();
        serde_json::to_string(&shown).expect("plain figures")
    }
}
