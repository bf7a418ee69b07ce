//! Requests: commands, attempts and their replies.
use crate::bench::*;
use expect_test::{expect, Expect};
use quillramp_gateway::state::event::{CloseReason, ConnectionId, Event};
use quillramp_gateway::wire::http::Response;
use quillramp_gateway::wire::resp;

#[test]
fn attempts_in_flight_at_the_clients_deadline_time_out_and_their_request_fails() {
    let mut b = bench();
    b.client(1).call(1, "order", 5).until(0.05).up(3).until(1.0);
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.040 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: order for 750 ms
        0.080 log: connection counter 2 ended: dial-timeout
        0.800 log: connection backend 3 s-a ended: gave-up
        0.800 client 1: -ERR failed
    "#]]);
}

#[test]
fn replies_are_sent_in_the_order_of_the_commands() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).call(1, "look", 6).until(0.05).up(4).up(5).value(5, "second");
    b.value(4, "first");
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 connect Counter(3) to 127.0.0.1:7007
        0.016 connect Backend(4) to 127.0.0.1:7012
        0.016 connect Backend(5) to 127.0.0.1:7011
        0.050 backend link 4: look for 750 ms
        0.050 backend link 5: look for 750 ms
        0.050 client 1: $5 first
        0.050 client 1: $6 second
    "#]]);
}

/// Guards: units of 0, a non-idempotent operation sent as an idempotent one and the id of an invocation that is out
/// went on to backends, which said so five times over and were set aside for it.
#[test]
fn a_command_that_the_settings_do_not_allow_is_rejected_and_not_forwarded() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).until(0.05).up(3).text.clear();
    b.id = 1;
    b.call(1, "look", 5);
    let customer = "0000000000000005";
    for list in [
        "t=small,d=800,units=0,spread=1,first=0",
        "t=small,d=800,units=9,spread=1,first=0",
        "t=small,d=800,units=1,spread=0,first=0",
        "t=small,d=800,units=1,spread=4,first=0",
        "t=small,d=800,units=1,spread=1,first=3",
        "t=small,d=0,units=1,spread=1,first=0",
        "t=small,d=1501,units=1,spread=1,first=0",
        "t=big,d=800,units=1,spread=1,first=0",
    ] {
        b.command(1, "look", customer, list);
    }
    b.command(1, "sing", customer, "t=small,d=800,units=1,spread=1,first=0");
    let list = "c=order,t=small,d=800,units=1,spread=1,first=0";
    b.sends(
        1,
        &format!(
            "*4\r\n$8\r\nCALL.GET\r\n$16\r\n{customer}\r\n$16\r\n{customer}\r\n${}\r\n{list}\r\n",
            list.len()
        ),
    );
    b.value(3, "served");
    b.is(expect![[r#"
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
    let mut b = bench();
    b.client(1).call(1, "order", 5).until(0.05).up(3);
    b.ended(ConnectionId::Backend(3), CloseReason::Reset, true).up(4).ended(
        ConnectionId::Backend(4),
        CloseReason::Reset,
        false,
    );
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.040 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: order for 750 ms
        0.050 log: connection backend 3 s-a ended: reset
        0.050 connect Backend(4) to 127.0.0.1:7012
        0.050 backend link 4: order for 750 ms
        0.050 log: connection backend 4 s-b ended: reset
        0.050 client 1: -ERR failed
    "#]]);
}

#[test]
fn a_late_backend_connection_is_used_only_if_its_backend_serves_and_its_client_waits() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).until(0.05);
    let list = r#"{"index":42,"snapshot":false,"endpoints":[{"name":"s-a","address":"127.0.0.1:7011",
        "zone":"z","group":0,"status":"DRAINING","weight":1.0,"since_ms":0}]}"#;
    b.event(Event::Connected(ConnectionId::Discovery(1)));
    b.event(Event::HttpResponse {
        connection: ConnectionId::Discovery(1),
        response: Response { status: 200, body: list.into(), closes_connection: false },
    });
    b.up(3).until(0.1);
    b.ended(ConnectionId::Client(1), CloseReason::Closed, false).up(4);
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 Discovery(1): watch since 41
        0.050 Discovery(1): watch since 42
        0.050 log: connection backend 3 s-a ended: delisted
        0.050 connect Backend(4) to 127.0.0.1:7012
        0.080 log: connection counter 2 ended: dial-timeout
        0.100 log: connection client 1 ended: closed
        0.100 log: connection backend 4 s-b ended: gave-up
    "#]]);
}

#[test]
fn an_idle_backend_connection_is_reused_and_closed_before_the_backend_does() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).until(0.05).up(3).value(3, "a").until(1.0).call(1, "look", 5).until(1.05);
    b.until(1.1).value(3, "b").until(10.0);
    b.is_but_list(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: look for 750 ms
        0.050 client 1: $1 a
        0.080 log: connection counter 2 ended: dial-timeout
        1.000 connect Counter(4) to 127.0.0.1:7007
        1.016 backend link 3: look for 783 ms
        1.080 log: connection counter 4 ended: dial-timeout
        1.080 log: counter unresponsive: 4 calls missed in 1.08 s; even shares stand in
        1.100 client 1: $1 b
        9.000 log: connection backend 3 s-a ended: idle
    "#]]);
}

