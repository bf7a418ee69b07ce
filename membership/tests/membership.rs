//! Memberships on counters that are healthy, partitioned, reset and unreachable.
use proptest::prelude::*;
use quillramp_membership::{Count, Membership};
use std::collections::{BTreeMap, BTreeSet};

/// Gateway instances, each with the counter that it reaches, if it reaches one.
struct Fleet {
    memberships: Vec<Membership>,
    counters: Vec<BTreeMap<Count, f64>>,
    /// The counter that each instance reaches.
    reach: Vec<Option<usize>>,
    now: f64,
    calls: usize,
}

impl Fleet {
    fn new(instances: usize) -> Fleet {
        let mut memberships: Vec<Membership> =
            (0..instances).map(|instance| Membership::new(instances, instance, 1.0)).collect();
        memberships.iter_mut().for_each(|membership| membership.watch(1000.0, 0, instances));
        Fleet {
            memberships,
            counters: vec![BTreeMap::new(); 2],
            reach: vec![Some(0); instances],
            now: 1000.0,
            calls: 0,
        }
    }

    fn run_until(&mut self, now: f64) -> &mut Fleet {
        while self.now < now {
            for (instance, membership) in self.memberships.iter_mut().enumerate() {
                membership.watch(self.now, 0, self.reach.len());
                for call in membership.due_calls(self.now) {
                    self.calls += 1;
                    let total = self.reach[instance].map(|counter| {
                        let total = self.counters[counter].entry(call.count).or_default();
                        *total += call.amount;
                        *total
                    });
                    membership.call_answered(self.now, call.count, total);
                }
            }
            self.now += 0.05;
        }
        self
    }

    fn absent(&self, instance: usize) -> Vec<usize> {
        self.memberships[instance].absent(self.now).into_iter().collect()
    }
}

#[test]
fn all_are_present_while_all_call() {
    let mut fleet = Fleet::new(14);
    fleet.run_until(1010.0);
    assert!((0..14).all(|instance| fleet.absent(instance).is_empty()));
    assert_eq!(fleet.memberships[3].present_fraction(fleet.now, 12, 4), 1.0);
    assert!(fleet.memberships.iter().all(|membership| membership.lost_heartbeats == 0));
    // One heartbeat and three readings per interval and instance.
    assert_eq!(fleet.calls, 14 * 4 * 10);
}

#[test]
fn a_partitioned_counter_shows_each_side_its_members() {
    let mut fleet = Fleet::new(14);
    fleet.run_until(1005.0);
    fleet.counters[1] = fleet.counters[0].clone();
    fleet.reach = (0..14).map(|instance| Some(instance % 2)).collect();
    fleet.run_until(1008.5);
    assert_eq!(fleet.absent(0), vec![1, 3, 5, 7, 9, 11, 13]);
    assert_eq!(fleet.absent(13), vec![0, 2, 4, 6, 8, 10, 12]);
    // The present fractions of both sides add up to one for any range of instances.
    for (first, number) in [(0, 4), (3, 3), (12, 5)] {
        let fractions: f64 = [0, 13]
            .iter()
            .map(|instance| fleet.memberships[*instance].present_fraction(fleet.now, first, number))
            .sum();
        assert!((fractions - 1.0).abs() < 1e-9, "{first} {number}: {fractions}");
    }
    fleet.reach = vec![Some(0); 14];
    fleet.run_until(1012.0);
    assert!((0..14).all(|instance| fleet.absent(instance).is_empty()));
}

#[test]
fn two_lost_calls_make_an_instance_absent_and_one_does_not() {
    let mut fleet = Fleet::new(4);
    fleet.run_until(1005.0);
    fleet.reach[2] = None;
    fleet.run_until(1006.0);
    fleet.reach[2] = Some(0);
    fleet.run_until(1007.9);
    assert!(fleet.absent(0).is_empty());
    fleet.reach[2] = None;
    fleet.run_until(1011.0);
    assert_eq!(fleet.absent(0), vec![2]);
    // The unreachable instance has no recent reading, so it takes no other for absent.
    assert!(fleet.absent(2).is_empty());
}

#[test]
fn a_reset_counter_is_detected_and_makes_nobody_absent() {
    let mut fleet = Fleet::new(4);
    fleet.run_until(1005.8);
    fleet.counters[0].clear();
    fleet.run_until(1007.5);
    assert!(fleet.memberships.iter().any(|membership| membership.lost_heartbeats > 0));
    assert!((0..4).all(|instance| fleet.absent(instance).is_empty()));
}

#[test]
fn repeated_heartbeats_of_a_restarted_instance_count_once() {
    let mut fleet = Fleet::new(4);
    fleet.run_until(1005.0);
    for i in 0..8 {
        fleet.memberships[0] = Membership::new(4, 0, 1.0);
        fleet.run_until(1005.0 + 0.1 * f64::from(i));
    }
    fleet.run_until(1009.0);
    assert!((1..4).all(|instance| fleet.absent(instance).is_empty()));
}

#[test]
fn groups_that_nobody_watches_are_dropped() {
    let mut membership = Membership::new(300, 7, 1.0);
    membership.watch(1000.0, 290, 20);
    let groups = |membership: &mut Membership, now: f64| {
        membership.due_calls(now).into_iter().map(|call| call.count.group).collect::<BTreeSet<_>>()
    };
    assert_eq!(groups(&mut membership, 1000.9), BTreeSet::from([0, 1, 48, 49]));
    assert_eq!(groups(&mut membership, 1040.9), BTreeSet::from([1]));
    let due = membership.next_call(1040.9);
    assert!(due > 1040.9 && due <= 1042.0, "{due}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary changes of reachability: soon after the last one, each instance that reaches a counter finds exactly those
    /// absent that don't reach it, and the fractions of all sides, the unreachable one included, add up to at most one.
    #[test]
    fn the_fractions_of_all_sides_add_up_to_one(
        instances in 2usize..20,
        changes in proptest::collection::vec((0.0f64..3.0, proptest::collection::vec(0u8..3, 20)), 1..6),
        (first, number) in (0usize..20, 1usize..8),
    ) {
        let mut fleet = Fleet::new(instances);
        for (after, reach) in &changes {
            fleet.run_until(fleet.now + after);
            fleet.reach = (0..instances).map(|instance| [Some(0), Some(1), None][reach[instance] as usize]).collect();
        }
        fleet.run_until(fleet.now + 4.2);
        let first = first % instances;
        let number = number.min(instances);
        let side_of = |counter: Option<usize>| {
            (0..instances).filter(|instance| fleet.reach[*instance] == counter).collect::<Vec<_>>()
        };
        for side in [Some(0), Some(1)] {
            for instance in side_of(side) {
                let others: Vec<usize> = (0..instances).filter(|other| fleet.reach[*other] != side).collect();
                prop_assert_eq!(fleet.absent(instance), others);
            }
        }
        let is_in_range = |instance: usize| (instance + instances - first) % instances < number;
        let mut total = side_of(None).into_iter().filter(|instance| is_in_range(*instance)).count() as f64 / number as f64;
        for side in [Some(0), Some(1)] {
            let members: Vec<usize> =
                side_of(side).into_iter().filter(|instance| is_in_range(*instance)).collect();
            total += members.first().map_or(0.0, |instance| fleet.memberships[*instance].present_fraction(fleet.now, first, number));
        }
        prop_assert!(total <= 1.0 + 1e-9, "{}", total);
    }
}
