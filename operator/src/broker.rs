//! The sections on the broker: its capacity, and the contracts.
use crate::reading::{Reading, Section};
use crate::routes::Platform;
use quillramp_broker::budget::COUNT_LIFETIME_PERIODS;
use quillramp_broker::contract::{matches_any, Budget, Conflict, Contract, Contracts, OperationLimit};
use std::collections::BTreeSet;

/// What the platform's counter lets a name live, seconds.
const COUNTER_LIFE: f64 = 60.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub contracts: Contracts,
    /// Units a second of all front doors together.
    pub capacity: f64,
    /// Invocations of customers for whom no team speaks are taken as without a broker.
    pub strangers: bool,
}

/// The terms, where there is a section [broker].
pub fn read(
    reading: &Reading,
    file: &Section,
    platform: Option<&Platform>,
    counter_life: Option<f64>,
) -> Option<Terms> {
    let sections = file.sections("contract");
    let Some(s) = file.section("broker") else {
        if let Some(first) = sections.first() {
            reading.fault(
                first.line,
                "contract",
                "there is no section [broker] that would hold anybody to it",
            );
        }
        sections.into_iter().for_each(|s| drop(contract(reading, s, platform, COUNTER_LIFE)));
        return None;
    };
    if !s.has("capacity") {
        s.fault("capacity", "is missing");
    }
    let capacity = s.number("capacity", 0.001..=1e9).map(|c| c.is);
    let strangers = s.word("strangers", &[("pass", true), ("refuse", false)]).is_some_and(|w| w.is);
    s.done();
    let life = counter_life.unwrap_or(COUNTER_LIFE);
    let lines: Vec<usize> = sections.iter().map(|s| s.line).collect();
    let all: Vec<Option<Contract>> =
        sections.into_iter().map(|s| contract(reading, s, platform, life)).collect();
    let capacity = capacity?;
    let all: Vec<Contract> = all.into_iter().collect::<Option<_>>()?;
    match Contracts::new(all, capacity) {
        Ok(contracts) => Some(Terms { contracts, capacity, strangers }),
        Err(wrong) => {
            for w in wrong {
                let line = match w {
                    Conflict::DuplicateVersion { second, .. } | Conflict::SharedCustomer { second, .. } => {
                        lines[second]
                    }
                    Conflict::Oversold { .. } => lines.first().copied().unwrap_or(1),
                };
                reading.fault(line, "contract", w.to_string());
            }
            None
        }
    }
}

fn contract(reading: &Reading, s: Section, platform: Option<&Platform>, life: f64) -> Option<Contract> {
    for name in ["team", "rate"] {
        if !s.has(name) {
            s.fault(name, "is missing");
        }
    }
    let team = s.text("team").map(|t| t.is);
    if team.as_ref().is_some_and(|t| t.is_empty()) {
        s.fault("team", "expected a name");
    }
    let version = s.whole("version", 1..=u32::MAX as usize).map_or(1, |v| v.is as u32);
    let from = s.time("from").map_or(0.0, |t| t.is);
    let until = s.time("until").map_or(f64::INFINITY, |t| t.is);
    if until <= from {
        s.fault("until", "it ends before it begins");
    }
    let operations = s.texts("operations").unwrap_or_default();
    let names: Vec<String> = operations.iter().map(|o| o.is.clone()).collect();
    if let Some(platform) = platform {
        for o in &operations {
            if !platform.operations.iter().any(|p| matches_any(std::slice::from_ref(&o.is), &p.name)) {
                reading.fault(o.line, "operations", format!("no operation is called '{}'", o.is));
            }
        }
    }
    let customers = s.customers("customers");
    let rate = s.number("rate", 0.001..=1e9).map(|r| r.is);
    let burst = s.number("burst", 0.001..=1e9).map(|b| b.is);
    let weight = s.number("weight", 0.001..=1e6).map_or(1.0, |w| w.is);
    let mut each = vec![];
    let mut seen = BTreeSet::new();
    for e in s.sections("expects") {
        for name in ["operation", "rate"] {
            if !e.has(name) {
                e.fault(name, "is missing");
            }
        }
        let operation = e.text("operation").map(|o| o.is);
        let (own, most) = (e.number("rate", 0.001..=1e9), e.number("burst", 0.001..=1e9));
        if let (Some(own), Some(rate)) = (&own, rate) {
            if own.is > rate {
                e.fault("rate", format!("{} is more than the contract's {rate}", own.is));
            }
        }
        if let Some(operation) = operation {
            if !seen.insert(operation.clone()) {
                e.fault("operation", format!("'{operation}' stands here twice"));
            }
            if !names.is_empty() && !matches_any(&names, &operation) && !names.contains(&operation) {
                e.fault("operation", format!("'{operation}' is not among the contract's operations"));
            }
            let rate = own.map(|o| o.is);
            each.extend(rate.map(|rate| OperationLimit {
                operation,
                rate,
                burst: most.map_or(rate, |b| b.is),
            }));
        }
        e.done();
    }
    let budget = s.section("budget").and_then(|b| {
        for name in ["units", "period"] {
            if !b.has(name) {
                b.fault(name, "is missing");
            }
        }
        let (units, period) = (b.number("units", 1.0..=1e15), b.number("period", 1.0..=3.2e7));
        if let Some(p) = period.as_ref().filter(|p| p.is * COUNT_LIFETIME_PERIODS > life) {
            let why = format!(
                "a count of {} s has to live for {} s, and the counter lets a name live for {life} s (counter.longest_life)",
                p.is,
                p.is * COUNT_LIFETIME_PERIODS
            );
            b.fault("period", why);
        }
        b.done();
        Some(Budget { units: units?.is, period: period?.is })
    });
    s.done();
    let rate = rate?;
    Some(Contract {
        team: team?,
        version,
        valid_from: from,
        valid_until: until,
        operations: names,
        customers,
        rate,
        burst: burst.unwrap_or(rate),
        operation_limits: each,
        weight,
        budget,
    })
}
