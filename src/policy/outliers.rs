//! Evaluates the outcomes of attempts: ejects outliers, ends their ejections, gossips recoveries, and updates
//! the estimates of latency and throughput.
use super::latencies::TAIL_QUANTILE;
use super::requests::EndedAttempt;
use super::{gossip, PolicyEngine};
use crate::state::{update_quantile, Backend, Ejection, ThroughputWindow};
use crate::types::*;

/// Relative step of a backend's latency quantile per answer. It is large because an instance gets an answer
/// from one backend only every few seconds.
const BACKEND_QUANTILE_STEP: f64 = 0.8;
/// Averaging window of a backend's throughput, about 2 s. The first answers of a backend that was just listed
/// arrive within almost no time, and the resulting throughput would allow any backlog. The backend therefore
/// counts as observed for 0.1 s, a twentieth of the window, from the start.
pub(super) const THROUGHPUT_WINDOW: ThroughputWindow =
    ThroughputWindow { time_constant: 2.0, initial_observation: 0.1 };
/// Number of consecutive failures that ejects a backend.
const FAILURES_UNTIL_EJECTION: u32 = 3;
/// Duration of the first ejection, in seconds. Each consecutive ejection lasts twice as long as the one
/// before.
const FIRST_EJECTION: f64 = 1.0;
/// Maximum duration of an ejection, in seconds.
const LONGEST_EJECTION: f64 = 8.0;

/// Returns whether an attempt's result was good for each kind of outcome, in the order of
/// [`OutcomeKinds::of_request`], or `None` if the result says nothing about that kind.
///
/// [`OutcomeKinds::of_request`]: crate::state::OutcomeKinds::of_request
fn successes_by_kind(result: AttemptResult) -> [Option<bool>; 3] {
    match result {
        AttemptResult::Succeeded => [Some(true); 3],
        AttemptResult::NotConnected => [Some(false), None, None],
        AttemptResult::Rejected => [Some(true), None, Some(false)],
        _ => [Some(true), Some(false), None],
    }
}

impl PolicyEngine {
    /// Whether a backend with attempts in flight has made no progress for longer than their units explain.
    /// Slow start extends that time. `p95` is the 95th percentile of the latency for one unit, in seconds.
    pub(super) fn is_unresponsive(&self, now: f64, backend: &Backend, p95: f64) -> bool {
        let in_flight = backend.in_flight as f64;
        let p95 = p95 / backend.capacity_fraction(now, &self.slow_start);
        let silent_for = now - backend.last_progress_at;
        backend.in_flight > 0
            && silent_for > p95 * backend.in_flight_units / in_flight * (1.0 + 1.0 / in_flight)
    }

    /// Updates the backend and all estimates after an attempt has ended.
    pub(super) fn record_outcome(
        &mut self,
        now: f64,
        attributes: &RequestAttributes,
        ended: &EndedAttempt,
        outcome: &AttemptOutcome,
    ) {
        let units = attributes.units.max(1.0);
        let units_in_flight = if ended.was_streaming { 0.0 } else { units };
        if self.backends.remove_attempt(outcome.backend, units_in_flight).is_none() {
            return;
        }
        let expected_latency = self.latencies.p95(attributes.operation) * units;
        let was_cancelled_early = ended.was_closed
            && outcome.result == AttemptResult::Cancelled
            && outcome.duration < expected_latency;
        if outcome.result == AttemptResult::NotSent || was_cancelled_early {
            // The outcome says nothing about the backend.
            return;
        }
        self.record_outcome_kinds(now, attributes, outcome);
        let is_slow = self.latencies.is_slow(attributes.operation, outcome.duration);
        self.update_concurrency_limit(outcome, is_slow);
        match outcome.result {
            AttemptResult::Succeeded => self.record_success(now, attributes.operation, units, outcome),
            AttemptResult::Rejected => self.backend_mut(outcome.backend).last_progress_at = now,
            _ => self.record_failure(now, ended.sent_at, outcome),
        }
    }

    fn backend_mut(&mut self, index: BackendIndex) -> &mut Backend {
        self.backends.get_mut(index).expect("the backend of an ended attempt must be in the backend set")
    }

    fn record_outcome_kinds(&mut self, now: f64, attributes: &RequestAttributes, outcome: &AttemptOutcome) {
        let kinds = self.failure_rates.kinds().of_request(attributes);
        for (kind, is_success) in kinds.into_iter().zip(successes_by_kind(outcome.result)) {
            let Some(is_good) = is_success else { continue };
            self.backend_mut(outcome.backend).record_streak(now, kind, is_good);
            self.failure_rates.record(kind, !is_good);
        }
    }

    /// Adjusts the concurrency limit after a success, or after a slow failure of a backend that is not
    /// ejected and may have run the request.
    fn update_concurrency_limit(&mut self, outcome: &AttemptOutcome, is_slow: bool) {
        let is_ejected = self.backend_mut(outcome.backend).ejection.is_some();
        let is_slow_failure = is_slow && !is_ejected && !outcome.result.never_ran();
        if outcome.result == AttemptResult::Succeeded || is_slow_failure {
            self.concurrency.record_answer(is_slow, outcome.load_report);
        }
    }

    fn record_success(&mut self, now: f64, operation: usize, units: f64, outcome: &AttemptOutcome) {
        self.latencies.record(operation, outcome.duration, units);
        let relative_latency = outcome.duration / units / self.latencies.p95(operation);
        let backend = self.backend_mut(outcome.backend);
        update_quantile(&mut backend.slowness, relative_latency, TAIL_QUANTILE, BACKEND_QUANTILE_STEP);
        backend.record_answer(now, units, &THROUGHPUT_WINDOW);
        backend.last_progress_at = now;
        backend.consecutive_failures = 0;
        if backend.ejection.take().is_some() {
            self.record_recovery(now, outcome);
        }
    }

    fn record_recovery(&mut self, now: f64, outcome: &AttemptOutcome) {
        let AttemptOutcome { backend, duration, .. } = *outcome;
        self.effects.log.push(PolicyLogMessage::BackendRecovered { backend, duration });
        let backend = self.backend_mut(outcome.backend);
        if gossip::may_repeat(now, backend.recovery_gossiped_at) {
            backend.recovery_gossiped_at = now;
            let message = GossipMessage::BackendRecovered { backend: outcome.backend };
            self.send_gossip(now, message, self.instances);
        }
    }

    fn record_failure(&mut self, now: f64, sent_at: f64, outcome: &AttemptOutcome) {
        // A missing answer is not the backend's failure if others were answered since the attempt was sent.
        let is_unanswered = matches!(outcome.result, AttemptResult::TimedOut | AttemptResult::Cancelled);
        let backend = self.backend_mut(outcome.backend);
        if !is_unanswered || backend.answered_at < sent_at {
            backend.consecutive_failures += 1;
        }
        // Only attempts that were sent after an ejection began can extend it.
        let was_sent_after_ejection = backend.ejection.is_none_or(|ejection| sent_at > ejection.started_at);
        if backend.consecutive_failures < FAILURES_UNTIL_EJECTION || !was_sent_after_ejection {
            return;
        }
        let doubled_duration = |ejection: Ejection| (ejection.duration * 2.0).min(LONGEST_EJECTION);
        let duration = backend.ejection.map_or(FIRST_EJECTION, doubled_duration);
        backend.ejection = Some(Ejection { started_at: now, until: now + duration, duration });
        let failures = backend.consecutive_failures;
        let AttemptOutcome { backend, result: last_result, .. } = *outcome;
        self.effects.log.push(PolicyLogMessage::BackendEjected { backend, duration, failures, last_result });
    }
}
