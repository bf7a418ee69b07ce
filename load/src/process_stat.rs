//! What a process has used, as the system counts it.

/// Processor time and memory of a process, in the system's own units.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ProcessStat {
    /// Clock ticks in user mode.
    pub user_ticks: f64,
    /// Clock ticks in the kernel.
    pub system_ticks: f64,
    /// Resident memory, KiB.
    pub resident_kib: f64,
}

/// The system's clock ticks a second (`USER_HZ`, 100 on Linux).
pub(crate) const TICKS_PER_SECOND: f64 = 100.0;
/// KiB of a MiB.
pub(crate) const KIB_PER_MIB: f64 = 1024.0;
/// Places of the two times in `/proc/PID/stat`, counted behind the name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// What the process has used until now; zeros where it is gone.
pub(crate) fn read(pid: u32) -> ProcessStat {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
    let status = read("status");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kib = resident.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    let stat = read("stat");
    // The name in parentheses may hold blanks; the fields are counted behind it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    ProcessStat { user_ticks: ticks(USER_TICKS_FIELD), system_ticks: ticks(SYSTEM_TICKS_FIELD), resident_kib }
}
