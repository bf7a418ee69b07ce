//! Limits from the operator's file: each narrows what the settings allow.
use crate::fixtures::*;
use crate::harness::*;
use quillramp::types::*;
use AttemptResult::*;

/// What operators declare narrows: each limit is met where without it another delivery would go out.
#[test]
fn max_attempts_bounds_the_attempts() {
    for (attempts, tried) in [(1, 1), (2, 2), (usize::MAX, 5)] {
        let mut harness = idempotent(8);
        harness.counter_totals.insert(1, 0.0);
        harness
            .submit_with_limits(30.0, RequestLimits { max_attempts: attempts, ..RequestLimits::default() });
        harness.answer_counter_calls(30.001);
        for i in 0..tried {
            harness.complete_attempt(30.01 + 0.01 * i as f64, 0, i, Rejected, 0.005);
        }
        let said = harness.take_trace();
        assert_eq!(said.matches("to ").count(), tried, "{attempts}: {said}");
        assert!(said.ends_with("throttled, 1.00 s"), "{attempts}: {said}");
    }
}

#[test]
fn an_attempt_past_its_timeout_is_hedged_or_cancelled() {
    let copies = |declared: RequestLimits, attempts: AttemptSettings| {
        let mut harness =
            EngineHarness::new(vec![operation(Idempotency::Idempotent)], vec![plan()], attempts, 4);
        harness.submit_with_limits(30.0, declared);
        harness.answer_counter_calls(30.001);
        for i in 1..=8 {
            harness.poll(30.0 + 0.02 * f64::from(i));
        }
        harness.take_trace()
    };
    let per_try = RequestLimits { attempt_timeout: 0.05, max_attempts: 2, ..RequestLimits::default() };
    let once = |said: String| (said.matches("to ").count(), said.matches("cancel").count());
    // The usual doubt comes much later: the delivery's high answer time is a quarter of the objective at first.
    assert_eq!(once(copies(RequestLimits::default(), attempt_settings())), (1, 0));
    assert_eq!(once(copies(per_try, AttemptSettings { hedging: true, ..attempt_settings() })).0, 2);
    // Without a second copy it is called off, whoever forbids the copy.
    let none = RequestLimits { hedging: false, ..per_try };
    let called_off =
        once(copies(none, AttemptSettings { hedging: true, cancellation: true, ..attempt_settings() }));
    assert_eq!(
        called_off,
        once(copies(per_try, AttemptSettings { hedging: false, cancellation: true, ..attempt_settings() }))
    );
    assert_eq!(called_off, (1, 1));
}

/// Non-idempotent: whatever is declared, a delivery that may have run is the last.
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
    let said = harness.take_trace();
    assert_eq!(said.matches("to ").count(), 1, "{said}");
    assert!(said.ends_with("error"), "{said}");
}

#[test]
fn the_retry_window_lies_within_the_idempotency_keys_window() {
    let tokened = Idempotency::Keyed { scope: KeyScope::All, window: 1.5 };
    let after = |within: f64, at: f64| {
        let mut harness = with_idempotency(tokened, 4);
        harness.submit_with_limits(30.0, RequestLimits { retry_window: within, ..RequestLimits::default() });
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
