//! Log messages of the policy engine. docs/on-call.md has a row for each of them.
use super::{AttemptResult, BackendIndex};
use std::fmt;

/// A log message. Its text is stable, so that operators can search for it.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyLogMessage {
    /// The counter left too many consecutive calls unanswered.
    CounterUnresponsive {
        /// Number of unanswered calls since the last answered one.
        missed_calls: u32,
        /// Seconds since the last answer.
        gap: f64,
    },
    /// The counter answers again.
    CounterRecovered {
        /// Seconds between the last two answers.
        gap: f64,
    },
    /// A backend was ejected.
    BackendEjected {
        /// The backend.
        backend: BackendIndex,
        /// Duration of the ejection, in seconds.
        duration: f64,
        /// Number of consecutive failures.
        failures: u32,
        /// Result of the last attempt.
        last_result: AttemptResult,
    },
    /// An ejected backend answered.
    BackendRecovered {
        /// The backend.
        backend: BackendIndex,
        /// Duration of the answered attempt, in seconds.
        duration: f64,
    },
    /// This process did not run when a timer was due.
    ProcessStalled {
        /// Delay of the timer, in seconds.
        duration: f64,
    },
}

impl fmt::Display for PolicyLogMessage {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PolicyLogMessage::CounterUnresponsive { missed_calls, gap } => write!(
                formatter,
                "counter unresponsive: {missed_calls} calls missed in {gap:.2} s; using even shares"
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
