//! The operator file: admission limits, limits of requests, and contracts.
use crate::bench::*;
use expect_test::expect;
use quillramp_admission::Limits;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::state::event::Event;
use std::net::{IpAddr, Ipv4Addr};

/// Returns a bench that admits three clients, one of them reserved for the known address 10.0.0.1.
fn bench_with_admission() -> Bench {
    let mut bench = bench_configured(1024, false, false);
    bench.set_admission_limits(Limits {
        known_networks: vec!["10.0.0.1".parse().expect("a valid address")],
        ..LIMITS
    });
    bench.trace.clear();
    bench
}

fn address_in_network(last_octet: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last_octet).into()
}

/// Guards against two faults: the connections of one address were not limited, and a client of a known
/// address could not connect.
#[test]
fn a_rejected_client_gets_the_reason_and_a_known_address_its_reserved_connection() {
    let mut bench = bench_with_admission();
    bench
        .client_connects(1)
        .client_connects(2)
        .client_connects(3)
        .event(Event::ClientAccepted { client: 4, address: address_in_network(1) })
        .client_sends(4, PING);
    bench
        .client_sends(1, PING)
        .run_until(0.5)
        .event(Event::ClientAccepted { client: 5, address: address_in_network(1) })
        .client_sends(5, PING);
    bench.assert_trace_without_discovery(expect![[r#"
        0.000 client 3 rejected: too many connections of this address on which nothing was asked
        0.000 log: connection client 3 ended: turned-away
        0.000 client 4: +PONG
        0.000 client 1: +PONG
        0.500 log: connection client 2 ended: crowded
        0.500 client 5: +PONG
    "#]]);
}

/// Guards against a slow client that is closed as idle: the admission controller was not notified of the
/// first part of its command.
#[test]
fn a_client_with_a_partial_first_command_is_not_closed_as_idle() {
    let mut bench = bench_with_admission();
    bench
        .client_connects(1)
        .client_connects(2)
        .event(Event::PartialMessage(ConnectionId::Client(1)))
        .run_until(1.6);
    bench.assert_trace_without_discovery(expect![[r#"
        1.000 log: connection client 2 ended: idle
    "#]]);
    bench.client_sends(1, PING);
    bench.assert_trace_without_discovery(expect![[r#"
        1.600 client 1: +PONG
    "#]]);
}

/// Guards against a customer that uses up the pending commands of its address: none were left for the other
/// customers behind that address.
#[test]
fn commands_beyond_a_customers_part_of_its_addresss_limit_are_rejected_with_a_retry_delay() {
    let mut bench = bench_with_admission();
    bench
        .client_connects(1)
        .request(1, "look", 5)
        .request(1, "look", 5)
        .client_connects(2)
        .request(2, "look", 5)
        .request(2, "look", 6)
        .run_until(0.05);
    bench.backend_connected(4);
    bench.retain_lines(|line| line.contains("client") || line.contains("backend connection"));
    bench.assert_trace(expect![[r#"
        0.000 client 2: -BUSY 50
        0.050 backend connection 4: look for 750 ms
    "#]]);
}

/// Guards against the eviction of a connection with pending commands: commands that had been read before
/// their connection was admitted were not counted, and the connection was evicted when descriptors were short
/// (emulator, seed 2698).
#[test]
fn commands_that_were_read_before_their_connection_was_admitted_are_counted() {
    let mut bench = bench_with_descriptors(32 + 4);
    let limits = Limits { connections: 30, reserve: 0, per_address: 30, unidentified: 30, ..LIMITS };
    bench.set_admission_limits(limits).client_connects(1).client_connects(2).run_until(0.5).trace.clear();
    bench.batch(vec![
        Event::ClientAccepted { client: 3, address: CLIENT_ADDRESS },
        command_event(3, PING),
        command_event(3, PING),
    ]);
    bench.assert_trace_without_discovery(expect![[r#"
        0.500 client 3: +PONG
        0.500 client 3: +PONG
    "#]]);
}

const SHORT_TIMEOUT_CLASS: &str = "[[class]]\nname = \"short\"\nattempts = 1\ntimeout = 0.2\n[[route]]\noperations = [\"look\"]\nclass = \"short\"\n";

/// Guards against a reload that changes the limits of pending requests: a request keeps the limits under
/// which it was accepted, even if its class has been removed since. Two files that are loaded at the same
/// time are applied in order, and each change is logged once.
#[test]
fn requests_keep_the_limits_under_which_they_were_accepted() {
    let mut bench = bench();
    bench.client_connects(1).client_connects(2).client_connects(3);
    bench.request(1, "look", 1).run_until(0.1);
    reload_operator_file(&mut bench, SHORT_TIMEOUT_CLASS);
    bench.request(2, "look", 2).run_until(0.15);
    reload_operator_file(&mut bench, SHORT_TIMEOUT_CLASS);
    reload_operator_file(&mut bench, "");
    bench.request(3, "look", 3).run_until(2.0);
    bench.retain_lines(|line| line.contains("client") || line.contains("declared"));
    bench.assert_trace(expect![[r#"
        0.100 log: request limits declared: 1 classes, for 1 pairs of operation and plan
        0.150 log: request limits declared: 0 classes, for 0 pairs of operation and plan
        0.254 client 3: -BUSY 400
        0.266 client 1: -BUSY 400
        0.300 client 2: -BUSY 500
    "#]]);
}

/// Guards against connections that are not counted: an admission controller that was enabled while
/// connections were open ignored them, and their addresses exceeded their limits.
#[test]
fn admission_counts_the_connections_that_were_open_before_it() {
    let mut bench = bench();
    bench.client_connects(1).client_connects(2).client_sends(1, PING).request(2, "look", 5).run_until(0.01);
    bench.set_admission_limits(LIMITS).trace.clear();
    bench.client_connects(3).client_connects(4).client_sends(3, PING).client_sends(4, PING);
    bench.retain_lines(|line| line.contains("client"));
    bench.assert_trace(expect![[r#"
        0.010 client 3 rejected: full
        0.010 log: connection client 3 ended: turned-away
        0.010 client 4 rejected: full
        0.010 log: connection client 4 ended: turned-away
    "#]]);
}

const CONTRACT: &str =
    "[broker]\ncapacity = 100\nstrangers = \"refuse\"\n[[contract]]\nteam = \"t\"\nrate = 3\nburst = 3\n\
                        operations = [\"look\"]\ncustomers = [\"0000000000000005\"]\n";

/// Guards against three faults: a request that its contract rejects reaches the policy engine; a request that
/// the engine rejects is not refunded to its contract; a customer without a contract does not get that as the
/// reason.
#[test]
fn a_request_is_checked_against_its_contract_before_it_is_routed() {
    let mut bench = bench();
    reload_operator_file(&mut bench, CONTRACT);
    bench.client_connects(1).trace.clear();
    // The instance starts with its even share of the contract's rate of three a second, which is one.
    bench
        .request(1, "look", 5)
        .request(1, "look", 5)
        .request(1, "order", 5)
        .request(1, "look", 6)
        .run_until(1.5);
    bench.retain_lines(|line| line.contains("client"));
    bench.assert_trace(expect![[r#"
        0.516 client 1: -BUSY 500
        0.516 client 1: -BUSY 1000
        0.516 client 1: -ERR contract: not an operation of its contract
        0.516 client 1: -ERR contract: no contract in force
    "#]]);
    assert_eq!(bench.reducer.stats_json().matches("\"look\":").count(), 3);
}
