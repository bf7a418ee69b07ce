//! Outlier ejection: which backends are avoided, for how long, and what does not count against one.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

/// Guards: an endpoint list undid a manual ejection.
#[test]
fn a_manual_ejection_holds_against_the_endpoint_list() {
    let mut harness = idempotent(3);
    harness.engine.set_manual_ejection(30.0, 0, Some(30.0));
    harness.engine.update_endpoints(30.0, true, &[0, 1, 2].map(ready_endpoint));
    assert_eq!(harness.engine.unavailable_backends(), 1);
    assert_eq!(requests_forwarded_to_backend_0(&mut harness, 30.0), Vec::<usize>::new());
}

/// Guards: a backend that was available again stayed unused, since one in slow start is hardly ever selected while others are
/// idle.
#[test]
fn after_a_manual_ejection_a_backend_is_soon_tried_in_slow_start() {
    let mut harness = idempotent(3);
    harness.engine.set_manual_ejection(30.0, 0, Some(30.0));
    harness.engine.update_endpoints(30.0, true, &[0, 1, 2].map(ready_endpoint));
    requests_forwarded_to_backend_0(&mut harness, 30.0);
    harness.engine.set_manual_ejection(34.0, 0, Some(34.0));
    harness.engine.set_manual_ejection(34.0, 0, None);
    let forwarded = requests_forwarded_to_backend_0(&mut harness, 34.0);
    assert_eq!(harness.engine.unavailable_backends(), 0);
    assert!(forwarded.len() < 10, "{forwarded:?}");
    assert!(forwarded.first().is_some_and(|first| *first < 40), "{forwarded:?}");
}

/// Alone, it gets the fraction of a backend that has just started, unless the list says that it started long before.
#[test]
fn after_a_manual_ejection_the_slow_start_counts_from_the_listed_start() {
    let without_listed_start = forwarded_after_manual_ejection(None);
    assert!((20..60).contains(&without_listed_start), "{without_listed_start} of 200");
    let started_long_before = forwarded_after_manual_ejection(Some(40.5));
    assert!((150..201).contains(&started_long_before), "{started_long_before} of 200");
}

/// How many of 200 requests are forwarded to the only backend once its manual ejection has ended.
fn forwarded_after_manual_ejection(started_at: Option<f64>) -> usize {
    let mut harness = idempotent(1);
    harness.engine.set_manual_ejection(40.0, 0, Some(40.0));
    harness.engine.update_endpoints(41.0, false, &[Endpoint { started_at, ..ready_endpoint(0) }]);
    harness.engine.set_manual_ejection(60.0, 0, None);
    forwarded_at_once(&mut harness, 60.0)
}

/// Those of 60 requests in a row that go to backend 0, with the other backends idle.
fn requests_forwarded_to_backend_0(harness: &mut EngineHarness, from: f64) -> Vec<usize> {
    let mut is_forwarded = |index: usize| {
        let now = from + index as f64 * 0.05;
        let request = harness.submit_from(now, index, 1.0);
        harness.answer_counter_calls(now);
        harness.complete_attempt(now + 0.01, request, 0, Succeeded, 0.01);
        harness.take_trace().contains("to 0")
    };
    (0..60).filter(|index| is_forwarded(*index)).collect()
}

/// Each failed trial counts, and a gossip message shortens the second half of the ejection.
#[test]
fn a_failed_trial_doubles_the_ejection_time_and_gossip_shortens_it() {
    let operations = vec![operation(Idempotency::Idempotent)];
    let one_attempt = AttemptSettings { max_attempts: 1, ..attempt_settings() };
    let mut harness = EngineHarness::new(operations, vec![plan()], one_attempt, 1);
    for now in [30.0, 33.0, 36.0, 39.0, 42.0] {
        let request = harness.submit(now, 0, 1.0);
        harness.answer_counter_calls(now);
        harness.complete_attempt(now + 0.2, request, 0, Broken, 0.2);
        harness.engine.gossip_received(now + 2.9, GossipMessage::BackendRecovered { backend: 0 });
    }
    // The first instance that gets an answer notifies the others.
    let request = harness.submit(47.0, 0, 1.0);
    harness.answer_counter_calls(47.0);
    harness.complete_attempt(47.1, request, 0, Succeeded, 0.1);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.200 0 Broken: throttled, 1.00 s
        33.000 1 submitted: pending; count 1: +1.00; count 1: +5.00; 1: to 0
        33.200 1 Broken: throttled, 1.00 s
        36.000 2 submitted: pending; count 1: +1.00; count 1: +5.00; 2: to 0
        36.200 2 Broken: throttled, 1.00 s; log: backend 0 ejected for 1 s: 3 failures in a row, last Broken
        39.000 3 submitted: pending; count 1: +1.00; count 1: +5.00; 3: to 0
        39.200 3 Broken: throttled, 1.00 s; log: backend 0 ejected for 2 s: 4 failures in a row, last Broken
        42.000 4 submitted: pending; count 1: +1.00; count 1: +5.00; 4: to 0
        42.200 4 Broken: throttled, 1.00 s; log: backend 0 ejected for 4 s: 5 failures in a row, last Broken
        47.000 5 submitted: pending; count 1: +1.00; count 1: +9.00; 5: to 0
        47.100 5 Succeeded: pending; gossips BackendRecovered { backend: 0 }; log: backend 0 recovered: answered in 0.100 s"#]]);
}

