//! The quota: leases of a customer's token bucket, whose counter all instances share.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use CounterResult::*;

/// Creates a harness with two backends, one plan and one idempotent operation.
fn idempotent_under_plan(plan: Plan) -> EngineHarness {
    EngineHarness::new(vec![operation(Idempotency::Idempotent)], vec![plan], attempt_settings(), 2)
}

#[test]
fn a_lease_is_spent_locally_and_returned_when_it_expires() {
    let mut harness = idempotent_under_plan(Plan { burst: 48.0, ..plan() });
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.01);
    harness.submit(30.1, 0, 1.0);
    harness.poll(31.02);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +3.00
        30.010 0: to 0
        30.100 1 submitted: to 1
        31.020 count 1: -1.00; 1: to 0"#]]);
}

#[test]
fn an_exhausted_quota_is_throttled_at_once_then_locally_until_the_bucket_refills() {
    let mut harness = idempotent(2);
    harness.counter_totals.insert(1, 7.0); // the burst is 8
    harness.submit(30.0, 0, 3.0);
    harness.answer_counter_calls(30.0);
    harness.submit(30.5, 0, 3.0);
    harness.poll(31.0);
    harness.submit(31.6, 0, 1.0);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +3.00; count 1: -3.00; 0: throttled, 1.00 s
        30.500 1 submitted: throttled, 0.50 s
        31.600 2 submitted: pending; count 1: +1.00"#]]);
}

/// Guards against a second burst for every customer after the counter was flushed or came back empty.
#[test]
fn a_lost_counter_is_corrected_upwards_once() {
    let mut harness = idempotent(4);
    harness.counter_totals.insert(1, 12.0);
    harness.submit(33.0, 0, 1.0);
    harness.answer_counter_calls(33.0);
    harness.counter_totals.insert(1, 0.0);
    harness.submit(33.1, 0, 2.0);
    harness.answer_counter_calls(33.1);
    harness.counter_totals.insert(1, 0.0);
    harness.submit(33.1, 0, 1.0);
    harness.answer_counter_calls(33.1);
    harness.expect_trace(expect![[r#"
        33.000 0 submitted: pending; count 1: +1.00; 0: to 0
        33.100 1 submitted: throttled, 0.40 s; 2 submitted: pending; count 1: +1.00; count 1: +13.00; gossips CounterTotal { key: CounterKey { customer: 0, series: 1 }, plan: 0, instances: InstanceRange { first: 0, count: 2 }, total: 14.0 }; 2: to 2"#]]);
}

#[test]
fn a_new_window_carries_the_total_over() {
    let mut harness = idempotent(4);
    harness.counter_totals.insert(1, 65.0);
    harness.submit(59.9, 0, 1.0);
    harness.answer_counter_calls(59.9);
    harness.submit(60.0, 0, 1.0);
    harness.answer_counter_calls(60.0);
    harness.expect_trace(expect![[r#"
        59.900 0 submitted: pending; count 1: +1.00; 0: to 0
        60.000 1 submitted: pending; count 2: +1.00; count 2: +6.00; 1: to 2"#]]);
}

/// Guards against throttling of the most expensive plans within their quotas: except in a new window of the
/// counter, the even share of the ceiling applies only to units that no lease covers.
#[test]
fn the_ceiling_limits_spending_without_a_lease_to_an_even_share_that_does_not_start_full() {
    let with_ceiling = Plan { ceiling_rate: 4.0, ceiling_burst: 16.0, ceiling_slack: 2.0, ..plan() };
    let mut harness = idempotent_under_plan(with_ceiling);
    // The counter's window has just begun, so the ceiling still limits units that a lease covers.
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.submit(35.0, 0, 1.0);
    harness.answer_counter_calls(35.0);
    harness.submit(35.1, 0, 1.0);
    harness.fail_counter_calls(35.14, NotApplied);
    harness.submit(36.1, 0, 1.0);
    harness.fail_counter_calls(36.14, NotApplied);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: throttled, 1.00 s
        35.000 count 1: -1.00; 1 submitted: pending; count 1: +1.00; count 1: +10.00; 1: to 1
        35.100 2 submitted: pending; count 1: +1.00
        35.140 2: to 0
        36.100 count 1: +1.00; 2: to 1; 3 submitted: pending; count 1: +1.03
        36.140 3: to 0"#]]);
}

#[test]
fn billed_units_are_settled_with_the_counter() {
    let mut harness = idempotent(2);
    let request = harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    let outcome = AttemptOutcome { billed_units: Some(4.0), ..succeeded(0.1) };
    harness.engine.attempt_ended(30.1, request, &outcome);
    harness.poll(31.2);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; 0: to 0
        31.200 count 1: +3.00"#]]);
}

/// Guards against a double correction: two instances corrected a new counter upwards at once; a third
/// instance read both corrections and throttled the customer for 18 s.
#[test]
fn an_impossibly_high_total_is_read_again_soon() {
    let mut harness = idempotent(1);
    harness.counter_totals.insert(1, 60.0);
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.0);
    harness.counter_totals.insert(1, 3.0);
    harness.submit(32.0, 0, 1.0);
    harness.answer_counter_calls(32.0);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; count 1: -1.00; gossips CounterTotal { key: CounterKey { customer: 0, series: 1 }, plan: 0, instances: InstanceRange { first: 0, count: 2 }, total: 10.0 }; 0: throttled, 1.50 s
        32.000 1 submitted: pending; count 1: +1.00; 1: to 0"#]]);
}
