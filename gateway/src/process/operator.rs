//! The operator's file, where the environment names one: read whole, checked against the configuration, told to the front door.
use crate::state::event::OperatorUpdate;
use quillramp::settings::InstanceSettings;
use quillramp_operator::routes::{Operation, Platform, Table};
use quillramp_operator::{Diagnostic, OperatorSettings, MAX_FILE_BYTES};
use std::fs::File;
use std::io::Read;

pub const PATH_VARIABLE: &str = "EDGE_OPERATOR";
/// How often a file that changes while it is read is read again.
const TRIES: usize = 3;

/// What the configuration allows, for a file to be checked against.
pub fn platform(about: &InstanceSettings, sockets: usize) -> Platform {
    let operation = |o: &quillramp::settings::OfferedOperation| Operation {
        name: o.name.clone(),
        idempotency: o.idempotency,
        latency_objective: o.latency_objective,
        timeout: o.timeout,
    };
    Platform {
        operations: about.operations.iter().map(operation).collect(),
        plans: about.plans.clone(),
        max_attempts: about.max_attempts,
        hedging: about.hedging,
        descriptors: sockets,
    }
}

/// The text of a file that did not change meanwhile. One that is longer than it may be is read as far as that shows.
pub fn text(path: &str) -> Result<String, String> {
    let told = |e: std::io::Error| format!("{path}: {e}");
    for _ in 0..TRIES {
        let mut file = File::open(path).map_err(told)?;
        let about = |file: &File| file.metadata().map(|m| (m.len(), m.modified().ok()));
        let before = about(&file).map_err(told)?;
        let mut text = String::new();
        (&mut file).take(MAX_FILE_BYTES as u64 + 1).read_to_string(&mut text).map_err(told)?;
        // The same name may be another file by now; what was read is whole all the same if this one stood still.
        if about(&file).map_err(told)? == before
            && text.len() as u64 == before.0.min(MAX_FILE_BYTES as u64 + 1)
        {
            return Ok(text);
        }
    }
    Err(format!("{path}: it changes while it is read"))
}

/// All that is wrong, a line each, with the file's name in front.
pub fn faults(path: &str, faults: &[Diagnostic]) -> Vec<String> {
    faults.iter().map(|f| format!("{path}: {f}")).collect()
}

/// Reads the file that the environment names; nothing is switched on where none is named. All that is wrong is said on one line.
pub fn read(platform: &Platform) -> Result<OperatorSettings, String> {
    let Ok(path) = std::env::var(PATH_VARIABLE) else { return Ok(OperatorSettings::default()) };
    let text = text(&path)?;
    quillramp_operator::read(&text, Some(platform)).map_err(|wrong| faults(&path, &wrong).join("; "))
}

/// What the front door itself is told of it.
pub fn operator_update(operator: OperatorSettings, platform: &Platform) -> OperatorUpdate {
    let OperatorSettings { admission, presence, broker, identity, .. } = operator;
    OperatorUpdate {
        routes: Table::new(&operator.routes, platform),
        admission,
        presence_interval: presence,
        broker,
        identity,
    }
}
