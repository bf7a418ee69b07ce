//! The gate: caps, the reserve, fairness behind one address, who goes first, and that its parts agree whatever comes.
use proptest::prelude::*;
use quillramp_admission::{
    AdmissionController, CommandVerdict, ConnectionId, ConnectionVerdict, Limits, RejectReason, Sizes,
};
use std::net::{IpAddr, Ipv4Addr};

fn at(n: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, n).into()
}

/// Ten places, four of them for the known, who are 10.0.0.1 and 10.0.0.2.
fn limits() -> Limits {
    Limits {
        connections: 10,
        reserve: 4,
        per_address: 6,
        strangers: 4,
        rate: 10.0,
        burst: 20.0,
        unfinished: 4,
        first_word: 1.0,
        known_for: 60.0,
        known: vec!["10.0.0.1".parse().expect("good"), "10.0.0.2/32".parse().expect("good")],
    }
}

fn controller() -> AdmissionController {
    AdmissionController::new(limits())
}

/// They connect one after the other and are taken, and say something.
fn held(
    gate: &mut AdmissionController,
    now: f64,
    from: IpAddr,
    caller: u64,
    conns: std::ops::Range<ConnectionId>,
) {
    for conn in conns {
        assert_eq!(gate.admit_connection(now, conn, from), ConnectionVerdict::Accept);
        assert_eq!(gate.admit_command(now, conn, caller), CommandVerdict::Accept);
        gate.command_answered(now, conn, caller, false);
    }
}

#[test]
fn the_reserve_is_for_known_addresses() {
    let mut g = controller();
    held(&mut g, 0.0, at(9), 1, 0..6);
    assert_eq!(g.admit_connection(0.0, 6, at(8)), ConnectionVerdict::Reject(RejectReason::Full));
    held(&mut g, 0.0, at(1), 2, 10..14);
    // All are taken: a known one has an unknown one's place, the idlest; another unknown has none.
    assert_eq!(g.admit_connection(1.0, 14, at(2)), ConnectionVerdict::Replace(0));
    assert_eq!(g.admit_connection(1.0, 15, at(8)), ConnectionVerdict::Reject(RejectReason::Full));
    assert_eq!((g.sizes().connections, g.metrics.full), (10, 2));
}

#[test]
fn who_is_owed_an_answer_is_never_spared() {
    let mut g = controller();
    for conn in 0..6 {
        assert_eq!(
            g.admit_connection(0.0, conn, at(9)),
            if conn < 4 {
                ConnectionVerdict::Accept
            } else {
                ConnectionVerdict::Reject(RejectReason::Strangers)
            }
        );
    }
    (0..4).for_each(|c| assert_eq!(g.admit_command(0.0, c, c), CommandVerdict::Accept));
    held(&mut g, 0.0, at(1), 7, 10..16);
    assert_eq!(
        g.admit_connection(5.0, 20, at(2)),
        ConnectionVerdict::Reject(RejectReason::Full),
        "six known and four that are owed an answer"
    );
    assert!(matches!(g.evict(5.0), Some(10..16)));
    g.command_answered(5.0, 2, 2, false);
    assert_eq!(g.admit_connection(5.0, 21, at(2)), ConnectionVerdict::Accept);
    assert_eq!(g.admit_connection(5.0, 22, at(2)), ConnectionVerdict::Replace(2));
}

#[test]
fn a_command_that_was_read_is_as_good_as_one_that_was_taken() {
    let mut g = controller();
    held(&mut g, 0.0, at(9), 1, 0..1);
    g.commands_read(0, 2);
    assert_eq!(g.evict(9.0), None);
    g.command_started(9.0, 0);
    assert_eq!(g.evict(9.0), None);
    g.command_started(9.0, 0);
    assert_eq!(g.evict(9.0), Some(0));
}

#[test]
fn an_address_makes_room_for_its_own_first() {
    let mut g = controller();
    // One hospital behind a gateway holds five of six, another one.
    held(&mut g, 0.0, at(9), 1, 0..5);
    held(&mut g, 0.1, at(9), 2, 5..6);
    assert_eq!(g.admit_connection(0.2, 6, at(9)), ConnectionVerdict::Replace(0));
    assert_eq!(g.admit_command(0.2, 6, 3), CommandVerdict::Accept);
    g.command_answered(0.3, 6, 3, true);
    assert_eq!(g.admit_connection(0.4, 7, at(9)), ConnectionVerdict::Replace(1));
}

#[test]
fn silent_ones_are_few_and_go_first() {
    let mut g = controller();
    for conn in 0..4 {
        assert_eq!(g.admit_connection(0.0, conn, at(9)), ConnectionVerdict::Accept);
    }
    assert_eq!(g.admit_connection(0.5, 4, at(9)), ConnectionVerdict::Reject(RejectReason::Strangers));
    assert_eq!(g.overdue(0.9), Vec::<ConnectionId>::new());
    // Their time is up: one goes for each that comes.
    assert_eq!(g.admit_connection(1.0, 5, at(9)), ConnectionVerdict::Replace(0));
    assert_eq!(g.overdue(1.0), vec![1, 2, 3]);
    // At half a command it is not silent, and still goes before one that has asked.
    g.partial_command(1.0, 1);
    assert_eq!(g.overdue(1.0), vec![2, 3]);
    held(&mut g, 1.0, at(1), 7, 10..11);
    let order: Vec<ConnectionId> = std::iter::from_fn(|| g.evict(2.0)).collect();
    assert_eq!(order, [2, 3, 5, 1, 10]);
}

