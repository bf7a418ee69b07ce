//! What faults have made of a backend and of the counter.
use std::time::Duration;

/// A backend at one time.
#[derive(Clone, Debug)]
pub struct BackendCondition {
    /// Its process is gone: connections are refused.
    pub down: bool,
    /// It is unresponsive: it reads nothing and writes nothing.
    pub unresponsive: bool,
    /// Factor on the time of its work.
    pub work_factor: f64,
    /// Fraction of requests that are executed and not answered.
    pub unanswered_fraction: f64,
    /// Fraction of requests that are answered with a malformed reply.
    pub malformed_fraction: f64,
    /// Fraction of requests that fail.
    pub failed_fraction: f64,
    /// Fraction of requests that are rejected.
    pub rejected_fraction: f64,
    /// It is draining: all requests are rejected.
    pub draining: bool,
    /// When it last started, seconds since the start of the run; none if long before.
    pub started_at: Option<f64>,
    /// Counts its processes; a connection of an earlier one is over.
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

/// The counter at one time.
#[derive(Clone, Debug, Default)]
pub struct CounterCondition {
    /// Connections end at once.
    pub down: bool,
    /// It is unresponsive.
    pub unresponsive: bool,
    /// Seconds to an answer.
    pub delay_seconds: f64,
    /// Fraction of calls that are added and not answered.
    pub unanswered_fraction: f64,
    /// Fraction of calls that are rejected.
    pub rejected_fraction: f64,
    /// Every other instance reaches a second set of counts.
    pub split: bool,
}

/// The outcome of one request at a backend, with the duration of the work.
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
    /// Not executed: the backend is busy.
    Reject,
}
