//! Slow start of backends that have just started.
use crate::fixtures::*;
use crate::harness::*;
use quillramp::types::*;

/// Guards: a cold backend takes longer by its nature; taken for one that hangs it fell out of the account of what is out, its
/// deliveries were called off and sent again, and it got more than it could bear (emulator: a list shrunk to it).
#[test]
fn a_warming_backend_has_longer_before_its_requests_are_hedged() {
    let doubted = |started: Option<f64>| {
        let mut harness = idempotent(2);
        let list: Vec<Endpoint> =
            (0..2).map(|t| Endpoint { started_at: started, ..ready_endpoint(t) }).collect();
        harness.engine.update_endpoints(30.0, true, &list);
        // One that draws little luck waits for a warm one: the first that goes at once is looked at.
        let sent = (0..40).find_map(|i| {
            harness.submit_from(30.0, i, 1.0);
            harness.answer_counter_calls(30.0);
            harness.take_forwarded().last().copied()
        });
        assert!(sent.is_some());
        harness.take_trace();
        let looks = (1..30).map(|i| 30.0 + 0.1 * f64::from(i));
        let doubt = looks.into_iter().find(|t| {
            harness.poll(*t);
            !harness.take_trace().is_empty()
        });
        doubt.expect("doubted in the end") - 30.0
    };
    let (warm, cold) = (doubted(None), doubted(Some(26.0)));
    assert!(cold > 1.2 * warm, "{warm:.1} s and {cold:.1} s");
}

/// Hundreds of doors with a floor of one delivery each would push a cold backend over.
#[test]
fn a_warming_backend_is_open_to_a_fraction_of_the_requests() {
    let mut harness = idempotent(0);
    harness.engine.update_endpoints(30.0, true, &[Endpoint { started_at: Some(30.0), ..ready_endpoint(0) }]);
    let sent = forwarded_at_once(&mut harness, 30.0);
    assert!((20..60).contains(&sent), "{sent} of 200 where its share is a fifth");
}
