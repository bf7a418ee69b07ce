//! The admission controller: limits, the reserve, fairness behind one address, and the eviction order.
use quillramp_admission::{
    AdmissionController, CommandVerdict, ConnectionId, ConnectionVerdict, Limits, Network, RejectReason,
    Sizes,
};
use std::net::IpAddr;
use std::ops::Range;

mod common;
use common::{address, controller, limits, network};

/// Hosts of the addresses that the limits list as known.
const KNOWN: u8 = 1;
const ALSO_KNOWN: u8 = 2;
/// Hosts of addresses that are not listed.
const UNKNOWN: u8 = 9;
const OTHER_UNKNOWN: u8 = 8;
const THIRD_UNKNOWN: u8 = 7;

const ACCEPT: ConnectionVerdict = ConnectionVerdict::Accept;
const REJECT_FULL: ConnectionVerdict = ConnectionVerdict::Reject(RejectReason::Full);
const REJECT_RATE: ConnectionVerdict = ConnectionVerdict::Reject(RejectReason::Rate);
const REJECT_UNIDENTIFIED: ConnectionVerdict = ConnectionVerdict::Reject(RejectReason::Unidentified);

/// Limits with a rate of new connections that no test reaches.
fn limits_without_rate() -> Limits {
    Limits { rate: 1e6, burst: 1e6, ..limits() }
}

/// Opens connections that are all accepted; on each a command is answered.
fn open_connections(
    controller: &mut AdmissionController,
    now: f64,
    from: IpAddr,
    customer: u64,
    ids: Range<ConnectionId>,
) {
    for id in ids {
        assert_eq!(controller.admit_connection(now, id, from), ACCEPT);
        assert_eq!(controller.admit_command(now, id, customer), CommandVerdict::Accept);
        controller.command_answered(now, id, customer, false);
    }
}

#[test]
fn the_reserve_is_for_known_addresses() {
    let mut controller = controller();
    open_connections(&mut controller, 0.0, address(UNKNOWN), 1, 0..6);
    assert_eq!(controller.admit_connection(0.0, 6, address(OTHER_UNKNOWN)), REJECT_FULL);
    open_connections(&mut controller, 0.0, address(KNOWN), 2, 10..14);
    // At the limit a known address replaces the longest idle connection of an unknown one; another unknown address is rejected.
    let verdict = controller.admit_connection(1.0, 14, address(ALSO_KNOWN));
    assert_eq!(verdict, ConnectionVerdict::Replace(0));
    assert_eq!(controller.admit_connection(1.0, 15, address(OTHER_UNKNOWN)), REJECT_FULL);
    assert_eq!(controller.sizes().connections, 10);
    assert_eq!(controller.metrics.full, 2);
}

#[test]
fn connections_with_pending_commands_are_never_evicted() {
    let mut controller = controller();
    for id in 0..4 {
        assert_eq!(controller.admit_connection(0.0, id, address(UNKNOWN)), ACCEPT);
    }
    for id in 4..6 {
        assert_eq!(controller.admit_connection(0.0, id, address(UNKNOWN)), REJECT_UNIDENTIFIED);
    }
    for id in 0..4 {
        assert_eq!(controller.admit_command(0.0, id, id), CommandVerdict::Accept);
    }
    open_connections(&mut controller, 0.0, address(KNOWN), 7, 10..16);
    assert_eq!(
        controller.admit_connection(5.0, 20, address(ALSO_KNOWN)),
        REJECT_FULL,
        "six connections of a known address and four with a pending command"
    );
    let evicted = controller.evict(5.0);
    assert!(matches!(evicted, Some(10..16)), "{evicted:?}");
    controller.command_answered(5.0, 2, 2, false);
    assert_eq!(controller.admit_connection(5.0, 21, address(ALSO_KNOWN)), ACCEPT);
    let verdict = controller.admit_connection(5.0, 22, address(ALSO_KNOWN));
    assert_eq!(verdict, ConnectionVerdict::Replace(2));
}

