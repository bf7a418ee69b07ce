//! The selection of a backend.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use std::collections::BTreeSet;
use AttemptResult::*;

#[test]
fn a_draining_or_removed_backend_gets_no_new_attempts() {
    let mut harness = idempotent(2);
    let draining = Endpoint { status: EndpointStatus::Draining, ..ready_endpoint(0) };
    harness.engine.update_endpoints(30.0, false, &[draining]);
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.engine.update_endpoints(30.1, true, &[]);
    harness.submit(30.2, 0, 1.0);
    harness.answer_counter_calls(30.2);
    harness.poll(30.46);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 1
        30.200 1 submitted: pending; count 1: +1.00
        30.460 1: throttled, 1.00 s"#]]);
}

/// Guards against handshakes for half of all attempts: hundreds of instances with little traffic each chose
/// among all backends.
#[test]
fn a_backend_with_an_idle_connection_is_preferred_unless_it_answers_slowly() {
    let with_quick_answers = backends_used(0.05);
    assert!(with_quick_answers <= 6, "at most 6 of 40 backends expected, found {with_quick_answers}");
    let with_slow_answers = backends_used(0.9);
    assert!(with_slow_answers >= 12, "at least 12 of 40 backends expected, found {with_slow_answers}");
}

/// Returns how many of 40 backends are used by 30 consecutive requests if each answer takes the given time.
fn backends_used(duration: f64) -> usize {
    let mut harness = idempotent(40);
    for customer in 0..30 {
        let now = 30.0 + customer as f64;
        let request = harness.submit_from(now, customer, 1.0);
        harness.answer_counter_calls(now);
        harness.complete_attempt(now + duration, request, 0, Succeeded, duration);
    }
    let trace = harness.take_trace();
    let forwards = trace.split([';', '\n']).filter_map(|event| event.split_once(": to "));
    forwards.map(|(_, backend)| backend).collect::<BTreeSet<_>>().len()
}

/// Guards against needless zone crossings: two attempts in three crossed zones, each at a charge.
#[test]
fn among_equal_backends_one_in_the_home_zone_is_selected_unless_it_is_loaded() {
    let without_home_zone = forwarded_to_zone_1(None);
    assert_eq!(without_home_zone, ForwardedToZone1 { one_by_one: 0, at_once: 1 });
    let in_zone_1 = forwarded_to_zone_1(Some(1));
    assert_eq!(in_zone_1, ForwardedToZone1 { one_by_one: 6, at_once: 1 });
}

/// Requests that were forwarded to the backend in zone 1; the other backend is in zone 0.
#[derive(Debug, PartialEq)]
struct ForwardedToZone1 {
    /// Of six consecutive requests.
    one_by_one: usize,
    /// Of two concurrent requests.
    at_once: usize,
}

fn forwarded_to_zone_1(home_zone: Option<usize>) -> ForwardedToZone1 {
    let operations = vec![operation(Idempotency::Idempotent)];
    let attempts = AttemptSettings { home_zone, ..attempt_settings() };
    let mut harness = EngineHarness::new(operations, vec![plan()], attempts, 2);
    for second in 0..6 {
        let now = 30.0 + f64::from(second);
        let request = harness.submit(now, 0, 1.0);
        harness.answer_counter_calls(now);
        harness.complete_attempt(now + 0.1, request, 0, Succeeded, 0.1);
    }
    let one_by_one = harness.take_trace().matches(": to 1").count();
    for customer in 1..3 {
        harness.submit_from(37.0, customer, 1.0);
        harness.answer_counter_calls(37.0);
    }
    let at_once = harness.take_trace().matches(": to 1").count();
    ForwardedToZone1 { one_by_one, at_once }
}

/// With hundreds of instances each backend is at its connection limit, so only instances with an open
/// connection reach it.
#[test]
fn a_backend_with_an_open_connection_is_selected_where_new_connections_fail() {
    let mut harness = idempotent(8);
    harness.submit_from(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.complete_attempt(30.1, 0, 0, Succeeded, 0.1);
    for customer in 1..4 {
        let request = harness.submit_from(30.1, customer, 1.0);
        harness.answer_counter_calls(30.1);
        harness.complete_attempt(30.1, request, 0, NotConnected, 0.0);
    }
    harness.take_trace();
    for customer in 4..7 {
        let now = 31.0 + customer as f64;
        let request = harness.submit_from(now, customer, 1.0);
        harness.answer_counter_calls(now);
        harness.complete_attempt(now, request, 0, Succeeded, 0.1);
    }
    harness.expect_trace(expect![[r#"
        35.000 4 submitted: pending; count 1: +1.00; count 1: +10.00; 4: to 4; 4 Succeeded: pending
        36.000 5 submitted: pending; count 1: +1.00; count 1: +12.00; 5: to 4; 5 Succeeded: pending
        37.000 6 submitted: pending; count 1: +1.00; count 1: +14.00; 6: to 4; 6 Succeeded: pending"#]]);
}

/// Guards against retries at one rejecting backend after another: some backends reject one plan although they
/// have capacity.
#[test]
fn a_plan_that_some_backends_reject_goes_to_one_that_served_it() {
    const ACCEPTED_EVERYWHERE: usize = 0;
    const REJECTED_BY_MOST: usize = 1;
    let operations = vec![operation(Idempotency::Idempotent)];
    let mut harness = EngineHarness::new(operations, vec![plan(), plan()], attempt_settings(), 40);
    let results = [Succeeded, Rejected, Rejected, Rejected, Rejected, Succeeded];
    for (customer, result) in results.into_iter().enumerate() {
        let plan = if customer == 0 { ACCEPTED_EVERYWHERE } else { REJECTED_BY_MOST };
        let request = harness.submit_under_plan(30.0, customer, plan);
        harness.answer_counter_calls(30.0);
        harness.complete_attempt(30.1, request, 0, result, 0.1);
    }
    harness.take_trace();
    for (customer, plan) in [(6, REJECTED_BY_MOST), (7, REJECTED_BY_MOST), (8, ACCEPTED_EVERYWHERE)] {
        let request = harness.submit_under_plan(31.0, customer, plan);
        harness.answer_counter_calls(31.0);
        harness.complete_attempt(31.1, request, 0, Succeeded, 0.1);
    }
    harness.expect_trace(expect![[r#"
        31.000 1: to 36; 2: to 5; 3: to 28; 4: to 23; 6 submitted: pending; count 1: +1.00; count 1: +2.00; 6: to 6
        31.100 6 Succeeded: pending
        31.000 7 submitted: pending; count 1: +1.00; count 1: +2.00; 7: to 6
        31.100 7 Succeeded: pending
        31.000 8 submitted: pending; count 1: +1.00; count 1: +2.00; 8: to 6
        31.100 8 Succeeded: pending"#]]);
}
