//! Slow start of backends that have just started.
use crate::fixtures::*;
use crate::harness::*;
use quillramp::types::*;

/// Guards: a warming backend takes longer by nature. Taken for one that hangs, it no longer counted towards the load in flight, its
/// attempts were cancelled and retried, and it got more than it could take (emulator: an endpoint list shrunk to it).
#[test]
fn a_warming_backend_has_longer_before_its_requests_are_hedged() {
    let hedged_after = |started: Option<f64>| {
        let mut harness = idempotent(2);
        let endpoints: Vec<Endpoint> =
            (0..2).map(|backend| Endpoint { started_at: started, ..ready_endpoint(backend) }).collect();
        harness.engine.update_endpoints(30.0, true, &endpoints);
        // A request with a low random draw waits for a warm backend: the first one that is forwarded at once is watched.
        let forwarded = (0..40).find_map(|i| {
            harness.submit_from(30.0, i, 1.0);
            harness.answer_counter_calls(30.0);
            harness.take_forwarded().last().copied()
        });
        assert!(forwarded.is_some());
        harness.take_trace();
        let checks = (1..30).map(|i| 30.0 + 0.1 * f64::from(i));
        let first_hedge = checks.into_iter().find(|now| {
            harness.poll(*now);
            !harness.take_trace().is_empty()
        });
        first_hedge.expect("hedged in the end") - 30.0
    };
    let (warm, cold) = (hedged_after(None), hedged_after(Some(26.0)));
    assert!(cold > 1.2 * warm, "{warm:.1} s and {cold:.1} s");
}

/// Guards: hundreds of instances, each with a floor of one attempt, would overload a warming backend.
#[test]
fn a_warming_backend_is_open_to_a_fraction_of_the_requests() {
    let mut harness = idempotent(0);
    harness.engine.update_endpoints(30.0, true, &[Endpoint { started_at: Some(30.0), ..ready_endpoint(0) }]);
    let forwarded = forwarded_at_once(&mut harness, 30.0);
    assert!((20..60).contains(&forwarded), "{forwarded} of 200 where its share is a fifth");
}
