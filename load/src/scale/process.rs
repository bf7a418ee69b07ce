//! Processor time and memory of a process.
use crate::process_stat::{self, KIB_PER_MIB, TICKS_PER_SECOND};

/// Processor time and memory of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Seconds of processor time in user mode.
    pub user_seconds: f64,
    /// Seconds of processor time in the kernel.
    pub system_seconds: f64,
    /// Resident memory, MiB.
    pub resident_mib: f64,
}

impl ProcessUsage {
    /// Returns the seconds of processor time in user mode and in the kernel.
    pub fn cpu_seconds(&self) -> f64 {
        self.user_seconds + self.system_seconds
    }
}

/// Returns the usage of a process since its start; zeros if the process no longer exists.
pub fn process_usage(pid: u32) -> ProcessUsage {
    let stat = process_stat::read(pid);
    ProcessUsage {
        user_seconds: stat.user_ticks / TICKS_PER_SECOND,
        system_seconds: stat.system_ticks / TICKS_PER_SECOND,
        resident_mib: stat.resident_kib / KIB_PER_MIB,
    }
}
