//! The admission controller: limits, the reserve, fairness behind one address, the eviction order, and consistent counts.
use proptest::prelude::*;
use quillramp_admission::{
    AdmissionController, CommandVerdict, ConnectionId, ConnectionVerdict, Limits, RejectReason, Sizes,
};
use std::net::{IpAddr, Ipv4Addr};

fn address(host: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, host).into()
}

/// Ten connections, four of them reserved for the known addresses 10.0.0.1 and 10.0.0.2.
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

/// Opens connections that are all accepted; on each a command is answered.
fn open_connections(
    controller: &mut AdmissionController,
    now: f64,
    from: IpAddr,
    customer: u64,
    ids: std::ops::Range<ConnectionId>,
) {
    for id in ids {
        assert_eq!(controller.admit_connection(now, id, from), ConnectionVerdict::Accept);
        assert_eq!(controller.admit_command(now, id, customer), CommandVerdict::Accept);
        controller.command_answered(now, id, customer, false);
    }
}

#[test]
fn the_reserve_is_for_known_addresses() {
    let mut controller = controller();
    open_connections(&mut controller, 0.0, address(9), 1, 0..6);
    assert_eq!(
        controller.admit_connection(0.0, 6, address(8)),
        ConnectionVerdict::Reject(RejectReason::Full)
    );
    open_connections(&mut controller, 0.0, address(1), 2, 10..14);
    // At the limit a known address replaces the idlest connection of an unknown one; another unknown address is rejected.
    assert_eq!(controller.admit_connection(1.0, 14, address(2)), ConnectionVerdict::Replace(0));
    assert_eq!(
        controller.admit_connection(1.0, 15, address(8)),
        ConnectionVerdict::Reject(RejectReason::Full)
    );
    assert_eq!((controller.sizes().connections, controller.metrics.full), (10, 2));
}

#[test]
fn connections_with_pending_commands_are_never_evicted() {
    let mut controller = controller();
    for id in 0..6 {
        assert_eq!(
            controller.admit_connection(0.0, id, address(9)),
            if id < 4 {
                ConnectionVerdict::Accept
            } else {
                ConnectionVerdict::Reject(RejectReason::Strangers)
            }
        );
    }
    (0..4).for_each(|id| assert_eq!(controller.admit_command(0.0, id, id), CommandVerdict::Accept));
    open_connections(&mut controller, 0.0, address(1), 7, 10..16);
    assert_eq!(
        controller.admit_connection(5.0, 20, address(2)),
        ConnectionVerdict::Reject(RejectReason::Full),
        "six known and four that are owed an answer"
    );
    assert!(matches!(controller.evict(5.0), Some(10..16)));
    controller.command_answered(5.0, 2, 2, false);
    assert_eq!(controller.admit_connection(5.0, 21, address(2)), ConnectionVerdict::Accept);
    assert_eq!(controller.admit_connection(5.0, 22, address(2)), ConnectionVerdict::Replace(2));
}

#[test]
fn queued_commands_protect_from_eviction() {
    let mut controller = controller();
    open_connections(&mut controller, 0.0, address(9), 1, 0..1);
    controller.commands_read(0, 2);
    assert_eq!(controller.evict(9.0), None);
    controller.command_started(9.0, 0);
    assert_eq!(controller.evict(9.0), None);
    controller.command_started(9.0, 0);
    assert_eq!(controller.evict(9.0), Some(0));
}

#[test]
fn an_address_at_its_limit_replaces_its_own_connections() {
    let mut controller = controller();
    // One customer behind the address has five of six connections, another one has one.
    open_connections(&mut controller, 0.0, address(9), 1, 0..5);
    open_connections(&mut controller, 0.1, address(9), 2, 5..6);
    assert_eq!(controller.admit_connection(0.2, 6, address(9)), ConnectionVerdict::Replace(0));
    assert_eq!(controller.admit_command(0.2, 6, 3), CommandVerdict::Accept);
    controller.command_answered(0.3, 6, 3, true);
    assert_eq!(controller.admit_connection(0.4, 7, address(9)), ConnectionVerdict::Replace(1));
}

#[test]
fn silent_connections_are_limited_and_evicted_first() {
    let mut controller = controller();
    for id in 0..4 {
        assert_eq!(controller.admit_connection(0.0, id, address(9)), ConnectionVerdict::Accept);
    }
    assert_eq!(
        controller.admit_connection(0.5, 4, address(9)),
        ConnectionVerdict::Reject(RejectReason::Strangers)
    );
    assert_eq!(controller.overdue(0.9), Vec::<ConnectionId>::new());
    // Their time is up: each new connection replaces one.
    assert_eq!(controller.admit_connection(1.0, 5, address(9)), ConnectionVerdict::Replace(0));
    assert_eq!(controller.overdue(1.0), vec![1, 2, 3]);
    // With an incomplete command it is not silent, and is still evicted before one that has sent a command.
    controller.partial_command(1.0, 1);
    assert_eq!(controller.overdue(1.0), vec![2, 3]);
    open_connections(&mut controller, 1.0, address(1), 7, 10..11);
    let order: Vec<ConnectionId> = std::iter::from_fn(|| controller.evict(2.0)).collect();
    assert_eq!(order, [2, 3, 5, 1, 10]);
}

