//! Processor time of the calling thread.
use nix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Processor time that this thread has used; zero where the system does not tell.
pub fn thread() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}
