//! Memberships on counters that are healthy, partitioned, reset and unreachable.
use proptest::prelude::*;
use quillramp_membership::{Count, CounterCall, Membership};
use std::collections::{BTreeMap, BTreeSet};

/// Unix time at which each fleet starts, seconds.
const START: f64 = 1000.0;
/// Seconds between two heartbeats of an instance.
const INTERVAL: f64 = 1.0;
/// Seconds between two polls for due calls.
const STEP: f64 = 0.05;

/// No instances.
const NONE: [usize; 0] = [];

/// One of the two counters, which have a common history until they are partitioned.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Counter {
    First,
    Second,
}

const COUNTERS: [Counter; 2] = [Counter::First, Counter::Second];

/// Gateway instances, each with the counter that it reaches, if any.
struct Fleet {
    memberships: Vec<Membership>,
    /// Totals on each counter.
    totals: [BTreeMap<Count, f64>; 2],
    reached: Vec<Option<Counter>>,
    now: f64,
    /// Calls to the counters so far.
    calls: usize,
}

impl Fleet {
    fn new(instances: usize) -> Fleet {
        let membership = |instance| {
            let mut membership = Membership::new(instances, instance, INTERVAL);
            membership.watch(START, 0, instances);
            membership
        };
        Fleet {
            memberships: (0..instances).map(membership).collect(),
            totals: Default::default(),
            reached: vec![Some(Counter::First); instances],
            now: START,
            calls: 0,
        }
    }

    fn instances(&self) -> usize {
        self.memberships.len()
    }

    fn run_until(&mut self, end: f64) {
        while self.now < end {
            for instance in 0..self.instances() {
                self.make_due_calls(instance);
            }
            self.now += STEP;
        }
    }

    fn make_due_calls(&mut self, instance: usize) {
        let instances = self.instances();
        let membership = &mut self.memberships[instance];
        membership.watch(self.now, 0, instances);
        for call in membership.due_calls(self.now) {
            self.calls += 1;
            let total = self.reached[instance].map(|counter| add(&mut self.totals[counter as usize], &call));
            membership.call_answered(self.now, call.count, total);
        }
    }

    /// The instances that count as absent for this one.
    fn absent(&self, instance: usize) -> Vec<usize> {
        self.memberships[instance].absent(self.now).into_iter().collect()
    }

    /// The instances that count as absent for any of these.
    fn absent_for_any(&self, viewers: impl IntoIterator<Item = usize>) -> Vec<usize> {
        viewers.into_iter().flat_map(|instance| self.absent(instance)).collect()
    }

    /// The fraction of the range's instances that are present in the view of this one.
    fn present_fraction(&self, instance: usize, range: InstanceRange) -> f64 {
        self.memberships[instance].present_fraction(self.now, range.first, range.count)
    }

    /// The instances that reach this counter; with `None`, those that reach no counter.
    fn side(&self, counter: Option<Counter>) -> Vec<usize> {
        (0..self.instances()).filter(|instance| self.reached[*instance] == counter).collect()
    }

    /// Whether an instance is in the range.
    fn is_in_range(&self, instance: usize, range: InstanceRange) -> bool {
        let instances = self.instances();
        (instance + instances - range.first) % instances < range.count
    }
}

/// Applies a call to a counter; returns the new total.
fn add(totals: &mut BTreeMap<Count, f64>, call: &CounterCall) -> f64 {
    let total = totals.entry(call.count).or_default();
    *total += call.amount;
    *total
}

/// Consecutive instances, which may wrap around.
#[derive(Clone, Copy, Debug)]
struct InstanceRange {
    first: usize,
    count: usize,
}

#[test]
fn all_are_present_while_all_call() {
    let mut fleet = Fleet::new(14);
    fleet.run_until(START + 10.0);
    assert_eq!(fleet.absent_for_any(0..14), NONE);
    assert_eq!(fleet.present_fraction(3, InstanceRange { first: 12, count: 4 }), 1.0);
    for membership in &fleet.memberships {
        assert_eq!(membership.lost_heartbeats, 0);
    }
    // One heartbeat and three readings per interval and instance.
    assert_eq!(fleet.calls, 14 * 4 * 10);
}

#[test]
fn a_partitioned_counter_shows_each_side_its_members() {
    let mut fleet = Fleet::new(14);
    fleet.run_until(START + 5.0);
    fleet.totals[1] = fleet.totals[0].clone();
    fleet.reached = (0..14).map(|instance| Some(COUNTERS[instance % 2])).collect();
    fleet.run_until(START + 8.5);
    assert_eq!(fleet.absent(0), [1, 3, 5, 7, 9, 11, 13]);
    assert_eq!(fleet.absent(13), [0, 2, 4, 6, 8, 10, 12]);
    // The present fractions of both sides add up to one for any range of instances.
    for (first, count) in [(0, 4), (3, 3), (12, 5)] {
        let range = InstanceRange { first, count };
        let sum = fleet.present_fraction(0, range) + fleet.present_fraction(13, range);
        assert!((sum - 1.0).abs() < 1e-9, "{range:?}: {sum}");
    }
    fleet.reached = vec![Some(Counter::First); 14];
    fleet.run_until(START + 12.0);
    assert_eq!(fleet.absent_for_any(0..14), NONE);
}

