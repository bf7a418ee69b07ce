//! One clock: monotonic, tied to Unix time once.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    from: Instant,
    unix: f64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Clock { from: Instant::now(), unix }
    }
    /// Seconds since 1970.
    pub fn now(&self) -> f64 {
        self.unix + self.from.elapsed().as_secs_f64()
    }
}
