//! Slow start of backends that have just started.
use crate::fixtures::*;
use crate::harness::*;
use quillramp::types::*;

/// Guards: a warming backend takes longer by nature. Taken for an unresponsive one, it no longer counted towards the load in flight, its
/// attempts were cancelled and retried, and it got more than it could take (emulator: an endpoint list shrunk to it).
#[test]
fn a_request_at_a_warming_backend_is_hedged_later() {
    let when_warm = time_to_hedge(None);
    let when_warming_up = time_to_hedge(Some(26.0));
    assert!(when_warming_up > 1.2 * when_warm, "{when_warm:.1} s warm, {when_warming_up:.1} s warming up");
}

/// Seconds until an unanswered request is hedged, by the time at which both backends started.
fn time_to_hedge(started_at: Option<f64>) -> f64 {
    let mut harness = idempotent(2);
    let endpoints = [0, 1].map(|backend| Endpoint { started_at, ..ready_endpoint(backend) });
    harness.engine.update_endpoints(30.0, true, &endpoints);
    // A request with a low random draw waits for a warm backend: the first one that is forwarded at once is observed.
    let forwarded = (0..40).find_map(|customer| {
        harness.submit_from(30.0, customer, 1.0);
        harness.answer_counter_calls(30.0);
        harness.take_forwarded().last().copied()
    });
    assert!(forwarded.is_some());
    harness.take_trace();
    let mut is_hedged = |now: f64| {
        harness.poll(now);
        !harness.take_trace().is_empty()
    };
    let mut seconds = (1..30).map(|tenths| 0.1 * f64::from(tenths));
    seconds.find(|seconds| is_hedged(30.0 + seconds)).expect("a hedged request within three seconds")
}

/// Guards: hundreds of instances, each with a floor of one attempt, would overload a warming backend.
#[test]
fn a_warming_backend_gets_a_fraction_of_the_requests() {
    let mut harness = idempotent(0);
    harness.engine.update_endpoints(30.0, true, &[Endpoint { started_at: Some(30.0), ..ready_endpoint(0) }]);
    let forwarded = forwarded_at_once(&mut harness, 30.0);
    assert!((20..60).contains(&forwarded), "{forwarded} of 200 where its share is a fifth");
}
