//! Whether and when a request gets its next attempt: quota first, then a first attempt, a retry or a hedge, as far as the
//! operation allows one; else it waits or is given up.
use super::load_balancing::{Affinity, Selection};
use super::requests::FINAL_CHECK_LEAD;
use super::PolicyEngine;
use crate::state::{Attempt, Ejection, TimerKind};
use crate::types::*;

/// An attempt in flight for so many times the 95th percentile of answer times is doubted, whatever its backend does.
const OVERDUE_FACTOR: f64 = 3.0;
/// An attempt that is not doubted yet is looked at again after this fraction of the 95th percentile,
const RECHECK_LATENCY_FRACTION: f64 = 0.5;
/// or after this fraction of the declared time of one attempt, if that is shorter.
const RECHECK_TIMEOUT_FRACTION: f64 = 0.25;
/// A request that no backend can take now is decided on again so many times within its latency objective,
const CAPACITY_RECHECKS_PER_OBJECTIVE: f64 = 50.0;
/// and given up after this fraction of it.
const CAPACITY_WAIT_FRACTION: f64 = 0.25;
/// Advice to a client whose request has used up its attempts, seconds.
const EXHAUSTED_RETRY_AFTER: f64 = 1.0;

/// What decides on the next attempt of an admitted request.
struct AttemptContext {
    attributes: RequestAttributes,
    slow_start_draw: f64,
    latency_objective: f64,
    idempotency: Idempotency,
    max_attempts: usize,
    /// Attempts made so far.
    attempts: usize,
    in_flight: usize,
    /// Seconds until the client gives up.
    time_left: f64,
    /// Seconds since the request came.
    elapsed: f64,
    /// The 95th percentile of answer times for the request's units, seconds.
    expected_latency: f64,
    /// Some attempt may have run.
    may_have_run: bool,
    retry_allowed: bool,
    /// Where a retry has to stay.
    affinity: Option<Affinity>,
}

impl AttemptContext {
    fn is_late(&self) -> bool {
        self.elapsed > self.latency_objective
    }

    /// Whether the client may be throttled, and so retry: not where that could execute a request twice.
    fn may_throttle(&self) -> bool {
        !self.may_have_run || self.idempotency == Idempotency::Idempotent
    }
}

impl PolicyEngine {
    /// Quota first; then the next attempt, as far as the operation allows one.
    pub(super) fn decide(&mut self, now: f64, index: RequestIndex) -> Decision {
        if let Some(refusal) = self.admit(now, index) {
            return refusal;
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

    /// Takes units and a permit for the request; `None` once it has both.
    fn admit(&mut self, now: f64, index: RequestIndex) -> Option<Decision> {
        if self.request(index).admitted {
            return None;
        }
        let refusal = self.take_units(now, index).or_else(|| self.acquire_permit(now, index));
        if refusal.is_none() {
            self.request(index).admitted = true;
        }
        refusal
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

    /// Whether a request with nothing in flight gets no further attempt.
    fn is_exhausted(&self, context: &AttemptContext) -> bool {
        let retry_unaffordable = context.may_have_run && !self.retry_budget.allows_retry();
        let is_spent = context.attempts >= context.max_attempts
            || context.attempts > 0 && (context.is_late() || retry_unaffordable);
        context.time_left < 2.0 * FINAL_CHECK_LEAD || !context.retry_allowed || is_spent
    }

    fn give_up(&self, context: &AttemptContext, retry_after: f64) -> Decision {
        if context.may_throttle() {
            self.throttle(retry_after)
        } else {
            Decision::Error
        }
    }

    /// An attempt is doubted when its backend is unresponsive, or when its answer is long overdue. `None` if the request may be
    /// hedged now.
    fn review_attempt_in_flight(
        &mut self,
        now: f64,
        index: RequestIndex,
        context: &AttemptContext,
    ) -> Option<Decision> {
        let request = &self.requests[&index];
        let may_hedge = now >= request.next_check_at
            && context.idempotency == Idempotency::Idempotent
            && !context.is_late()
            && context.attempts < context.max_attempts
            && context.retry_allowed;
        if !may_hedge {
            return Some(Decision::Pending);
        }
        let position = request.attempts.iter().rposition(|attempt| attempt.result.is_none());
        let latest = position.expect("an attempt is in flight");
        if !self.retry_budget.allows_retry() || !self.is_doubted(now, &request.attempts[latest], context) {
            let attempt_timeout = context.attributes.limits.attempt_timeout;
            let pause = (context.expected_latency * RECHECK_LATENCY_FRACTION)
                .min(attempt_timeout * RECHECK_TIMEOUT_FRACTION);
            return Some(self.check_again_in(now, index, pause));
        }
        if self.attempt_settings.hedging && context.attributes.limits.hedging {
            return None;
        }
        // Where hedging is not allowed the attempt is cancelled, and the request is retried once it has ended.
        if self.attempt_settings.cancellation {
            self.effects.cancellations.push(Cancellation { request: index, attempt: latest });
        }
        self.request(index).next_check_at = f64::INFINITY;
        Some(Decision::Pending)
    }

    fn is_doubted(&self, now: f64, attempt: &Attempt, context: &AttemptContext) -> bool {
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
        let backend = self.backends.get_mut(index).expect("a known backend was picked");
        if backend.in_flight == 0 {
            backend.last_progress_at = now;
        }
        backend.unused_since = f64::INFINITY;
        // One trial of an ejected backend for each duration of its ejection.
        if let Some(ejection) = &mut backend.ejection {
            *ejection = Ejection { until: ejection.until.max(now + ejection.duration), ..*ejection };
        }
        self.backends.add_attempt(index, units);
    }

    /// No backend can take the request now.
    fn wait_for_capacity(&mut self, now: f64, index: RequestIndex, context: &AttemptContext) -> Decision {
        let objective = context.latency_objective;
        if context.in_flight == 0 && context.elapsed > objective * CAPACITY_WAIT_FRACTION {
            self.refund_units(now, index);
            return self.give_up(context, objective);
        }
        self.check_again_in(now, index, objective / CAPACITY_RECHECKS_PER_OBJECTIVE)
    }

    /// The request is decided on again after so many seconds.
    fn check_again_in(&mut self, now: f64, index: RequestIndex, seconds: f64) -> Decision {
        self.request(index).next_check_at = now + seconds;
        self.timers.schedule(now + seconds, TimerKind::Request(index));
        Decision::Pending
    }
}

/// Whether a request whose first attempt may have run may be sent again.
fn retry_is_allowed(now: f64, idempotency: Idempotency, limits: &RequestLimits, run: &Attempt) -> bool {
    match idempotency {
        Idempotency::Idempotent => now < run.sent_at + limits.retry_window,
        Idempotency::Keyed { window, .. } => now < run.sent_at + window.min(limits.retry_window),
        Idempotency::NonIdempotent => false,
    }
}

/// Where a retry must stay for its idempotency key to be known there.
fn affinity(idempotency: Idempotency, run: &Attempt) -> Option<Affinity> {
    match idempotency {
        Idempotency::Keyed { scope, .. } if scope != KeyScope::All => {
            Some(Affinity { scope, backend: run.backend })
        }
        _ => None,
    }
}
