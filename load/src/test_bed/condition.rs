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
    pub slow: f64,
    /// Fraction of requests that are executed and not answered.
    pub swallow: f64,
    /// Fraction of requests that are answered with a malformed reply.
    pub malformed: f64,
    /// Fraction of requests that fail.
    pub fail: f64,
    /// Fraction of requests that are rejected.
    pub reject: f64,
    /// It is draining: all requests are rejected.
    pub draining: bool,
    /// When it last started, seconds since the start of the run; none if long before.
    pub started: Option<f64>,
    /// Counts its processes; a connection of an earlier one is over.
    pub process: u64,
}

impl Default for BackendCondition {
    fn default() -> BackendCondition {
        BackendCondition {
            down: false,
            unresponsive: false,
            slow: 1.0,
            swallow: 0.0,
            malformed: 0.0,
            fail: 0.0,
            reject: 0.0,
            draining: false,
            started: None,
            process: 0,
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
    pub delay: f64,
    /// Fraction of calls that are added and not answered.
    pub unanswered: f64,
    /// Fraction of calls that are rejected.
    pub reject: f64,
    /// Every other instance reaches a second set of counts.
    pub split: bool,
}

/// The outcome of one request at a backend, with the duration of the work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendOutcome {
    /// Executed and answered.
    Serve(Duration),
    /// Executed and not answered.
    Swallow(Duration),
    /// Executed and answered with a malformed reply.
    Malformed(Duration),
    /// Executed and answered with an error.
    Fail(Duration),
    /// Not executed: the backend is busy.
    Reject,
}
