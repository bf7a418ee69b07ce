//! The even slice of the quota that an instance spends where it cannot lease from the shared count.
use crate::fixtures::*;
use crate::harness::*;
use expect_test::expect;
use quillramp::types::*;
use CounterResult::*;

/// Small quotas over many doors: an even slice holds less than one invocation, and gave nothing at all.
#[test]
fn a_full_slice_goes_into_debt_for_one_request() {
    let mut harness = idempotent(4);
    harness.submit(30.0, 0, 6.0);
    harness.fail_counter_calls(30.03, NotApplied);
    harness.submit(30.1, 0, 1.0);
    harness.fail_counter_calls(30.13, NotApplied);
    harness.expect_trace(expect![[r#"
        30.000 0 comes: not yet; count 1: +6.00
        30.030 0: to 0
        30.100 1 comes: not yet; count 1: +7.00
        30.130 1: to 2"#]]);
}

/// Guards: two processes of one door each spent the door's own slice while the counter was silent.
#[test]
fn two_processes_of_an_instance_share_its_slice() {
    let served = |two: bool| {
        let mut harness = idempotent(1);
        harness.engine.set_peer_process(two);
        for i in 0..12 {
            let t = 30.0 + f64::from(i) * 0.06;
            harness.submit(t, 0, 1.0);
            harness.fail_counter_calls(t + 0.05, NotApplied);
        }
        harness.take_forwarded().len()
    };
    let (one, two) = (served(false), served(true));
    assert!(one >= 4 && two < one, "{one} alone, {two} of two");
}

/// After a silence each door told all it had spent from its slice, though the store had regained most of it
/// meanwhile: calm customers were refused for seconds once the counter was back.
#[test]
fn after_an_outage_only_the_deficit_of_the_slice_is_reported() {
    let mut harness = idempotent(8);
    for i in 0..10 {
        let t = 30.0 + f64::from(i);
        let request = harness.submit(t, 0, 1.0);
        harness.poll(t + 0.05);
        harness.fail_counter_calls(t + 0.06, Unanswered);
        harness.engine.attempt_ended(t + 0.1, request, &succeeded(0.1));
    }
    harness.take_trace();
    harness.counter_totals.insert(1, 0.0);
    harness.submit(40.0, 0, 1.0);
    harness.answer_counter_calls(40.01);
    harness.submit(40.3, 0, 1.0);
    harness.expect_trace(expect![[r#"
        40.000 10 comes: to 0; count 1: +0.00
        40.010 log: counter answers again after 10.01 s; leases resume
        40.300 11 comes: not yet; count 1: +2.05"#]]);
}

/// Where the counter takes fewer calls than invocations come, an even slice below one refused nearly all.
#[test]
fn an_overloaded_counter_lets_a_slice_go_into_debt_unless_the_quota_is_known_exhausted() {
    let plan = Plan { burst: 16.0, ..plan() };
    let mut harness = EngineHarness::among_instances(
        200.0,
        vec![operation(Idempotency::Idempotent)],
        vec![plan],
        attempt_settings(),
        400,
    );
    for units in [8.0, 4.0, 1.0] {
        harness.submit(30.0, 0, units);
    }
    harness.receive_counter_total(30.0, 1, 1, 15.5);
    harness.submit_from(30.0, 1, 1.0);
    harness.expect_trace(expect![
        "30.000 0 comes: to 108; 1 comes: to 389; 2 comes: throttled, 2.00 s; 3 comes: throttled, 0.25 s"
    ]);
}

/// A debt of the slice stayed after the count had been told of it. With a hundred doors to a customer a slice regains
/// a unit in a minute, so each door that had trusted a customer once refused it from then on, whatever room it had.
#[test]
fn the_slice_regains_what_was_reported_to_the_count() {
    let plan = Plan { burst: 32.0, ..plan() };
    let mut harness = EngineHarness::among_instances(
        200.0,
        vec![operation(Idempotency::Idempotent)],
        vec![plan],
        attempt_settings(),
        400,
    );
    for units in [8.0, 1.0, 1.0] {
        harness.submit_across_instances(30.0, 100, units);
    }
    harness.submit_across_instances(31.5, 100, 1.0);
    harness.answer_counter_calls(31.51);
    for customer in 1..4 {
        harness.submit_from(31.6, customer, 1.0); // the calls saved up are spent
    }
    for units in [8.0, 1.0, 1.0] {
        harness.submit_across_instances(31.6, 100, units);
    }
    harness.expect_trace(expect![[r#"
        30.000 0 comes: to 108; 1 comes: to 389; 2 comes: throttled, 2.00 s
        31.500 3 comes: not yet; count 1: +10.00
        31.510 3: to 226
        31.600 4 comes: not yet; count 1: +2.05; 5 comes: not yet; count 1: +2.05; 6 comes: to 180; 7 comes: to 62; 8 comes: to 246; 9 comes: throttled, 2.00 s"#]]);
}

/// Guards: a customer that asks for more than its quota at many doors was let in at each of them: a store seen near empty
/// counted as half full again once it had regained so much, though others took it as it came. On a calm day of 300 doors 17% of
/// what was sent on was beyond quotas.
#[test]
fn beside_an_overloaded_counter_a_bucket_is_as_full_as_it_was_seen() {
    let plan = Plan { burst: 16.0, ..plan() };
    let seen = |at: f64, total: f64| {
        let mut harness = EngineHarness::among_instances(
            200.0,
            vec![operation(Idempotency::Idempotent)],
            vec![plan.clone()],
            attempt_settings(),
            400,
        );
        harness.submit_across_instances(30.0, 100, 0.1);
        harness.receive_counter_total(at, 0, 1, total);
        for customer in 1..5 {
            harness.submit_from(36.0, customer, 8.0); // the calls saved up are spent
        }
        harness.submit_across_instances(36.0, 100, 0.1); // from a full slice, of 0.16 units
        harness.submit_across_instances(36.0, 100, 1.0);
        harness
    };
    // Of 16 units: one was left 6 s ago, 13 are by now if nobody took any; nearly all, a moment ago.
    seen(30.0, 15.0).expect_trace(expect![[r#"
        30.000 0 comes: to 108
        36.000 1 comes: not yet; count 1: +8.21; 2 comes: not yet; count 1: +8.20; 3 comes: not yet; count 1: +8.19; 4 comes: not yet; count 1: +8.18; 5 comes: to 343; 6 comes: throttled, 2.00 s"#]]);
    seen(35.9, 13.0).expect_trace(expect![[r#"
        30.000 0 comes: to 108
        36.000 1 comes: not yet; count 1: +8.21; 2 comes: not yet; count 1: +8.20; 3 comes: not yet; count 1: +8.19; 4 comes: not yet; count 1: +8.18; 5 comes: to 343; 6 comes: to 296"#]]);
}

/// Guards: beside a counter that answers, a full slice smaller than the request went into debt for whatever store, one request
/// at each of the customer's doors: on calm days of 300 doors a third of what was let in so was beyond quotas.
#[test]
fn beside_a_responsive_counter_a_small_slice_goes_into_debt_only_for_a_bucket_seen_full() {
    let plan = Plan { burst: 16.0, ..plan() };
    let seen = |total: f64, answers: bool| {
        let mut harness = EngineHarness::among_instances(
            200.0,
            vec![operation(Idempotency::Idempotent)],
            vec![plan.clone()],
            attempt_settings(),
            400,
        );
        harness.submit_across_instances(30.0, 100, 0.1);
        for customer in 1..5 {
            harness.submit_from(35.6, customer, 1.0); // the calls saved up are spent
        }
        if answers {
            harness.answer_counter_calls(35.61);
        } else {
            harness.fail_counter_calls(35.9, CounterResult::Unanswered); // all four: it is silent
            harness.submit_from(36.0, 9, 1.0); // and has just been read again
        }
        harness.receive_counter_total(35.9, 0, 1, total);
        harness.poll(36.0);
        harness.take_trace();
        harness.submit_across_instances(36.0, 100, 1.0); // the slice is full, of 0.16 units
        harness.take_trace()
    };
    // Seen poor: refused at once. Seen rich, or the counter silent: the design's slice.
    let (poor, rich) = (seen(26.0, true), seen(13.0, true));
    assert!(poor.contains("5 comes: throttled") && rich.contains("5 comes: to "), "{poor}\n{rich}");
    let silent = seen(26.0, false);
    assert!(silent.contains("6 comes: to "), "{silent}");
}