#[test]
fn one_noisy_hospital_does_not_starve_its_neighbours() {
    let mut g = controller();
    held(&mut g, 0.0, at(9), 1, 0..2);
    held(&mut g, 0.0, at(9), 2, 2..3);
    for _ in 0..4 {
        assert_eq!(g.admit_command(0.0, 0, 1), CommandVerdict::Accept);
    }
    assert!(matches!(g.admit_command(0.0, 1, 1), CommandVerdict::RetryAfter(s) if s > 0.0));
    // The neighbour has its part although all is taken; not more than that.
    assert_eq!(g.admit_command(0.0, 2, 2), CommandVerdict::Accept);
    assert_eq!(g.admit_command(0.0, 2, 2), CommandVerdict::Accept);
    assert!(matches!(g.admit_command(0.0, 2, 2), CommandVerdict::RetryAfter(_)));
    g.command_answered(0.1, 0, 1, true);
    g.command_answered(0.1, 0, 1, true);
    g.command_answered(0.1, 0, 1, true);
    assert_eq!(g.admit_command(0.1, 2, 2), CommandVerdict::Accept);
    assert_eq!(g.audit(0.1), Ok(()));
}

#[test]
fn connections_come_no_faster_than_they_may() {
    let mut g = AdmissionController::new(Limits { burst: 3.0, rate: 2.0, ..limits() });
    let come = |g: &mut AdmissionController, now: f64, conn| {
        let entry = g.admit_connection(now, conn, at(9));
        g.connection_closed(conn);
        entry
    };
    assert_eq!([0, 1, 2].map(|c| come(&mut g, 0.0, c)), [ConnectionVerdict::Accept; 3]);
    assert_eq!(come(&mut g, 0.1, 3), ConnectionVerdict::Reject(RejectReason::Rate));
    assert_eq!(come(&mut g, 0.6, 4), ConnectionVerdict::Accept);
    assert_eq!(
        come(&mut g, 0.7, 5),
        ConnectionVerdict::Reject(RejectReason::Rate),
        "leaving does not bring the allowance back"
    );
    assert_eq!(g.admit_connection(0.7, 6, at(8)), ConnectionVerdict::Accept);
}

#[test]
fn who_was_served_well_is_known_for_a_while() {
    let mut g = controller();
    assert_eq!(g.admit_connection(0.0, 0, at(9)), ConnectionVerdict::Accept);
    assert_eq!(g.admit_command(0.0, 0, 1), CommandVerdict::Accept);
    g.command_answered(0.0, 0, 1, true);
    held(&mut g, 0.0, at(8), 2, 1..7);
    assert_eq!(g.admit_connection(1.0, 7, at(7)), ConnectionVerdict::Reject(RejectReason::Full));
    assert_eq!(g.admit_connection(1.0, 8, at(9)), ConnectionVerdict::Accept);
    g.connection_closed(8);
    g.refresh_known(61.0);
    assert_eq!(
        g.admit_connection(61.0, 9, at(9)),
        ConnectionVerdict::Reject(RejectReason::Full),
        "forgotten by then"
    );
}

#[test]
fn limits_lowered_below_what_is_open_end_nothing_and_add_nothing() {
    let mut g = controller();
    held(&mut g, 0.0, at(9), 1, 0..6);
    held(&mut g, 0.0, at(1), 2, 10..14);
    g.set_limits(1.0, Limits { connections: 3, reserve: 1, per_address: 2, strangers: 1, ..limits() });
    assert_eq!(g.sizes().connections, 10);
    assert_eq!(g.admit_connection(1.0, 20, at(8)), ConnectionVerdict::Reject(RejectReason::Full));
    // Its own address has too many, and one of these goes.
    assert_eq!(g.admit_connection(1.0, 21, at(9)), ConnectionVerdict::Replace(0));
    assert_eq!((g.sizes().connections, g.audit(1.0)), (10, Ok(())));
}

#[test]
fn ten_thousand_silent_connections_leave_a_hospital_its_place() {
    let limits = Limits {
        connections: 1000,
        reserve: 100,
        per_address: 400,
        strangers: 300,
        rate: 1e6,
        burst: 1e6,
        ..limits()
    };
    let mut g = AdmissionController::new(limits);
    let mut taken = 0;
    for conn in 0..10_000 {
        taken += usize::from(
            g.admit_connection(0.0, conn, at(10 + (conn % 40) as u8)) == ConnectionVerdict::Accept,
        );
    }
    assert_eq!(taken, 900);
    for conn in 20_000..20_100 {
        assert_eq!(g.admit_connection(0.0, conn, at(1)), ConnectionVerdict::Accept);
    }
    assert_eq!((g.sizes(), g.audit(0.0)), (Sizes { connections: 1000, addresses: 41 }, Ok(())));
}

