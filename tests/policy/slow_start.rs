//! Slow start of backends that have just started.
use crate::fixtures::*;
use crate::harness::*;
use quillramp::types::*;

/// Guards against a warming backend that counts as unresponsive because its answers take longer. Its units in
/// flight then did not count, its attempts were cancelled and retried, and it got more requests than it could
/// serve (in the emulator, when an endpoint list shrank to it).
#[test]
fn a_request_at_a_warming_backend_is_hedged_later() {
    let when_warm = time_to_hedge(None);
    let when_warming_up = time_to_hedge(Some(26.0));
    assert!(
        when_warming_up > 1.2 * when_warm,
        "hedged after {when_warm:.1} s when warm, after {when_warming_up:.1} s when warming up"
    );
}

/// Returns the seconds until an unanswered request is hedged, for the time at which both backends started.
fn time_to_hedge(started_at: Option<f64>) -> f64 {
    let mut harness = idempotent(2);
    let endpoints = [0, 1].map(|backend| Endpoint { started_at, ..ready_endpoint(backend) });
    harness.engine.update_endpoints(30.0, true, &endpoints);
    // A request with a low random draw waits for a warm backend, so the first request that is forwarded at
    // once is observed.
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
    seconds
        .find(|seconds| is_hedged(30.0 + seconds))
        .expect("the request must be hedged within three seconds")
}

/// Guards against overload of a warming backend by hundreds of instances, each of which sends it at least one
/// attempt.
#[test]
fn a_warming_backend_gets_a_fraction_of_the_requests() {
    let mut harness = idempotent(0);
    harness.engine.update_endpoints(30.0, true, &[Endpoint { started_at: Some(30.0), ..ready_endpoint(0) }]);
    let forwarded = forwarded_at_once(&mut harness, 30.0);
    assert!(
        (20..60).contains(&forwarded),
        "20 to 59 of 200 requests expected for a share of a fifth, found {forwarded}"
    );
}
