//! Validates the settings and converts them to those of the policy engine and of its caller.
use super::file::{LoadReporting, OperationEntry, PlanEntry, SettingsFile};
use super::{InstanceSettings, OfferedOperation, SettingsError};
use crate::types::*;

/// The validated parts of the settings.
pub(super) struct CheckedSettings {
    operations: Vec<Operation>,
    polls_endpoints: bool,
    load_report_fields: Vec<String>,
}

/// Validates the settings; returns the first error only.
pub(super) fn check(file: &SettingsFile) -> Result<CheckedSettings, SettingsError> {
    let operations = file.operations.iter().enumerate().map(|(index, entry)| operation(index, entry));
    let operations = operations.collect::<Result<_, _>>()?;
    let polls_endpoints = polls_endpoints(&file.discovery)?;
    let load_report_fields = load_report_fields(&file.load_reporting)?;
    check_home_zone(file)?;
    check_ceilings(&file.plans)?;
    Ok(CheckedSettings { operations, polls_endpoints, load_report_fields })
}

/// Returns the settings of the policy engine.
pub(super) fn engine_settings(seed: u64, file: &SettingsFile, checked: &CheckedSettings) -> EngineSettings {
    let has_gossip = file.capabilities.gossip;
    EngineSettings {
        seed,
        instances: instances(file) as f64,
        gossip_intake_rate: if has_gossip { file.shared_services.gossip_intake_rate } else { 0.0 },
        polls_endpoints: checked.polls_endpoints,
        operations: checked.operations.clone(),
        plans: file.plans.iter().map(plan).collect(),
        slow_start: SlowStart {
            initial_fraction: file.slow_start.initial_fraction,
            duration: seconds(file.slow_start.duration_us),
        },
        attempts: attempt_settings(file),
        counter: file
            .shared_services
            .has_counter
            .then_some(CounterSettings { timeout: counter_timeout(file) }),
    }
}

/// Returns the settings for the caller of the policy engine.
pub(super) fn instance_settings(file: SettingsFile, checked: CheckedSettings) -> InstanceSettings {
    let client_timeouts = file.operations.iter().map(|entry| seconds(entry.client_timeout_us));
    InstanceSettings {
        instances: instances(&file),
        instance_index: file.instance_index,
        max_client_timeout: client_timeouts.fold(0.0, f64::max),
        max_attempts: file.capabilities.max_attempts,
        hedging: file.capabilities.hedging,
        max_units: file.shared_services.max_request_units.unwrap_or(f64::INFINITY),
        polls_endpoints: checked.polls_endpoints,
        connect_timeout: seconds(file.capabilities.connect_timeout_us),
        connection_idle_timeout: seconds(file.capabilities.connection_idle_timeout_us),
        max_streams_per_connection: file.capabilities.max_streams_per_connection.max(1),
        sends_retry_after: file.capabilities.retry_after,
        load_report_fields: checked.load_report_fields,
        counter_timeout: counter_timeout(&file),
        operations: offered_operations(file.operations, &checked.operations),
        plans: file.plans.into_iter().map(|plan| plan.name).collect(),
        zones: file.zones,
    }
}

fn operation(index: usize, entry: &OperationEntry) -> Result<Operation, SettingsError> {
    Ok(Operation {
        latency_objective: seconds(entry.latency_objective_us),
        idempotency: idempotency(index, entry)?,
        billed_value: entry.billed_value,
    })
}

fn idempotency(index: usize, entry: &OperationEntry) -> Result<Idempotency, SettingsError> {
    match entry.idempotency.as_str() {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => {
            Ok(Idempotency::Keyed { scope: key_scope(index, entry)?, window: seconds(entry.key_window_us) })
        }
        "fragile" => Ok(Idempotency::NonIdempotent),
        other => Err(unknown_value(format!("classes[{index}].idempotency"), other)),
    }
}

fn key_scope(index: usize, entry: &OperationEntry) -> Result<KeyScope, SettingsError> {
    match entry.key_scope.as_str() {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        other => Err(unknown_value(format!("classes[{index}].group"), other)),
    }
}

fn polls_endpoints(discovery: &str) -> Result<bool, SettingsError> {
    match discovery {
        "pushed" => Ok(false),
        "on_request" => Ok(true),
        other => Err(unknown_value("discovery".to_owned(), other)),
    }
}

/// Returns the names of the values that answers report; none if backends report their load otherwise or not at all.
fn load_report_fields(load_reporting: &LoadReporting) -> Result<Vec<String>, SettingsError> {
    match load_reporting.source.as_deref() {
        Some("piggyback") => Ok(load_reporting.fields.clone()),
        None | Some("pull" | "silent") => Ok(vec![]),
        Some(other) => Err(unknown_value("feedback.source".to_owned(), other)),
    }
}

fn check_home_zone(file: &SettingsFile) -> Result<(), SettingsError> {
    if charges_for_zones(file) && file.home_zone >= file.zones.len() {
        return Err(SettingsError::UnknownZone { index: file.home_zone, count: file.zones.len() });
    }
    Ok(())
}

/// Requires the ceiling of each plan to be no lower than its quota, because units are spent from a lease without a check of the
/// ceiling.
fn check_ceilings(plans: &[PlanEntry]) -> Result<(), SettingsError> {
    match plans.iter().find(|plan| ceiling_below_quota(plan)) {
        Some(plan) => Err(SettingsError::CeilingBelowQuota { plan: plan.name.clone() }),
        None => Ok(()),
    }
}

fn ceiling_below_quota(plan: &PlanEntry) -> bool {
    plan.ceiling_rate > 0.0
        && (plan.ceiling_rate < plan.rate || plan.rate > 0.0 && plan.ceiling_burst < plan.burst)
}

fn plan(entry: &PlanEntry) -> Plan {
    Plan {
        rate: entry.rate,
        burst: entry.burst,
        max_in_flight: entry.max_in_flight,
        ceiling_rate: entry.ceiling_rate,
        ceiling_burst: entry.ceiling_burst,
        ceiling_slack: entry.ceiling_slack,
    }
}

fn attempt_settings(file: &SettingsFile) -> AttemptSettings {
    let capabilities = &file.capabilities;
    AttemptSettings {
        max_attempts: capabilities.max_attempts,
        hedging: capabilities.hedging,
        cancellation: capabilities.cancellation,
        connection_idle_timeout: seconds(capabilities.connection_idle_timeout_us),
        home_zone: charges_for_zones(file).then_some(file.home_zone),
        max_retry_after: capabilities.retry_after.then_some(seconds(capabilities.max_retry_after_us)),
    }
}

fn offered_operations(entries: Vec<OperationEntry>, operations: &[Operation]) -> Vec<OfferedOperation> {
    let offered = |(entry, operation): (OperationEntry, &Operation)| OfferedOperation {
        name: entry.name,
        idempotency: operation.idempotency,
        latency_objective: operation.latency_objective,
        timeout: seconds(entry.client_timeout_us),
    };
    entries.into_iter().zip(operations).map(offered).collect()
}

fn instances(file: &SettingsFile) -> usize {
    file.instances.max(1)
}

fn counter_timeout(file: &SettingsFile) -> f64 {
    seconds(file.shared_services.counter_timeout_us)
}

fn charges_for_zones(file: &SettingsFile) -> bool {
    file.charges.cross_zone > 0.0
}

fn seconds(microseconds: f64) -> f64 {
    microseconds / 1e6
}

fn unknown_value(key: String, value: &str) -> SettingsError {
    SettingsError::UnknownValue { key, value: value.to_owned() }
}
