//! Identifies a process by its id and its start time, because the system reuses ids.

/// A process, identified by its id and its start time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessIdentity {
    /// The process id; 0 for no process.
    pub pid: u32,
    /// The start time, in clock ticks since the machine's boot; 0 if it is not known.
    pub start_ticks: u64,
}

impl ProcessIdentity {
    /// Returns the identity of this process.
    pub fn current() -> ProcessIdentity {
        let pid = std::process::id();
        ProcessIdentity { pid, start_ticks: start_time(pid).unwrap_or(0) }
    }

    /// Whether this process is running; false if its id now belongs to another process.
    pub fn is_running(&self) -> bool {
        let is_same = |start_ticks| self.start_ticks == 0 || self.start_ticks == start_ticks;
        self.pid != 0 && start_time(self.pid).is_some_and(is_same)
    }
}

/// Returns the start time of a running process, in clock ticks since boot. A process that has exited stays in
/// `/proc` until its parent has waited for it; it does not count as running.
fn start_time(pid: u32) -> Option<u64> {
    /// Index of the start time in `/proc/PID/stat`, counted from the field after the state.
    const START_TIME_FIELD: usize = 18;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit(')').next()?.split_whitespace();
    let state = fields.next()?;
    let start_ticks = fields.nth(START_TIME_FIELD)?.parse().ok();
    start_ticks.filter(|_| !matches!(state, "Z" | "X"))
}