#[test]
fn queued_commands_protect_from_eviction() {
    let mut controller = controller();
    open_connections(&mut controller, 0.0, address(UNKNOWN), 1, 0..1);
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
    open_connections(&mut controller, 0.0, address(UNKNOWN), 1, 0..5);
    open_connections(&mut controller, 0.1, address(UNKNOWN), 2, 5..6);
    let verdict = controller.admit_connection(0.2, 6, address(UNKNOWN));
    assert_eq!(verdict, ConnectionVerdict::Replace(0));
    assert_eq!(controller.admit_command(0.2, 6, 3), CommandVerdict::Accept);
    controller.command_answered(0.3, 6, 3, true);
    let verdict = controller.admit_connection(0.4, 7, address(UNKNOWN));
    assert_eq!(verdict, ConnectionVerdict::Replace(1));
}

#[test]
fn connections_without_a_command_are_limited_and_evicted_first() {
    let mut controller = controller();
    for id in 0..4 {
        assert_eq!(controller.admit_connection(0.0, id, address(UNKNOWN)), ACCEPT);
    }
    assert_eq!(controller.admit_connection(0.5, 4, address(UNKNOWN)), REJECT_UNIDENTIFIED);
    assert_eq!(controller.overdue(0.9), Vec::<ConnectionId>::new());
    // The time for a first command is over: each new connection replaces one.
    let verdict = controller.admit_connection(1.0, 5, address(UNKNOWN));
    assert_eq!(verdict, ConnectionVerdict::Replace(0));
    assert_eq!(controller.overdue(1.0), [1, 2, 3]);
    // With an incomplete command it is not overdue, and is still evicted before one that has sent a command.
    controller.partial_command(1.0, 1);
    assert_eq!(controller.overdue(1.0), [2, 3]);
    open_connections(&mut controller, 1.0, address(KNOWN), 7, 10..11);
    let eviction_order: Vec<ConnectionId> = std::iter::from_fn(|| controller.evict(2.0)).collect();
    assert_eq!(eviction_order, [2, 3, 5, 1, 10]);
}

#[test]
fn a_customer_with_many_commands_does_not_starve_others_behind_its_address() {
    const BUSY: u64 = 1;
    const OTHER: u64 = 2;
    let mut controller = controller();
    open_connections(&mut controller, 0.0, address(UNKNOWN), BUSY, 0..2);
    open_connections(&mut controller, 0.0, address(UNKNOWN), OTHER, 2..3);
    for _ in 0..4 {
        assert_eq!(controller.admit_command(0.0, 0, BUSY), CommandVerdict::Accept);
    }
    let verdict = controller.admit_command(0.0, 1, BUSY);
    assert!(matches!(verdict, CommandVerdict::RetryAfter(seconds) if seconds > 0.0), "{verdict:?}");
    // The other customer gets its share although the limit is reached, but no more.
    assert_eq!(controller.admit_command(0.0, 2, OTHER), CommandVerdict::Accept);
    assert_eq!(controller.admit_command(0.0, 2, OTHER), CommandVerdict::Accept);
    let verdict = controller.admit_command(0.0, 2, OTHER);
    assert!(matches!(verdict, CommandVerdict::RetryAfter(_)), "{verdict:?}");
    for _ in 0..3 {
        controller.command_answered(0.1, 0, BUSY, true);
    }
    assert_eq!(controller.admit_command(0.1, 2, OTHER), CommandVerdict::Accept);
    assert_eq!(controller.audit(0.1), Ok(()));
}

#[test]
fn new_connections_are_rate_limited_by_address() {
    let mut controller = AdmissionController::new(Limits { burst: 3.0, rate: 2.0, ..limits() });
    let mut connect_and_close = |now: f64, id, from: u8| {
        let verdict = controller.admit_connection(now, id, address(from));
        controller.connection_closed(id);
        verdict
    };
    for id in 0..3 {
        assert_eq!(connect_and_close(0.0, id, UNKNOWN), ACCEPT);
    }
    assert_eq!(connect_and_close(0.1, 3, UNKNOWN), REJECT_RATE);
    assert_eq!(connect_and_close(0.6, 4, UNKNOWN), ACCEPT);
    assert_eq!(connect_and_close(0.7, 5, UNKNOWN), REJECT_RATE, "closing a connection refunds nothing");
    assert_eq!(connect_and_close(0.7, 6, OTHER_UNKNOWN), ACCEPT);
}

