//! The life of a request: it is routed when it comes and as `poll` says, its attempts end, and it is closed.
use super::{leases, PolicyEngine};
use crate::state::{PendingRequest, TimerKind};
use crate::types::*;

/// So long before the client gives up a request is checked for the last time, seconds: what is still pending is answered.
pub(super) const FINAL_CHECK_LEAD: f64 = 0.005;
/// A request waits for the counter for this fraction of its latency objective at least,
const COUNTER_WAIT_OBJECTIVE_FRACTION: f64 = 0.04;
/// for so many times the counter's fastest answer if that is longer,
const COUNTER_WAIT_FASTEST_ANSWERS: f64 = 3.0;
/// and for this fraction of the time that its client waits at most.
const COUNTER_WAIT_CLIENT_FRACTION: f64 = 0.25;

/// What an ended attempt's request was like when it ended.
pub(super) struct EndedAttempt {
    /// When the attempt was sent, seconds.
    pub sent_at: f64,
    /// The request was closed before.
    pub was_closed: bool,
    /// Its response had begun: the attempt was taken off its backend then.
    pub was_streaming: bool,
}

impl PolicyEngine {
    /// Where to send this request, or not yet, or never. Called first when it comes, then as [`PolicyEngine::poll`] says. Its
    /// deadline may have been cut short since the last call.
    pub fn route(&mut self, now: f64, index: RequestIndex, attributes: &RequestAttributes) -> PolicyOutput {
        self.detect_own_stall(now);
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

    /// How long a request may wait for the counter, seconds.
    fn counter_wait(&self, now: f64, attributes: &RequestAttributes) -> f64 {
        let time_left = attributes.deadline - now;
        let longest = self.counter.timeout().min(time_left * COUNTER_WAIT_CLIENT_FRACTION);
        let objective = self.operations[attributes.operation].latency_objective;
        let shortest = COUNTER_WAIT_OBJECTIVE_FRACTION * objective;
        longest.min(shortest.max(COUNTER_WAIT_FASTEST_ANSWERS * self.counter.fastest_answer()))
    }

    /// What to do after an attempt has ended.
    pub fn attempt_ended(&mut self, now: f64, index: RequestIndex, outcome: &AttemptOutcome) -> PolicyOutput {
        self.detect_own_stall(now);
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
        let is_in_flight = request.in_flight() > 0;
        let is_closed = request.closed || outcome.request_closed;
        self.settle_billed_units(now, &attributes, outcome.billed_units);
        self.record_outcome(now, &attributes, &ended, outcome);
        if is_closed {
            self.request_closed(now, index);
        }
        let decision = if is_closed || is_in_flight { Decision::Pending } else { self.decide(now, index) };
        self.output(now, index, decision)
    }

    /// The billed units differ from those that were taken from the quota: the difference is settled with the counter.
    fn settle_billed_units(&mut self, now: f64, attributes: &RequestAttributes, billed: Option<f64>) {
        let account = self.accounts.get_mut(&attributes.customer);
        if let Some((account, billed)) = account.zip(billed) {
            account.unsettled += billed - attributes.units;
            self.schedule_customer(attributes.customer, now + leases::LIFETIME);
        }
    }

    /// The response has begun: no deadline holds for the request any more, and its backend has done its work.
    pub fn response_started(&mut self, now: f64, index: RequestIndex) {
        let Some(request) = self.requests.get_mut(&index) else { return };
        let units = request.attempt_units();
        let Some(backend) = request.start_streaming() else { return };
        if let Some(backend) = self.backends.remove_attempt(backend, units) {
            backend.last_progress_at = now;
        }
    }

    /// The request is answered, or its client has left or given up: nothing more is done for it.
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

    /// The answer to the caller: a final decision closes the request.
    fn output(&mut self, now: f64, index: RequestIndex, decision: Decision) -> PolicyOutput {
        if matches!(decision, Decision::Throttle { .. } | Decision::Error) {
            self.request_closed(now, index);
        }
        PolicyOutput { decision, effects: std::mem::take(&mut self.effects) }
    }
}