/// An address with a thousand honest hospitals and one bad.
#[test]
fn a_thousand_hospitals_behind_one_address_and_a_bad_one() {
    let big = Limits {
        connections: 3000,
        reserve: 0,
        per_address: 2000,
        strangers: 500,
        rate: 1e6,
        burst: 1e6,
        unfinished: 1200,
        ..limits()
    };
    let mut g = AdmissionController::new(big);
    let bad = 5000;
    for conn in 0..900 {
        assert_eq!(g.admit_connection(0.0, conn, at(9)), ConnectionVerdict::Accept);
        let _ = g.admit_command(0.0, conn, bad);
    }
    for conn in 10_000..11_000 {
        let now = 2.0 + conn as f64 * 1e-4;
        assert!(!matches!(g.admit_connection(now, conn, at(9)), ConnectionVerdict::Reject(_)));
        assert_eq!(g.admit_command(now, conn, conn), CommandVerdict::Accept, "an honest one has its part");
        g.command_answered(now + 0.01, conn, conn, true);
    }
    assert_eq!(g.audit(5.0), Ok(()));
}

#[test]
fn networks_are_read_as_written() {
    let network = |text: &str| text.parse::<quillramp_admission::Network>();
    assert!(network("10.2.0.0/16").expect("good").holds("10.2.255.1".parse().expect("good")));
    assert!(!network("10.2.0.0/16").expect("good").holds("10.3.0.1".parse().expect("good")));
    assert!(network("2001:db8::/32").expect("good").holds("2001:db8:1::5".parse().expect("good")));
    assert!(network("0.0.0.0/0").expect("good").holds("::ffff:9.9.9.9".parse().expect("good")));
    for wrong in ["10.2.0.0/33", "10.2.0.1/16", "ten", "10.2.0.0/", "::/129"] {
        assert!(network(wrong).is_err(), "{wrong}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Comes(u8),
    Asks(usize, u64),
    Answered(usize, bool),
    Begins(usize),
    Ends(usize),
    Spare,
    Later(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..6u8).prop_map(Step::Comes),
        4 => (any::<usize>(), 0..4u64).prop_map(|(c, w)| Step::Asks(c, w)),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(c, w)| Step::Answered(c, w)),
        1 => any::<usize>().prop_map(Step::Begins),
        1 => any::<usize>().prop_map(Step::Ends),
        1 => Just(Step::Spare),
        2 => (0.0..30.0f64).prop_map(Step::Later),
    ]
}

proptest! {
    /// Whatever comes: the caps hold, who is owed an answer is never ended, and the counts agree with what is held.
    #[test]
    fn its_parts_agree(steps in prop::collection::vec(step(), 1..200)) {
        let mut g = controller();
        let mut now = 0.0;
        let mut open: Vec<(ConnectionId, Vec<u64>)> = vec![];
        for (next, step) in steps.into_iter().enumerate() {
            let pick = |i: usize, of: usize| if of == 0 { None } else { Some(i % of) };
            match step {
                Step::Comes(from) => match g.admit_connection(now, next as ConnectionId, at(from)) {
                    ConnectionVerdict::Accept => open.push((next as ConnectionId, vec![])),
                    ConnectionVerdict::Replace(other) => {
                        let i = open.iter().position(|o| o.0 == other).expect("one that is open");
                        prop_assert!(open.remove(i).1.is_empty(), "it was owed an answer");
                        open.push((next as ConnectionId, vec![]));
                    }
                    ConnectionVerdict::Reject(_) => {}
                },
                Step::Asks(i, caller) => if let Some(i) = pick(i, open.len()) {
                    if g.admit_command(now, open[i].0, caller) == CommandVerdict::Accept {
                        open[i].1.push(caller);
                    }
                },
                Step::Answered(i, well) => if let Some(i) = pick(i, open.len()) {
                    if let Some(caller) = open[i].1.pop() {
                        g.command_answered(now, open[i].0, caller, well);
                    }
                },
                Step::Begins(i) => if let Some(i) = pick(i, open.len()) {
                    g.partial_command(now, open[i].0);
                },
                Step::Ends(i) => if let Some(i) = pick(i, open.len()) {
                    g.connection_closed(open.remove(i).0);
                },
                Step::Spare => if let Some(spared) = g.evict(now) {
                    let i = open.iter().position(|o| o.0 == spared).expect("one that is open");
                    prop_assert!(open.remove(i).1.is_empty(), "it was owed an answer");
                },
                Step::Later(seconds) => now += seconds,
            }
            prop_assert!(g.sizes().connections == open.len() && open.len() <= 10);
            prop_assert_eq!(g.audit(now), Ok(()));
        }
    }
}
