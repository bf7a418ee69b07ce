//! Messages of the policy engine for the operators' log. docs/on-call.md has a row for each of them.
use super::{AttemptResult, BackendIndex};
use std::fmt;

/// A message for the log. Its text is stable, so that operators can search for it.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyLogMessage {
    /// Too many calls to the counter were missed in a row.
    CounterUnresponsive {
        /// Calls without an answer since the last one that was answered.
        missed_calls: u32,
        /// Seconds since that answer.
        gap: f64,
    },
    /// The counter answers again.
    CounterRecovered {
        /// Seconds since its last answer before this one.
        gap: f64,
    },
    /// A backend is ejected.
    BackendEjected {
        /// The backend.
        backend: BackendIndex,
        /// For how long, in seconds.
        duration: f64,
        /// Its failures in a row.
        failures: u32,
        /// How the last attempt ended.
        last_result: AttemptResult,
    },
    /// A backend that was ejected has answered.
    BackendRecovered {
        /// The backend.
        backend: BackendIndex,
        /// The time that the answer took, in seconds.
        duration: f64,
    },
    /// This process was not running when its timer was due.
    ProcessStalled {
        /// How late the timer was, in seconds.
        duration: f64,
    },
}

impl fmt::Display for PolicyLogMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PolicyLogMessage::CounterUnresponsive { missed_calls, gap } => write!(
                formatter,
                "counter unresponsive: {missed_calls} calls missed in {gap:.2} s; even shares stand in"
            ),
            PolicyLogMessage::CounterRecovered { gap } => {
                write!(formatter, "counter recovered after {gap:.2} s; leases resume")
            }
            PolicyLogMessage::BackendEjected { backend, duration, failures, last_result } => write!(
                formatter,
                "backend {backend} ejected for {duration} s: {failures} failures in a row, last {last_result:?}"
            ),
            PolicyLogMessage::BackendRecovered { backend, duration } => {
                write!(formatter, "backend {backend} recovered: answered in {duration:.3} s")
            }
            PolicyLogMessage::ProcessStalled { duration } => write!(formatter, "process stalled for {duration:.2} s"),
        }
    }
}
