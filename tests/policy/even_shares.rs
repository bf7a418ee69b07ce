//! The even share of the quota, which an instance spends when it cannot get a lease from the shared counter.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use CounterResult::*;

/// Guards against an even share that never admits anything: with small quotas over many instances it holds
/// less than one request.
#[test]
fn a_full_even_share_goes_into_debt_for_one_request() {
    let mut harness = idempotent(4);
    harness.submit(30.0, 0, 6.0);
    harness.fail_counter_calls(30.03, NotApplied);
    harness.submit(30.1, 0, 1.0);
    harness.fail_counter_calls(30.13, NotApplied);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +6.00
        30.030 0: to 0
        30.100 1 submitted: pending; count 1: +7.00
        30.130 1: to 2"#]]);
}

/// Guards against two processes of one instance that each spend the whole even share of the instance while
/// the counter is unresponsive.
#[test]
fn two_processes_of_an_instance_share_its_even_share() {
    let forwarded = |has_peer_process: bool| {
        let mut harness = idempotent(1);
        harness.engine.set_peer_process(has_peer_process);
        for request in 0..12 {
            let now = 30.0 + f64::from(request) * 0.06;
            harness.submit(now, 0, 1.0);
            harness.fail_counter_calls(now + 0.05, NotApplied);
        }
        harness.take_forwarded().len()
    };
    let by_only_process = forwarded(false);
    let by_one_of_two = forwarded(true);
    assert!(
        by_only_process >= 4,
        "at least 4 requests expected by the only process, found {by_only_process}"
    );
    assert!(
        by_one_of_two < by_only_process,
        "{by_one_of_two} requests by one of two processes, {by_only_process} by the only one"
    );
}

