//! The clock: Unix time at the start plus monotonic time since, so that a step of the system clock refills no bucket.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock of Unix time that never steps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time of the start, seconds.
    unix_time_at_start: f64,
}

impl Clock {
    /// A clock that begins at the system's time.
    pub fn new() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_time_at_start: unix_time.as_secs_f64() }
    }

    /// Unix time in seconds.
    pub fn now(&self) -> f64 {
        self.unix_time_at_start + self.started.elapsed().as_secs_f64()
    }
}

/// Identifies this process among its predecessors: Unix time in nanoseconds.
pub fn incarnation() -> u64 {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix_time.as_nanos()).unwrap_or(u64::MAX)
}
