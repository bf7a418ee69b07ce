//! Gossip that an instance sends.
use crate::harness::*;
use expect_test::expect;

/// One instance's counter call for an exhausted quota spares the other instances theirs. Guards against a
/// message to all instances twice a second, which overloaded them.
#[test]
fn a_nearly_exhausted_quota_is_gossiped_to_the_customers_other_instances_once() {
    let mut harness = idempotent(4);
    harness.counter_totals.insert(1, 7.0);
    for now in [30.0, 30.1, 31.0] {
        harness.submit(now, 0, 1.0);
        harness.answer_counter_calls(now);
    }
    harness.expect_trace(expect![[r#"
        30.000 0 submitted: pending; count 1: +1.00; gossips CounterTotal { key: CounterKey { customer: 0, series: 1 }, plan: 0, instances: InstanceRange { first: 0, count: 2 }, total: 8.0 }; 0: to 0
        30.100 1 submitted: throttled, 0.40 s
        31.000 0: to 2; 2 submitted: pending; count 1: +1.00; 2: to 3"#]]);
}