#[test]
fn two_lost_calls_make_an_instance_absent_and_one_does_not() {
    let mut fleet = Fleet::new(4);
    fleet.run_until(START + 5.0);
    fleet.reached[2] = None;
    fleet.run_until(START + 6.0);
    fleet.reached[2] = Some(Counter::First);
    fleet.run_until(START + 7.9);
    assert_eq!(fleet.absent(0), NONE);
    fleet.reached[2] = None;
    fleet.run_until(START + 11.0);
    assert_eq!(fleet.absent(0), [2]);
    // The unreachable instance has no recent reading, so no other instance counts as absent for it.
    assert_eq!(fleet.absent(2), NONE);
}

#[test]
fn a_reset_counter_is_detected_and_makes_no_instance_absent() {
    let mut fleet = Fleet::new(4);
    fleet.run_until(START + 5.8);
    fleet.totals[0].clear();
    fleet.run_until(START + 7.5);
    assert!(fleet.memberships.iter().any(|membership| membership.lost_heartbeats > 0));
    assert_eq!(fleet.absent_for_any(0..4), NONE);
}

#[test]
fn repeated_heartbeats_of_a_restarted_instance_count_once() {
    let mut fleet = Fleet::new(4);
    fleet.run_until(START + 5.0);
    for restart in 0..8 {
        fleet.memberships[0] = Membership::new(4, 0, INTERVAL);
        fleet.run_until(START + 5.0 + 0.1 * f64::from(restart));
    }
    fleet.run_until(START + 9.0);
    assert_eq!(fleet.absent_for_any(1..4), NONE);
}

#[test]
fn groups_that_are_not_watched_are_no_longer_read() {
    let mut membership = Membership::new(300, 7, INTERVAL);
    membership.watch(START, 290, 20);
    let called_groups = |membership: &mut Membership, now: f64| -> BTreeSet<_> {
        membership.due_calls(now).into_iter().map(|call| call.count.group).collect()
    };
    assert_eq!(called_groups(&mut membership, START + 0.9), BTreeSet::from([0, 1, 48, 49]));
    let now = START + 40.9;
    assert_eq!(called_groups(&mut membership, now), BTreeSet::from([1]));
    let due = membership.next_call(now);
    assert!(due > now, "{due}");
    assert!(due <= START + 42.0, "{due}");
}

/// A change of the counters that the instances reach.
#[derive(Clone, Debug)]
struct ReachChange {
    /// Seconds since the previous change.
    after: f64,
    /// The counter that each instance reaches after the change; a fleet of fewer instances uses the first entries.
    reached: Vec<Option<Counter>>,
}

fn reach_change() -> impl Strategy<Value = ReachChange> {
    let reached = prop_oneof![Just(Some(Counter::First)), Just(Some(Counter::Second)), Just(None)];
    let fields = (0.0f64..3.0, proptest::collection::vec(reached, 20));
    fields.prop_map(|(after, reached)| ReachChange { after, reached })
}

fn instance_range() -> impl Strategy<Value = InstanceRange> {
    (0usize..20, 1usize..8).prop_map(|(first, count)| InstanceRange { first, count })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary changes of reachability: soon after the last one, each instance that reaches a counter finds exactly those
    /// absent that don't reach it, and the fractions of all sides, the unreachable one included, add up to at most one.
    #[test]
    fn the_fractions_of_all_sides_add_up_to_at_most_one(
        instances in 2usize..20,
        changes in proptest::collection::vec(reach_change(), 1..6),
        range in instance_range(),
    ) {
        let mut fleet = Fleet::new(instances);
        for ReachChange { after, reached } in &changes {
            fleet.run_until(fleet.now + after);
            fleet.reached = reached[..instances].to_vec();
        }
        fleet.run_until(fleet.now + 4.2);
        let range = InstanceRange { first: range.first % instances, count: range.count.min(instances) };
        let side_in_range = |counter: Option<Counter>| -> Vec<usize> {
            let side = fleet.side(counter).into_iter();
            side.filter(|instance| fleet.is_in_range(*instance, range)).collect()
        };
        let mut sum = side_in_range(None).len() as f64 / range.count as f64;
        for counter in COUNTERS.map(Some) {
            for instance in fleet.side(counter) {
                let others = (0..instances).filter(|other| fleet.reached[*other] != counter);
                prop_assert_eq!(fleet.absent(instance), others.collect::<Vec<usize>>());
            }
            let first_member = side_in_range(counter).first().copied();
            sum += first_member.map_or(0.0, |instance| fleet.present_fraction(instance, range));
        }
        prop_assert!(sum <= 1.0 + 1e-9, "{}", sum);
    }
}