#[test]
fn one_noisy_customer_does_not_starve_its_neighbours() {
    let mut controller = controller();
    open_connections(&mut controller, 0.0, address(9), 1, 0..2);
    open_connections(&mut controller, 0.0, address(9), 2, 2..3);
    for _ in 0..4 {
        assert_eq!(controller.admit_command(0.0, 0, 1), CommandVerdict::Accept);
    }
    assert!(
        matches!(controller.admit_command(0.0, 1, 1), CommandVerdict::RetryAfter(seconds) if seconds > 0.0)
    );
    // The neighbour gets its part although the limit is reached, but no more.
    assert_eq!(controller.admit_command(0.0, 2, 2), CommandVerdict::Accept);
    assert_eq!(controller.admit_command(0.0, 2, 2), CommandVerdict::Accept);
    assert!(matches!(controller.admit_command(0.0, 2, 2), CommandVerdict::RetryAfter(_)));
    controller.command_answered(0.1, 0, 1, true);
    controller.command_answered(0.1, 0, 1, true);
    controller.command_answered(0.1, 0, 1, true);
    assert_eq!(controller.admit_command(0.1, 2, 2), CommandVerdict::Accept);
    assert_eq!(controller.audit(0.1), Ok(()));
}

#[test]
fn new_connections_are_rate_limited() {
    let mut controller = AdmissionController::new(Limits { burst: 3.0, rate: 2.0, ..limits() });
    let connect = |controller: &mut AdmissionController, now: f64, id| {
        let verdict = controller.admit_connection(now, id, address(9));
        controller.connection_closed(id);
        verdict
    };
    assert_eq!([0, 1, 2].map(|id| connect(&mut controller, 0.0, id)), [ConnectionVerdict::Accept; 3]);
    assert_eq!(connect(&mut controller, 0.1, 3), ConnectionVerdict::Reject(RejectReason::Rate));
    assert_eq!(connect(&mut controller, 0.6, 4), ConnectionVerdict::Accept);
    assert_eq!(
        connect(&mut controller, 0.7, 5),
        ConnectionVerdict::Reject(RejectReason::Rate),
        "leaving does not bring the allowance back"
    );
    assert_eq!(controller.admit_connection(0.7, 6, address(8)), ConnectionVerdict::Accept);
}

#[test]
fn a_served_address_is_known_for_a_while() {
    let mut controller = controller();
    assert_eq!(controller.admit_connection(0.0, 0, address(9)), ConnectionVerdict::Accept);
    assert_eq!(controller.admit_command(0.0, 0, 1), CommandVerdict::Accept);
    controller.command_answered(0.0, 0, 1, true);
    open_connections(&mut controller, 0.0, address(8), 2, 1..7);
    assert_eq!(
        controller.admit_connection(1.0, 7, address(7)),
        ConnectionVerdict::Reject(RejectReason::Full)
    );
    assert_eq!(controller.admit_connection(1.0, 8, address(9)), ConnectionVerdict::Accept);
    controller.connection_closed(8);
    controller.refresh_known(61.0);
    assert_eq!(
        controller.admit_connection(61.0, 9, address(9)),
        ConnectionVerdict::Reject(RejectReason::Full),
        "forgotten by then"
    );
}

#[test]
fn lowered_limits_close_nothing_and_admit_nothing() {
    let mut controller = controller();
    open_connections(&mut controller, 0.0, address(9), 1, 0..6);
    open_connections(&mut controller, 0.0, address(1), 2, 10..14);
    controller
        .set_limits(1.0, Limits { connections: 3, reserve: 1, per_address: 2, strangers: 1, ..limits() });
    assert_eq!(controller.sizes().connections, 10);
    assert_eq!(
        controller.admit_connection(1.0, 20, address(8)),
        ConnectionVerdict::Reject(RejectReason::Full)
    );
    // The address is beyond its limit, so that one of its own connections is replaced.
    assert_eq!(controller.admit_connection(1.0, 21, address(9)), ConnectionVerdict::Replace(0));
    assert_eq!((controller.sizes().connections, controller.audit(1.0)), (10, Ok(())));
}

