//! Which process is meant: a number alone may belong to another process by now.

/// A process by its number and the time of its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessIdentity {
    /// The process's number; 0 for none.
    pub pid: u32,
    /// When it started, in the machine's clock ticks since boot; 0 where that is not known.
    pub started: u64,
}

impl ProcessIdentity {
    /// This process.
    pub fn current() -> ProcessIdentity {
        let pid = std::process::id();
        ProcessIdentity { pid, started: start_time(pid).unwrap_or(0) }
    }

    /// Whether it is still running, and not another that has its number by now.
    pub fn is_running(&self) -> bool {
        let same = |started| self.started == 0 || self.started == started;
        self.pid != 0 && start_time(self.pid).is_some_and(same)
    }
}

/// When a process started, if it still runs: one that has died stays on the machine's list until its parent has looked.
fn start_time(pid: u32) -> Option<u64> {
    /// The start time's place in `/proc/PID/stat`, counted from the field behind the state.
    const START_TIME: usize = 18;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit(')').next()?.split_whitespace();
    let state = fields.next()?;
    let started = fields.nth(START_TIME)?.parse().ok();
    started.filter(|_| !matches!(state, "Z" | "X"))
}
