//! What an operator's file declares: admission, limits and contracts.
use crate::bench::*;
use expect_test::expect;
use quillramp_admission::Limits;
use quillramp_gateway::state::event::{ConnectionId, Event};
use std::net::{IpAddr, Ipv4Addr};

/// Room for three clients, one of them from the known address.
fn bench_with_admission() -> Bench {
    let mut b = bench_configured(1024, false, false);
    b.set_admission_limits(Limits { known: vec!["10.0.0.1".parse().expect("an address")], ..LIMITS });
    b.text.clear();
    b
}

fn address_in_network(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

/// Guards: nothing limited what one address holds, and a known client found no place.
#[test]
fn a_rejected_client_gets_the_reason_and_a_known_address_its_reserved_connection() {
    let mut b = bench_with_admission();
    b.client(1)
        .client(2)
        .client(3)
        .event(Event::ClientAccepted { client: 4, address: address_in_network(1) })
        .sends(4, PING);
    b.sends(1, PING)
        .until(0.5)
        .event(Event::ClientAccepted { client: 5, address: address_in_network(1) })
        .sends(5, PING);
    b.is_but_list(expect![[r#"
        0.000 client 3 is not taken in: too many connections of this address on which nothing was asked
        0.000 log: connection client 3 ended: turned-away
        0.000 client 4: +PONG
        0.000 client 1: +PONG
        0.500 log: connection client 2 ended: crowded
        0.500 client 5: +PONG
    "#]]);
}

/// Guards: the gate was not told that a command had begun, and a slow client was let go as a silent one.
#[test]
fn a_client_with_a_partial_first_command_is_not_closed_as_idle() {
    let mut b = bench_with_admission();
    b.client(1).client(2).event(Event::PartialMessage(ConnectionId::Client(1))).until(1.6);
    b.is_but_list(expect![[r#"
        1.000 log: connection client 2 ended: idle
    "#]]);
    b.sends(1, PING);
    b.is_but_list(expect![[r#"
        1.600 client 1: +PONG
    "#]]);
}

/// Guards: one hospital's commands took all that its gateway's address may have unfinished.
#[test]
fn commands_beyond_an_addresss_quota_are_rejected_with_a_retry_delay() {
    let mut b = bench_with_admission();
    b.client(1)
        .call(1, "look", 5)
        .call(1, "look", 5)
        .client(2)
        .call(2, "look", 5)
        .call(2, "look", 6)
        .until(0.05);
    b.up(4);
    b.only(|l| l.contains("client") || l.contains("link"));
    b.is(expect![[r#"
        0.000 client 2: -BUSY 50
        0.050 backend link 4: look for 750 ms
    "#]]);
}

/// Guards: a command that had been read before its connection was held did not count, and the connection was spared for
/// want of descriptors (emulator, seed 2698).
#[test]
fn commands_that_were_read_before_their_connection_was_admitted_are_counted() {
    let mut b = bench_with_descriptors(32 + 4);
    let limits = Limits { connections: 30, reserve: 0, per_address: 30, strangers: 30, ..LIMITS };
    b.set_admission_limits(limits).client(1).client(2).until(0.5).text.clear();
    b.batch(vec![
        Event::ClientAccepted { client: 3, address: HERE },
        command_event(3, PING),
        command_event(3, PING),
    ]);
    b.is_but_list(expect![[r#"
        0.500 client 3: +PONG
        0.500 client 3: +PONG
    "#]]);
}

const SHORT_TIMEOUT_CLASS: &str = "[[class]]\nname = \"short\"\nattempts = 1\ntimeout = 0.2\n[[route]]\noperations = [\"look\"]\nclass = \"short\"\n";

/// Guards: an invocation is kept under the limits it was taken under, and its class may be gone by then; two files in one batch
/// are taken up in their order; what is taken up is told once.
#[test]
fn requests_keep_the_limits_under_which_they_were_accepted() {
    let mut b = bench();
    b.client(1).client(2).client(3);
    b.call(1, "look", 1).until(0.1);
    reload_operator_file(&mut b, SHORT_TIMEOUT_CLASS);
    b.call(2, "look", 2).until(0.15);
    reload_operator_file(&mut b, SHORT_TIMEOUT_CLASS);
    reload_operator_file(&mut b, "");
    b.call(3, "look", 3).until(2.0);
    b.only(|l| l.contains("client") || l.contains("declared"));
    b.is(expect![[r#"
        0.100 log: limits declared: 1 classes, for 1 pairs of operation and plan
        0.150 log: limits declared: 0 classes, for 0 pairs of operation and plan
        0.254 client 3: -BUSY 400
        0.266 client 1: -BUSY 400
        0.300 client 2: -BUSY 500
    "#]]);
}

/// Guards: a gate that is switched on while connections are open did not know them, and their addresses passed their caps.
#[test]
fn admission_counts_the_connections_that_were_open_before_it() {
    let mut b = bench();
    b.client(1).client(2).sends(1, PING).call(2, "look", 5).until(0.01);
    b.set_admission_limits(LIMITS).text.clear();
    b.client(3).client(4).sends(3, PING).sends(4, PING);
    b.only(|l| l.contains("client"));
    b.is(expect![[r#"
        0.010 client 3 is not taken in: full
        0.010 log: connection client 3 ended: turned-away
        0.010 client 4 is not taken in: full
        0.010 log: connection client 4 ended: turned-away
    "#]]);
}

const CONTRACT: &str =
    "[broker]\ncapacity = 100\nstrangers = \"refuse\"\n[[contract]]\nteam = \"t\"\nrate = 3\nburst = 3\n\
                        operations = [\"look\"]\ncustomers = [\"0000000000000005\"]\n";

/// Guards: what a contract refuses never reaches the decisions, what they refuse is given back to it, and who has no contract hears so.
#[test]
fn a_request_is_checked_against_its_contract_before_it_is_routed() {
    let mut b = bench();
    reload_operator_file(&mut b, CONTRACT);
    b.client(1).text.clear();
    // An even part of three a second is one, with which it begins.
    b.call(1, "look", 5).call(1, "look", 5).call(1, "order", 5).call(1, "look", 6).until(1.5);
    b.only(|l| l.contains("client"));
    b.is(expect![[r#"
        0.516 client 1: -BUSY 500
        0.516 client 1: -BUSY 1000
        0.516 client 1: -ERR contract: not an operation of its contract
        0.516 client 1: -ERR contract: no contract in force
    "#]]);
    assert_eq!(b.reducer.figures().matches("\"look\":").count(), 3);
}
