//! Shortage of file descriptors, and clients that are idle or slow.
use crate::bench::*;
use expect_test::expect;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::shared_state::SharedState;

#[test]
fn idle_connections_are_closed_first_when_descriptors_are_short() {
    let mut bench = bench_with_descriptors(32 + 5);
    bench
        .client_connects(1)
        .client_connects(2)
        .request(1, "look", 5)
        .run_until(0.05)
        .backend_connected(3)
        .backend_replies(3, "a")
        .client_connects(3);
    bench.request(1, "look", 6).run_until(0.1).request(1, "look", 7).run_until(0.15);
    bench.assert_trace(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend connection 3: look for 750 ms
        0.050 client 1: $1 a
        0.050 log: connection backend 3 s-a ended: crowded
        0.050 connect Counter(4) to 127.0.0.1:7007
        0.066 log: connection client 2 ended: crowded
        0.066 connect Backend(5) to 127.0.0.1:7011
        0.080 log: connection counter 2 ended: dial-timeout
        0.100 connect Counter(6) to 127.0.0.1:7007
        0.116 log: connection client 3 ended: crowded
        0.116 connect Backend(7) to 127.0.0.1:7012
        0.130 log: connection counter 4 ended: dial-timeout
    "#]]);
}

/// Guards against two faults: clients that kept a connection open without sending anything took the
/// descriptors of backend connections, each of which costs a handshake to reopen; and clients that never sent
/// a command kept their descriptors for ever.
#[test]
fn idle_clients_are_closed_before_backend_connections_when_descriptors_are_short() {
    let mut bench = bench_with_descriptors(32 + 6);
    bench
        .client_connects(1)
        .client_connects(2)
        .request(2, "look", 5)
        .run_until(0.05)
        .backend_connected(3)
        .backend_replies(3, "a")
        .run_until(2.2)
        .trace
        .clear();
    // Connections are closed in this order: a client that never sent a command, a client that was answered
    // long ago, a backend connection.
    bench.client_connects(3).client_connects(4).request(3, "look", 6).client_connects(5).client_connects(6);
    bench.assert_trace_without_discovery(expect![[r#"
        2.200 connect Counter(5) to 127.0.0.1:7007
        2.200 log: connection client 1 ended: crowded
        2.200 log: connection client 2 ended: crowded
    "#]]);
}

/// Guards against one idle timeout for all clients: a client that has sent a command may be idle for longer
/// than one that has not, unless it stopped in the middle of a command.
#[test]
fn idle_clients_are_closed_after_their_timeout_when_descriptors_are_not_short() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .client_connects(2)
        .request(2, "look", 5)
        .run_until(0.05)
        .backend_connected(3)
        .backend_replies(3, "a")
        .trace
        .clear();
    bench
        .run_until(0.5)
        .client_connects(3)
        .request(3, "order", 5)
        .event(Event::PartialMessage(ConnectionId::Client(3)));
    bench.run_until(11.0);
    bench.assert_trace_without_discovery(expect![[r#"
        0.080 log: connection counter 2 ended: dial-timeout
        0.500 connect Counter(4) to 127.0.0.1:7007
        0.540 backend connection 3: order for 759 ms
        0.580 log: connection counter 4 ended: dial-timeout
        0.580 log: counter unresponsive: 4 calls missed in 0.58 s; using even shares
        1.300 log: connection backend 3 s-a ended: timed-out; attempt 1 of request 0000000000000002, after 0.760 s
        1.300 client 3: -ERR failed
        2.500 log: connection client 1 ended: idle
        3.000 log: connection client 3 ended: idle
        10.500 log: connection client 2 ended: idle
    "#]]);
}

/// Guards against a timeout that starts at the last reply: a client that took 2 s for a command was
/// disconnected 2 s after its last reply, while more of the command was arriving.
#[test]
fn the_timeout_of_a_partial_command_starts_at_its_first_byte() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .client_connects(2)
        .client_sends(1, "*1\r\n$4\r\nPING\r\n")
        .run_until(1.9)
        .trace
        .clear();
    for at in [1.9, 2.5, 3.0, 3.8] {
        bench.run_until(at).event(Event::PartialMessage(ConnectionId::Client(1)));
    }
    bench
        .run_until(3.9)
        .client_sends(1, "*1\r\n$4\r\nPING\r\n")
        .event(Event::PartialMessage(ConnectionId::Client(1)))
        .run_until(8.0);
    bench.assert_trace_without_discovery(expect![[r#"
        2.500 log: connection client 2 ended: idle
        3.900 client 1: +PONG
        6.400 log: connection client 1 ended: idle
    "#]]);
}

/// Guards against a lost command: descriptors ran short in the batch in which a client's command had been
/// read. The client was evicted for a new one, and the command, which is handled after all other events, got
/// no reply.
#[test]
fn a_client_whose_command_has_been_read_is_not_evicted() {
    let mut bench = bench_with_descriptors(32 + 5);
    bench
        .client_connects(1)
        .client_sends(1, PING)
        .client_connects(2)
        .client_sends(2, PING)
        .run_until(1.0)
        .trace
        .clear();
    let accepted = [3, 4, 5].map(|id| Event::ClientAccepted { client: id, address: CLIENT_ADDRESS });
    bench.batch(accepted.into_iter().chain([command_event(1, PING)]).collect());
    bench.assert_trace_without_discovery(expect![[r#"
        1.000 log: connection client 2 ended: crowded
        1.000 client 1: +PONG
    "#]]);
}

/// Guards against a fixed split of the descriptors during an upgrade: each process had half of them, however
/// few the stopping process still needed.
#[test]
fn descriptors_that_a_stopping_process_releases_are_available_to_the_other_one() {
    let accepted_clients = |peer_descriptor_limit| {
        let mut bench = bench_configured(200, true, true);
        bench.event(Event::SharedStateSaved {
            call: None,
            shared: Ok(SharedState {
                peer_process_running: true,
                peer_descriptor_limit,
                ..SharedState::default()
            }),
        });
        (1..200)
            .find(|id| bench.client_connects(*id).trace.contains("crowded"))
            .expect("a client is evicted before the 200th connects")
    };
    let half = accepted_clients(None);
    let all_but_60 = accepted_clients(Some(60));
    let all_but_half = accepted_clients(Some(150));
    assert_eq!((all_but_60 - half, all_but_half), (40, half), "{half}");
}