/// Guards: clients that disconnect very early and try again: two cancelled attempts ejected the backend.
#[test]
fn an_early_disconnect_of_the_client_does_not_count_against_the_backend() {
    let mut harness = idempotent(1);
    for now in [30.0, 31.0, 32.0] {
        let request = harness.submit(now, 0, 1.0);
        harness.answer_counter_calls(now);
        harness.engine.request_closed(now, request);
        harness.complete_attempt(now + 0.1, request, 0, Cancelled, 0.1);
    }
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.100 cancel 0.0; 0 Cancelled: pending
        31.000 1 submitted: pending; count 1: +1.00; 1: to 0
        31.100 cancel 1.0; 1 Cancelled: pending
        32.000 2 submitted: pending; count 1: +1.00; count 1: +2.00; 2: to 0
        32.100 cancel 2.0; 2 Cancelled: pending"#]]);
}

/// Guards: with many instances a backend rarely answers any one of them: a slow one was found only after tens of answers.
#[test]
fn one_very_slow_answer_is_enough_to_prefer_the_other_backends() {
    let mut harness = idempotent(2);
    let mut backends = String::new();
    for customer in 0..12 {
        let now = 30.0 + customer as f64;
        let request = harness.submit_from(now, customer, 1.0);
        harness.answer_counter_calls(now);
        let is_at_slow_backend = harness.take_trace().contains(&format!("{request}: to 0"));
        backends += if is_at_slow_backend { "0" } else { "1" };
        let duration = if is_at_slow_backend { 0.7 } else { 0.1 };
        harness.complete_attempt(now + 0.1, request, 0, Succeeded, duration);
    }
    expect!["011111111111"].assert_eq(&backends);
}

/// Guards: a backend whose response streamed slowly to its client was taken for an unresponsive one, and for a loaded one.
#[test]
fn a_backend_whose_response_streams_is_neither_unresponsive_nor_loaded() {
    let mut harness = idempotent(1);
    let first = harness.submit_from(30.0, 0, 4.0);
    harness.answer_counter_calls(30.0);
    harness.engine.response_started(30.1, first);
    for customer in 1..6 {
        let now = 30.0 + customer as f64;
        let request = harness.submit_from(now, customer, 1.0);
        harness.answer_counter_calls(now);
        let trace = harness.take_trace();
        assert!(trace.contains("to 0"), "customer {customer}: {trace}");
        harness.complete_attempt(now + 0.05, request, 0, Succeeded, 0.05);
    }
    harness.complete_attempt(36.0, first, 0, Broken, 0.1);
    harness.expect_trace(expect![[r#"
        35.050 5 Succeeded: pending
        36.000 0 Broken: throttled, 1.00 s"#]]);
}

/// Guards: an instance that had stalled took its backends for unresponsive, and forwarded nothing.
#[test]
fn a_stall_of_the_instance_does_not_count_against_its_backends() {
    let mut harness = idempotent(1);
    let request = harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    let outcome = succeeded(2.9);
    let output = harness.engine.attempt_ended(33.0, request, &outcome); // the timer of 30.25 has not fired yet
    let messages: Vec<String> = output.effects.log.iter().map(ToString::to_string).collect();
    expect!["process stalled for 2.75 s"].assert_eq(&messages.join("\n"));
}
