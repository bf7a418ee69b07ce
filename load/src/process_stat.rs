//! Reads the processor time and the memory of a process from `/proc`.

/// Processor time and memory of a process, in the units of `/proc`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ProcessStat {
    /// Processor time in user mode, clock ticks.
    pub user_ticks: f64,
    /// Processor time in kernel mode, clock ticks.
    pub system_ticks: f64,
    /// Resident memory, KiB.
    pub resident_kib: f64,
}

/// Clock ticks per second (`USER_HZ`, 100 on Linux).
pub(crate) const TICKS_PER_SECOND: f64 = 100.0;
pub(crate) const KIB_PER_MIB: f64 = 1024.0;
/// Index of the user time in `/proc/PID/stat`, from 0, among the fields after the process name.
const USER_TICKS_FIELD: usize = 11;
/// Index of the system time, counted in the same way.
const SYSTEM_TICKS_FIELD: usize = 12;

/// Returns the processor time and memory of a process; zeros if it has exited.
pub(crate) fn read(pid: u32) -> ProcessStat {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
    let status = read("status");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kib = resident.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    let stat = read("stat");
    // The process name is in parentheses and can contain spaces, so the fields are counted after it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    ProcessStat { user_ticks: ticks(USER_TICKS_FIELD), system_ticks: ticks(SYSTEM_TICKS_FIELD), resident_kib }
}
