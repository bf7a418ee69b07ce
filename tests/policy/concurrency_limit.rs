//! The limit on the units in flight at all backends, and what is shed when it is reached.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

/// Pressed backends used to hand their work to troubled ones, which swallowed it.
#[test]
fn saturated_backends_are_waited_for_and_then_the_request_is_throttled() {
    let mut harness = idempotent(1);
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.submit(30.01, 0, 1.0);
    harness.answer_counter_calls(30.01);
    for at in [30.05, 30.12, 30.27] {
        harness.poll(at);
    }
    harness.expect_trace(expect![[r#"
        30.000 0 comes: not yet; count 1: +1.00; 0: to 0
        30.010 1 comes: not yet; count 1: +1.00
        30.270 1: throttled, 1.00 s"#]]);
}

/// Full backends all over: the limit fell by a quarter for each slow answer, seconds too late.
#[test]
fn slow_answers_of_backends_that_report_full_load_halve_the_limit() {
    let mut all = String::new();
    for busy in [0.5, 1.0] {
        let mut harness = idempotent(6); // its first limit is 30
        for t in [30.0, 31.0, 32.0] {
            let request = harness.submit(t, 0, 1.0);
            harness.answer_counter_calls(t);
            harness.complete_with_load_report(
                t + 0.9,
                request,
                0.9,
                Some(LoadReport { cpu_utilization: Some(busy), ..LoadReport::default() }),
            );
        }
        harness.take_forwarded();
        for customer in 0..6 {
            harness.submit_from(33.0, customer, 1.0);
        }
        harness.answer_counter_calls(33.0);
        all += &format!("busy {busy}: {} sent on\n", harness.take_forwarded().len());
    }
    expect![[r#"
        busy 0.5: 6 sent on
        busy 1: 4 sent on
    "#]]
    .assert_eq(&all);
}

/// With many doors the bound at one backend has a floor of one delivery, so all together drove them over.
/// Answers that vary by themselves, up to three times the usual, once lowered it below what the backends could do.
#[test]
fn slow_answers_lower_the_limit_over_all_backends() {
    let slow = forwarded_by_round(0.9);
    expect!["[20, 15, 12, 9, 6, 5, 4, 3]"].assert_eq(&slow);
    let varied = forwarded_by_round(0.6);
    expect!["[20, 20, 20, 20, 20, 20, 20, 20]"].assert_eq(&varied);
}

fn forwarded_by_round(took: f64) -> String {
    let mut harness = EngineHarness::among_instances(
        200.0,
        vec![operation(Idempotency::NonIdempotent)],
        vec![plan()],
        attempt_settings(),
        400,
    );
    let mut out = vec![];
    for round in 0..8 {
        let t = 30.0 + f64::from(round) * 2.5;
        for i in 0..20 {
            harness.submit_from(t, round as usize * 20 + i, 1.0);
        }
        harness.answer_counter_calls(t);
        let sent = harness.take_forwarded();
        out.push(sent.len());
        for request in sent {
            harness.complete_attempt(t + took, request, 0, Succeeded, took);
        }
    }
    format!("{out:?}")
}

/// A release left a fleet mostly cold. All doors went on with what a warm one bears out at once until slow answers,
/// some a second each, had taken it down: by then the release was over, and the fleet refused what it could do.
#[test]
fn listed_starts_and_drains_lower_the_limit() {
    let sent = |started: Option<f64>, standing: EndpointStatus| {
        let mut harness = EngineHarness::among_instances(
            200.0,
            vec![operation(Idempotency::NonIdempotent)],
            vec![plan()],
            attempt_settings(),
            400,
        );
        let changed: Vec<Endpoint> = (0..300)
            .map(|t| Endpoint { started_at: started, status: standing, ..ready_endpoint(t) })
            .collect();
        harness.engine.update_endpoints(30.0, false, &changed);
        for i in 0..60 {
            harness.submit_from(30.0, i, 1.0);
        }
        harness.answer_counter_calls(30.0);
        harness.take_forwarded().len()
    };
    let all = [
        (None, EndpointStatus::Ready),
        (Some(29.0), EndpointStatus::Ready),
        (None, EndpointStatus::Draining),
    ];
    expect!["[20, 10, 5]"]
        .assert_eq(&format!("{:?}", all.map(|(started, standing)| sent(started, standing))));
}

/// When room ran short a cheap operation took it as readily as one billed five times as much: the room went to waste.
#[test]
fn operations_billed_less_for_their_work_fill_less_of_the_limit() {
    let sent = |cheap: f64| {
        let operations = [cheap, 5.0]
            .map(|billed| Operation { billed_value: billed, ..operation(Idempotency::NonIdempotent) });
        let mut harness =
            EngineHarness::among_instances(200.0, operations.to_vec(), vec![plan()], attempt_settings(), 400);
        for (operation, from) in [(0, 0), (1, 40)] {
            for i in from..from + 40 {
                harness.submit_operation(30.0, i, operation);
            }
        }
        harness.answer_counter_calls(30.0);
        let (dear, cheap): (Vec<RequestIndex>, Vec<RequestIndex>) =
            harness.take_forwarded().into_iter().partition(|i| *i >= 40);
        (cheap.len(), dear.len())
    };
    expect!["[(4, 16), (8, 12), (20, 0)]"].assert_eq(&format!("{:?}", [1.0, 2.0, 5.0].map(sent)));
}
