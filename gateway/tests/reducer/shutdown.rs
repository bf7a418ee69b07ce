//! Draining and graceful shutdown.
use crate::bench::*;
use expect_test::{expect, Expect};
use quillramp_gateway::state::event::{CloseReason, Event, SharedState};

#[test]
fn a_shutdown_serves_on_then_closes_connections_and_exits_when_all_is_answered() {
    let mut b = bench();
    b.client(1).client(2).event(Event::Shutdown).until(0.3).call(1, "look", 5).until(0.35).up(3).until(0.5);
    b.event(Event::IdleClientClosed { client: 2, reason: CloseReason::Stopping })
        .until(0.6)
        .value(3, "a")
        .event(Event::Shutdown)
        .event(Event::IdleClientClosed { client: 1, reason: CloseReason::Stopping });
    b.is(expect![[r#"
        0.000 log: shutting down: serving on, then closing connections
        0.300 connect Counter(2) to 127.0.0.1:7007
        0.316 connect Backend(3) to 127.0.0.1:7011
        0.350 backend link 3: look for 749 ms
        0.380 log: connection counter 2 ended: dial-timeout
        0.500 stop accepting
        0.500 part with client 2 if it is quiet
        0.500 log: connection client 2 ended: stopping
        0.566 connect Backend(4) to 127.0.0.1:7012
        0.600 client 1: $1 a
        0.600 log: connection backend 4 s-b ended: gave-up
        0.600 part with client 1 if it is quiet
        0.600 log: connection client 1 ended: stopping
        0.600 exit once all is written
    "#]]);
}

/// Drains an instance of three clients, one of which asks on and on: it is not read from any more.
fn bench_drained_by_an_operator() -> Bench {
    let mut b = bench_configured(1024, false, true);
    b.client(1).client(2).sends(2, PING).call(1, "order", 5).until(0.05).text.clear();
    call(&mut b, 1, "POST /healthcheck/ok");
    shared_state_saved(&mut b, 1, &[], false);
    call(&mut b, 2, "POST /healthcheck/fail");
    b.sends(2, PING);
    shared_state_saved(&mut b, 2, &[], true);
    call(&mut b, 3, "GET /healthcheck");
    b.until(0.3)
        .client(3)
        .until(0.6)
        .event(Event::IdleClientClosed { client: 2, reason: CloseReason::Draining })
        .event(Event::IdleClientClosed { client: 3, reason: CloseReason::Draining });
    b.call(1, "look", 6).until(1.6);
    b
}

/// Drains the instance once more, ends the drain, and connects a client.
fn end_drain(b: &mut Bench) {
    call(b, 4, "POST /healthcheck/fail");
    shared_state_saved(b, 4, &[], true);
    call(b, 5, "POST /healthcheck/ok");
    shared_state_saved(b, 5, &[], false);
    b.client(4).sends(4, PING).until(2.0);
}

/// The trace without the connections to backends and to the counter.
fn assert_trace_of_clients(b: &mut Bench, expected: Expect) {
    b.only(|line| !line.contains("ackend") && !line.contains("ounter"));
    b.is(expected);
}

/// Guards: a drained instance fails its health check at once, accepts new clients for a while and closes connections
/// between commands.
#[test]
fn a_drain_fails_health_checks_at_once_and_closes_connections_between_commands() {
    let mut b = bench_drained_by_an_operator();
    assert_trace_of_clients(
        &mut b,
        expect![[r#"
            0.050 keep SetDrained(false)
            0.050 operator 1: 200 done
            0.050 log: drained by an operator: closing connections
            0.050 keep SetDrained(true)
            0.050 client 2: -ERR draining
            0.050 operator 2: 200 done
            0.050 operator 3: 503 draining
            0.550 part with client 2 if it is quiet
            0.550 part with client 3 if it is quiet
            0.600 log: connection client 2 ended: draining
            0.600 log: connection client 3 ended: draining
            0.790 client 1: -BUSY 500
            1.050 log: connection operator 1 ended: called
            1.050 log: connection operator 2 ended: called
            1.050 log: connection operator 3 ended: called
            1.116 client 1: -BUSY 500
            1.116 part with client 1 if it is quiet
        "#]],
    );
}

/// Guards: clients are accepted again after one call, however often the drain was asked for.
#[test]
fn a_drain_that_was_requested_twice_ends_with_one_call() {
    let mut b = bench_drained_by_an_operator();
    b.text.clear();
    end_drain(&mut b);
    assert_trace_of_clients(
        &mut b,
        expect![[r#"
            1.600 keep SetDrained(true)
            1.600 operator 4: 200 done
            1.600 log: the drain has ended
            1.600 keep SetDrained(false)
            1.600 operator 5: 200 done
            1.600 client 4: +PONG
        "#]],
    );
}

/// Guards: SIGTERM in a drain ends in an exit all the same, also where the drain is ended meanwhile.
#[test]
fn a_shutdown_during_a_drain_goes_on_after_the_drain_has_ended() {
    let mut b = bench_drained_by_an_operator();
    end_drain(&mut b);
    b.text.clear();
    call(&mut b, 6, "POST /healthcheck/fail");
    shared_state_saved(&mut b, 6, &[], true);
    b.until(2.4)
        .event(Event::Shutdown)
        .until(3.0)
        .event(Event::IdleClientClosed { client: 4, reason: CloseReason::Stopping });
    call(&mut b, 7, "POST /healthcheck/ok");
    shared_state_saved(&mut b, 7, &[], false);
    call(&mut b, 8, "GET /healthcheck");
    assert_trace_of_clients(
        &mut b,
        expect![[r#"
            2.000 log: drained by an operator: closing connections
            2.000 keep SetDrained(true)
            2.000 operator 6: 200 done
            2.400 log: shutting down: serving on, then closing connections
            2.600 log: connection operator 4 ended: called
            2.600 log: connection operator 5 ended: called
            2.900 stop accepting
            2.900 part with client 1 if it is quiet
            2.900 part with client 4 if it is quiet
            3.000 log: connection operator 6 ended: called
            3.000 log: connection client 4 ended: stopping
            3.000 log: the drain has ended
            3.000 keep SetDrained(false)
            3.000 operator 7: 200 done
            3.000 operator 8: 503 draining
        "#]],
    );
}

/// An instance with a pending request whose listening socket a new process has taken over; that one has ejected a backend.
fn bench_replaced_by_a_new_process() -> Bench {
    let mut b = bench_configured(1024, true, true);
    b.client(1).client(2).client(3).sends(2, PING).call(1, "order", 5).until(0.05).text.clear();
    let out = [("s-a".to_string(), 1000.0)].into();
    b.event(Event::SharedStateSaved {
        call: None,
        shared: Ok(SharedState {
            ejected_backends: out,
            drained: false,
            peer_process_running: true,
            peer_process_newer: true,
            peer_descriptor_limit: None,
        }),
    });
    b
}

/// Guards: with the listening socket passed on, the old process leaves it at once, still says yes for the front door,
/// ends connections between commands only, and none that nobody has asked anything on; bans made at the new one hold.
#[test]
fn a_replaced_process_answers_pending_requests_while_the_new_one_accepts() {
    let mut b = bench_replaced_by_a_new_process();
    b.event(Event::Shutdown)
        .sends(2, PING)
        .event(Event::IdleClientClosed { client: 2, reason: CloseReason::Stopping })
        .until(3.1);
    b.sends(3, PING)
        .event(Event::IdleClientClosed { client: 3, reason: CloseReason::Stopping })
        .event(Event::IdleClientClosed { client: 1, reason: CloseReason::Stopping });
    b.only(|l| !l.contains("ounter"));
    b.is(expect![[r#"
        0.050 log: backend s-a ejected by an operator
        0.050 log: another process of this instance is running
        0.050 log: shutting down: the next process accepts, this one answers its pending requests
        0.050 stop accepting
        0.050 will hold 62 descriptors at the most
        0.050 part with client 2 if it is quiet
        0.050 client 2: +PONG
        0.050 part with client 2 if it is quiet
        0.050 log: connection client 2 ended: stopping
        0.290 log: connection backend 3 s-a ended: dial-timeout
        0.290 connect Backend(4) to 127.0.0.1:7012
        0.540 log: connection backend 4 s-b ended: dial-timeout
        0.540 connect Backend(5) to 127.0.0.1:7012
        0.790 log: connection backend 5 s-b ended: dial-timeout
        0.790 client 1: -BUSY 500
        0.790 part with client 1 if it is quiet
        3.100 client 3: +PONG
        3.100 part with client 3 if it is quiet
        3.100 log: connection client 3 ended: stopping
        3.100 log: connection client 1 ended: stopping
        3.100 exit once all is written
    "#]]);
}

/// Guards: with a passed socket, and nobody there to take over, a stop waited for clients that had never said anything and
/// kept the next start from coming.
#[test]
fn a_shutdown_without_a_successor_is_like_any_other() {
    let mut b = bench_configured(1024, true, true);
    b.client(1).client(2).sends(2, PING);
    // The one before is still there: it takes nothing over.
    let shared = SharedState { peer_process_running: true, ..SharedState::default() };
    b.event(Event::SharedStateSaved { call: None, shared: Ok(shared) }).text.clear();
    b.event(Event::Shutdown).sends(2, PING).until(0.3).client(3).until(0.6);
    b.event(Event::IdleClientClosed { client: 1, reason: CloseReason::Stopping })
        .event(Event::IdleClientClosed { client: 2, reason: CloseReason::Stopping })
        .event(Event::IdleClientClosed { client: 3, reason: CloseReason::Stopping });
    b.is(expect![[r#"
        0.000 log: shutting down: serving on, then closing connections
        0.000 client 2: -ERR draining
        0.500 stop accepting
        0.500 part with client 1 if it is quiet
        0.500 part with client 2 if it is quiet
        0.500 part with client 3 if it is quiet
        0.600 log: connection client 1 ended: stopping
        0.600 log: connection client 2 ended: stopping
        0.600 log: connection client 3 ended: stopping
        0.600 exit once all is written
    "#]]);
}

/// Guards: a front door that was drained by hand and then told to stop ended connections that had just come, with commands
/// on them that had been read.
#[test]
fn a_shutdown_of_a_drained_instance_serves_on_before_connections_are_closed() {
    let mut b = bench_configured(1024, false, true);
    b.client(1);
    call(&mut b, 1, "POST /healthcheck/fail");
    shared_state_saved(&mut b, 1, &[], true);
    b.until(0.7).event(Event::Shutdown).until(0.9).text.clear();
    b.batch(vec![Event::ClientAccepted { client: 2, address: HERE }, command_event(2, PING)]).until(1.25);
    // From now on connections end; one on which something was read is answered first.
    b.batch(vec![Event::ClientAccepted { client: 3, address: HERE }, command_event(3, PING)])
        .event(Event::ClientAccepted { client: 4, address: HERE });
    b.is_but_list(expect![[r#"
        0.900 client 2: -ERR draining
        1.000 log: connection operator 1 ended: called
        1.200 stop accepting
        1.200 part with client 1 if it is quiet
        1.200 part with client 2 if it is quiet
        1.250 client 3: -ERR draining
        1.250 part with client 3 if it is quiet
        1.250 log: connection client 4 ended: stopping
    "#]]);
}
