//! What a process has used.
use crate::process_stat::{self, KIB_PER_MIB, TICKS_PER_SECOND};

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Seconds of processor time in user mode.
    pub user: f64,
    /// Seconds of processor time in the kernel.
    pub system: f64,
    /// Resident memory, MiB.
    pub resident: f64,
}

impl Usage {
    /// Seconds of processor time in all.
    pub fn processor(&self) -> f64 {
        self.user + self.system
    }
}

/// What the process has used until now; zeros where it is gone.
pub fn usage(process: u32) -> Usage {
    let stat = process_stat::read(process);
    Usage {
        user: stat.user_ticks / TICKS_PER_SECOND,
        system: stat.system_ticks / TICKS_PER_SECOND,
        resident: stat.resident_kib / KIB_PER_MIB,
    }
}