#[test]
fn a_protocol_error_is_reported_and_closes_the_connection_after_pending_replies() {
    let mut b = bench();
    b.client(1)
        .call(1, "look", 5)
        .event(Event::ClientCommand { client: 1, command: resp::ClientCommand::ProtocolError("no array") });
    b.until(0.05).up(3).value(3, "a");
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: look for 750 ms
        0.050 client 1: $1 a
        0.050 client 1: -ERR protocol: no array
        0.050 log: connection client 1 ended: bad-framing
    "#]]);
}

/// Guards: a reply that can't be read set its backend aside; a second copy behind a good one was the next delivery's
/// answer; and so was what came on an idle connection.
#[test]
fn malformed_replies_fail_their_attempt_and_unexpected_data_closes_the_connection() {
    let mut b = bench();
    b.client(1).call(1, "order", 5).until(0.05).up(3).ended(
        ConnectionId::Backend(3),
        CloseReason::BadFraming,
        false,
    );
    b.call(1, "look", 6).until(0.1).text.clear();
    b.up(5).replies(5, "good", true).value(5, "good").call(1, "look", 7).until(0.15).up(7).value(7, "good");
    b.event(Event::PartialMessage(ConnectionId::Backend(7)));
    b.is(expect![[r#"
        0.100 backend link 5: look for 749 ms
        0.100 client 1: $4 good
        0.100 log: connection backend 5 s-a ended: surplus
        0.100 connect Counter(6) to 127.0.0.1:7007
        0.116 connect Backend(7) to 127.0.0.1:7011
        0.130 log: connection counter 4 ended: dial-timeout
        0.150 backend link 7: look for 750 ms
        0.150 client 1: $4 good
        0.150 log: connection backend 7 s-a ended: surplus
    "#]]);
}

/// Two requests of one client: the second one's value is streamed once the first is answered, and then a third is sent on
/// its connection.
fn bench_with_streamed_value() -> Bench {
    let mut b = bench();
    b.client(1).client(2).call(1, "look", 5).call(1, "look", 6).until(0.05).up(4).up(5).text.clear();
    b.event(Event::StreamStarted(5)).value(4, "first").until(5.0);
    call(&mut b, 9, "GET /stats");
    b.event(Event::StreamForwarded(5))
        .event(Event::StreamTrailer {
            connection: 5,
            billed_units: None,
            load_report: None,
            more_received: false,
        })
        .call(1, "look", 7)
        .until(5.02);
    b
}

/// The trace without the connections to the counter and to discovery.
fn assert_trace_of_streams(b: &mut Bench, expected: Expect) {
    b.only(|line| !line.contains("ounter"));
    b.is_but_list(expected);
}

/// Guards: a value over 64 KiB ended its connection. It is forwarded when it is its turn, and nothing is retried from then
/// on.
#[test]
fn a_long_value_is_streamed_in_its_turn_and_never_retried() {
    let mut b = bench_with_streamed_value();
    assert_trace_of_streams(
        &mut b,
        expect![[r#"
            0.050 client 1: $5 first
            0.050 backend link 5 passes to client Some(1)
            0.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
            1.000 backend link 5 ends if silent for 0.2 s, or still for 30 s
            1.200 backend link 5 ends if silent for 0.2 s, or still for 30 s
            1.400 backend link 5 ends if silent for 0.2 s, or still for 30 s
            1.600 backend link 5 ends if silent for 0.2 s, or still for 30 s
            1.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
            2.000 backend link 5 ends if silent for 0.2 s, or still for 30 s
            2.200 backend link 5 ends if silent for 0.2 s, or still for 30 s
            2.400 backend link 5 ends if silent for 0.2 s, or still for 30 s
            2.500 log: connection client 2 ended: idle
            2.600 backend link 5 ends if silent for 0.2 s, or still for 30 s
            2.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
            3.000 backend link 5 ends if silent for 0.2 s, or still for 30 s
            3.200 backend link 5 ends if silent for 0.2 s, or still for 30 s
            3.400 backend link 5 ends if silent for 0.2 s, or still for 30 s
            3.600 backend link 5 ends if silent for 0.2 s, or still for 30 s
            3.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
            4.000 backend link 5 ends if silent for 0.2 s, or still for 30 s
            4.200 backend link 5 ends if silent for 0.2 s, or still for 30 s
            4.400 backend link 5 ends if silent for 0.2 s, or still for 30 s
            4.600 backend link 5 ends if silent for 0.2 s, or still for 30 s
            4.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
            5.000 operator 9: 200 {"completed":{"look":1,"order":0},"rejected":{"look":0,"order":0},"failed":{"look":0,"order":0},"upstream_requests":0,"pending":1,"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":0}
            5.000 client 1: 
            5.000 backend link 5: look for 799 ms
        "#]],
    );
}

/// Guards: a client whose value was cut off waited for the rest of it.
#[test]
fn a_stream_that_its_backend_aborts_closes_the_clients_connection() {
    let mut b = bench_with_streamed_value();
    b.text.clear();
    b.event(Event::StreamStarted(5))
        .until(5.1)
        .ended(ConnectionId::Backend(5), CloseReason::Reset, false)
        .until(8.0);
    assert_trace_of_streams(
        &mut b,
        expect![[r#"
            5.020 backend link 5 passes to client Some(1)
            5.100 log: connection backend 5 s-a ended: reset
            5.100 log: connection client 1 ended: cut-off
            6.000 log: connection operator 9 ended: called
            8.000 log: connection backend 4 s-b ended: idle
        "#]],
    );
}
