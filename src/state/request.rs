//! What is remembered of one request until it is answered and nothing of it is in flight.
use crate::types::{AttemptResult, BackendIndex, RequestAttributes};

/// One attempt at a backend.
pub struct Attempt {
    /// Where it was sent.
    pub backend: BackendIndex,
    /// When, seconds.
    pub sent_at: f64,
    /// `None` while it is in flight.
    pub result: Option<AttemptResult>,
}

impl Attempt {
    /// Whether its backend may have run it.
    pub fn may_have_run(&self) -> bool {
        !self.result.is_some_and(AttemptResult::never_ran)
    }
}

/// A request without its final answer, or with attempts in flight.
#[derive(Default)]
pub struct PendingRequest {
    /// What the caller said of it.
    pub attributes: RequestAttributes,
    /// When it was first routed, seconds.
    pub arrived_at: f64,
    /// Drawn once, from 0 to 1: only backends with more than this fraction of their capacity may get the request.
    pub slow_start_draw: f64,
    /// The last check before the client gives up, whatever the request waits for.
    pub final_check_at: f64,
    /// Until then the request waits for the counter.
    pub counter_deadline: f64,
    /// Its units are taken from the quota.
    pub units_granted: bool,
    /// Its permit under a cap on requests in flight: the series of the permit's counter, 0 for a permit of the even share.
    pub permit: Option<u32>,
    /// Quota and cap allow it.
    pub admitted: bool,
    /// Before then the attempt in flight is not doubted.
    pub next_check_at: f64,
    /// Its response has begun.
    pub streaming: bool,
    /// Its attempts, in the order in which they were made.
    pub attempts: Vec<Attempt>,
    /// It is answered, or its client is gone.
    pub closed: bool,
}

impl PendingRequest {
    /// Its response has begun: no deadline holds any more. Returns the backend that responds; `None` if it had begun before.
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

    /// Number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.result.is_none()).count()
    }

    /// Units that an attempt counts for at its backend, 1 at least.
    pub fn attempt_units(&self) -> f64 {
        self.attributes.units.max(1.0)
    }
}
