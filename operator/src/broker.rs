//! The sections `[broker]` (capacity) and `[[contract]]` (contracts between teams).
use crate::document::{Choice, Document, Located, Section};
use crate::routes::Platform;
use quillramp_broker::budget::COUNT_LIFETIME_PERIODS;
use quillramp_broker::contract::{matches_any, Budget, Conflict, Contract, Contracts, OperationLimit};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Maximum lifetime of a name on the platform's counter, seconds.
const COUNTER_LIFETIME: f64 = 60.0;
/// Accepted rates, units per second, and bursts, units.
const RATES: RangeInclusive<f64> = 0.001..=1e9;
/// Accepted weights of contracts, without a unit.
const WEIGHTS: RangeInclusive<f64> = 0.001..=1e6;
/// Accepted units of a budget.
const BUDGET_UNITS: RangeInclusive<f64> = 1.0..=1e15;
/// Accepted periods of a budget, seconds: up to a year.
const BUDGET_PERIODS: RangeInclusive<f64> = 1.0..=3.2e7;

/// Accepted values of `strangers`: whether requests of customers without a team are admitted.
const UNKNOWN_CUSTOMERS: [Choice<bool>; 2] =
    [Choice { name: "pass", value: true }, Choice { name: "refuse", value: false }];

/// Settings of the broker.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokerSettings {
    /// The contracts between teams.
    pub contracts: Contracts,
    /// Capacity of all gateway instances together, units per second.
    pub capacity: f64,
    /// Whether requests of customers that no contract names are admitted as without a broker.
    pub admits_unknown_customers: bool,
}

/// The data against which contracts are checked.
struct ContractCheck<'a> {
    document: &'a Document,
    platform: Option<&'a Platform>,
    /// Maximum lifetime of a name on the counter, seconds.
    counter_lifetime: f64,
}

/// Reads the settings and reports errors to the document. Returns `None` without a section `[broker]`, or if a value in it or in a
/// contract is missing or invalid. `counter_lifetime` is the maximum lifetime of a name on the counter, seconds.
pub(crate) fn read(
    document: &Document,
    file: &Section,
    platform: Option<&Platform>,
    counter_lifetime: Option<f64>,
) -> Option<BrokerSettings> {
    let counter_lifetime = counter_lifetime.unwrap_or(COUNTER_LIFETIME);
    let sections = file.sections("contract");
    let Some(section) = file.section("broker") else {
        let check = ContractCheck { document, platform, counter_lifetime: COUNTER_LIFETIME };
        check.read_without_broker(sections);
        return None;
    };
    section.require(&["capacity"]);
    let capacity = section.number("capacity", RATES).map(|capacity| capacity.value);
    let admits_unknown_customers =
        section.choice("strangers", &UNKNOWN_CUSTOMERS).is_some_and(|choice| choice.value);
    section.finish();
    let check = ContractCheck { document, platform, counter_lifetime };
    let lines: Vec<usize> = sections.iter().map(|section| section.line).collect();
    let contracts: Vec<Option<Contract>> = sections.into_iter().map(|section| check.read(section)).collect();
    let capacity = capacity?;
    let contracts: Vec<Contract> = contracts.into_iter().collect::<Option<_>>()?;
    match Contracts::new(contracts, capacity) {
        Ok(contracts) => Some(BrokerSettings { contracts, capacity, admits_unknown_customers }),
        Err(conflicts) => {
            conflicts.iter().for_each(|conflict| report_conflict(document, &lines, conflict));
            None
        }
    }
}

/// Reports a conflict between contracts at the line of the later contract.
fn report_conflict(document: &Document, lines: &[usize], conflict: &Conflict) {
    let line = match conflict {
        Conflict::DuplicateVersion { second, .. } | Conflict::SharedCustomer { second, .. } => lines[*second],
        Conflict::Oversold { .. } => lines.first().copied().unwrap_or(1),
    };
    document.report(line, "contract", conflict.to_string());
}

