//! Draining and graceful shutdown.
use crate::bench::*;
use expect_test::{expect, Expect};
use quillramp_gateway::state::connection::CloseReason;
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::shared_state::SharedState;

#[test]
fn a_shutdown_keeps_serving_then_closes_connections_and_exits_when_all_requests_are_answered() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .client_connects(2)
        .event(Event::Shutdown)
        .run_until(0.3)
        .request(1, "look", 5)
        .run_until(0.35)
        .backend_connected(3)
        .run_until(0.5);
    bench
        .event(Event::IdleClientClosed { client: 2, reason: CloseReason::Stopping })
        .run_until(0.6)
        .backend_replies(3, "a")
        .event(Event::Shutdown)
        .event(Event::IdleClientClosed { client: 1, reason: CloseReason::Stopping });
    bench.assert_trace(expect![[r#"
        0.000 log: shutting down: still serving clients, then closing their connections
        0.300 connect Counter(2) to 127.0.0.1:7007
        0.316 connect Backend(3) to 127.0.0.1:7011
        0.350 backend connection 3: look for 749 ms
        0.380 log: connection counter 2 ended: dial-timeout
        0.500 stop accepting
        0.500 close client 2 if idle
        0.500 log: connection client 2 ended: stopping
        0.566 connect Backend(4) to 127.0.0.1:7012
        0.600 client 1: $1 a
        0.600 log: connection backend 4 s-b ended: gave-up; attempt 2 of request 0000000000000001, after 0.034 s
        0.600 close client 1 if idle
        0.600 log: connection client 1 ended: stopping
        0.600 exit once all is written
    "#]]);
}

/// Returns a bench whose instance an operator has drained. Of its three clients, client 1 keeps sending
/// requests, and its connection stays open.
fn bench_drained_by_an_operator() -> Bench {
    let mut bench = bench_configured(1024, false, true);
    bench
        .client_connects(1)
        .client_connects(2)
        .client_sends(2, PING)
        .request(1, "order", 5)
        .run_until(0.05)
        .trace
        .clear();
    admin_call(&mut bench, 1, "POST /healthcheck/ok");
    shared_state_saved(&mut bench, 1, &[], false);
    admin_call(&mut bench, 2, "POST /healthcheck/fail");
    bench.client_sends(2, PING);
    shared_state_saved(&mut bench, 2, &[], true);
    admin_call(&mut bench, 3, "GET /healthcheck");
    bench
        .run_until(0.3)
        .client_connects(3)
        .run_until(0.6)
        .event(Event::IdleClientClosed { client: 2, reason: CloseReason::Draining })
        .event(Event::IdleClientClosed { client: 3, reason: CloseReason::Draining });
    bench.request(1, "look", 6).run_until(1.6);
    bench
}

/// Requests the drain a second time, ends it with one call, and connects a client.
fn end_drain(bench: &mut Bench) {
    admin_call(bench, 4, "POST /healthcheck/fail");
    shared_state_saved(bench, 4, &[], true);
    admin_call(bench, 5, "POST /healthcheck/ok");
    shared_state_saved(bench, 5, &[], false);
    bench.client_connects(4).client_sends(4, PING).run_until(2.0);
}

/// Compares the trace, without the connections to backends and the counter, with the expected one.
fn assert_trace_of_clients(bench: &mut Bench, expected: Expect) {
    bench.retain_lines(|line| !line.contains("ackend") && !line.contains("ounter"));
    bench.assert_trace(expected);
}

/// Guards against requests that are lost in a drain: a drained instance fails its health check at once, still
/// accepts new clients for a while, and closes connections only between commands.
#[test]
fn a_drain_fails_health_checks_at_once_and_closes_connections_between_commands() {
    let mut bench = bench_drained_by_an_operator();
    assert_trace_of_clients(
        &mut bench,
        expect![[r#"
            0.050 save SetDrained(false)
            0.050 operator 1: 200 done
            0.050 log: drain started by an operator: closing connections
            0.050 save SetDrained(true)
            0.050 client 2: -ERR draining
            0.050 operator 2: 200 done
            0.050 operator 3: 503 draining
            0.550 close client 2 if idle
            0.550 close client 3 if idle
            0.600 log: connection client 2 ended: draining
            0.600 log: connection client 3 ended: draining
            0.790 client 1: -BUSY 500
            1.050 log: connection operator 1 ended: called
            1.050 log: connection operator 2 ended: called
            1.050 log: connection operator 3 ended: called
            1.116 client 1: -BUSY 500
            1.116 close client 1 if idle
        "#]],
    );
}

/// Guards against a drain that outlasts the call that ends it: one call is enough, however often the drain
/// was requested.
#[test]
fn a_drain_that_was_requested_twice_ends_with_one_call() {
    let mut bench = bench_drained_by_an_operator();
    bench.trace.clear();
    end_drain(&mut bench);
    assert_trace_of_clients(
        &mut bench,
        expect![[r#"
            1.600 save SetDrained(true)
            1.600 operator 4: 200 done
            1.600 log: drain ended by an operator
            1.600 save SetDrained(false)
            1.600 operator 5: 200 done
            1.600 client 4: +PONG
        "#]],
    );
}

/// Guards against a shutdown that stops half-way: SIGTERM during a drain still leads to the exit of the
/// process, even if an operator ends the drain meanwhile.
#[test]
fn a_shutdown_during_a_drain_continues_after_the_drain_has_ended() {
    let mut bench = bench_drained_by_an_operator();
    end_drain(&mut bench);
    bench.trace.clear();
    admin_call(&mut bench, 6, "POST /healthcheck/fail");
    shared_state_saved(&mut bench, 6, &[], true);
    bench
        .run_until(2.4)
        .event(Event::Shutdown)
        .run_until(3.0)
        .event(Event::IdleClientClosed { client: 4, reason: CloseReason::Stopping });
    admin_call(&mut bench, 7, "POST /healthcheck/ok");
    shared_state_saved(&mut bench, 7, &[], false);
    admin_call(&mut bench, 8, "GET /healthcheck");
    assert_trace_of_clients(
        &mut bench,
        expect![[r#"
            2.000 log: drain started by an operator: closing connections
            2.000 save SetDrained(true)
            2.000 operator 6: 200 done
            2.400 log: shutting down: still serving clients, then closing their connections
            2.600 log: connection operator 4 ended: called
            2.600 log: connection operator 5 ended: called
            2.900 stop accepting
            2.900 close client 1 if idle
            2.900 close client 4 if idle
            3.000 log: connection operator 6 ended: called
            3.000 log: connection client 4 ended: stopping
            3.000 log: drain ended by an operator
            3.000 save SetDrained(false)
            3.000 operator 7: 200 done
            3.000 operator 8: 503 draining
        "#]],
    );
}

/// Returns a bench whose process has a pending request, after a new process has taken over its listening
/// socket and has ejected a backend.
fn bench_replaced_by_a_new_process() -> Bench {
    let mut bench = bench_configured(1024, true, true);
    bench
        .client_connects(1)
        .client_connects(2)
        .client_connects(3)
        .client_sends(2, PING)
        .request(1, "order", 5)
        .run_until(0.05)
        .trace
        .clear();
    let ejected_backends = [("s-a".to_string(), 1000.0)].into();
    bench.event(Event::SharedStateSaved {
        call: None,
        shared: Ok(SharedState {
            ejected_backends,
            drained: false,
            peer_process_running: true,
            peer_process_newer: true,
            peer_descriptor_limit: None,
        }),
    });
    bench
}

/// Guards against lost requests at a handover. Once the new process has the listening socket, the old one
/// stops accepting at once, still reports the instance as healthy, and closes connections only between
/// commands, and none on which no command has been sent. Ejections at the new process apply to the old one
/// too.
#[test]
fn a_replaced_process_answers_pending_requests_while_the_new_one_accepts() {
    let mut bench = bench_replaced_by_a_new_process();
    bench
        .event(Event::Shutdown)
        .client_sends(2, PING)
        .event(Event::IdleClientClosed { client: 2, reason: CloseReason::Stopping })
        .run_until(3.1);
    bench
        .client_sends(3, PING)
        .event(Event::IdleClientClosed { client: 3, reason: CloseReason::Stopping })
        .event(Event::IdleClientClosed { client: 1, reason: CloseReason::Stopping });
    bench.retain_lines(|line| !line.contains("ounter"));
    bench.assert_trace(expect![[r#"
        0.050 log: backend s-a ejected by an operator
        0.050 log: another process of this instance is running
        0.050 log: shutting down: the next process accepts clients, this one answers its pending requests
        0.050 stop accepting
        0.050 announce a limit of 62 descriptors
        0.050 close client 2 if idle
        0.050 client 2: +PONG
        0.050 close client 2 if idle
        0.050 log: connection client 2 ended: stopping
        0.290 log: connection backend 3 s-a ended: dial-timeout
        0.290 connect Backend(4) to 127.0.0.1:7012
        0.540 log: connection backend 4 s-b ended: dial-timeout
        0.540 connect Backend(5) to 127.0.0.1:7012
        0.790 log: connection backend 5 s-b ended: dial-timeout
        0.790 client 1: -BUSY 500
        0.790 close client 1 if idle
        3.100 client 3: +PONG
        3.100 close client 3 if idle
        3.100 log: connection client 3 ended: stopping
        3.100 log: connection client 1 ended: stopping
        3.100 exit once all is written
    "#]]);
}

/// Guards against a slow shutdown: a process with an inherited socket and no successor waited for clients
/// that had never sent a command, which delayed the next start.
#[test]
fn a_shutdown_with_an_inherited_socket_and_no_successor_is_an_ordinary_one() {
    let mut bench = bench_configured(1024, true, true);
    bench.client_connects(1).client_connects(2).client_sends(2, PING);
    // The previous process is still running; it does not take over the socket.
    let shared = SharedState { peer_process_running: true, ..SharedState::default() };
    bench.event(Event::SharedStateSaved { call: None, shared: Ok(shared) }).trace.clear();
    bench.event(Event::Shutdown).client_sends(2, PING).run_until(0.3).client_connects(3).run_until(0.6);
    bench
        .event(Event::IdleClientClosed { client: 1, reason: CloseReason::Stopping })
        .event(Event::IdleClientClosed { client: 2, reason: CloseReason::Stopping })
        .event(Event::IdleClientClosed { client: 3, reason: CloseReason::Stopping });
    bench.assert_trace(expect![[r#"
        0.000 log: shutting down: still serving clients, then closing their connections
        0.000 client 2: -ERR draining
        0.500 stop accepting
        0.500 close client 1 if idle
        0.500 close client 2 if idle
        0.500 close client 3 if idle
        0.600 log: connection client 1 ended: stopping
        0.600 log: connection client 2 ended: stopping
        0.600 log: connection client 3 ended: stopping
        0.600 exit once all is written
    "#]]);
}

/// Guards against lost commands when a drained instance is shut down: it closed connections that it had just
/// accepted, although commands had been read on them.
#[test]
fn a_shutdown_of_a_drained_instance_keeps_serving_before_it_closes_connections() {
    let mut bench = bench_configured(1024, false, true);
    bench.client_connects(1);
    admin_call(&mut bench, 1, "POST /healthcheck/fail");
    shared_state_saved(&mut bench, 1, &[], true);
    bench.run_until(0.7).event(Event::Shutdown).run_until(0.9).trace.clear();
    bench
        .batch(vec![Event::ClientAccepted { client: 2, address: CLIENT_ADDRESS }, command_event(2, PING)])
        .run_until(1.25);
    // From now on new connections are closed; a command that was read on one of them is answered first.
    bench
        .batch(vec![Event::ClientAccepted { client: 3, address: CLIENT_ADDRESS }, command_event(3, PING)])
        .event(Event::ClientAccepted { client: 4, address: CLIENT_ADDRESS });
    bench.assert_trace_without_discovery(expect![[r#"
        0.900 client 2: -ERR draining
        1.000 log: connection operator 1 ended: called
        1.200 stop accepting
        1.200 close client 1 if idle
        1.200 close client 2 if idle
        1.250 client 3: -ERR draining
        1.250 close client 3 if idle
        1.250 log: connection client 4 ended: stopping
    "#]]);
}

/// Returns a bench with a client whose `order` is in flight when the instance is to stop or drain; its timeout
/// ends `timeout_ms` after that.
fn bench_with_order_in_flight(timeout_ms: u64) -> Bench {
    let mut bench = bench_configured(1024, false, true);
    bench.client_connects(1);
    send_in_flight(&mut bench, 1, 3, timeout_ms);
    bench.trace.clear();
    bench
}

/// Sends an `order` from this client, and reports its connection to a backend as established.
fn send_in_flight(bench: &mut Bench, client: u64, backend_connection: u64, timeout_ms: u64) {
    let arguments = format!("t=small,d={timeout_ms},units=1,spread=1,first=0");
    bench.request_with(client, "order", "0000000000000005", &arguments);
    let established_at = bench.now - 1000.0 + 0.05;
    bench.run_until(established_at).backend_connected(backend_connection);
}

/// Guards against requests that are read and never answered: those behind a pending one are rejected, each in its
/// turn, from 1.5 s after SIGTERM on; before, they were discarded.
#[test]
fn requests_behind_a_pending_one_are_rejected_in_their_turn_during_a_shutdown() {
    let mut bench = bench_with_order_in_flight(3000);
    bench.event(Event::Shutdown).run_until(1.0);
    bench.request(1, "look", 5).run_until(1.7).request(1, "look", 5).client_sends(1, PING);
    bench.request_with(1, "look", "0000000000000005", "t=none,d=800,units=1,spread=1,first=0");
    bench.run_until(3.1).event(Event::IdleClientClosed { client: 1, reason: CloseReason::Stopping });
    assert_trace_of_clients(
        &mut bench,
        expect![[r#"
        0.050 log: shutting down: still serving clients, then closing their connections
        0.550 stop accepting
        1.550 log: draining: further requests of 1 busy clients are rejected
        3.000 client 1: -ERR failed
        3.000 client 1: -BUSY 500
        3.000 client 1: -BUSY 50
        3.000 client 1: -ERR draining
        3.000 client 1: -ERR unknown plan
        3.000 close client 1 if idle
        3.100 log: connection client 1 ended: stopping
        3.100 exit once all is written
    "#]],
    );
}

/// Guards against a client that holds its connection to a drained instance by sending commands without a pause:
/// its pending requests are answered before 4 s have passed, and nothing more is read from it.
#[test]
fn a_client_that_keeps_sending_to_a_drained_instance_is_closed_after_its_replies() {
    let mut bench = bench_with_order_in_flight(3000);
    admin_call(&mut bench, 1, "POST /healthcheck/fail");
    shared_state_saved(&mut bench, 1, &[], true);
    bench.run_until(1.4);
    send_in_flight(&mut bench, 1, 6, 3000);
    bench.run_until(1.7).request(1, "look", 5).run_until(3.5);
    // On a connection that was not busy, one request is forwarded.
    bench.client_connects(2);
    send_in_flight(&mut bench, 2, 8, 800);
    bench.request(2, "look", 5).run_until(4.0);
    bench.retain_lines(|line| !line.contains("ounter") && !line.contains("iscovery"));
    bench.assert_trace(expect![[r#"
        0.050 log: drain started by an operator: closing connections
        0.050 save SetDrained(true)
        0.050 operator 1: 200 done
        1.050 log: connection operator 1 ended: called
        1.440 connect Backend(6) to 127.0.0.1:7012
        1.450 backend connection 6: order for 2950 ms
        1.550 log: draining: further requests of 1 busy clients are rejected
        3.000 log: connection backend 3 s-a ended: timed-out; attempt 1 of request 0000000000000001, after 2.960 s
        3.000 client 1: -ERR failed
        3.500 connect Backend(7) to 127.0.0.1:7011
        3.750 log: connection backend 7 s-a ended: dial-timeout
        3.750 connect Backend(9) to 127.0.0.1:7012
        3.850 log: draining: 2 clients kept sending commands and are closed after their replies
        3.850 stop reading client 1
        3.850 log: connection backend 6 s-b ended: timed-out; attempt 1 of request 0000000000000002, after 2.410 s
        3.850 client 1: -ERR failed
        3.850 client 1: -BUSY 50
        3.850 stop reading client 2
        3.850 log: connection backend 9 s-b ended: timed-out; attempt 2 of request 0000000000000004, after 0.100 s
        3.850 client 2: -ERR failed
        3.850 client 2: -BUSY 50
        3.850 close client 1 if idle
        3.850 close client 2 if idle
    "#]]);
}

/// Guards against clients that are rejected after the drain has ended.
#[test]
fn a_client_that_was_rejected_during_a_drain_is_served_after_its_end() {
    let mut bench = bench_with_order_in_flight(2500);
    admin_call(&mut bench, 1, "POST /healthcheck/fail");
    shared_state_saved(&mut bench, 1, &[], true);
    bench.run_until(1.6).request(1, "look", 5).run_until(1.8);
    admin_call(&mut bench, 2, "POST /healthcheck/ok");
    shared_state_saved(&mut bench, 2, &[], false);
    bench.request(1, "look", 5).run_until(4.2);
    bench.retain_lines(|line| !line.contains("ounter") && !line.contains("iscovery"));
    bench.assert_trace(expect![[r#"
        0.050 log: drain started by an operator: closing connections
        0.050 save SetDrained(true)
        0.050 operator 1: 200 done
        1.050 log: connection operator 1 ended: called
        1.550 log: draining: further requests of 1 busy clients are rejected
        1.800 log: drain ended by an operator
        1.800 save SetDrained(false)
        1.800 operator 2: 200 done
        1.816 connect Backend(6) to 127.0.0.1:7012
        2.066 connect Backend(7) to 127.0.0.1:7011
        2.066 log: connection backend 6 s-b ended: dial-timeout
        2.166 connect Backend(8) to 127.0.0.1:7012
        2.316 log: connection backend 7 s-a ended: dial-timeout
        2.416 log: connection backend 8 s-b ended: dial-timeout
        2.500 log: connection backend 3 s-a ended: timed-out; attempt 1 of request 0000000000000001, after 2.460 s
        2.500 client 1: -ERR failed
        2.500 client 1: -BUSY 50
        2.500 client 1: -BUSY 500
        2.800 log: connection operator 2 ended: called
    "#]]);
}

/// Guards against a connection that stays open after a drain: it could not be closed while replies to its client
/// were still to be written.
#[test]
fn a_client_whose_replies_were_not_written_is_checked_again_once_they_are() {
    let mut bench = bench_with_order_in_flight(3000);
    bench.event(Event::Shutdown).backend_replies(3, "a").run_until(0.6).trace.clear();
    bench.event(Event::ClientOutputWritten(1));
    assert_trace_of_clients(
        &mut bench,
        expect![[r#"
        0.600 close client 1 if idle
    "#]],
    );
}

/// Guards against requests that are read and never answered during a handover, which shares the drain's code.
#[test]
fn requests_behind_a_pending_one_are_rejected_in_their_turn_during_a_handover() {
    let mut bench = bench_replaced_by_a_new_process();
    send_in_flight(&mut bench, 2, 4, 3000);
    bench.event(Event::Shutdown).run_until(1.3).request(2, "look", 5).run_until(3.2);
    assert_trace_of_clients(
        &mut bench,
        expect![[r#"
        0.050 log: another process of this instance is running
        0.100 log: shutting down: the next process accepts clients, this one answers its pending requests
        0.100 stop accepting
        0.100 announce a limit of 62 descriptors
        0.290 client 1: -BUSY 500
        0.290 close client 1 if idle
        1.100 log: draining: further requests of 1 busy clients are rejected
        3.050 client 2: -ERR failed
        3.050 client 2: -BUSY 50
        3.050 close client 2 if idle
    "#]],
    );
}
