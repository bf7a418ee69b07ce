//! File descriptors, and clients that are idle or slow.
use crate::bench::*;
use expect_test::expect;
use quillramp_gateway::state::event::{ConnectionId, Event, SharedState};

#[test]
fn idle_connections_are_closed_first_when_descriptors_are_short() {
    let mut b = bench_with_descriptors(32 + 5);
    b.client(1).client(2).call(1, "look", 5).until(0.05).up(3).value(3, "a").client(3);
    b.call(1, "look", 6).until(0.1).call(1, "look", 7).until(0.15);
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: look for 750 ms
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

/// Guards: clients that keep a connection and ask no more took the descriptors of backend connections, each of which
/// costs a handshake to have again; and clients that say nothing held theirs for ever.
#[test]
fn idle_clients_are_closed_before_backend_connections_when_descriptors_are_short() {
    let mut b = bench_with_descriptors(32 + 6);
    b.client(1).client(2).call(2, "look", 5).until(0.05).up(3).value(3, "a").until(2.2).text.clear();
    // Short of descriptors: who never said anything goes first, then who was answered long ago, then a backend's.
    b.client(3).client(4).call(3, "look", 6).client(5).client(6);
    b.is_but_list(expect![[r#"
        2.200 connect Counter(5) to 127.0.0.1:7007
        2.200 log: connection client 1 ended: crowded
        2.200 log: connection client 2 ended: crowded
    "#]]);
}

/// A client that has sent a command may stay for longer than one that has not, unless it stopped in the middle of one.
#[test]
fn idle_clients_are_closed_after_their_timeout_when_descriptors_are_not_short() {
    let mut b = bench();
    b.client(1).client(2).call(2, "look", 5).until(0.05).up(3).value(3, "a").text.clear();
    b.until(0.5).client(3).call(3, "order", 5).event(Event::PartialMessage(ConnectionId::Client(3)));
    b.until(11.0);
    b.is_but_list(expect![[r#"
        0.080 log: connection counter 2 ended: dial-timeout
        0.500 connect Counter(4) to 127.0.0.1:7007
        0.540 backend link 3: order for 759 ms
        0.580 log: connection counter 4 ended: dial-timeout
        0.580 log: counter unresponsive: 4 calls missed in 0.58 s; even shares stand in
        1.300 log: connection backend 3 s-a ended: gave-up
        1.300 client 3: -ERR failed
        2.500 log: connection client 1 ended: idle
        3.000 log: connection client 3 ended: idle
        10.500 log: connection client 2 ended: idle
    "#]]);
}

/// Guards: a client that took 2 s for a command was cut off, 2 s after its last answer and with more of it on the way.
#[test]
fn a_partial_command_times_out_from_its_first_byte() {
    let mut b = bench();
    b.client(1).client(2).sends(1, "*1\r\n$4\r\nPING\r\n").until(1.9).text.clear();
    for at in [1.9, 2.5, 3.0, 3.8] {
        b.until(at).event(Event::PartialMessage(ConnectionId::Client(1)));
    }
    b.until(3.9)
        .sends(1, "*1\r\n$4\r\nPING\r\n")
        .event(Event::PartialMessage(ConnectionId::Client(1)))
        .until(8.0);
    b.is_but_list(expect![[r#"
        2.500 log: connection client 2 ended: idle
        3.900 client 1: +PONG
        6.400 log: connection client 1 ended: idle
    "#]]);
}

/// Guards: descriptors ran short in the batch in which a client's command had been read; its connection was spared for
/// another's and the command, which has its turn after all else, was lost without an answer.
#[test]
fn a_client_whose_command_has_been_read_is_not_evicted() {
    let mut b = bench_with_descriptors(32 + 5);
    b.client(1).sends(1, PING).client(2).sends(2, PING).until(1.0).text.clear();
    let come = [3, 4, 5].map(|id| Event::ClientAccepted { client: id, address: HERE });
    b.batch(come.into_iter().chain([command_event(1, PING)]).collect());
    b.is_but_list(expect![[r#"
        1.000 log: connection client 2 ended: crowded
        1.000 client 1: +PONG
    "#]]);
}

/// Guards: over an upgrade each process had half of the descriptors, however few the one that left still needed.
#[test]
fn descriptors_that_a_stopping_process_releases_are_available_to_the_other_one() {
    let room = |holds| {
        let mut b = bench_configured(200, true, true);
        b.event(Event::SharedStateSaved {
            call: None,
            shared: Ok(SharedState {
                peer_process_running: true,
                peer_descriptor_limit: holds,
                ..SharedState::default()
            }),
        });
        (1..200).find(|id| b.client(*id).text.contains("crowded")).expect("room for fewer than that")
    };
    let (half, all_but_60, all_but_half) = (room(None), room(Some(60)), room(Some(150)));
    assert_eq!((all_but_60 - half, all_but_half), (40, half), "{half}");
}
