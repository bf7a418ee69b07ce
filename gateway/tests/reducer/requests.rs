//! Requests: commands, attempts and their replies.
use crate::bench::*;
use expect_test::{expect, Expect};
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::stream_progress::InterruptedStream;
use quillramp_gateway::wire::http::Response;
use quillramp_gateway::wire::resp;

#[test]
fn attempts_in_flight_at_the_clients_deadline_time_out_and_their_request_fails() {
    let mut bench = bench();
    bench.client_connects(1).request(1, "order", 5).run_until(0.05).backend_connected(3).run_until(1.0);
    bench.assert_trace(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.040 connect Backend(3) to 127.0.0.1:7011
        0.050 backend connection 3: order for 750 ms
        0.080 log: connection counter 2 ended: dial-timeout
        0.800 log: connection backend 3 s-a ended: timed-out; attempt 1 of request 0000000000000001, after 0.760 s
        0.800 client 1: -ERR failed
    "#]]);
}

#[test]
fn replies_are_sent_in_the_order_of_the_commands() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .request(1, "look", 5)
        .request(1, "look", 6)
        .run_until(0.05)
        .backend_connected(4)
        .backend_connected(5)
        .backend_replies(5, "second");
    bench.backend_replies(4, "first");
    bench.assert_trace(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 connect Counter(3) to 127.0.0.1:7007
        0.016 connect Backend(4) to 127.0.0.1:7012
        0.016 connect Backend(5) to 127.0.0.1:7011
        0.050 backend connection 4: look for 750 ms
        0.050 backend connection 5: look for 750 ms
        0.050 client 1: $5 first
        0.050 client 1: $6 second
    "#]]);
}

/// Guards against ejections caused by invalid commands: requests with 0 units, non-idempotent operations sent
/// as idempotent ones, and requests with the ID of a pending one were forwarded, and a backend that had
/// rejected five of them was ejected.
#[test]
fn a_command_that_the_settings_do_not_allow_is_rejected_and_not_forwarded() {
    let mut bench = bench();
    bench.client_connects(1).request(1, "look", 5).run_until(0.05).backend_connected(3).trace.clear();
    bench.next_request_id = 1;
    bench.request(1, "look", 5);
    let customer = "0000000000000005";
    for arguments in [
        "t=small,d=800,units=0,spread=1,first=0",
        "t=small,d=800,units=9,spread=1,first=0",
        "t=small,d=800,units=1,spread=0,first=0",
        "t=small,d=800,units=1,spread=4,first=0",
        "t=small,d=800,units=1,spread=1,first=3",
        "t=small,d=0,units=1,spread=1,first=0",
        "t=small,d=1501,units=1,spread=1,first=0",
        "t=big,d=800,units=1,spread=1,first=0",
    ] {
        bench.request_with(1, "look", customer, arguments);
    }
    bench.request_with(1, "sing", customer, "t=small,d=800,units=1,spread=1,first=0");
    let arguments = "c=order,t=small,d=800,units=1,spread=1,first=0";
    bench.client_sends(
        1,
        &format!(
            "*4\r\n$8\r\nCALL.GET\r\n$16\r\n{customer}\r\n$16\r\n{customer}\r\n${}\r\n{arguments}\r\n",
            arguments.len()
        ),
    );
    bench.backend_replies(3, "served");
    bench.assert_trace(expect![[r#"
        0.050 client 1: $6 served
        0.050 client 1: -ERR id: an invocation under it is open
        0.050 client 1: -ERR units: expected more than 0, and 8 at the most
        0.050 client 1: -ERR units: expected more than 0, and 8 at the most
        0.050 client 1: -ERR first and spread: no such front doors
        0.050 client 1: -ERR first and spread: no such front doors
        0.050 client 1: -ERR first and spread: no such front doors
        0.050 client 1: -ERR d: expected 1 to 1500 ms
        0.050 client 1: -ERR d: expected 1 to 1500 ms
        0.050 client 1: -ERR unknown plan
        0.050 client 1: -ERR unknown operation
        0.050 client 1: -ERR not by this command: CALL.GET is for what may be repeated, CALL.POST for all else
    "#]]);
}

#[test]
fn a_non_idempotent_attempt_is_retried_only_if_it_was_not_sent_completely() {
    let mut bench = bench();
    bench.client_connects(1).request(1, "order", 5).run_until(0.05).backend_connected(3);
    bench
        .connection_ended(ConnectionId::Backend(3), CloseReason::Reset, true)
        .backend_connected(4)
        .connection_ended(ConnectionId::Backend(4), CloseReason::Reset, false);
    bench.assert_trace(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.040 connect Backend(3) to 127.0.0.1:7011
        0.050 backend connection 3: order for 750 ms
        0.050 log: connection backend 3 s-a ended: reset
        0.050 connect Backend(4) to 127.0.0.1:7012
        0.050 backend connection 4: order for 750 ms
        0.050 log: connection backend 4 s-b ended: reset
        0.050 client 1: -ERR failed
    "#]]);
}

#[test]
fn a_new_backend_connection_is_used_only_if_its_backend_still_serves_and_its_client_still_waits() {
    let mut bench = bench();
    bench.client_connects(1).request(1, "look", 5).run_until(0.05);
    let list = r#"{"index":42,"snapshot":false,"endpoints":[{"name":"s-a","address":"127.0.0.1:7011",
        "zone":"z","group":0,"status":"DRAINING","weight":1.0,"since_ms":0}]}"#;
    bench.event(Event::Connected(ConnectionId::Discovery(1)));
    bench.event(Event::HttpResponse {
        connection: ConnectionId::Discovery(1),
        response: Response { status: 200, body: list.into(), closes_connection: false },
    });
    bench.backend_connected(3).run_until(0.1);
    bench.connection_ended(ConnectionId::Client(1), CloseReason::Closed, false).backend_connected(4);
    bench.assert_trace(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 Discovery(1): watch since 41
        0.050 Discovery(1): watch since 42
        0.050 log: connection backend 3 s-a ended: delisted
        0.050 connect Backend(4) to 127.0.0.1:7012
        0.080 log: connection counter 2 ended: dial-timeout
        0.100 log: connection client 1 ended: closed
        0.100 log: connection backend 4 s-b ended: gave-up; attempt 2 of request 0000000000000001, after 0.050 s
    "#]]);
}

#[test]
fn an_idle_backend_connection_is_reused_and_closed_before_the_backend_closes_it() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .request(1, "look", 5)
        .run_until(0.05)
        .backend_connected(3)
        .backend_replies(3, "a")
        .run_until(1.0)
        .request(1, "look", 5)
        .run_until(1.05);
    bench.run_until(1.1).backend_replies(3, "b").run_until(10.0);
    bench.assert_trace_without_discovery(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend connection 3: look for 750 ms
        0.050 client 1: $1 a
        0.080 log: connection counter 2 ended: dial-timeout
        1.000 connect Counter(4) to 127.0.0.1:7007
        1.016 backend connection 3: look for 783 ms
        1.080 log: connection counter 4 ended: dial-timeout
        1.080 log: counter unresponsive: 4 calls missed in 1.08 s; using even shares
        1.100 client 1: $1 b
        9.000 log: connection backend 3 s-a ended: idle
    "#]]);
}

#[test]
fn a_protocol_error_is_reported_and_closes_the_connection_after_pending_replies() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .request(1, "look", 5)
        .event(Event::ClientCommand { client: 1, command: resp::ClientCommand::ProtocolError("no array") });
    bench.run_until(0.05).backend_connected(3).backend_replies(3, "a");
    bench.assert_trace(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend connection 3: look for 750 ms
        0.050 client 1: $1 a
        0.050 client 1: -ERR protocol: no array
        0.050 log: connection client 1 ended: bad-framing
    "#]]);
}

/// Guards against three faults: a malformed reply got its backend ejected; a second reply after a valid one
/// was taken as the reply to the next attempt; and so were bytes that arrived on an idle connection.
#[test]
fn malformed_replies_fail_their_attempt_and_unexpected_data_closes_the_connection() {
    let mut bench = bench();
    bench.client_connects(1).request(1, "order", 5).run_until(0.05).backend_connected(3).connection_ended(
        ConnectionId::Backend(3),
        CloseReason::BadFraming,
        false,
    );
    bench.request(1, "look", 6).run_until(0.1).trace.clear();
    bench
        .backend_connected(5)
        .backend_replies_with(5, "good", true)
        .backend_replies(5, "good")
        .request(1, "look", 7)
        .run_until(0.15)
        .backend_connected(7)
        .backend_replies(7, "good");
    bench.event(Event::PartialMessage(ConnectionId::Backend(7)));
    bench.assert_trace(expect![[r#"
        0.100 backend connection 5: look for 749 ms
        0.100 client 1: $4 good
        0.100 log: connection backend 5 s-a ended: surplus
        0.100 connect Counter(6) to 127.0.0.1:7007
        0.116 connect Backend(7) to 127.0.0.1:7011
        0.130 log: connection counter 4 ended: dial-timeout
        0.150 backend connection 7: look for 750 ms
        0.150 client 1: $4 good
        0.150 log: connection backend 7 s-a ended: surplus
    "#]]);
}

/// Returns a bench with two requests of one client. The value of the second request is streamed once the
/// first is answered, and then a third request is sent on the second one's connection.
fn bench_with_streamed_value() -> Bench {
    let mut bench = bench();
    bench
        .client_connects(1)
        .client_connects(2)
        .request(1, "look", 5)
        .request(1, "look", 6)
        .run_until(0.05)
        .backend_connected(4)
        .backend_connected(5)
        .trace
        .clear();
    bench.event(Event::StreamStarted(5)).backend_replies(4, "first").run_until(5.0);
    admin_call(&mut bench, 9, "GET /stats");
    bench
        .event(Event::StreamForwarded(5))
        .event(Event::StreamTrailer {
            connection: 5,
            billed_units: None,
            load_report: None,
            more_received: false,
        })
        .request(1, "look", 7)
        .run_until(5.02);
    bench
}

/// Compares the trace, without the connections to the counter and the list service, with the expected one.
fn assert_trace_of_streams(bench: &mut Bench, expected: Expect) {
    bench.retain_lines(|line| !line.contains("ounter"));
    bench.assert_trace_without_discovery(expected);
}

/// Guards against the loss of long values: a value over 64 KiB ended its connection. It is forwarded once all
/// earlier replies are sent, and its request is not retried from then on.
#[test]
fn a_long_value_is_streamed_in_its_turn_and_never_retried() {
    let mut bench = bench_with_streamed_value();
    assert_trace_of_streams(
        &mut bench,
        expect![[r#"
            0.050 client 1: $5 first
            0.050 backend connection 5 streams to client Some(1)
            2.500 log: connection client 2 ended: idle
            5.000 operator 9: 200 {"completed":{"look":1,"order":0},"rejected":{"look":0,"order":0},"failed":{"look":0,"order":0},"rejected_while_draining":0,"rejected_out_of_memory":0,"rejected_new_customers":0,"buffered_bytes":{"input":0,"commands":0,"output":0,"limit":0},"deferred_turns":0,"customers":2,"upstream_requests":0,"pending":1,"forwarded_values":1,"interrupted_values":{},"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":0}
            5.000 client 1: 
            5.000 backend connection 5: look for 799 ms
        "#]],
    );
}

/// Guards against a truncated value followed by other replies: streamed bytes can't be taken back, so a
/// stream that its backend aborts closes the client's connection.
#[test]
fn a_stream_that_its_backend_aborts_closes_the_clients_connection() {
    let mut bench = bench_with_streamed_value();
    bench.trace.clear();
    bench
        .event(Event::StreamStarted(5))
        .run_until(5.1)
        .event(Event::StreamInterrupted {
            connection: ConnectionId::Backend(5),
            stream: InterruptedStream { length: 139_047, received: 54_589, silence: 0.08 },
        })
        .connection_ended(ConnectionId::Backend(5), CloseReason::Reset, false)
        .run_until(8.0);
    assert_trace_of_streams(
        &mut bench,
        expect![[r#"
            5.020 backend connection 5 streams to client Some(1)
            5.100 log: connection backend 5 s-a ended: reset
            5.100 log: value for request 0000000000000003 of client 1 cut off: reset; 54589 of 139047 bytes, silent for 0.080 s, -0.700 s after its client's timeout
            5.100 log: connection client 1 ended: cut-off
            6.000 log: connection operator 9 ended: called
            8.000 log: connection backend 4 s-b ended: idle
        "#]],
    );
}
