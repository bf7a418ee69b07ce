//! The choice of a backend.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

#[test]
fn nothing_new_goes_to_a_draining_or_removed_backend() {
    let mut harness = idempotent(2);
    harness.engine.update_endpoints(
        30.0,
        false,
        &[Endpoint { status: EndpointStatus::Draining, ..ready_endpoint(0) }],
    );
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

/// Guards: hundreds of instances with little traffic each drew among all backends, and half of their attempts began with a
/// handshake.
#[test]
fn a_backend_with_an_idle_connection_is_preferred_unless_it_answers_slowly() {
    let used = |duration: f64| {
        let mut harness = idempotent(40);
        for i in 0..30 {
            let now = 30.0 + i as f64;
            let request = harness.submit_from(now, i, 1.0);
            harness.answer_counter_calls(now);
            harness.complete_attempt(now + duration, request, 0, Succeeded, duration);
        }
        let trace = harness.take_trace();
        let backends = trace
            .split([';', '\n'])
            .filter_map(|event| event.split_once(": to "))
            .map(|(_, backend)| backend.to_owned());
        backends.collect::<std::collections::BTreeSet<_>>().len()
    };
    let (well, slow) = (used(0.05), used(0.9));
    assert!(well <= 6 && slow >= 12, "{well} of 40 used where answers are well, {slow} where they are slow");
}

/// Guards: two attempts in three crossed zones, each at a charge.
#[test]
fn among_equals_the_home_zone_wins_where_crossing_is_charged_for_and_a_loaded_one_does_not() {
    let mut all = String::new();
    for home in [None, Some(1)] {
        let mut harness = EngineHarness::new(
            vec![operation(Idempotency::Idempotent)],
            vec![plan()],
            AttemptSettings { home_zone: home, ..attempt_settings() },
            2,
        );
        for i in 0..6 {
            let now = 30.0 + f64::from(i);
            let request = harness.submit(now, 0, 1.0);
            harness.answer_counter_calls(now);
            harness.complete_attempt(now + 0.1, request, 0, Succeeded, 0.1);
        }
        let alone = harness.take_trace().matches(": to 1").count();
        for customer in 1..3 {
            harness.submit_from(37.0, customer, 1.0);
            harness.answer_counter_calls(37.0);
        }
        let both = harness.take_trace().matches(": to 1").count();
        all += &format!("{home:?}: {alone} of 6 one by one, {both} of 2 at once to 1\n");
    }
    expect![[r#"
        None: 0 of 6 one by one, 1 of 2 at once to 1
        Some(1): 6 of 6 one by one, 1 of 2 at once to 1
    "#]]
    .assert_eq(&all);
}

/// With hundreds of instances each backend is at its connection limit: only an instance that has a connection gets through.
#[test]
fn open_connections_serve_where_new_ones_are_hard_to_get() {
    let mut harness = idempotent(8);
    harness.submit_from(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.complete_attempt(30.1, 0, 0, Succeeded, 0.1);
    for i in 1..4 {
        harness.submit_from(30.1, i, 1.0);
        harness.answer_counter_calls(30.1);
        harness.complete_attempt(30.1, i, 0, NotConnected, 0.0);
    }
    harness.take_trace();
    for i in 4..7 {
        let now = 31.0 + i as f64;
        harness.submit_from(now, i, 1.0);
        harness.answer_counter_calls(now);
        harness.complete_attempt(now, i, 0, Succeeded, 0.1);
    }
    harness.expect_trace(expect![[r#"
        35.000 4 submitted: pending; count 1: +1.00; count 1: +10.00; 4: to 4; 4 Succeeded: pending
        36.000 5 submitted: pending; count 1: +1.00; count 1: +12.00; 5: to 4; 5 Succeeded: pending
        37.000 6 submitted: pending; count 1: +1.00; count 1: +14.00; 6: to 4; 6 Succeeded: pending"#]]);
}

/// Guards: some backends reject one plan although they have capacity, and each retry went to another of them.
#[test]
fn a_rejected_plan_goes_where_it_was_served() {
    let mut harness = EngineHarness::among_instances(
        2.0,
        vec![operation(Idempotency::Idempotent)],
        vec![plan(), plan()],
        attempt_settings(),
        40,
    );
    let endings = [Succeeded, Rejected, Rejected, Rejected, Rejected, Succeeded];
    for (customer, ending) in endings.into_iter().enumerate() {
        let request = harness.submit_under_plan(30.0, customer, customer.min(1));
        harness.answer_counter_calls(30.0);
        harness.complete_attempt(30.1, request, 0, ending, 0.1);
    }
    harness.take_trace();
    for (customer, plan) in [(6, 1), (7, 1), (8, 0)] {
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
