//! Whether a client's command is valid under the settings.
use crate::wire::resp::RequestCommand;
use quillramp::settings::InstanceSettings;
use quillramp::types::Idempotency;
use thiserror::Error;

/// Why a command is invalid, as its client reads it.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum InvalidCommand {
    #[error("unknown operation")]
    UnknownOperation,
    #[error("unknown plan")]
    UnknownPlan,
    /// Idempotent operations have another verb than all else.
    #[error("not by this command: CALL.GET is for what may be repeated, CALL.POST for all else")]
    WrongVerb,
    #[error("first and spread: no such front doors")]
    UnknownInstances,
    /// The units are not in the range that the settings allow.
    #[error("units: expected more than 0, and {max_units} at the most")]
    UnitsOutOfRange { max_units: f64 },
    /// The timeout is not in the range that the operation allows, in milliseconds.
    #[error("d: expected 1 to {max_timeout_ms} ms")]
    TimeoutOutOfRange { max_timeout_ms: f64 },
    /// A request with the same id is not over.
    #[error("id: an invocation under it is open")]
    IdInUse,
}

/// What a valid command names.
pub(super) struct ValidCommand {
    /// The index of its operation.
    pub operation: usize,
    /// The index of its plan.
    pub plan: usize,
}

/// Checks a command against the settings.
pub(super) fn validate(
    settings: &InstanceSettings,
    command: &RequestCommand,
) -> Result<ValidCommand, InvalidCommand> {
    let operations = &settings.operations;
    let operation = operations.iter().position(|known| known.name.as_bytes() == command.operation());
    let operation = operation.ok_or(InvalidCommand::UnknownOperation)?;
    let plan = settings.plans.iter().position(|known| known.as_bytes() == command.plan());
    let plan = plan.ok_or(InvalidCommand::UnknownPlan)?;
    let offered = &operations[operation];
    if command.idempotent != (offered.idempotency == Idempotency::Idempotent) {
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
    let max_timeout_ms = (offered.timeout * 1e3).ceil();
    if command.timeout_ms < 1.0 || command.timeout_ms > max_timeout_ms {
        return Err(InvalidCommand::TimeoutOutOfRange { max_timeout_ms });
    }
    Ok(ValidCommand { operation, plan })
}
