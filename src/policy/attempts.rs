//! Decides whether and when a request gets its next attempt. A request first takes units and a permit. It
//! then gets a first attempt, a retry or a hedged request as far as its operation allows one; otherwise it
//! waits or gets its final answer.
use super::load_balancing::{Affinity, Selection};
use super::requests::FINAL_CHECK_LEAD;
use super::PolicyEngine;
use crate::state::{Attempt, Ejection, TimerKind};
use crate::types::*;

/// Multiple of the 95th percentile of latency after which an attempt is overdue, even if its backend is
/// responsive.
const OVERDUE_FACTOR: f64 = 3.0;
/// Interval between checks of an attempt in flight, as a fraction of the 95th percentile of latency.
const RECHECK_LATENCY_FRACTION: f64 = 0.5;
/// Maximum interval between checks of an attempt in flight, as a fraction of the operator's attempt timeout.
const RECHECK_TIMEOUT_FRACTION: f64 = 0.25;
/// Number of checks for backend capacity per latency objective.
const CAPACITY_RECHECKS_PER_OBJECTIVE: f64 = 50.0;
/// Age at which a request stops waiting for backend capacity, as a fraction of its latency objective.
const CAPACITY_WAIT_FRACTION: f64 = 0.25;
/// Retry-After of a request that gets no further attempt, in seconds.
const EXHAUSTED_RETRY_AFTER: f64 = 1.0;

/// Inputs to the decision on the next attempt of an admitted request.
struct AttemptContext {
    attributes: RequestAttributes,
    /// Only backends with at least this fraction of their capacity may get the request.
    slow_start_draw: f64,
    /// The operation's latency objective or the operator's limit, whichever is lower, in seconds.
    latency_objective: f64,
    idempotency: Idempotency,
    max_attempts: usize,
    /// Number of attempts so far.
    attempts: usize,
    /// Number of attempts in flight.
    in_flight: usize,
    /// Time until the client's deadline, in seconds.
    time_left: f64,
    /// Time since the request arrived, in seconds.
    elapsed: f64,
    /// 95th percentile of the latency for the request's units, in seconds.
    expected_latency: f64,
    /// Whether a backend may have run an earlier attempt.
    may_have_run: bool,
    /// Whether the operation's idempotency and the retry window allow another attempt.
    retry_allowed: bool,
    /// Zone or cell that a retry is restricted to.
    affinity: Option<Affinity>,
}

impl AttemptContext {
    fn is_past_objective(&self) -> bool {
        self.elapsed > self.latency_objective
    }

    /// Whether the request may be throttled. Its client then retries, so a request that a retry could run
    /// twice is not throttled.
    fn may_throttle(&self) -> bool {
        !self.may_have_run || self.idempotency == Idempotency::Idempotent
    }
}

impl PolicyEngine {
    /// Decides what happens to a pending request now: it is admitted first, and then gets an attempt, waits,
    /// or gets its final answer.
    pub(super) fn decide(&mut self, now: f64, index: RequestIndex) -> Decision {
        if let Some(early_decision) = self.admit(now, index) {
            return early_decision;
        }
        let context = self.attempt_context(now, index);
        if context.in_flight > 0 {
            if let Some(decision) = self.review_attempt_in_flight(now, index, &context) {
                return decision;
            }
        } else if self.is_exhausted(&context) {
            return self.give_up(&context, EXHAUSTED_RETRY_AFTER);
        }
        self.start_attempt(now, index, &context)
    }

    /// Takes units and a permit for the request. Returns `None` once it has both, else the decision to wait
    /// or to throttle.
    fn admit(&mut self, now: f64, index: RequestIndex) -> Option<Decision> {
        if self.request(index).admitted {
            return None;
        }
        let early_decision = self.take_units(now, index).or_else(|| self.acquire_permit(now, index));
        if early_decision.is_none() {
            self.request(index).admitted = true;
        }
        early_decision
    }

    fn attempt_context(&self, now: f64, index: RequestIndex) -> AttemptContext {
        let request = &self.requests[&index];
        let attributes = request.attributes;
        let limits = attributes.limits;
        let Operation { latency_objective, idempotency, .. } = self.operations[attributes.operation];
        let first_run = request.attempts.iter().find(|attempt| attempt.may_have_run());
        AttemptContext {
            attributes,
            slow_start_draw: request.slow_start_draw,
            latency_objective: latency_objective.min(limits.latency_objective),
            idempotency,
            max_attempts: self.attempt_settings.max_attempts.min(limits.max_attempts),
            attempts: request.attempts.len(),
            in_flight: request.in_flight(),
            time_left: attributes.deadline - now,
            elapsed: now - request.arrived_at,
            expected_latency: self.latencies.p95(attributes.operation) * request.attempt_units(),
            may_have_run: first_run.is_some(),
            retry_allowed: first_run.is_none_or(|run| retry_is_allowed(now, idempotency, &limits, run)),
            affinity: first_run.and_then(|run| affinity(idempotency, run)),
        }
    }

    /// Whether a request without an attempt in flight gets no further attempt.
    fn is_exhausted(&self, context: &AttemptContext) -> bool {
        let exceeds_retry_budget = context.may_have_run && !self.retry_budget.allows_retry();
        let is_out_of_attempts = context.attempts >= context.max_attempts
            || context.attempts > 0 && (context.is_past_objective() || exceeds_retry_budget);
        context.time_left < 2.0 * FINAL_CHECK_LEAD || !context.retry_allowed || is_out_of_attempts
    }

    fn give_up(&self, context: &AttemptContext, retry_after: f64) -> Decision {
        if context.may_throttle() {
            self.throttle(retry_after)
        } else {
            Decision::Error
        }
    }

