//! The process of an instance: how it is launched, and what it has used.
use super::FleetUsage;
use crate::error::RunError;
use crate::experiment::Variant;
use crate::process_stat::{self, KIB_PER_MIB, TICKS_PER_SECOND};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// The program of an instance, where a variant names no other.
const DEFAULT_PROGRAM: &str = "target/release/quillramp";

/// Launches the instances of a variant.
#[derive(Clone)]
pub(super) struct Launcher {
    /// The program of the instances.
    pub program: String,
    variant: Variant,
}

impl Launcher {
    /// The launcher of a variant's program, with its environment.
    pub fn new(variant: &Variant) -> Launcher {
        let program = variant.program.clone().unwrap_or_else(|| DEFAULT_PROGRAM.into());
        Launcher { program, variant: variant.clone() }
    }

    /// Starts an instance with this configuration file.
    pub fn launch(&self, configuration: &Path) -> Result<Child, RunError> {
        let mut command = Command::new(&self.program);
        command.envs(&self.variant.environment).env("EDGE_CONFIG", configuration);
        command.stderr(Stdio::null()).stdout(Stdio::null());
        if let Some(operator) = &self.variant.operator {
            command.env("EDGE_OPERATOR", operator);
        }
        command.spawn().map_err(|source| RunError::Launch { program: self.program.clone(), source })
    }
}

/// What a process has used; zeros where it is gone.
pub(super) fn usage(process: u32) -> FleetUsage {
    let stat = process_stat::read(process);
    FleetUsage {
        processor: (stat.user_ticks + stat.system_ticks) / TICKS_PER_SECOND,
        memory_mb: stat.resident_kib / KIB_PER_MIB,
    }
}
