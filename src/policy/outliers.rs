//! What an outcome says of its backend: outliers are ejected and tried again, other instances are notified of recoveries, and the
//! estimates of answer times follow.
use super::latencies::TAIL_QUANTILE;
use super::requests::EndedAttempt;
use super::{gossip, PolicyEngine};
use crate::state::{update_quantile, Backend, Ejection, ThroughputWindow};
use crate::types::*;

/// The relative step by which an answer moves the quantile of one backend: large, for an instance has an answer of a backend only once
/// in seconds.
const BACKEND_QUANTILE_STEP: f64 = 0.8;
/// Answers of a backend are counted over about 2 s. The first answers of one that has just been listed came in next to no time: taken
/// as a rate they would allow any backlog, so it counts as observed for 0.1 s, a twentieth of the window, from the start.
pub(super) const THROUGHPUT_WINDOW: ThroughputWindow =
    ThroughputWindow { time_constant: 2.0, initial_observation: 0.1 };
/// So many failures in a row eject a backend.
const FAILURES_UNTIL_EJECTION: u32 = 3;
/// How long the first ejection lasts, seconds; each further one in a row lasts twice as long,
const FIRST_EJECTION: f64 = 1.0;
/// up to this.
const LONGEST_EJECTION: f64 = 8.0;

/// What an attempt's result says of each kind of outcome, in the order of [`OutcomeKinds::of_request`]: whether it was good, or
/// `None` where it says nothing.
///
/// [`OutcomeKinds::of_request`]: crate::state::OutcomeKinds::of_request
fn verdicts(result: AttemptResult) -> [Option<bool>; 3] {
    match result {
        AttemptResult::Succeeded => [Some(true); 3],
        AttemptResult::NotConnected => [Some(false), None, None],
        AttemptResult::Rejected => [Some(true), None, Some(false)],
        _ => [Some(true), Some(false), None],
    }
}

impl PolicyEngine {
    /// Whether a backend with attempts in flight has made no progress for longer than they can explain; more is allowed while it
    /// warms up. `p95` is that of one unit, seconds.
    pub(super) fn is_unresponsive(&self, now: f64, backend: &Backend, p95: f64) -> bool {
        let in_flight = backend.in_flight as f64;
        let p95 = p95 / backend.capacity_fraction(now, &self.slow_start);
        let silent_for = now - backend.last_progress_at;
        backend.in_flight > 0
            && silent_for > p95 * backend.in_flight_units / in_flight * (1.0 + 1.0 / in_flight)
    }

    /// Learns from an attempt that has ended.
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
        let left_early = ended.was_closed
            && outcome.result == AttemptResult::Cancelled
            && outcome.duration < expected_latency;
        if outcome.result == AttemptResult::NotSent || left_early {
            // It says nothing of the backend.
            return;
        }
        self.record_kinds(now, attributes, outcome);
        let is_slow = self.latencies.is_slow(attributes.operation, outcome.duration);
        self.record_concurrency(outcome, is_slow);
        match outcome.result {
            AttemptResult::Succeeded => self.record_success(now, attributes.operation, units, outcome),
            AttemptResult::Rejected => self.backend_mut(outcome.backend).last_progress_at = now,
            _ => self.record_failure(now, ended.sent_at, outcome),
        }
    }

    fn backend_mut(&mut self, index: BackendIndex) -> &mut Backend {
        self.backends.get_mut(index).expect("an attempt ended at a known backend")
    }

    fn record_kinds(&mut self, now: f64, attributes: &RequestAttributes, outcome: &AttemptOutcome) {
        let kinds = self.failure_rates.kinds().of_request(attributes);
        for (kind, verdict) in kinds.into_iter().zip(verdicts(outcome.result)) {
            let Some(is_good) = verdict else { continue };
            self.backend_mut(outcome.backend).record_streak(now, kind, is_good);
            self.failure_rates.record(kind, !is_good);
        }
    }

    fn record_concurrency(&mut self, outcome: &AttemptOutcome, is_slow: bool) {
        let is_ejected = self.backend_mut(outcome.backend).ejection.is_some();
        let is_slow_failure = is_slow && !is_ejected && !outcome.result.never_ran();
        if outcome.result == AttemptResult::Succeeded || is_slow_failure {
            self.concurrency.record_answer(is_slow, outcome.load_report);
        }
    }

    fn record_success(&mut self, now: f64, operation: usize, units: f64, outcome: &AttemptOutcome) {
        self.latencies.record(operation, outcome.duration, units);
        let relative = outcome.duration / units / self.latencies.p95(operation);
        let backend = self.backend_mut(outcome.backend);
        update_quantile(&mut backend.slowness, relative, TAIL_QUANTILE, BACKEND_QUANTILE_STEP);
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
        // No answer says little if others were answered since the attempt was sent.
        let is_silence = matches!(outcome.result, AttemptResult::TimedOut | AttemptResult::Cancelled);
        let backend = self.backend_mut(outcome.backend);
        if !is_silence || backend.answered_at < sent_at {
            backend.consecutive_failures += 1;
        }
        // Only attempts that were sent since an ejection say more than was known.
        let is_news = backend.ejection.is_none_or(|ejection| sent_at > ejection.started_at);
        if backend.consecutive_failures < FAILURES_UNTIL_EJECTION || !is_news {
            return;
        }
        let longer = |ejection: Ejection| (ejection.duration * 2.0).min(LONGEST_EJECTION);
        let duration = backend.ejection.map_or(FIRST_EJECTION, longer);
        backend.ejection = Some(Ejection { started_at: now, until: now + duration, duration });
        let failures = backend.consecutive_failures;
        let AttemptOutcome { backend, result: last_result, .. } = *outcome;
        self.effects.log.push(PolicyLogMessage::BackendEjected { backend, duration, failures, last_result });
    }
}
