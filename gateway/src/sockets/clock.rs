//! The clock of the process: monotonic time, whose offset to Unix time is fixed at the start.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that returns Unix time.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`, in seconds.
    unix_start: f64,
}

impl Clock {
    /// Returns a clock that is set to the current Unix time.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Clock { start: Instant::now(), unix_start }
    }

    /// Returns the seconds since 1970.
    pub fn now(&self) -> f64 {
        self.unix_start + self.start.elapsed().as_secs_f64()
    }
}
