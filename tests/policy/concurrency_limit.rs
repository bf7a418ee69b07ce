//! The limit on the units in flight at all backends, and what is shed when it is reached.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

/// Guards: requests spilled over from saturated backends to faulty ones, which never answered.
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
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.010 1 submitted: pending; count 1: +1.00
        30.270 1: throttled, 1.00 s"#]]);
}

/// Guards: where all backends were fully loaded, the limit fell by a quarter for each slow answer: seconds too late.
#[test]
fn slow_answers_of_backends_that_report_full_load_halve_the_limit() {
    let mut all = String::new();
    for busy in [0.5, 1.0] {
        let mut harness = idempotent(6); // the initial limit is 30 units
        for now in [30.0, 31.0, 32.0] {
            let request = harness.submit(now, 0, 1.0);
            harness.answer_counter_calls(now);
            harness.complete_with_load_report(
                now + 0.9,
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
        all += &format!("busy {busy}: {} forwarded\n", harness.take_forwarded().len());
    }
    expect![[r#"
        busy 0.5: 6 forwarded
        busy 1: 4 forwarded
    "#]]
    .assert_eq(&all);
}

/// Guards: with many instances the limit for one backend has a floor of one attempt, so all instances together overloaded the
/// backends; and answer times that vary by themselves, up to three times the median, lowered the limit below what the backends
/// could do.
#[test]
fn slow_answers_lower_the_limit_over_all_backends() {
    let slow = forwarded_by_round(0.9);
    expect!["[20, 15, 12, 9, 6, 5, 4, 3]"].assert_eq(&slow);
    let varied = forwarded_by_round(0.6);
    expect!["[20, 20, 20, 20, 20, 20, 20, 20]"].assert_eq(&varied);
}

fn forwarded_by_round(duration: f64) -> String {
    let mut harness = one_of_200_instances(Idempotency::NonIdempotent, plan());
    let mut counts = vec![];
    for round in 0..8 {
        let now = 30.0 + f64::from(round) * 2.5;
        for i in 0..20 {
            harness.submit_from(now, round as usize * 20 + i, 1.0);
        }
        harness.answer_counter_calls(now);
        let forwarded = harness.take_forwarded();
        counts.push(forwarded.len());
        for request in forwarded {
            harness.complete_attempt(now + duration, request, 0, Succeeded, duration);
        }
    }
    format!("{counts:?}")
}

/// Guards: after a release most backends were warming up. All instances kept the limit of a warm fleet until slow answers, a
/// few a second at each instance, had lowered it: by then the release was over, and requests were shed that the fleet could serve.
#[test]
fn listed_starts_and_drains_lower_the_limit() {
    let forwarded = |started: Option<f64>, status: EndpointStatus| {
        let mut harness = one_of_200_instances(Idempotency::NonIdempotent, plan());
        let changed: Vec<Endpoint> = (0..300)
            .map(|backend| Endpoint { started_at: started, status, ..ready_endpoint(backend) })
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
        .assert_eq(&format!("{:?}", all.map(|(started, status)| forwarded(started, status))));
}

/// Guards: when capacity ran short a cheap operation took as much of it as one billed five times as much.
#[test]
fn operations_billed_less_for_their_work_fill_less_of_the_limit() {
    let forwarded = |cheap: f64| {
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
        let (expensive, cheap): (Vec<RequestIndex>, Vec<RequestIndex>) =
            harness.take_forwarded().into_iter().partition(|i| *i >= 40);
        (cheap.len(), expensive.len())
    };
    expect!["[(4, 16), (8, 12), (20, 0)]"].assert_eq(&format!("{:?}", [1.0, 2.0, 5.0].map(forwarded)));
}
