//! Launches the process of an instance, and reads its usage and log.
use super::FleetUsage;
use crate::error::RunError;
use crate::experiment::Variant;
use crate::process_stat::{self, KIB_PER_MIB, TICKS_PER_SECOND};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Program of the instances of a variant that names none.
const DEFAULT_PROGRAM: &str = "target/release/quillramp";

/// Launches the instances of a variant.
#[derive(Clone)]
pub(super) struct Launcher {
    /// Path of the program.
    pub program: String,
    variant: Variant,
}

impl Launcher {
    /// Creates a launcher for the variant's program and environment.
    pub fn new(variant: &Variant) -> Launcher {
        let program = variant.program.clone().unwrap_or_else(|| DEFAULT_PROGRAM.into());
        Launcher { program, variant: variant.clone() }
    }

    /// Starts an instance with this configuration file. The log is written next to that file.
    pub fn launch(&self, configuration: &Path) -> Result<Child, RunError> {
        let log_path = log_path(configuration);
        let log = File::create(&log_path).map_err(RunError::file(&log_path))?;
        let mut command = Command::new(&self.program);
        command.envs(&self.variant.environment).env("EDGE_CONFIG", configuration);
        command.stderr(log).stdout(Stdio::null());
        if let Some(operator) = &self.variant.operator {
            command.env("EDGE_OPERATOR", operator);
        }
        command.spawn().map_err(|source| RunError::Launch { program: self.program.clone(), source })
    }
}

/// Returns the path of the log of the instance with this configuration file.
fn log_path(configuration: &Path) -> PathBuf {
    configuration.with_extension("log")
}

/// Returns the last log line of the instance with this configuration file; empty if there is none.
pub(super) fn last_log_line(configuration: &Path) -> String {
    let log = std::fs::read_to_string(log_path(configuration)).unwrap_or_default();
    log.lines().last().unwrap_or_default().to_owned()
}

/// Returns the processor time and memory of a process; zeros if it has exited.
pub(super) fn usage(pid: u32) -> FleetUsage {
    let stat = process_stat::read(pid);
    FleetUsage {
        processor_seconds: (stat.user_ticks + stat.system_ticks) / TICKS_PER_SECOND,
        memory_mib: stat.resident_kib / KIB_PER_MIB,
    }
}
