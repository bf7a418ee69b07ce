//! One clock: monotonic, tied to Unix time once.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The clock of the process.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// The start in Unix time, in seconds.
    unix_start: f64,
}

impl Clock {
    /// A clock that is tied to Unix time now.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Clock { start: Instant::now(), unix_start }
    }

    /// Seconds since 1970.
    pub fn now(&self) -> f64 {
        self.unix_start + self.start.elapsed().as_secs_f64()
    }
}
