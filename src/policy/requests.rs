//! Request lifecycle: first routing, ended attempts, the start of the response, and closing.
use super::{leases, PolicyEngine};
use crate::state::{PendingRequest, TimerKind};
use crate::types::*;

/// How long before its client's deadline a request is checked for the last time, in seconds. It gets its
/// final answer then unless an attempt is in flight.
pub(super) const FINAL_CHECK_LEAD: f64 = 0.005;
/// Lower bound of the time that a request may wait for the counter, as a fraction of its latency objective.
const COUNTER_WAIT_OBJECTIVE_FRACTION: f64 = 0.04;
/// Lower bound of the time that a request may wait for the counter, as a multiple of the counter's fastest
/// answer. The longer of the two lower bounds applies.
const COUNTER_WAIT_FASTEST_ANSWERS: f64 = 3.0;
/// Upper bound of the time that a request may wait for the counter, as a fraction of the time until its
/// client's deadline. It takes precedence over the lower bounds.
const COUNTER_WAIT_CLIENT_FRACTION: f64 = 0.25;

/// An ended attempt, and the state of its request at that time.
pub(super) struct EndedAttempt {
    /// Time when the attempt was sent, in seconds.
    pub sent_at: f64,
    /// Whether the request was already closed.
    pub was_closed: bool,
    /// Whether the response had started. The attempt was no longer counted as load of its backend from then
    /// on.
    pub was_streaming: bool,
}

impl PolicyEngine {
    /// Decides whether a request is forwarded, stays pending or gets its final answer. The caller calls this
    /// when the request arrives and whenever [`PolicyEngine::poll`] returns it. The deadline may be earlier
    /// than in the previous call.
    pub fn route(&mut self, now: f64, index: RequestIndex, attributes: &RequestAttributes) -> PolicyOutput {
        self.detect_process_stall(now);
        if !self.requests.contains_key(&index) {
            self.add_request(now, index, attributes);
        }
        let request = self.request(index);
        request.attributes.deadline = attributes.deadline;
        request.counter_deadline = request.counter_deadline.min(attributes.deadline);
        let decision = self.decide(now, index);
        self.output(now, index, decision)
    }

    fn add_request(&mut self, now: f64, index: RequestIndex, attributes: &RequestAttributes) {
        let counter_deadline = now + self.counter_wait(now, attributes);
        let final_check_at = attributes.deadline - FINAL_CHECK_LEAD;
        let request = PendingRequest {
            attributes: *attributes,
            arrived_at: now,
            slow_start_draw: self.random_fraction(),
            final_check_at,
            counter_deadline,
            ..PendingRequest::default()
        };
        self.requests.insert(index, request);
        self.timers.schedule(counter_deadline, TimerKind::Request(index));
        self.timers.schedule(final_check_at, TimerKind::Request(index));
    }

    /// Returns the time that a request may wait for the counter, in seconds.
    fn counter_wait(&self, now: f64, attributes: &RequestAttributes) -> f64 {
        let time_left = attributes.deadline - now;
        let max_wait = self.counter.timeout().min(time_left * COUNTER_WAIT_CLIENT_FRACTION);
        let objective = self.operations[attributes.operation].latency_objective;
        let min_wait = COUNTER_WAIT_OBJECTIVE_FRACTION * objective;
        max_wait.min(min_wait.max(COUNTER_WAIT_FASTEST_ANSWERS * self.counter.fastest_answer()))
    }

    /// Records the end of an attempt and decides what happens to its request next.
    pub fn attempt_ended(&mut self, now: f64, index: RequestIndex, outcome: &AttemptOutcome) -> PolicyOutput {
        self.detect_process_stall(now);
        let Some(request) = self.requests.get_mut(&index) else {
            return self.output(now, index, Decision::Pending);
        };
        let attributes = request.attributes;
        let attempt = &mut request.attempts[outcome.attempt];
        attempt.result = Some(outcome.result);
        let ended = EndedAttempt {
            sent_at: attempt.sent_at,
            was_closed: request.closed,
            was_streaming: request.streaming,
        };
        let has_attempt_in_flight = request.in_flight() > 0;
        let is_closed = request.closed || outcome.request_closed;
        self.settle_billed_units(now, &attributes, outcome.billed_units);
        self.record_outcome(now, &attributes, &ended, outcome);
        if is_closed {
            self.request_closed(now, index);
        }
        let decision =
            if is_closed || has_attempt_in_flight { Decision::Pending } else { self.decide(now, index) };
        self.output(now, index, decision)
    }

    /// Queues the difference between the billed units and those taken from the quota, to be settled with the
    /// counter.
    fn settle_billed_units(&mut self, now: f64, attributes: &RequestAttributes, billed: Option<f64>) {
        let account = self.accounts.get_mut(&attributes.customer);
        if let Some((account, billed)) = account.zip(billed) {
            account.unsettled += billed - attributes.units;
            self.schedule_customer(attributes.customer, now + leases::LIFETIME);
        }
    }

    /// Records the start of the response: the request no longer has a deadline, and its attempt no longer
    /// counts as load of its backend.
    pub fn response_started(&mut self, now: f64, index: RequestIndex) {
        let Some(request) = self.requests.get_mut(&index) else { return };
        let units = request.attempt_units();
        let Some(backend) = request.start_streaming() else { return };
        if let Some(backend) = self.backends.remove_attempt(backend, units) {
            backend.last_progress_at = now;
        }
    }

    /// Closes a request that has its final answer or whose client is gone. Its attempts in flight are
    /// cancelled if the settings allow it.
    pub fn request_closed(&mut self, now: f64, index: RequestIndex) {
        let Some(request) = self.requests.get_mut(&index) else { return };
        if !request.closed && self.attempt_settings.cancellation {
            let attempts = request.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.result.is_none());
            self.effects
                .cancellations
                .extend(in_flight.map(|(attempt, _)| Cancellation { request: index, attempt }));
        }
        request.closed = true;
        if request.in_flight() == 0 {
            self.remove_request(now, index);
        }
    }

    fn remove_request(&mut self, now: f64, index: RequestIndex) {
        let Some(request) = self.requests.remove(&index) else { return };
        let customer = request.attributes.customer;
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.permit_waiters.retain(|waiter| *waiter != index);
        }
        self.release_permit(now, customer, request.permit);
    }

    /// Returns a decision with the pending effects. A final answer closes the request.
    fn output(&mut self, now: f64, index: RequestIndex, decision: Decision) -> PolicyOutput {
        if matches!(decision, Decision::Throttle { .. } | Decision::Error) {
            self.request_closed(now, index);
        }
        PolicyOutput { decision, effects: std::mem::take(&mut self.effects) }
    }
}