/// Guards against reporting all units spent from the even share during an outage, although the token bucket
/// has regained most of them meanwhile. Customers within their quotas were throttled for seconds once the
/// counter was back.
#[test]
fn after_an_outage_only_the_deficit_of_the_even_share_is_reported() {
    let mut harness = idempotent(8);
    for second in 0..10 {
        let now = 30.0 + f64::from(second);
        let request = harness.submit(now, 0, 1.0);
        harness.poll(now + 0.05);
        harness.fail_counter_calls(now + 0.06, Unanswered);
        harness.engine.attempt_ended(now + 0.1, request, &succeeded(0.1));
    }
    harness.take_trace();
    harness.counter_totals.insert(1, 0.0);
    harness.submit(40.0, 0, 1.0);
    harness.answer_counter_calls(40.01);
    harness.submit(40.3, 0, 1.0);
    harness.expect_trace(expect![[r#"
        40.000 10 submitted: to 0; count 1: +0.00
        40.010 log: counter recovered after 10.01 s; leases resume
        40.300 11 submitted: pending; count 1: +2.05"#]]);
}

/// Guards against an even share of less than one unit that hardly admits anything while the counter accepts
/// fewer calls than requests arrive.
#[test]
fn an_overloaded_counter_lets_an_even_share_go_into_debt_unless_the_quota_was_observed_exhausted() {
    let plan = Plan { burst: 16.0, ..plan() };
    let mut harness = one_of_200_instances(Idempotency::Idempotent, plan);
    for units in [8.0, 4.0, 1.0] {
        harness.submit(30.0, 0, units);
    }
    harness.receive_counter_total(30.0, 1, 1, 15.5);
    harness.submit_from(30.0, 1, 1.0);
    harness.expect_trace(expect![
        "30.000 0 submitted: to 108; 1 submitted: to 389; 2 submitted: throttled, 2.00 s; 3 submitted: throttled, 0.25 s"
    ]);
}

/// Guards against debt that remains after it was reported to the counter. With a hundred instances per
/// customer an even share regains one unit per minute. An instance that had once gone into debt for a
/// customer throttled it from then on, whatever its quota allowed.
#[test]
fn an_even_share_regains_the_units_reported_to_the_counter() {
    let plan = Plan { burst: 32.0, ..plan() };
    let mut harness = one_of_200_instances(Idempotency::Idempotent, plan);
    for units in [8.0, 1.0, 1.0] {
        harness.submit_across_instances(30.0, 100, units);
    }
    harness.submit_across_instances(31.5, 100, 1.0);
    harness.answer_counter_calls(31.51);
    for customer in 1..4 {
        harness.submit_from(31.6, customer, 1.0); // uses up the accumulated calls
    }
    for units in [8.0, 1.0, 1.0] {
        harness.submit_across_instances(31.6, 100, units);
    }
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: to 108; 1 submitted: to 389; 2 submitted: throttled, 2.00 s
        31.500 3 submitted: pending; count 1: +10.00
        31.510 3: to 226
        31.600 4 submitted: pending; count 1: +2.05; 5 submitted: pending; count 1: +2.05; 6 submitted: to 180; 7 submitted: to 62; 8 submitted: to 246; 9 submitted: throttled, 2.00 s"#]]);
}

/// Guards against admission at each of many instances for a customer that exceeds its quota. A token bucket
/// observed nearly empty counted as half full once it could have regained that much, although other instances
/// spent it at once. On a calm day of 300 instances 17% of the forwarded requests were beyond quotas.
#[test]
fn with_an_overloaded_counter_a_bucket_is_as_full_as_it_was_observed() {
    let plan = Plan { burst: 16.0, ..plan() };
    let observed = |total: f64, observed_at: f64| {
        let mut harness = one_of_200_instances(Idempotency::Idempotent, plan.clone());
        harness.submit_across_instances(30.0, 100, 0.1);
        harness.receive_counter_total(observed_at, 0, 1, total);
        for customer in 1..5 {
            harness.submit_from(36.0, customer, 8.0); // uses up the accumulated calls
        }
        harness.submit_across_instances(36.0, 100, 0.1); // spends from a full even share of 0.16 units
        harness.submit_across_instances(36.0, 100, 1.0);
        harness
    };
    // In the first case 1 of 16 units was left 6 s ago, so 13 are left now unless others spent some. In the
    // second case nearly all 16 were left a moment ago.
    observed(15.0, 30.0).expect_trace(expect![[r#"
        30.000 0 submitted: to 108
        36.000 1 submitted: pending; count 1: +8.21; 2 submitted: pending; count 1: +8.20; 3 submitted: pending; count 1: +8.19; 4 submitted: pending; count 1: +8.18; 5 submitted: to 343; 6 submitted: throttled, 2.00 s"#]]);
    observed(13.0, 35.9).expect_trace(expect![[r#"
        30.000 0 submitted: to 108
        36.000 1 submitted: pending; count 1: +8.21; 2 submitted: pending; count 1: +8.20; 3 submitted: pending; count 1: +8.19; 4 submitted: pending; count 1: +8.18; 5 submitted: to 343; 6 submitted: to 296"#]]);
}

/// Guards against a full even share smaller than the request that goes into debt although the counter answers
/// and the token bucket is nearly empty: each of the customer's instances admitted one request that way. On
/// calm days of 300 instances a third of these requests was beyond quotas.
#[test]
fn with_a_responsive_counter_a_small_even_share_goes_into_debt_only_for_a_bucket_observed_full() {
    let nearly_empty = trace_with_observed_total(26.0, CounterState::Responsive);
    assert!(nearly_empty.contains("5 submitted: throttled"), "nearly empty bucket: {nearly_empty}");
    let nearly_full = trace_with_observed_total(13.0, CounterState::Responsive);
    assert!(nearly_full.contains("5 submitted: to "), "nearly full bucket: {nearly_full}");
    let unresponsive = trace_with_observed_total(26.0, CounterState::Unresponsive);
    assert!(unresponsive.contains("6 submitted: to "), "unresponsive counter: {unresponsive}");
}

#[derive(Clone, Copy, PartialEq)]
enum CounterState {
    Responsive,
    Unresponsive,
}

/// Returns the decision on a request with a full even share of 0.16 units, a moment after the given total was
/// observed.
fn trace_with_observed_total(total: f64, counter: CounterState) -> String {
    let plan = Plan { burst: 16.0, ..plan() };
    let mut harness = one_of_200_instances(Idempotency::Idempotent, plan);
    harness.submit_across_instances(30.0, 100, 0.1);
    for customer in 1..5 {
        harness.submit_from(35.6, customer, 1.0); // uses up the accumulated calls
    }
    match counter {
        CounterState::Responsive => harness.answer_counter_calls(35.61),
        CounterState::Unresponsive => {
            harness.fail_counter_calls(35.9, Unanswered); // four missed calls: the counter counts as unresponsive
            harness.submit_from(36.0, 9, 1.0); // the counter is probed
        }
    }
    harness.receive_counter_total(35.9, 0, 1, total);
    harness.poll(36.0);
    harness.take_trace();
    harness.submit_across_instances(36.0, 100, 1.0);
    harness.take_trace()
}
