//! The clock: Unix time at the start, then the monotonic clock, so that a step of the system's clock refills nothing.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: f64,
}

impl Clock {
    /// A clock that begins at the system's time.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_secs_f64() }
    }

    /// Now.
    pub fn now(&self) -> f64 {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

/// Names this process: Unix time in nanoseconds.
pub fn incarnation() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_nanos()).unwrap_or(u64::MAX)
}
