//! Outlier ejection: which backends are avoided, for how long, and which outcomes do not count against a
//! backend.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

/// Guards against an endpoint list that ends a manual ejection.
#[test]
fn the_endpoint_list_does_not_end_a_manual_ejection() {
    let mut harness = idempotent(3);
    harness.engine.set_manual_ejection(30.0, 0, Some(30.0));
    harness.engine.update_endpoints(30.0, true, &[0, 1, 2].map(ready_endpoint));
    assert_eq!(harness.engine.unavailable_backends(), 1);
    assert_eq!(requests_forwarded_to_backend_0(&mut harness, 30.0), Vec::<usize>::new());
}

/// Guards against a restored backend that stays unused: in slow start it is hardly ever selected while others
/// are idle.
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
    assert!(forwarded.len() < 10, "fewer than 10 requests expected at backend 0: {forwarded:?}");
    assert!(
        forwarded.first().is_some_and(|first| *first < 40),
        "one of the first 40 requests expected at backend 0: {forwarded:?}"
    );
}

/// The only backend, once put back into service, gets the fraction of the requests that a backend gets just
/// after its start, unless the endpoint list says that it started long before.
#[test]
fn after_a_manual_ejection_the_slow_start_counts_from_the_listed_start() {
    let without_listed_start = forwarded_after_manual_ejection(None);
    assert!(
        (20..60).contains(&without_listed_start),
        "20 to 59 of 200 requests expected, found {without_listed_start}"
    );
    let started_long_before = forwarded_after_manual_ejection(Some(40.5));
    assert!(
        (150..201).contains(&started_long_before),
        "150 to 200 of 200 requests expected, found {started_long_before}"
    );
}

/// Returns how many of 200 requests are forwarded to the only backend once its manual ejection has ended.
fn forwarded_after_manual_ejection(started_at: Option<f64>) -> usize {
    let mut harness = idempotent(1);
    harness.engine.set_manual_ejection(40.0, 0, Some(40.0));
    harness.engine.update_endpoints(41.0, false, &[Endpoint { started_at, ..ready_endpoint(0) }]);
    harness.engine.set_manual_ejection(60.0, 0, None);
    forwarded_at_once(&mut harness, 60.0)
}

/// Returns which of 60 consecutive requests are forwarded to backend 0, with the other backends idle.
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

/// Each failed trial doubles the ejection; gossip about a recovery shortens its second half.
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
    // The first instance that gets an answer gossips the recovery.
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

/// Guards against an ejection caused by clients that disconnect very early and try again: two cancelled
/// attempts ejected the backend.
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

/// Guards against slow detection of a slow backend: with many instances a backend rarely answers any one of
/// them, and tens of answers were needed.
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

/// Guards against a backend that counts as unresponsive and as loaded because its response streams slowly to
/// the client.
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
        assert!(
            trace.contains("to 0"),
            "the request of customer {customer} must be forwarded to backend 0: {trace}"
        );
        harness.complete_attempt(now + 0.05, request, 0, Succeeded, 0.05);
    }
    harness.complete_attempt(36.0, first, 0, Broken, 0.1);
    harness.expect_trace(expect![[r#"
        35.050 5 Succeeded: pending
        36.000 0 Broken: throttled, 1.00 s"#]]);
}

/// Guards against backends that count as unresponsive after the instance itself has stalled, so that it
/// forwards nothing.
#[test]
fn a_stall_of_the_instance_does_not_count_against_its_backends() {
    let mut harness = idempotent(1);
    let request = harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    let outcome = succeeded(2.9);
    let output = harness.engine.attempt_ended(33.0, request, &outcome); // the timer of 30.25 s has not fired yet
    let messages: Vec<String> = output.effects.log.iter().map(ToString::to_string).collect();
    expect!["process stalled for 2.75 s"].assert_eq(&messages.join("\n"));
}
