//! The state of one request until it is closed and has no attempts in flight.
use crate::types::{AttemptResult, BackendIndex, RequestAttributes};

/// One attempt of a request.
pub struct Attempt {
    /// The backend that the attempt was sent to.
    pub backend: BackendIndex,
    /// When the attempt was sent.
    pub sent_at: f64,
    /// Result of the attempt; `None` while it is in flight.
    pub result: Option<AttemptResult>,
}

impl Attempt {
    /// Whether the backend may have run the request.
    pub fn may_have_run(&self) -> bool {
        !self.result.is_some_and(AttemptResult::never_ran)
    }
}

/// A request that has no final answer yet, or has attempts in flight.
#[derive(Default)]
pub struct PendingRequest {
    /// Attributes that the caller passed with the request.
    pub attributes: RequestAttributes,
    /// When the request was first routed.
    pub arrived_at: f64,
    /// Random number from 0 to 1, drawn once. Only backends with at least this fraction of their capacity may
    /// get the request.
    pub slow_start_draw: f64,
    /// When the request is checked for the last time before its client gives up, regardless of what it waits for.
    pub final_check_at: f64,
    /// Time until which the request may wait for the counter.
    pub counter_deadline: f64,
    /// Whether its units have been taken from the quota.
    pub units_granted: bool,
    /// Its permit under a cap on requests in flight, as the series of the permit's counter; 0 for a permit of the even share.
    pub permit: Option<u32>,
    /// Whether the quota and the cap admit the request.
    pub admitted: bool,
    /// When to check next whether the attempt in flight is overdue.
    pub next_check_at: f64,
    /// Whether its response has started.
    pub streaming: bool,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Whether the request has its final answer, or its client has left.
    pub closed: bool,
}

impl PendingRequest {
    /// Records the start of the response, after which the request has no deadline. Returns the responding backend; `None` if the
    /// response had already started or no attempt is in flight.
    pub fn start_streaming(&mut self) -> Option<BackendIndex> {
        let responding = self.attempts.iter().find(|attempt| attempt.result.is_none())?;
        if self.streaming {
            return None;
        }
        self.next_check_at = f64::INFINITY;
        self.attributes.deadline = f64::INFINITY;
        self.streaming = true;
        Some(responding.backend)
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.result.is_none()).count()
    }

    /// Returns the units that an attempt adds to its backend's load, at least 1.
    pub fn attempt_units(&self) -> f64 {
        self.attributes.units.max(1.0)
    }
}