impl ContractCheck<'_> {
    /// Reports that contracts need a section `[broker]`, and all other errors in them.
    fn read_without_broker(&self, sections: Vec<Section>) {
        if let Some(first) = sections.first() {
            let message = "expected a section [broker], which enforces contracts, found none";
            self.document.report(first.line, "contract", message);
        }
        for section in sections {
            self.read(section);
        }
    }

    fn read(&self, section: Section) -> Option<Contract> {
        section.require(&["team", "rate"]);
        let team = section.string("team").map(|team| team.value);
        if team.as_ref().is_some_and(String::is_empty) {
            section.report("team", "expected a non-empty name, found an empty string");
        }
        let version =
            section.integer("version", 1..=u32::MAX as usize).map_or(1, |version| version.value as u32);
        let validity = section.validity();
        let operations = self.read_operations(&section);
        let customers = section.customers("customers");
        let rate = section.number("rate", RATES).map(|rate| rate.value);
        let burst = section.number("burst", RATES).map(|burst| burst.value);
        let weight = section.number("weight", WEIGHTS).map_or(1.0, |weight| weight.value);
        let operation_limits = read_operation_limits(&section, &operations, rate);
        let budget = section.section("budget").and_then(|section| self.read_budget(section));
        section.finish();
        let rate = rate?;
        Some(Contract {
            team: team?,
            version,
            valid_from: validity.from,
            valid_until: validity.until,
            operations,
            customers,
            rate,
            burst: burst.unwrap_or(rate),
            operation_limits,
            weight,
            budget,
        })
    }

    fn read_operations(&self, section: &Section) -> Vec<String> {
        let operations = section.strings("operations").unwrap_or_default();
        if let Some(platform) = self.platform {
            for pattern in operations.iter().filter(|pattern| !is_operation(platform, pattern)) {
                let message =
                    format!("expected a pattern that matches an operation, found '{}'", pattern.value);
                self.document.report(pattern.line, "operations", message);
            }
        }
        operations.into_iter().map(|pattern| pattern.value).collect()
    }

    fn read_budget(&self, section: Section) -> Option<Budget> {
        section.require(&["units", "period"]);
        let units = section.number("units", BUDGET_UNITS);
        let period = section.number("period", BUDGET_PERIODS);
        if let Some(period) = &period {
            let needed = period.value * COUNT_LIFETIME_PERIODS;
            let lifetime = self.counter_lifetime;
            if needed > lifetime {
                let message = format!(
                    "expected a counter.longest_life of at least {needed} s for a period of {} s, found {lifetime} s",
                    period.value
                );
                section.report("period", message);
            }
        }
        section.finish();
        Some(Budget { units: units?.value, period: period?.value })
    }
}

fn is_operation(platform: &Platform, pattern: &Located<String>) -> bool {
    let patterns = std::slice::from_ref(&pattern.value);
    platform.operations.iter().any(|operation| matches_any(patterns, &operation.name))
}

fn read_operation_limits(
    contract: &Section,
    operations: &[String],
    contract_rate: Option<f64>,
) -> Vec<OperationLimit> {
    let mut limits = vec![];
    let mut seen = BTreeSet::new();
    for section in contract.sections("expects") {
        section.require(&["operation", "rate"]);
        let operation = section.string("operation").map(|operation| operation.value);
        let rate = section.number("rate", RATES).map(|rate| rate.value);
        let burst = section.number("burst", RATES).map(|burst| burst.value);
        if let (Some(rate), Some(contract_rate)) = (rate, contract_rate) {
            if rate > contract_rate {
                section.report(
                    "rate",
                    format!("expected at most {contract_rate}, the contract's rate, found {rate}"),
                );
            }
        }
        if let Some(operation) = operation {
            if !seen.insert(operation.clone()) {
                section
                    .report("operation", format!("expected each operation once, found '{operation}' again"));
            }
            let is_in_contract = operations.is_empty()
                || matches_any(operations, &operation)
                || operations.contains(&operation);
            if !is_in_contract {
                let message = format!("expected one of the contract's operations, found '{operation}'");
                section.report("operation", message);
            }
            limits.extend(rate.map(|rate| OperationLimit { operation, rate, burst: burst.unwrap_or(rate) }));
        }
        section.finish();
    }
    limits
}
