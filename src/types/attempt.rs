//! The end of an attempt: its result, duration, billed units and load report.
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
    /// The backend did not answer before the timeout.
    TimedOut,
    /// No connection could be established.
    NotConnected,
    /// The connection broke before the backend answered.
    Broken,
    /// The gateway instance cancelled the attempt.
    Cancelled,
    /// The request was never written to a connection.
    NotSent,
}

impl AttemptResult {
    /// Whether the result proves that the backend did not run the request, so that a retry cannot duplicate an effect.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptResult::Rejected | AttemptResult::NotConnected | AttemptResult::NotSent)
    }
}

/// An ended attempt, as the caller reports it to the policy engine.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Index of the attempt within its request, counted from 0.
    pub attempt: usize,
    /// The backend that the attempt was forwarded to.
    pub backend: BackendIndex,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// Duration of the attempt, in seconds.
    pub duration: f64,
    /// Whether the request is closed: its client needs no further answer.
    pub request_closed: bool,
    /// Actual cost of the request in units; `None` if the backend does not report it.
    pub billed_units: Option<f64>,
    /// Load that the backend reported with its answer.
    pub load_report: Option<LoadReport>,
}
