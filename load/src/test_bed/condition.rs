//! The condition of backends and counters under faults, and the outcomes that it leads to.
use std::time::Duration;

/// The condition of a backend at one time.
#[derive(Clone, Debug)]
pub struct BackendCondition {
    /// Whether the process has ended, so that connections are refused.
    pub down: bool,
    /// Whether the machine is unresponsive: connections stay open, and nothing is read or written.
    pub unresponsive: bool,
    /// Factor on the service time.
    pub work_factor: f64,
    /// Fraction of requests that are executed and left unanswered.
    pub unanswered_fraction: f64,
    /// Fraction of requests that are answered with a malformed reply.
    pub malformed_fraction: f64,
    /// Fraction of requests that are executed and answered with an error.
    pub failed_fraction: f64,
    /// Fraction of requests that are rejected without execution.
    pub rejected_fraction: f64,
    /// Whether the backend is draining, so that all requests are rejected.
    pub draining: bool,
    /// Last start of the process, seconds since the start of the run; `None` for the initial process, which has warmed up.
    pub started_at: Option<f64>,
    /// Number of the backend's process. A connection ends when it belongs to an earlier process.
    pub process_number: u64,
}

impl Default for BackendCondition {
    fn default() -> BackendCondition {
        BackendCondition {
            down: false,
            unresponsive: false,
            work_factor: 1.0,
            unanswered_fraction: 0.0,
            malformed_fraction: 0.0,
            failed_fraction: 0.0,
            rejected_fraction: 0.0,
            draining: false,
            started_at: None,
            process_number: 0,
        }
    }
}

/// The condition of the counters at one time.
#[derive(Clone, Debug, Default)]
pub struct CounterCondition {
    /// Whether the counters are down, so that connections end at once.
    pub down: bool,
    /// Whether the counters are unresponsive, so that calls wait until the fault ends.
    pub unresponsive: bool,
    /// Delay of each answer, seconds.
    pub delay_seconds: f64,
    /// Fraction of calls that are added to the total and left unanswered.
    pub unanswered_fraction: f64,
    /// Fraction of calls that are rejected.
    pub rejected_fraction: f64,
    /// Whether the second counter uses a separate set of totals. Instances with an odd index use that counter.
    pub split: bool,
}

/// The outcome of one request at a backend; the durations are those of the work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendOutcome {
    /// Executed and answered.
    Serve(Duration),
    /// Executed and not answered.
    LeaveUnanswered(Duration),
    /// Executed and answered with a malformed reply.
    Malformed(Duration),
    /// Executed and answered with an error.
    Fail(Duration),
    /// Answered with BUSY and not executed.
    Reject,
}
