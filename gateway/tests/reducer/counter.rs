//! Calls to the counter.
use crate::bench::*;
use expect_test::expect;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::event::Event;

#[test]
fn an_unresponsive_counter_connection_gets_no_calls_and_its_late_response_is_dropped() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .request(1, "look", 5)
        .event(Event::Connected(ConnectionId::Counter(2)))
        .run_until(0.1);
    bench
        .request(1, "look", 6)
        .event(Event::Connected(ConnectionId::Counter(4)))
        .counter_responds(2, 200, "1")
        .counter_responds(4, 200, "1");
    bench.request(1, "look", 7).counter_responds(2, 503, "").run_until(0.2);
    bench.assert_trace(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 Counter(2): add 1
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.100 connect Counter(4) to 127.0.0.1:7007
        0.100 Counter(4): add 1.026315789473684
        0.100 Counter(2): add 20.200000000000045
        0.100 connect Backend(5) to 127.0.0.1:7012
        0.100 Counter(4): add 1.0249343832020998
    "#]]);
}

#[test]
fn calls_on_one_counter_are_sent_in_order_on_one_connection() {
    let mut bench = bench();
    bench.client_connects(1).event(Event::Connected(ConnectionId::Discovery(1)));
    for customer in [5, 6] {
        bench.request(1, "look", customer);
    }
    bench.event(Event::Connected(ConnectionId::Counter(2))).event(Event::Connected(ConnectionId::Counter(3)));
    // Connection 3 is idle, but the correction of the total of customer 5 is still pending on connection 2.
    bench
        .counter_responds(3, 200, "1")
        .counter_responds(3, 200, "21")
        .counter_responds(2, 200, "1")
        .request(1, "look", 5);
    bench.assert_trace(expect![[r#"
        0.000 Discovery(1): watch since 41
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 connect Counter(3) to 127.0.0.1:7007
        0.000 Counter(2): add 1
        0.000 Counter(3): add 1
        0.000 Counter(3): add 20
        0.000 connect Backend(4) to 127.0.0.1:7012
        0.000 Counter(2): add 20
        0.000 connect Backend(5) to 127.0.0.1:7011
        0.000 Counter(2): add 1
    "#]]);
}

/// Guards against two faults after a response of the counter that contains no number: its connection stayed
/// in use, and the units that the call had added were not refunded.
#[test]
fn a_counter_response_without_a_total_closes_its_connection_and_its_units_are_refunded() {
    let mut bench = bench();
    bench
        .client_connects(1)
        .request(1, "look", 5)
        .event(Event::Connected(ConnectionId::Counter(2)))
        .counter_responds(2, 200, "none")
        .run_until(0.2);
    bench.request(1, "look", 5).event(Event::Connected(ConnectionId::Counter(4))).connection_ended(
        ConnectionId::Counter(4),
        CloseReason::BadFraming,
        false,
    );
    bench
        .run_until(0.4)
        .request(1, "look", 5)
        .event(Event::Connected(ConnectionId::Counter(6)))
        .counter_responds(6, 200, "1");
    bench.counter_responds(6, 200, "21").event(Event::PartialMessage(ConnectionId::Counter(6)));
    bench.assert_trace(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 Counter(2): add 1
        0.000 log: connection counter 2 ended: bad-framing
        0.000 connect Backend(3) to 127.0.0.1:7011
        0.200 connect Counter(4) to 127.0.0.1:7007
        0.200 Counter(4): add 1.026315789473684
        0.200 log: connection counter 4 ended: bad-framing
        0.200 connect Backend(5) to 127.0.0.1:7012
        0.250 log: connection backend 3 s-a ended: dial-timeout
        0.250 client 1: -BUSY 400
        0.400 connect Counter(6) to 127.0.0.1:7007
        0.400 Counter(6): add 1.0262467191601052
        0.400 Counter(6): add 20.799999999999955
        0.400 connect Backend(7) to 127.0.0.1:7011
        0.400 log: connection counter 6 ended: surplus
    "#]]);
}
