//! Attempts: how one delivery of a request to a backend ended.
use super::{BackendIndex, LoadReport};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// The backend answered with a result.
    Succeeded,
    /// The backend answered with an error.
    Errored,
    /// The backend rejected the request without running it.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection could be established.
    NotConnected,
    /// The connection broke before the answer.
    Broken,
    /// The gateway instance cancelled the attempt.
    Cancelled,
    /// The request was never written to a connection.
    NotSent,
}

impl AttemptResult {
    /// Whether this proves that the backend did not run the request, so that a retry cannot duplicate an effect.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptResult::Rejected | AttemptResult::NotConnected | AttemptResult::NotSent)
    }
}

/// The end of an attempt, as the caller reports it to the policy engine.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Which of the request's attempts, counted from 0.
    pub attempt: usize,
    /// The backend that the attempt was forwarded to.
    pub backend: BackendIndex,
    /// How it ended.
    pub result: AttemptResult,
    /// Seconds from its start to its end.
    pub duration: f64,
    /// The client needs no further answer.
    pub request_closed: bool,
    /// Units that the request really cost; `None` where the backend does not report them.
    pub billed_units: Option<f64>,
    /// Load that the backend reported beside the answer.
    pub load_report: Option<LoadReport>,
}
