//! The process clock: Unix time at the start of the process plus monotonic time since then. A step of the
//! system clock therefore refills no bucket.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Clock of Unix time that is unaffected by steps of the system clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at which the clock was created, in seconds.
    unix_time_at_start: f64,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub fn new() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_time_at_start: unix_time.as_secs_f64() }
    }

    /// Returns the current Unix time in seconds.
    pub fn now(&self) -> f64 {
        self.unix_time_at_start + self.started.elapsed().as_secs_f64()
    }
}

/// Returns the incarnation of this process: its start as Unix time in nanoseconds, so that a later process
/// has a higher one.
pub fn incarnation() -> u64 {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix_time.as_nanos()).unwrap_or(u64::MAX)
}