#[test]
fn ten_thousand_silent_connections_leave_the_reserve_free() {
    let limits = Limits {
        connections: 1000,
        reserve: 100,
        per_address: 400,
        strangers: 300,
        rate: 1e6,
        burst: 1e6,
        ..limits()
    };
    let mut controller = AdmissionController::new(limits);
    let mut taken = 0;
    for id in 0..10_000 {
        taken += usize::from(
            controller.admit_connection(0.0, id, address(10 + (id % 40) as u8)) == ConnectionVerdict::Accept,
        );
    }
    assert_eq!(taken, 900);
    for id in 20_000..20_100 {
        assert_eq!(controller.admit_connection(0.0, id, address(1)), ConnectionVerdict::Accept);
    }
    assert_eq!(
        (controller.sizes(), controller.audit(0.0)),
        (Sizes { connections: 1000, addresses: 41 }, Ok(()))
    );
}

/// An address with a thousand well-behaved customers and one that is not.
#[test]
fn a_thousand_customers_behind_one_address_and_a_bad_one() {
    let limits = Limits {
        connections: 3000,
        reserve: 0,
        per_address: 2000,
        strangers: 500,
        rate: 1e6,
        burst: 1e6,
        unfinished: 1200,
        ..limits()
    };
    let mut controller = AdmissionController::new(limits);
    let bad = 5000;
    for id in 0..900 {
        assert_eq!(controller.admit_connection(0.0, id, address(9)), ConnectionVerdict::Accept);
        let _ = controller.admit_command(0.0, id, bad);
    }
    for id in 10_000..11_000 {
        let now = 2.0 + id as f64 * 1e-4;
        assert!(!matches!(controller.admit_connection(now, id, address(9)), ConnectionVerdict::Reject(_)));
        assert_eq!(
            controller.admit_command(now, id, id),
            CommandVerdict::Accept,
            "an honest one has its part"
        );
        controller.command_answered(now + 0.01, id, id, true);
    }
    assert_eq!(controller.audit(5.0), Ok(()));
}

#[test]
fn networks_are_parsed() {
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
    Connect(u8),
    Command(usize, u64),
    Answer(usize, bool),
    PartialCommand(usize),
    Close(usize),
    Evict,
    Wait(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..6u8).prop_map(Step::Connect),
        4 => (any::<usize>(), 0..4u64).prop_map(|(index, customer)| Step::Command(index, customer)),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(index, served)| Step::Answer(index, served)),
        1 => any::<usize>().prop_map(Step::PartialCommand),
        1 => any::<usize>().prop_map(Step::Close),
        1 => Just(Step::Evict),
        2 => (0.0..30.0f64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// For arbitrary events: the limits hold, no connection with pending commands is closed, and the counts are consistent.
    #[test]
    fn counts_are_consistent(steps in prop::collection::vec(step(), 1..200)) {
        let mut controller = controller();
        let mut now = 0.0;
        let mut open: Vec<(ConnectionId, Vec<u64>)> = vec![];
        for (next, step) in steps.into_iter().enumerate() {
            let pick = |index: usize, count: usize| if count == 0 { None } else { Some(index % count) };
            match step {
                Step::Connect(from) => match controller.admit_connection(now, next as ConnectionId, address(from)) {
                    ConnectionVerdict::Accept => open.push((next as ConnectionId, vec![])),
                    ConnectionVerdict::Replace(other) => {
                        let index = open.iter().position(|connection| connection.0 == other).expect("one that is open");
                        prop_assert!(open.remove(index).1.is_empty(), "it was owed an answer");
                        open.push((next as ConnectionId, vec![]));
                    }
                    ConnectionVerdict::Reject(_) => {}
                },
                Step::Command(index, customer) => if let Some(index) = pick(index, open.len()) {
                    if controller.admit_command(now, open[index].0, customer) == CommandVerdict::Accept {
                        open[index].1.push(customer);
                    }
                },
                Step::Answer(index, served) => if let Some(index) = pick(index, open.len()) {
                    if let Some(customer) = open[index].1.pop() {
                        controller.command_answered(now, open[index].0, customer, served);
                    }
                },
                Step::PartialCommand(index) => if let Some(index) = pick(index, open.len()) {
                    controller.partial_command(now, open[index].0);
                },
                Step::Close(index) => if let Some(index) = pick(index, open.len()) {
                    controller.connection_closed(open.remove(index).0);
                },
                Step::Evict => if let Some(evicted) = controller.evict(now) {
                    let index = open.iter().position(|connection| connection.0 == evicted).expect("one that is open");
                    prop_assert!(open.remove(index).1.is_empty(), "it was owed an answer");
                },
                Step::Wait(seconds) => now += seconds,
            }
            prop_assert!(controller.sizes().connections == open.len() && open.len() <= 10);
            prop_assert_eq!(controller.audit(now), Ok(()));
        }
    }
}
