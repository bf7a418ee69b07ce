//! Limits from the operator's file, each of which narrows what the settings allow. Each limit is tested with
//! a request that would get another attempt without it.
use crate::fixtures::*;
use crate::harness::*;
use quillramp::types::*;
use AttemptResult::*;

/// Returns the number of attempts in a trace.
fn attempts_in(trace: &str) -> usize {
    trace.matches("to ").count()
}

#[test]
fn max_attempts_bounds_the_attempts() {
    for (max_attempts, expected_attempts) in [(1, 1), (2, 2), (usize::MAX, 5)] {
        let mut harness = idempotent(8);
        harness.counter_totals.insert(1, 0.0);
        let limits = RequestLimits { max_attempts, ..RequestLimits::default() };
        let request = harness.submit_with_limits(30.0, limits);
        harness.answer_counter_calls(30.001);
        for attempt in 0..expected_attempts {
            let now = 30.01 + 0.01 * attempt as f64;
            harness.complete_attempt(now, request, attempt, Rejected, 0.005);
        }
        let trace = harness.take_trace();
        assert_eq!(attempts_in(&trace), expected_attempts, "max_attempts {max_attempts}: {trace}");
        assert!(trace.ends_with("throttled, 1.00 s"), "max_attempts {max_attempts}: {trace}");
    }
}

/// Returns the trace of a request whose attempts are not answered for 160 ms.
fn trace_without_answers(limits: RequestLimits, attempts: AttemptSettings) -> String {
    let operations = vec![operation(Idempotency::Idempotent)];
    let mut harness = EngineHarness::new(operations, vec![plan()], attempts, 4);
    harness.submit_with_limits(30.0, limits);
    harness.answer_counter_calls(30.001);
    for poll in 1..=8 {
        harness.poll(30.0 + 0.02 * f64::from(poll));
    }
    harness.take_trace()
}

/// Allows two attempts, each of which is overdue after 50 ms.
fn short_attempts() -> RequestLimits {
    RequestLimits { attempt_timeout: 0.05, max_attempts: 2, ..RequestLimits::default() }
}

#[test]
fn an_attempt_past_its_timeout_is_hedged() {
    // Without the limit the hedged request is sent much later: the 95th percentile of latency starts at a
    // quarter of the objective.
    let without_limit = trace_without_answers(RequestLimits::default(), attempt_settings());
    assert_eq!(attempts_in(&without_limit), 1, "{without_limit}");
    assert_eq!(without_limit.matches("cancel").count(), 0, "{without_limit}");
    let hedging = AttemptSettings { hedging: true, ..attempt_settings() };
    let hedged = trace_without_answers(short_attempts(), hedging);
    assert_eq!(attempts_in(&hedged), 2, "{hedged}");
}

#[test]
fn an_attempt_past_its_timeout_is_cancelled_where_the_operator_or_the_settings_forbid_hedging() {
    let unhedged_limits = RequestLimits { hedging: false, ..short_attempts() };
    let hedging = AttemptSettings { hedging: true, cancellation: true, ..attempt_settings() };
    let no_hedging = AttemptSettings { hedging: false, ..hedging };
    for trace in
        [trace_without_answers(unhedged_limits, hedging), trace_without_answers(short_attempts(), no_hedging)]
    {
        assert_eq!(attempts_in(&trace), 1, "{trace}");
        assert_eq!(trace.matches("cancel").count(), 1, "{trace}");
    }
}

/// Whatever the limits, a non-idempotent request gets no further attempt after one that may have run.
#[test]
fn no_limit_allows_a_retry_of_a_request_that_may_have_run() {
    let mut harness = with_idempotency(Idempotency::NonIdempotent, 4);
    let limits = RequestLimits { max_attempts: 9, attempt_timeout: 0.01, ..RequestLimits::default() };
    let request = harness.submit_with_limits(30.0, limits);
    harness.answer_counter_calls(30.001);
    for poll in 1..=20 {
        harness.poll(30.0 + 0.05 * f64::from(poll));
    }
    harness.complete_attempt(31.2, request, 0, Broken, 1.2);
    let trace = harness.take_trace();
    assert_eq!(attempts_in(&trace), 1, "{trace}");
    assert!(trace.ends_with("error"), "{trace}");
}

/// Returns the number of attempts of a request whose first attempt breaks after the given time.
fn attempts_with_broken_first(mut harness: EngineHarness, limits: RequestLimits, duration: f64) -> usize {
    let request = harness.submit_with_limits(30.0, limits);
    harness.answer_counter_calls(30.001);
    harness.complete_attempt(30.0 + duration, request, 0, Broken, duration);
    attempts_in(&harness.take_trace())
}

#[test]
fn the_retry_window_lies_within_the_idempotency_keys_window() {
    let attempts = |retry_window: f64, duration: f64| {
        let harness = with_idempotency(Idempotency::Keyed { scope: KeyScope::All, window: 1.5 }, 4);
        let limits = RequestLimits { retry_window, ..RequestLimits::default() };
        attempts_with_broken_first(harness, limits, duration)
    };
    assert_eq!(attempts(f64::INFINITY, 0.2), 2);
    assert_eq!(attempts(0.1, 0.2), 1);
    assert_eq!(attempts(0.1, 0.05), 2);
}

#[test]
fn the_latency_objective_ends_retries_sooner() {
    let attempts = |latency_objective: f64| {
        let limits = RequestLimits { latency_objective, ..RequestLimits::default() };
        attempts_with_broken_first(idempotent(4), limits, 0.1)
    };
    assert_eq!(attempts(f64::INFINITY), 2);
    assert_eq!(attempts(0.05), 1);
}