    /// Checks the latest attempt in flight. Returns `None` if the attempt is overdue and the request is to be
    /// hedged, else the decision to wait.
    fn review_attempt_in_flight(
        &mut self,
        now: f64,
        index: RequestIndex,
        context: &AttemptContext,
    ) -> Option<Decision> {
        let request = &self.requests[&index];
        let may_hedge = now >= request.next_check_at
            && context.idempotency == Idempotency::Idempotent
            && !context.is_past_objective()
            && context.attempts < context.max_attempts
            && context.retry_allowed;
        if !may_hedge {
            return Some(Decision::Pending);
        }
        let position = request.attempts.iter().rposition(|attempt| attempt.result.is_none());
        let latest = position.expect("the request must have an attempt in flight");
        if !self.retry_budget.allows_retry() || !self.is_overdue(now, &request.attempts[latest], context) {
            let attempt_timeout = context.attributes.limits.attempt_timeout;
            let recheck_after = (context.expected_latency * RECHECK_LATENCY_FRACTION)
                .min(attempt_timeout * RECHECK_TIMEOUT_FRACTION);
            return Some(self.check_again_in(now, index, recheck_after));
        }
        if self.attempt_settings.hedging && context.attributes.limits.hedging {
            return None;
        }
        // Where hedging is not allowed, the overdue attempt is cancelled, and the request is retried once the
        // attempt has ended.
        if self.attempt_settings.cancellation {
            self.effects.cancellations.push(Cancellation { request: index, attempt: latest });
        }
        self.request(index).next_check_at = f64::INFINITY;
        Some(Decision::Pending)
    }

    /// Whether the backend of an attempt is unresponsive, or the attempt has been in flight for too long.
    fn is_overdue(&self, now: f64, attempt: &Attempt, context: &AttemptContext) -> bool {
        let backend = &self.backends[&attempt.backend];
        let p95 = self.latencies.p95(context.attributes.operation);
        let warm_latency = OVERDUE_FACTOR * context.expected_latency;
        let overdue_after = (warm_latency / backend.capacity_fraction(now, &self.slow_start))
            .min(context.attributes.limits.attempt_timeout);
        self.is_unresponsive(now, backend, p95) || now - attempt.sent_at > overdue_after
    }

    fn start_attempt(&mut self, now: f64, index: RequestIndex, context: &AttemptContext) -> Decision {
        let attempts = self.requests[&index].attempts.iter();
        let tried: Vec<BackendIndex> = attempts.map(|attempt| attempt.backend).collect();
        let selection = Selection {
            attributes: &context.attributes,
            slow_start_draw: context.slow_start_draw,
            tried: &tried,
            affinity: context.affinity,
        };
        let Some(backend) = self.pick_backend(now, &selection) else {
            return self.wait_for_capacity(now, index, context);
        };
        self.retry_budget.record_attempt(context.may_have_run);
        let check_after = context.expected_latency.min(context.attributes.limits.attempt_timeout);
        self.check_again_in(now, index, check_after);
        self.request(index).attempts.push(Attempt { backend, sent_at: now, result: None });
        self.record_attempt_start(now, backend, context.attributes.units.max(1.0));
        Decision::Forward { backend }
    }

    fn record_attempt_start(&mut self, now: f64, index: BackendIndex, units: f64) {
        let backend = self.backends.get_mut(index).expect("the selected backend must be in the backend set");
        if backend.in_flight == 0 {
            backend.last_progress_at = now;
        }
        backend.unused_since = f64::INFINITY;
        // An ejected backend gets one trial per duration of its ejection.
        if let Some(ejection) = &mut backend.ejection {
            *ejection = Ejection { until: ejection.until.max(now + ejection.duration), ..*ejection };
        }
        self.backends.add_attempt(index, units);
    }

    /// Handles a request that no backend can take now. It waits, or gets its final answer if it arrived too
    /// long ago and has no attempt in flight.
    fn wait_for_capacity(&mut self, now: f64, index: RequestIndex, context: &AttemptContext) -> Decision {
        let objective = context.latency_objective;
        if context.in_flight == 0 && context.elapsed > objective * CAPACITY_WAIT_FRACTION {
            self.refund_units(now, index);
            return self.give_up(context, objective);
        }
        self.check_again_in(now, index, objective / CAPACITY_RECHECKS_PER_OBJECTIVE)
    }

    /// Schedules another decision on the request in the given number of seconds.
    fn check_again_in(&mut self, now: f64, index: RequestIndex, seconds: f64) -> Decision {
        self.request(index).next_check_at = now + seconds;
        self.timers.schedule(now + seconds, TimerKind::Request(index));
        Decision::Pending
    }
}

/// Whether a request may be sent again after `first_run`, its first attempt that may have run.
fn retry_is_allowed(now: f64, idempotency: Idempotency, limits: &RequestLimits, first_run: &Attempt) -> bool {
    match idempotency {
        Idempotency::Idempotent => now < first_run.sent_at + limits.retry_window,
        Idempotency::Keyed { window, .. } => now < first_run.sent_at + window.min(limits.retry_window),
        Idempotency::NonIdempotent => false,
    }
}

/// Returns the zone or cell that a retry must stay in so that its idempotency key is recognized, or `None` if
/// the retry may go to any backend.
fn affinity(idempotency: Idempotency, first_run: &Attempt) -> Option<Affinity> {
    match idempotency {
        Idempotency::Keyed { scope, .. } if scope != KeyScope::All => {
            Some(Affinity { scope, backend: first_run.backend })
        }
        _ => None,
    }
}