#[test]
fn a_served_address_is_known_for_a_while() {
    let mut controller = controller();
    assert_eq!(controller.admit_connection(0.0, 0, address(UNKNOWN)), ACCEPT);
    assert_eq!(controller.admit_command(0.0, 0, 1), CommandVerdict::Accept);
    controller.command_answered(0.0, 0, 1, true);
    open_connections(&mut controller, 0.0, address(OTHER_UNKNOWN), 2, 1..7);
    assert_eq!(controller.admit_connection(1.0, 7, address(THIRD_UNKNOWN)), REJECT_FULL);
    assert_eq!(controller.admit_connection(1.0, 8, address(UNKNOWN)), ACCEPT);
    controller.connection_closed(8);
    controller.refresh_known(61.0);
    let verdict = controller.admit_connection(61.0, 9, address(UNKNOWN));
    assert_eq!(verdict, REJECT_FULL, "the address is not known any more");
}

#[test]
fn lowered_limits_close_nothing_and_admit_nothing() {
    let mut controller = controller();
    open_connections(&mut controller, 0.0, address(UNKNOWN), 1, 0..6);
    open_connections(&mut controller, 0.0, address(KNOWN), 2, 10..14);
    let lowered = Limits { connections: 3, reserve: 1, per_address: 2, unidentified: 1, ..limits() };
    controller.set_limits(1.0, lowered);
    assert_eq!(controller.sizes().connections, 10);
    assert_eq!(controller.admit_connection(1.0, 20, address(OTHER_UNKNOWN)), REJECT_FULL);
    // The address is beyond its limit, so that one of its own connections is replaced.
    let verdict = controller.admit_connection(1.0, 21, address(UNKNOWN));
    assert_eq!(verdict, ConnectionVerdict::Replace(0));
    assert_eq!(controller.sizes().connections, 10);
    assert_eq!(controller.audit(1.0), Ok(()));
}

#[test]
fn ten_thousand_connections_without_a_command_leave_the_reserve_free() {
    let mut controller = AdmissionController::new(Limits {
        connections: 1000,
        reserve: 100,
        per_address: 400,
        unidentified: 300,
        ..limits_without_rate()
    });
    let unknown_address = |id: ConnectionId| address(10 + (id % 40) as u8);
    let verdicts = (0..10_000).map(|id| controller.admit_connection(0.0, id, unknown_address(id)));
    assert_eq!(verdicts.filter(|verdict| *verdict == ACCEPT).count(), 900);
    for id in 20_000..20_100 {
        assert_eq!(controller.admit_connection(0.0, id, address(KNOWN)), ACCEPT);
    }
    assert_eq!(controller.sizes(), Sizes { connections: 1000, addresses: 41 });
    assert_eq!(controller.audit(0.0), Ok(()));
}

#[test]
fn a_greedy_customer_does_not_starve_a_thousand_others_behind_the_same_address() {
    const GREEDY: u64 = 5000;
    let mut controller = AdmissionController::new(Limits {
        connections: 3000,
        reserve: 0,
        per_address: 2000,
        unidentified: 500,
        pending_commands: 1200,
        ..limits_without_rate()
    });
    for id in 0..900 {
        assert_eq!(controller.admit_connection(0.0, id, address(UNKNOWN)), ACCEPT);
        let _ = controller.admit_command(0.0, id, GREEDY); // some are accepted
    }
    for customer in 10_000..11_000 {
        let id = customer;
        let now = 2.0 + customer as f64 * 1e-4;
        let verdict = controller.admit_connection(now, id, address(UNKNOWN));
        assert!(!matches!(verdict, ConnectionVerdict::Reject(_)), "customer {customer}: {verdict:?}");
        let verdict = controller.admit_command(now, id, customer);
        assert_eq!(verdict, CommandVerdict::Accept, "customer {customer} gets its share");
        controller.command_answered(now + 0.01, id, customer, true);
    }
    assert_eq!(controller.audit(5.0), Ok(()));
}

#[test]
fn networks_are_parsed() {
    let contains = |text: &str, address: &str| network(text).contains(address.parse().expect("an address"));
    assert!(contains("10.2.0.0/16", "10.2.255.1"));
    assert!(!contains("10.2.0.0/16", "10.3.0.1"));
    assert!(contains("2001:db8::/32", "2001:db8:1::5"));
    assert!(contains("0.0.0.0/0", "::ffff:9.9.9.9"));
    for invalid in ["10.2.0.0/33", "10.2.0.1/16", "ten", "10.2.0.0/", "::/129"] {
        assert!(invalid.parse::<Network>().is_err(), "{invalid}");
    }
}
