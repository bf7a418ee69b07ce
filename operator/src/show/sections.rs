//! The lines for each section of the file except the request limits.
use crate::broker::BrokerSettings;
use crate::log::{LevelRule, LogSettings};
use crate::OperatorSettings;
use quillramp_admission::Limits;
use quillramp_broker::contract::Contract;
use quillramp_identity::Trust;

/// Returns the lines for all sections.
pub(super) fn show(settings: &OperatorSettings) -> String {
    let lines = [
        settings.admission.as_ref().map_or("admission: off".into(), admission),
        settings.log.as_ref().map_or("log: Plain; levels: default".into(), log),
        settings.membership_interval.map_or("membership on the counter: off".into(), membership),
        settings.identity.as_ref().map_or("callers: no authentication".into(), identity),
        settings.broker.as_ref().map_or("broker: off".into(), broker),
    ];
    lines.map(|line| line + "\n").concat()
}

fn admission(limits: &Limits) -> String {
    let Limits {
        connections,
        reserve,
        per_address,
        unidentified,
        rate,
        burst,
        pending_commands,
        first_command_timeout,
        known_for,
        known_networks,
    } = limits;
    format!(
        "admission: {connections} connections, {reserve} reserved for known addresses; per address: {per_address} \
         connections, {rate} new per second with bursts of {burst}, {pending_commands} pending commands, \
         {unidentified} connections without a command; first command within {first_command_timeout} s; addresses known \
         for {known_for} s, {} networks always known",
        known_networks.len()
    )
}

fn log(settings: &LogSettings) -> String {
    let levels: Vec<String> = settings.levels.iter().map(level).collect();
    let levels = if levels.is_empty() { "default".into() } else { levels.join(", ") };
    format!("log: {:?}; levels: {levels}", settings.format)
}

fn level(rule: &LevelRule) -> String {
    let level = rule.level.name();
    if rule.prefix.is_empty() {
        level.to_owned()
    } else {
        format!("{} {level}", rule.prefix)
    }
}

fn membership(interval: f64) -> String {
    format!("membership on the counter: every {interval} s")
}

fn identity(trust: &Trust) -> String {
    let Trust { issuer, audience, max_lifetime, .. } = trust;
    let keys = trust.keys.len();
    let revoked = trust.revoked.len();
    let single_use = if trust.single_use { ", single use" } else { "" };
    format!(
        "callers: tokens of issuer {issuer} for audience {audience}, {keys} keys, {revoked} revoked, lifetime up to \
         {max_lifetime} s{single_use}"
    )
}

fn broker(settings: &BrokerSettings) -> String {
    let unknown_customers = if settings.admits_unknown_customers { "admitted" } else { "rejected" };
    let capacity = settings.capacity;
    let contracts: String = settings.contracts.all().iter().map(contract).collect();
    format!("broker: {capacity} units per second in total; customers without a team {unknown_customers}{contracts}")
}

fn contract(contract: &Contract) -> String {
    let Contract { team, version, rate, burst, weight, .. } = contract;
    let budget = contract
        .budget
        .map_or(String::new(), |budget| format!(", budget {} units per {} s", budget.units, budget.period));
    format!("\n  {team} version {version}: {rate} units per second, burst {burst}, weight {weight}{budget}")
}
