//! What a process has used, and an address of its own.
use crate::process_stat::{self, KIB_PER_MIB, TICKS_PER_SECOND};
use std::net::Ipv4Addr;

/// An address of loopback that no other process of these runs has: ports that one has chosen are not taken by another.
pub fn own_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.wrapping_add(1), middle, low)
}

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
