//! Validation of clients' commands against the settings.
use crate::wire::resp::RequestCommand;
use quillramp::settings::InstanceSettings;
use quillramp::types::Idempotency;
use thiserror::Error;

/// Why a command is invalid; the client gets the text.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvalidCommand {
    #[error("unknown operation")]
    UnknownOperation,
    #[error("unknown plan")]
    UnknownPlan,
    /// The verb does not fit the idempotency of the operation.
    #[error("not by this command: CALL.GET is for what may be repeated, CALL.POST for all else")]
    WrongVerb,
    /// The range of instances is empty, too long, or starts after the last instance.
    #[error("first and spread: no such front doors")]
    UnknownInstances,
    /// The units are outside the range that the settings allow.
    #[error("units: expected more than 0, and {max_units} at the most")]
    UnitsOutOfRange { max_units: f64 },
    /// The timeout in milliseconds is outside the range that the operation allows.
    #[error("d: expected 1 to {max_timeout_ms} ms")]
    TimeoutOutOfRange { max_timeout_ms: f64 },
    /// A request with the same ID has not ended yet.
    #[error("id: an invocation under it is open")]
    IdInUse,
}

/// The settings that a valid command refers to.
pub(super) struct ValidCommand {
    /// Index of the operation.
    pub operation: usize,
    /// Index of the plan.
    pub plan: usize,
}

/// Validates a command against the settings; returns the indices of its operation and plan.
pub(super) fn validate(
    settings: &InstanceSettings,
    command: &RequestCommand,
) -> Result<ValidCommand, InvalidCommand> {
    let operations = &settings.operations;
    let operation = operations.iter().position(|operation| operation.name.as_bytes() == command.operation());
    let operation = operation.ok_or(InvalidCommand::UnknownOperation)?;
    let plan = settings.plans.iter().position(|plan| plan.as_bytes() == command.plan());
    let plan = plan.ok_or(InvalidCommand::UnknownPlan)?;
    let operation_settings = &operations[operation];
    if command.idempotent != (operation_settings.idempotency == Idempotency::Idempotent) {
        return Err(InvalidCommand::WrongVerb);
    }
    let instances = settings.instances;
    if command.first_instance >= instances || !(1..=instances).contains(&command.instance_count) {
        return Err(InvalidCommand::UnknownInstances);
    }
    let max_units = settings.max_units;
    if command.units <= 0.0 || command.units > max_units {
        return Err(InvalidCommand::UnitsOutOfRange { max_units });
    }
    let max_timeout_ms = (operation_settings.timeout * 1e3).ceil();
    if command.timeout_ms < 1.0 || command.timeout_ms > max_timeout_ms {
        return Err(InvalidCommand::TimeoutOutOfRange { max_timeout_ms });
    }
    Ok(ValidCommand { operation, plan })
}
