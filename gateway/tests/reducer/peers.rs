//! Datagrams from peers, the list service, and reloads of the configuration.
use crate::bench::*;
use expect_test::expect;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::event::Event;
use quillramp_gateway::wire::http::Response;

#[test]
fn datagrams_that_are_malformed_or_from_unknown_peers_are_dropped_and_counted() {
    let mut bench = bench();
    let peer = "127.0.0.1:7004".parse().expect("a valid address");
    let unknown_peer = "127.0.0.1:9".parse().expect("a valid address");
    bench.event(Event::Datagram { from: peer, body: b"\x01s-a".to_vec() });
    bench.event(Event::Datagram { from: unknown_peer, body: b"\x01s-a".to_vec() });
    bench.event(Event::Datagram { from: peer, body: vec![2; 300] });
    // The total of a counter that more instances share than there are.
    bench.event(Event::Datagram {
        from: peer,
        body: [&[2, 5, 0, 0, 0, 0, 0, 0, 0, 9, 0][..], &[0; 8]].concat(),
    });
    bench.event(Event::Datagram {
        from: peer,
        body: [&[2, 5, 0, 0, 0, 0, 0, 0, 0, 3, 0][..], &[0; 8]].concat(),
    });
    bench.event(Event::Datagram { from: peer, body: vec![] });
    bench.assert_trace(expect![[r#"
        0.000 log: datagrams dropped since the process started (malformed or from unknown peers): 1
        0.000 log: datagrams dropped since the process started (malformed or from unknown peers): 2
        0.000 log: datagrams dropped since the process started (malformed or from unknown peers): 4
    "#]]);
}

/// Guards against requests that fail when a configuration is reloaded under load, with new addresses of the
/// list service and the counter.
#[test]
fn a_reload_moves_the_list_service_and_the_counter_without_failing_requests() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .event(Event::Connected(ConnectionId::Discovery(1)))
        .request(1, "look", 5)
        .event(Event::Connected(ConnectionId::Counter(2)));
    let (discovery, counter) =
        ("127.0.0.1:8006".parse().expect("a valid address"), "127.0.0.1:8007".parse().ok());
    bench
        .event(Event::ConfigurationReloaded { discovery, counter })
        .event(Event::Connected(ConnectionId::Discovery(3)));
    bench
        .request(1, "look", 6)
        .event(Event::Connected(ConnectionId::Counter(4)))
        .counter_responds(2, 200, "1")
        .backend_connected(6)
        .backend_replies(6, "served");
    let complete_list = r#"{"index":3,"snapshot":true,"endpoints":[]}"#;
    bench.event(Event::HttpResponse {
        connection: ConnectionId::Discovery(3),
        response: Response { status: 200, body: complete_list.into(), closes_connection: false },
    });
    bench.assert_trace(expect![[r#"
        0.000 Discovery(1): watch since 41
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 Counter(2): add 1
        0.000 log: configuration reloaded: list service at 127.0.0.1:8006, counter at Some(127.0.0.1:8007)
        0.000 log: connection list 1 ended: moved
        0.000 connect Discovery(3) to 127.0.0.1:8006
        0.000 Discovery(3): list
        0.000 connect Counter(4) to 127.0.0.1:8007
        0.000 Counter(4): add 1
        0.000 log: connection counter 2 ended: moved
        0.000 connect Counter(5) to 127.0.0.1:8007
        0.000 connect Backend(6) to 127.0.0.1:7012
        0.000 backend connection 6: look for 799 ms
        0.000 client 1: $6 served
        0.000 log: connection backend 6 s-b ended: delisted
        0.000 Discovery(3): watch since 3
    "#]]);
}

/// Guards against records of removed backends that are never deleted: their name, their index and the policy
/// engine's record were kept for ever. An index must not be used for another backend while something still
/// refers to the first.
#[test]
fn removed_backends_are_forgotten_once_nothing_refers_to_them() {
    let mut bench = bench();
    bench
        .event(Event::Connected(ConnectionId::Discovery(1)))
        .client_connects(1)
        .request(1, "order", 5)
        .run_until(0.05)
        .backend_connected(3)
        .trace
        .clear();
    let mut list_backends = |names: &[&str]| {
        let entry = |n: &&str| {
            format!(
                r#"{{"name":"{n}","address":"127.0.0.1:7011","zone":"z","group":0,"status":"SERVING","weight":1,"since_ms":0}}"#
            )
        };
        let entries: Vec<String> = names.iter().map(entry).collect();
        let body = format!(r#"{{"index":42,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        bench.event(Event::HttpResponse {
            connection: ConnectionId::Discovery(1),
            response: Response { status: 200, body: body.into(), closes_connection: false },
        });
        let until = bench.now - 1000.0 + 1.0;
        bench.run_until(until).trace.clear();
        bench.reducer.backend_count()
    };
    // The order stays in flight at the first backend; the indices of the other backends are reused.
    let mut backend_counts = vec![];
    for names in [&["s-c", "s-d"], &["s-e", "s-f"], &["s-g", "s-h"]] {
        backend_counts.push(list_backends(names));
    }
    expect!["[4, 4, 4]"].assert_eq(&format!("{backend_counts:?}"));
}

/// Returns the event for a response of the list service without changes.
fn unchanged_endpoints(connection: u64) -> Event {
    let body = r#"{"index":41,"snapshot":false,"endpoints":[]}"#;
    Event::HttpResponse {
        connection: ConnectionId::Discovery(connection),
        response: Response { status: 200, body: body.into(), closes_connection: false },
    }
}

/// Returns a bench whose first connection to the list service became unresponsive and whose second one was
/// reset.
fn bench_with_replaced_discovery_connections() -> Bench {
    let mut bench = bench();
    bench
        .event(Event::Connected(ConnectionId::Discovery(1)))
        .run_until(5.5)
        .event(Event::Connected(ConnectionId::Discovery(2)))
        .event(unchanged_endpoints(2));
    bench
        .run_until(7.0)
        .connection_ended(ConnectionId::Discovery(2), CloseReason::Reset, false)
        .event(Event::Connected(ConnectionId::Discovery(3)))
        .event(unchanged_endpoints(3));
    bench
}

/// Guards against an outdated endpoint list: the gateway waited 22 s for a response on an unresponsive
/// connection to the list service, while all backends were replaced. A watch gets a response at its timeout
/// even without changes. If the response is overdue, or the connection has ended, the gateway asks on a new
/// connection for a response without a wait.
#[test]
fn an_unresponsive_connection_to_the_list_service_is_replaced_when_its_response_is_overdue() {
    let mut bench = bench_with_replaced_discovery_connections();
    bench.assert_trace(expect![[r#"
        0.000 Discovery(1): watch since 41
        5.400 connect Discovery(2) to 127.0.0.1:7002
        5.500 Discovery(2): since 41, at once
        5.500 log: connection list 1 ended: silent
        5.500 Discovery(2): watch since 41
        7.000 log: connection list 2 ended: reset
        7.000 connect Discovery(3) to 127.0.0.1:7002
        7.000 Discovery(3): since 41, at once
        7.000 Discovery(3): watch since 41
    "#]]);
}

/// Guards against an endpoint list that never arrives: its connection was closed 5 s after its response was due, although
/// parts of it kept arriving, and each new connection 0.4 s after its start.
#[test]
fn a_connection_on_which_an_endpoint_list_arrives_slowly_is_not_given_up() {
    let mut bench = bench();
    bench.event(Event::Connected(ConnectionId::Discovery(1))).run_until(5.5);
    bench.event(Event::Connected(ConnectionId::Discovery(2)));
    for part in 1..50 {
        bench.run_until(5.4 + f64::from(part) * 0.3);
        bench.event(Event::PartialMessage(ConnectionId::Discovery(1)));
        bench.event(Event::PartialMessage(ConnectionId::Discovery(2)));
    }
    bench.event(unchanged_endpoints(2)).run_until(20.4);
    bench.assert_trace(expect![[r#"
        0.000 Discovery(1): watch since 41
        5.400 connect Discovery(2) to 127.0.0.1:7002
        5.500 Discovery(2): since 41, at once
        20.100 log: connection list 1 ended: silent
        20.100 Discovery(2): watch since 41
    "#]]);
}

/// Guards against pauses between the calls to a list service that can't be reached: the gateway keeps
/// connecting, however long the outage lasts.
#[test]
fn an_unreachable_list_service_is_polled_without_a_pause() {
    let mut bench = bench_with_replaced_discovery_connections();
    bench.trace.clear();
    bench.run_until(8.0).connection_ended(ConnectionId::Discovery(3), CloseReason::Reset, false);
    for id in 4..8 {
        bench.connection_ended(ConnectionId::Discovery(id), CloseReason::Refused, false);
        let next = bench.now - 1000.0 + 0.25;
        bench.run_until(next);
    }
    bench.run_until(12.0);
    bench.assert_trace(expect![[r#"
        8.000 log: connection list 3 ended: reset
        8.000 connect Discovery(4) to 127.0.0.1:7002
        8.000 log: connection list 4 ended: refused
        8.200 connect Discovery(5) to 127.0.0.1:7002
        8.250 log: connection list 5 ended: refused
        8.450 connect Discovery(6) to 127.0.0.1:7002
        8.500 log: connection list 6 ended: refused
        8.700 connect Discovery(7) to 127.0.0.1:7002
        8.750 log: connection list 7 ended: refused
        8.950 connect Discovery(8) to 127.0.0.1:7002
        9.350 connect Discovery(9) to 127.0.0.1:7002
        9.750 log: connection list 9 ended: silent
        9.750 connect Discovery(10) to 127.0.0.1:7002
        10.150 log: connection list 10 ended: silent
        10.150 connect Discovery(11) to 127.0.0.1:7002
        10.550 log: connection list 11 ended: silent
        10.550 connect Discovery(12) to 127.0.0.1:7002
        10.950 log: connection list 12 ended: silent
        10.950 connect Discovery(13) to 127.0.0.1:7002
        11.350 log: connection list 13 ended: silent
        11.350 connect Discovery(14) to 127.0.0.1:7002
        11.750 log: connection list 14 ended: silent
        11.750 connect Discovery(15) to 127.0.0.1:7002
    "#]]);
}
