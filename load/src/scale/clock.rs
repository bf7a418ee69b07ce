//! The time of day, and processor time of the calling thread.
use nix::time::{clock_gettime, ClockId};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time in seconds.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Sleeps until that Unix time in seconds.
pub fn sleep_until(deadline: f64) {
    sleep(Duration::from_secs_f64((deadline - unix_now()).max(0.0)));
}

/// Processor time that this thread has used; zero where the system does not tell.
pub fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}
