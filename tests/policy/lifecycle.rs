//! When requests are answered, when a customer's state is dropped, and when timers wake the gateway instance.
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

/// Guards against requests without an attempt in flight that get no final answer in time.
#[test]
fn a_request_without_an_attempt_in_flight_is_answered_before_its_deadline() {
    let mut harness = with_idempotency(Idempotency::NonIdempotent, 1);
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.complete_attempt(33.996, 0, 0, NotConnected, 0.25);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        33.996 0 NotConnected: throttled, 1.00 s"#]]);
}

/// Guards against a rounding error at the last check: the remaining time exceeded the bound, so the request
/// stayed pending and was never answered.
#[test]
fn the_last_check_before_the_deadline_always_answers() {
    let mut harness = idempotent(0);
    for index in 0..100 {
        let now = 31.0 + f64::from(index) * 1.000_123;
        let deadline = now + 0.09;
        let request = harness.submit_with_deadline(now, deadline);
        harness.answer_counter_calls(now);
        harness.poll(deadline - 0.005);
        let trace = harness.take_trace();
        assert!(
            trace.contains(&format!("{request}: throttled")),
            "request {request} has no final answer: {trace}"
        );
    }
}

/// Guards against a failed fetch of the endpoint list that is never repeated.
#[test]
fn a_failed_endpoint_fetch_is_repeated() {
    let mut harness = idempotent(1);
    harness.poll(30.0);
    harness.engine.endpoint_fetch_failed(30.1);
    harness.poll(30.2);
    harness.poll(33.2);
    harness.expect_trace(expect!["33.200 fetches the endpoint list"]);
}

/// Guards against the loss of a customer's state while one of its requests is open for longer than the idle
/// timeout.
#[test]
fn the_state_of_a_customer_with_an_open_request_is_not_dropped() {
    let mut harness = idempotent(1);
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.poll(60.0);
    harness.answer_counter_calls(60.0);
    harness.complete_attempt(61.0, 0, 0, Broken, 31.0);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        61.000 0 Broken: throttled, 1.00 s"#]]);
}

/// Guards against timers that wake the gateway instance although their requests need nothing, four times per
/// request.
#[test]
fn no_timer_fires_for_a_request_that_is_closed_or_checked_later() {
    let mut harness = idempotent(1);
    let first = harness.submit(30.0, 0, 1.0);
    let mut waits = vec![harness.engine.poll(30.0).next_poll_in];
    harness.answer_counter_calls(30.0);
    waits.push(harness.engine.poll(30.0).next_poll_in);
    harness.complete_attempt(30.1, first, 0, Succeeded, 0.1);
    waits.push(harness.engine.poll(30.1).next_poll_in);
    let waits: Vec<String> = waits.into_iter().flatten().map(|seconds| format!("{seconds:.3}")).collect();
    expect!["0.040 0.250 0.900"].assert_eq(&waits.join(" "));
}
