//! Memberships on counters that are well, split, lost and silent.
use proptest::prelude::*;
use quillramp_presence::{Count, Membership};
use std::collections::{BTreeMap, BTreeSet};

/// Front doors, each with the counter that it reaches, if it reaches one.
struct Fleet {
    memberships: Vec<Membership>,
    counters: Vec<BTreeMap<Count, f64>>,
    reach: Vec<Option<usize>>,
    now: f64,
    calls: usize,
}

impl Fleet {
    fn of(doors: usize) -> Fleet {
        let mut memberships: Vec<Membership> = (0..doors).map(|d| Membership::new(doors, d, 1.0)).collect();
        memberships.iter_mut().for_each(|m| m.watch(1000.0, 0, doors));
        Fleet {
            memberships,
            counters: vec![BTreeMap::new(); 2],
            reach: vec![Some(0); doors],
            now: 1000.0,
            calls: 0,
        }
    }

    fn until(&mut self, now: f64) -> &mut Fleet {
        while self.now < now {
            for (d, membership) in self.memberships.iter_mut().enumerate() {
                membership.watch(self.now, 0, self.reach.len());
                for call in membership.due_calls(self.now) {
                    self.calls += 1;
                    let total = self.reach[d].map(|c| {
                        let total = self.counters[c].entry(call.count).or_default();
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

    fn missing(&self, door: usize) -> Vec<usize> {
        self.memberships[door].absent(self.now).into_iter().collect()
    }
}

#[test]
fn all_are_there_while_all_call() {
    let mut f = Fleet::of(14);
    f.until(1010.0);
    assert!((0..14).all(|d| f.missing(d).is_empty()));
    assert_eq!(f.memberships[3].present_fraction(f.now, 12, 4), 1.0);
    assert!(f.memberships.iter().all(|m| m.lost_heartbeats == 0));
    // One sign and three readings a span each.
    assert_eq!(f.calls, 14 * 4 * 10);
}

#[test]
fn a_split_counter_shows_each_side_its_own() {
    let mut f = Fleet::of(14);
    f.until(1005.0);
    f.counters[1] = f.counters[0].clone();
    f.reach = (0..14).map(|d| Some(d % 2)).collect();
    f.until(1008.5);
    assert_eq!(f.missing(0), vec![1, 3, 5, 7, 9, 11, 13]);
    assert_eq!(f.missing(13), vec![0, 2, 4, 6, 8, 10, 12]);
    // Both parts of any customer's front doors make one.
    for (first, number) in [(0, 4), (3, 3), (12, 5)] {
        let parts: f64 =
            [0, 13].iter().map(|d| f.memberships[*d].present_fraction(f.now, first, number)).sum();
        assert!((parts - 1.0).abs() < 1e-9, "{first} {number}: {parts}");
    }
    f.reach = vec![Some(0); 14];
    f.until(1012.0);
    assert!((0..14).all(|d| f.missing(d).is_empty()));
}

#[test]
fn one_lost_call_makes_nobody_absent_and_two_do() {
    let mut f = Fleet::of(4);
    f.until(1005.0);
    f.reach[2] = None;
    f.until(1006.0);
    f.reach[2] = Some(0);
    f.until(1007.9);
    assert!(f.missing(0).is_empty());
    f.reach[2] = None;
    f.until(1011.0);
    assert_eq!(f.missing(0), vec![2]);
    // It itself knows nothing new, and in its silence it says nothing of others.
    assert!(f.missing(2).is_empty());
}

#[test]
fn a_counter_that_forgot_is_noticed_and_makes_nobody_absent() {
    let mut f = Fleet::of(4);
    f.until(1005.8);
    f.counters[0].clear();
    f.until(1007.5);
    assert!(f.memberships.iter().any(|m| m.lost_heartbeats > 0));
    assert!((0..4).all(|d| f.missing(d).is_empty()));
}

#[test]
fn what_a_restarted_front_door_adds_again_is_still_one_sign() {
    let mut f = Fleet::of(4);
    f.until(1005.0);
    for i in 0..8 {
        f.memberships[0] = Membership::new(4, 0, 1.0);
        f.until(1005.0 + 0.1 * f64::from(i));
    }
    f.until(1009.0);
    assert!((1..4).all(|d| f.missing(d).is_empty()));
}

#[test]
fn groups_that_nobody_asks_about_are_let_go() {
    let mut membership = Membership::new(300, 7, 1.0);
    membership.watch(1000.0, 290, 20);
    let groups = |m: &mut Membership, now: f64| {
        m.due_calls(now).into_iter().map(|c| c.count.group).collect::<BTreeSet<_>>()
    };
    assert_eq!(groups(&mut membership, 1000.9), BTreeSet::from([0, 1, 48, 49]));
    assert_eq!(groups(&mut membership, 1040.9), BTreeSet::from([1]));
    let due = membership.next_call(1040.9);
    assert!(due > 1040.9 && due <= 1042.0, "{due}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// However reach changes: soon after it has settled, each front door that reaches a counter finds those absent that don't reach it,
    /// and parts of a customer's front doors on all counters and in silence make one.
    #[test]
    fn the_parts_of_all_sides_make_one(
        doors in 2usize..20,
        changes in proptest::collection::vec((0.0f64..3.0, proptest::collection::vec(0u8..3, 20)), 1..6),
        (first, number) in (0usize..20, 1usize..8),
    ) {
        let mut f = Fleet::of(doors);
        for (after, reach) in &changes {
            f.until(f.now + after);
            f.reach = (0..doors).map(|d| [Some(0), Some(1), None][reach[d] as usize]).collect();
        }
        f.until(f.now + 4.2);
        let (first, number) = (first % doors, number.min(doors));
        let of = |c: Option<usize>| (0..doors).filter(|d| f.reach[*d] == c).collect::<Vec<_>>();
        for side in [Some(0), Some(1)] {
            for d in of(side) {
                let others: Vec<usize> = (0..doors).filter(|o| f.reach[*o] != side).collect();
                prop_assert_eq!(f.missing(d), others);
            }
        }
        let within = |d: usize| (d + doors - first) % doors < number;
        let mut whole = of(None).into_iter().filter(|d| within(*d)).count() as f64 / number as f64;
        for side in [Some(0), Some(1)] {
            let own: Vec<usize> = of(side).into_iter().filter(|d| within(*d)).collect();
            whole += own.first().map_or(0.0, |d| f.memberships[*d].present_fraction(f.now, first, number));
        }
        prop_assert!(whole <= 1.0 + 1e-9, "{}", whole);
    }
}
