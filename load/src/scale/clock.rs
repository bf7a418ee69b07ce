//! Wall-clock time, and processor time of the calling thread.
use nix::time::{clock_gettime, ClockId};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the current Unix time in seconds.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Sleeps until a Unix time in seconds; returns at once if that is past.
pub fn sleep_until(deadline: f64) {
    sleep(Duration::from_secs_f64((deadline - unix_now()).max(0.0)));
}

/// Returns the processor time of the calling thread; zero if the system clock is unavailable.
pub fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}
