//! Permits: the cap on a plan's requests in flight, leased from a separate counter.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;
use CounterResult::*;

/// Creates a harness with three backends and one plan that has a cap on requests in flight and no quota.
fn with_cap(max_in_flight: usize) -> EngineHarness {
    let operations = vec![operation(Idempotency::Idempotent)];
    let capped = Plan { rate: 0.0, max_in_flight, ..plan() };
    EngineHarness::new(operations, vec![capped], attempt_settings(), 3)
}

/// Guards against a cap that each instance enforces by its own fraction, rounded up: many instances that one
/// customer used each admitted one request, far over a small cap.
#[test]
fn a_permit_is_leased_from_a_separate_counter_denied_at_once_and_returned() {
    let mut harness = with_cap(2);
    for now in [30.0, 30.01, 30.02] {
        harness.submit(now, 0, 1.0);
        harness.answer_counter_calls(now);
    }
    harness.complete_attempt(30.5, 0, 0, Succeeded, 0.5);
    harness.answer_counter_calls(30.5);
    harness.submit(30.6, 0, 1.0);
    harness.answer_counter_calls(30.6);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1073741827: +1.00; 0: to 0
        30.010 1 submitted: pending; count 1073741827: +1.00; 1: to 2
        30.020 2 submitted: pending; count 1073741827: +1.00; count 1073741827: -1.00; 2: throttled, 0.12 s
        30.500 0 Succeeded: pending; count 1073741827: -1.00
        30.600 3 submitted: pending; count 1073741827: +1.00; 3: to 1"#]]);
}

/// Without the counter, one of N instances waits N times as long for its next permit. Guards against a late
/// answer with a permit that nobody returns.
#[test]
fn without_the_counter_permits_are_an_even_share_and_a_late_permit_is_returned() {
    let mut harness = with_cap(1);
    harness.submit(30.0, 0, 1.0);
    harness.poll(30.04);
    harness.answer_counter_calls(30.05);
    harness.complete_attempt(30.1, 0, 0, Succeeded, 0.1);
    harness.submit(30.11, 0, 1.0);
    harness.fail_counter_calls(30.12, NotApplied);
    harness.submit(31.1, 0, 1.0);
    harness.fail_counter_calls(31.12, NotApplied);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1073741827: +1.00
        30.040 0: to 0
        30.050 count 1073741827: -1.00
        30.100 0 Succeeded: pending
        30.110 1 submitted: pending; count 1073741827: +1.00
        30.120 1: throttled, 0.24 s
        31.100 2 submitted: pending; count 1073741827: +1.00
        31.120 2: to 0"#]]);
}
