//! Retries and hedged requests, as far as the operation's idempotency allows them.
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

#[test]
fn non_idempotent_is_retried_only_when_it_never_ran_and_is_not_throttled_otherwise() {
    let mut all = String::new();
    for ending in [Rejected, Broken] {
        let mut harness = with_idempotency(Idempotency::NonIdempotent, 2);
        harness.submit(30.0, 0, 1.0);
        harness.answer_counter_calls(30.0);
        harness.complete_attempt(30.1, 0, 0, ending, 0.1);
        all += &format!("{}\n", harness.take_trace());
    }
    expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.100 0 Rejected: to 1
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.100 0 Broken: error
    "#]]
    .assert_eq(&all);
}

#[test]
fn keyed_retries_stay_in_scope_and_window() {
    let mut harness = with_idempotency(Idempotency::Keyed { scope: KeyScope::Cell, window: 0.5 }, 4);
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.complete_attempt(30.1, 0, 0, Broken, 0.1);
    harness.complete_attempt(30.6, 0, 1, Errored, 0.5);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.100 0 Broken: to 1
        30.600 0 Errored: error"#]]);
}

/// Guards: a keyed request that may have run was throttled, which tells the client to retry whenever it likes; by then the
/// backends may have forgotten the key.
#[test]
fn keyed_that_may_have_run_is_not_throttled() {
    let mut harness = with_idempotency(Idempotency::Keyed { scope: KeyScope::All, window: 9.0 }, 2);
    let request = harness.submit_with_deadline(30.0, 31.0);
    harness.answer_counter_calls(30.0);
    harness.poll(30.0);
    harness.complete_attempt(31.0, request, 0, AttemptResult::TimedOut, 1.0);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        31.000 0 TimedOut: error"#]]);
}

/// Backends that accept work and never answer: a request there is hedged.
#[test]
fn a_request_at_an_unresponsive_backend_is_hedged() {
    let mut harness = idempotent(2);
    for i in 0..2 {
        let now = 30.0 + f64::from(i);
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
