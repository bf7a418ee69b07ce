//! Limits from the operator's file: each narrows what the settings allow.
use crate::fixtures::*;
use crate::harness::*;
use quillramp::types::*;
use AttemptResult::*;

/// Each limit is tested where there would be another attempt without it.
#[test]
fn max_attempts_bounds_the_attempts() {
    for (attempts, expected_attempts) in [(1, 1), (2, 2), (usize::MAX, 5)] {
        let mut harness = idempotent(8);
        harness.counter_totals.insert(1, 0.0);
        harness
            .submit_with_limits(30.0, RequestLimits { max_attempts: attempts, ..RequestLimits::default() });
        harness.answer_counter_calls(30.001);
        for i in 0..expected_attempts {
            harness.complete_attempt(30.01 + 0.01 * i as f64, 0, i, Rejected, 0.005);
        }
        let trace = harness.take_trace();
        assert_eq!(trace.matches("to ").count(), expected_attempts, "{attempts}: {trace}");
        assert!(trace.ends_with("throttled, 1.00 s"), "{attempts}: {trace}");
    }
}

#[test]
fn an_attempt_past_its_timeout_is_hedged_or_cancelled() {
    let trace_of = |limits: RequestLimits, attempts: AttemptSettings| {
        let mut harness =
            EngineHarness::new(vec![operation(Idempotency::Idempotent)], vec![plan()], attempts, 4);
        harness.submit_with_limits(30.0, limits);
        harness.answer_counter_calls(30.001);
        for i in 1..=8 {
            harness.poll(30.0 + 0.02 * f64::from(i));
        }
        harness.take_trace()
    };
    let short_attempts = RequestLimits { attempt_timeout: 0.05, max_attempts: 2, ..RequestLimits::default() };
    let attempts_and_cancellations =
        |trace: String| (trace.matches("to ").count(), trace.matches("cancel").count());
    // Without the limit a hedge comes much later: the high quantile of answer times starts at a quarter of the objective.
    assert_eq!(attempts_and_cancellations(trace_of(RequestLimits::default(), attempt_settings())), (1, 0));
    assert_eq!(
        attempts_and_cancellations(trace_of(
            short_attempts,
            AttemptSettings { hedging: true, ..attempt_settings() }
        ))
        .0,
        2
    );
    // Where no hedge is allowed the attempt is cancelled, whoever forbids the hedge.
    let unhedged = RequestLimits { hedging: false, ..short_attempts };
    let cancelled = attempts_and_cancellations(trace_of(
        unhedged,
        AttemptSettings { hedging: true, cancellation: true, ..attempt_settings() },
    ));
    assert_eq!(
        cancelled,
        attempts_and_cancellations(trace_of(
            short_attempts,
            AttemptSettings { hedging: false, cancellation: true, ..attempt_settings() }
        ))
    );
    assert_eq!(cancelled, (1, 1));
}

/// Non-idempotent: whatever the limits, an attempt that may have run is the last.
#[test]
fn no_limit_allows_a_retry_of_what_may_have_run() {
    let mut harness = with_idempotency(Idempotency::NonIdempotent, 4);
    harness.submit_with_limits(
        30.0,
        RequestLimits { max_attempts: 9, attempt_timeout: 0.01, ..RequestLimits::default() },
    );
    harness.answer_counter_calls(30.001);
    (1..=20).for_each(|i| harness.poll(30.0 + 0.05 * f64::from(i)));
    harness.complete_attempt(31.2, 0, 0, Broken, 1.2);
    let trace = harness.take_trace();
    assert_eq!(trace.matches("to ").count(), 1, "{trace}");
    assert!(trace.ends_with("error"), "{trace}");
}

#[test]
fn the_retry_window_lies_within_the_idempotency_keys_window() {
    let keyed = Idempotency::Keyed { scope: KeyScope::All, window: 1.5 };
    let after = |retry_window: f64, at: f64| {
        let mut harness = with_idempotency(keyed, 4);
        harness.submit_with_limits(30.0, RequestLimits { retry_window, ..RequestLimits::default() });
        harness.answer_counter_calls(30.001);
        harness.complete_attempt(at, 0, 0, Broken, at - 30.0);
        harness.take_trace().matches("to ").count()
    };
    assert_eq!((after(f64::INFINITY, 30.2), after(0.1, 30.2), after(0.1, 30.05)), (2, 1, 2));
}

#[test]
fn the_latency_objective_ends_retries_sooner() {
    let after = |objective: f64| {
        let mut harness = idempotent(4);
        harness.submit_with_limits(
            30.0,
            RequestLimits { latency_objective: objective, ..RequestLimits::default() },
        );
        harness.answer_counter_calls(30.001);
        harness.complete_attempt(30.1, 0, 0, Broken, 0.1);
        harness.take_trace().matches("to ").count()
    };
    assert_eq!((after(f64::INFINITY), after(0.05)), (2, 1));
}
