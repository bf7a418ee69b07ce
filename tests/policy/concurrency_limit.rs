//! The limit on the units in flight at all backends, and which requests are throttled when it is reached.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use AttemptResult::*;

/// Guards against requests that spill over from saturated backends to faulty ones, which never answer.
#[test]
fn saturated_backends_are_waited_for_and_then_the_request_is_throttled() {
    let mut harness = idempotent(1);
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.submit(30.01, 0, 1.0);
    harness.answer_counter_calls(30.01);
    for now in [30.05, 30.12, 30.27] {
        harness.poll(now);
    }
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        30.010 1 submitted: pending; count 1: +1.00
        30.270 1: throttled, 1.00 s"#]]);
}

/// Guards against a limit that falls by only a quarter of a unit for each slow answer while all backends are
/// fully loaded, and so reaches the right value seconds too late.
#[test]
fn slow_answers_of_backends_that_report_full_load_halve_the_limit() {
    let with_idle_processors = forwarded_after_slow_answers(0.5);
    assert_eq!(with_idle_processors, 6);
    let with_busy_processors = forwarded_after_slow_answers(1.0);
    assert_eq!(with_busy_processors, 4);
}

/// Returns how many of six requests are forwarded after three slow answers of backends that report the given
/// utilization of their processors.
fn forwarded_after_slow_answers(cpu_utilization: f64) -> usize {
    let mut harness = idempotent(6); // the initial limit is 30 units
    let load_report = LoadReport { cpu_utilization: Some(cpu_utilization), ..LoadReport::default() };
    for now in [30.0, 31.0, 32.0] {
        let request = harness.submit(now, 0, 1.0);
        harness.answer_counter_calls(now);
        harness.complete_with_load_report(now + 0.9, request, 0.9, Some(load_report));
    }
    harness.take_forwarded();
    for customer in 0..6 {
        harness.submit_from(33.0, customer, 1.0);
    }
    harness.answer_counter_calls(33.0);
    harness.take_forwarded().len()
}

/// Guards against a limit for each backend: with many instances its minimum of one attempt lets all instances
/// together overload the backends. Also guards against lowering the limit below the capacity of the backends
/// for latencies that vary by themselves, up to three times the median.
#[test]
fn slow_answers_lower_the_limit_over_all_backends() {
    let slow = forwarded_by_round(0.9);
    expect!["[20, 15, 12, 9, 6, 5, 4, 3]"].assert_eq(&slow);
    let varied = forwarded_by_round(0.6);
    expect!["[20, 20, 20, 20, 20, 20, 20, 20]"].assert_eq(&varied);
}

/// Returns how many of the 20 requests in each of eight rounds are forwarded if each answer takes the given
/// time.
fn forwarded_by_round(duration: f64) -> String {
    const REQUESTS: usize = 20;
    const ROUND_INTERVAL: f64 = 2.5;
    let mut harness = one_of_200_instances(Idempotency::NonIdempotent, plan());
    let mut forwarded_counts = vec![];
    for round in 0..8 {
        let now = 30.0 + ROUND_INTERVAL * round as f64;
        let first_customer = round * REQUESTS;
        for customer in first_customer..first_customer + REQUESTS {
            harness.submit_from(now, customer, 1.0);
        }
        harness.answer_counter_calls(now);
        let forwarded = harness.take_forwarded();
        forwarded_counts.push(forwarded.len());
        for request in forwarded {
            harness.complete_attempt(now + duration, request, 0, Succeeded, duration);
        }
    }
    format!("{forwarded_counts:?}")
}

/// Guards against keeping the limit of a warm fleet after a release, when most backends are warming up. An
/// instance gets only a few slow answers per second; by the time they had lowered the limit, the release was
/// over, and requests were throttled that the backends could serve.
#[test]
fn listed_starts_and_drains_lower_the_limit() {
    let unchanged = |endpoint: Endpoint| endpoint;
    let just_started = |endpoint: Endpoint| Endpoint { started_at: Some(29.0), ..endpoint };
    let draining = |endpoint: Endpoint| Endpoint { status: EndpointStatus::Draining, ..endpoint };
    assert_eq!(forwarded_after_list_change(unchanged), 20);
    assert_eq!(forwarded_after_list_change(just_started), 10);
    assert_eq!(forwarded_after_list_change(draining), 5);
}

/// Returns how many of 60 requests are forwarded after the endpoint list has changed three in four backends.
fn forwarded_after_list_change(change: impl Fn(Endpoint) -> Endpoint) -> usize {
    let mut harness = one_of_200_instances(Idempotency::NonIdempotent, plan());
    let changed: Vec<Endpoint> = (0..300).map(ready_endpoint).map(change).collect();
    harness.engine.update_endpoints(30.0, false, &changed);
    for customer in 0..60 {
        harness.submit_from(30.0, customer, 1.0);
    }
    harness.answer_counter_calls(30.0);
    harness.take_forwarded().len()
}

/// Guards against a cheap operation that takes as much of a scarce capacity as one that is billed five times
/// as much.
#[test]
fn operations_billed_less_for_their_work_fill_less_of_the_limit() {
    assert_eq!(forwarded_by_operation(1.0), ForwardedByOperation { cheap: 4, expensive: 16 });
    assert_eq!(forwarded_by_operation(2.0), ForwardedByOperation { cheap: 8, expensive: 12 });
    assert_eq!(forwarded_by_operation(5.0), ForwardedByOperation { cheap: 20, expensive: 0 });
}

#[derive(Debug, PartialEq)]
struct ForwardedByOperation {
    cheap: usize,
    expensive: usize,
}

/// Returns how many requests are forwarded of 40 for an operation billed the given value, followed by 40 for
/// one billed 5.
fn forwarded_by_operation(cheap_value: f64) -> ForwardedByOperation {
    const CHEAP: usize = 0;
    const EXPENSIVE: usize = 1;
    const REQUESTS: usize = 40;
    let billed = |billed_value: f64| Operation { billed_value, ..operation(Idempotency::NonIdempotent) };
    let operations = vec![billed(cheap_value), billed(5.0)];
    let mut harness =
        EngineHarness::among_instances(200.0, operations, vec![plan()], attempt_settings(), 400);
    for customer in 0..REQUESTS {
        harness.submit_operation(30.0, customer, CHEAP);
    }
    for customer in REQUESTS..2 * REQUESTS {
        harness.submit_operation(30.0, customer, EXPENSIVE);
    }
    harness.answer_counter_calls(30.0);
    let forwarded = harness.take_forwarded();
    let cheap = forwarded.iter().filter(|request| **request < REQUESTS).count();
    ForwardedByOperation { cheap, expensive: forwarded.len() - cheap }
}
