//! Calls to the counter service: how many, how long they are waited for, and what an outage changes.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use CounterResult::*;

#[test]
fn one_call_in_flight_serves_all_pending_requests() {
    let mut harness = idempotent(4);
    harness.submit(30.0, 0, 1.0);
    harness.submit(30.001, 0, 1.0);
    harness.answer_counter_calls(30.01);
    harness.answer_counter_calls(30.02);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00
        30.001 1 submitted: pending
        30.010 0: to 2; count 1: +1.00; 1: to 1"#]]);
}

#[test]
fn an_unresponsive_counter_falls_back_to_the_even_share_and_is_probed() {
    let mut harness = idempotent(4);
    for i in 0..8 {
        let now = 30.0 + f64::from(i) * 0.1;
        harness.submit(now, 0, 1.0);
        harness.poll(now + 0.04);
        harness.fail_counter_calls(now + 0.05, Unanswered);
    }
    harness.submit(31.0, 0, 1.0);
    harness.answer_counter_calls(31.01);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00
        30.040 0: to 0
        30.100 1 submitted: pending; count 1: +2.00
        30.140 1: to 2
        30.200 2 submitted: pending; count 1: +2.00
        30.240 2: to 3; log: counter unresponsive: 5 calls missed in 0.24 s; even shares stand in
        30.300 3 submitted: to 1
        30.400 4 submitted: throttled, 0.64 s
        30.500 5 submitted: throttled, 0.54 s; count 1: +0.00
        30.600 6 submitted: throttled, 0.44 s
        30.700 7 submitted: throttled, 0.34 s
        31.000 0: to 1; 1: to 0; 2: to 1; 3: to 2; 8 submitted: throttled, 0.05 s; count 1: +0.00
        31.010 log: counter recovered after 1.01 s; leases resume"#]]);
}

/// Guards: a counter that is far away, or slow at its best, was taken for an overloaded one: the call rate fell to its minimum.
#[test]
fn a_counter_that_is_never_quick_is_given_its_time() {
    let mut harness = idempotent(4);
    harness.submit(30.0, 0, 1.0);
    harness.answer_counter_calls(30.03);
    harness.submit(32.0, 0, 1.0);
    harness.poll(32.04);
    harness.answer_counter_calls(32.045);
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00
        30.030 0: to 0
        32.000 1 submitted: pending; count 1: +1.00
        32.045 count 1: +3.09; 1: to 2"#]]);
}

/// Guards: all instances together never called the counter more than 2,400 times a second, whatever it could take: on calm days
/// of 300 instances it left no call unanswered, and six in ten requests were admitted without a call.
#[test]
fn the_counter_is_called_as_often_as_it_answers() {
    let plan = Plan { burst: 16.0, ..plan() };
    // Calls in each second, by the requests in each second; the calls of the first second may remain unanswered.
    let called = |missed: bool, a_second: &[usize]| -> Vec<usize> {
        let mut harness = EngineHarness::among_instances(
            400.0,
            vec![operation(Idempotency::Idempotent)],
            vec![plan.clone()],
            attempt_settings(),
            400,
        );
        let calls = a_second.iter().enumerate().map(|(second, many)| {
            for i in 0..*many {
                let now = 30.0 + second as f64 + i as f64 / *many as f64;
                harness.submit_from(now, 1000 * second + i, 1.0);
                if missed && second == 0 {
                    harness.fail_counter_calls(now, CounterResult::Unanswered);
                }
                harness.answer_counter_calls(now);
            }
            harness.take_trace().matches("count ").count()
        });
        calls.collect()
    };
    let all = called(false, &[200; 12]);
    assert!(all[0] <= 60, "it starts slowly: {all:?}");
    // A lease and an upward correction for each.
    assert!(all[11] > 400, "{all:?}");
    // After an unanswered call the rate rises by small steps.
    let after_miss = called(true, &[200; 12]);
    assert!(after_miss[11] < all[11] && after_miss[11] > after_miss[1], "{after_miss:?}");
    // Calls that were allowed but not made do not show what the counter can take.
    let mostly_idle = [vec![1; 60], vec![90]].concat();
    assert!(called(false, &mostly_idle)[60] <= 20, "{:?}", called(false, &mostly_idle));
}
