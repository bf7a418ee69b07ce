//! Outlier ejection: which backends are avoided, for how long, and what does not count against one.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

/// Guards: an endpoint list undid a manual ejection; and a backend that came back stayed unused, since one in slow start hardly
/// ever wins while others are idle.
#[test]
fn a_manual_ejection_holds_against_the_list_and_its_end_is_a_slow_start_that_is_soon_tried() {
    let mut harness = idempotent(3);
    harness.engine.set_manual_ejection(30.0, 0, Some(30.0));
    harness.engine.update_endpoints(30.0, true, &[0, 1, 2].map(ready_endpoint));
    assert_eq!(
        (harness.engine.unavailable_backends(), forwarded_to_backend_0(&mut harness, 30.0)),
        (1, (0, None))
    );
    harness.engine.set_manual_ejection(34.0, 0, Some(34.0));
    harness.engine.set_manual_ejection(34.0, 0, None);
    let (forwarded, first) = forwarded_to_backend_0(&mut harness, 34.0);
    assert!(
        harness.engine.unavailable_backends() == 0 && forwarded < 10 && first.is_some_and(|i| i < 40),
        "{forwarded}, first {first:?}"
    );
    // Alone, it gets the fraction of a backend that has just started, unless the list says that it started long before.
    for (restarted, share) in [(None, 20..60), (Some(40.5), 150..201)] {
        let mut harness = idempotent(1);
        harness.engine.set_manual_ejection(40.0, 0, Some(40.0));
        harness.engine.update_endpoints(
            41.0,
            false,
            &[Endpoint { started_at: restarted, ..ready_endpoint(0) }],
        );
        harness.engine.set_manual_ejection(60.0, 0, None);
        let forwarded = forwarded_at_once(&mut harness, 60.0);
        assert!(share.contains(&forwarded), "{forwarded} of 200, restarted {restarted:?}");
    }
}

/// Of 60 requests in a row, with the other backends idle: how many go to backend 0, and the first that does.
fn forwarded_to_backend_0(harness: &mut EngineHarness, from: f64) -> (usize, Option<usize>) {
    let requests: Vec<usize> = (0..60)
        .filter(|i| {
            let now = from + *i as f64 * 0.05;
            let request = harness.submit_from(now, *i, 1.0);
            harness.answer_counter_calls(now);
            harness.complete_attempt(now + 0.01, request, 0, Succeeded, 0.01);
            harness.take_trace().contains("to 0")
        })
        .collect();
    (requests.len(), requests.first().copied())
}

/// Dead backends: each failed trial counts, and a gossip message shortens the second half of the ejection.
#[test]
fn a_failed_trial_doubles_the_ejection_time_and_gossip_shortens_it() {
    let once = AttemptSettings { max_attempts: 1, ..attempt_settings() };
    let mut harness = EngineHarness::new(vec![operation(Idempotency::Idempotent)], vec![plan()], once, 1);
    let mut now = 30.0;
    for _ in 0..5 {
        let request = harness.submit(now, 0, 1.0);
        harness.answer_counter_calls(now);
        harness.complete_attempt(now + 0.2, request, 0, Broken, 0.2);
        now += 3.0;
        harness.engine.gossip_received(now - 0.1, GossipMessage::BackendRecovered { backend: 0 });
    }
    // The first instance that gets an answer notifies the others.
    let request = harness.submit(now + 2.0, 0, 1.0);
    harness.answer_counter_calls(now + 2.0);
    harness.complete_attempt(now + 2.1, request, 0, Succeeded, 0.1);
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
    for i in 0..3 {
        let now = 30.0 + f64::from(i);
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
    for i in 0..12 {
        let now = 30.0 + f64::from(i);
        let request = harness.submit_from(now, i as usize, 1.0);
        harness.answer_counter_calls(now);
        let slow = harness.take_trace().contains(&format!("{request}: to 0"));
        backends += if slow { "0" } else { "1" };
        harness.complete_attempt(now + 0.1, request, 0, Succeeded, if slow { 0.7 } else { 0.1 });
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
    for i in 1..6 {
        let now = 30.0 + i as f64;
        let request = harness.submit_from(now, i, 1.0);
        harness.answer_counter_calls(now);
        assert!(harness.take_trace().contains("to 0"), "{i}");
        harness.complete_attempt(now + 0.05, request, 0, Succeeded, 0.05);
    }
    harness.complete_attempt(36.0, first, 0, Broken, 0.1);
    harness.expect_trace(expect![[r#"
        35.050 5 Succeeded: pending
        36.000 0 Broken: throttled, 1.00 s"#]]);
}

/// Guards: an instance that had stalled took its own silence for that of its backends, and forwarded nothing.
#[test]
fn an_instance_that_stalled_blames_no_backend() {
    let mut harness = idempotent(1);
    let request = harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    let outcome = succeeded(2.9);
    let output = harness.engine.attempt_ended(33.0, request, &outcome); // the timer of 30.25 has not fired yet
    let messages: Vec<String> = output.effects.log.iter().map(ToString::to_string).collect();
    expect!["process stalled for 2.75 s"].assert_eq(&messages.join("\n"));
}
