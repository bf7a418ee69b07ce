//! Retries and hedged requests, as far as the operation's idempotency allows them.
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

/// Returns the trace of a non-idempotent request whose first attempt ends with the given result.
fn trace_of_non_idempotent(result: AttemptResult) -> String {
    let mut harness = with_idempotency(Idempotency::NonIdempotent, 2);
    let request = harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.complete_attempt(30.1, request, 0, result, 0.1);
    harness.take_trace()
}

#[test]
fn a_non_idempotent_request_is_retried_if_it_never_ran() {
    expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.100 0 Rejected: to 1"#]]
    .assert_eq(&trace_of_non_idempotent(Rejected));
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_throttled() {
    expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.100 0 Broken: error"#]]
    .assert_eq(&trace_of_non_idempotent(Broken));
}

#[test]
fn a_keyed_request_is_retried_within_the_scope_and_the_window_of_its_key() {
    let mut harness = with_idempotency(Idempotency::Keyed { scope: KeyScope::Cell, window: 0.5 }, 4);
    let request = harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.complete_attempt(30.1, request, 0, Broken, 0.1);
    harness.complete_attempt(30.6, request, 1, Errored, 0.5);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.100 0 Broken: to 1
        30.600 0 Errored: error"#]]);
}

/// Guards against throttling of a keyed request that may have run: the client then retries whenever it likes,
/// when the backends may no longer remember the key.
#[test]
fn a_keyed_request_that_may_have_run_is_not_throttled() {
    let mut harness = with_idempotency(Idempotency::Keyed { scope: KeyScope::All, window: 9.0 }, 2);
    let request = harness.submit_with_deadline(30.0, 31.0);
    harness.answer_counter_calls(30.0);
    harness.poll(30.0);
    harness.complete_attempt(31.0, request, 0, TimedOut, 1.0);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        31.000 0 TimedOut: error"#]]);
}

#[test]
fn a_request_at_an_unresponsive_backend_is_hedged() {
    let mut harness = idempotent(2);
    for now in [30.0, 31.0] {
        let request = harness.submit(now, 0, 1.0);
        harness.answer_counter_calls(now);
        harness.poll(now + 0.8);
        harness.complete_attempt(now + 0.9, request, 1, Succeeded, 0.1);
    }
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.800 0: to 1
        30.900 0 Succeeded: pending; cancel 0.0
        31.000 1 submitted: pending; count 1: +1.00; 1: to 1
        31.800 1: to 0
        31.900 1 Succeeded: pending; cancel 1.0"#]]);
}
