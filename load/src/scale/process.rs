//! What a process has used, as the system tells.

use std::net::Ipv4Addr;

/// An address of loopback that no other process of these runs has: ports that one has chosen are not taken by another.
pub fn own_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.wrapping_add(1), middle, low)
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Seconds of processor time, in user mode and in the kernel.
    pub user: f64,
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

/// The system's clock ticks a second (`USER_HZ`, 100 on Linux).
const TICKS: f64 = 100.0;

/// What the process has used until now; zeros where it is gone.
pub fn usage(process: u32) -> Usage {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).unwrap_or_default();
    let status = read("status");
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0);
    let stat = read("stat");
    // The name in parentheses may hold blanks; the fields are counted behind it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0) / TICKS;
    Usage { user: ticks(11), system: ticks(12), resident: kilobytes / 1024.0 }
}
