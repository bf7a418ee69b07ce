//! The gateway does not read from the client, because too much of it waits already or there is no memory for a body.
use crate::common::example_servers::read_reply;
use crate::common::{self, free_listener, FullBacklogBackend, TestGateway, PING};
use crate::harness::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

/// Just below 64 KiB, above which a body waits for memory.
const LARGE_BODY: usize = 64_000;

fn orders(count: usize, body: &str) -> String {
    (0..count).map(|_| order(body)).collect()
}

/// Disconnects, and checks that the gateway logs it in time.
fn assert_disconnect_is_noticed(gateway: &TestGateway, client: TcpStream, disconnect: Disconnect) {
    let start = Instant::now();
    disconnect.close(client);
    wait_until_disconnect_is_logged(gateway, disconnect);
    assert!(start.elapsed() < TENTH_OF_A_SECOND, "{disconnect:?}: noticed after {:?}", start.elapsed());
}

/// Guards: nothing more was read from a client with 512 commands that are not answered and more than 1 MiB after them, so that
/// its end was not seen. Each answer let further commands begin, seconds after it had disconnected.
#[test]
fn a_disconnect_after_more_commands_than_are_buffered_is_noticed() {
    for disconnect in Disconnect::ALL {
        let (listener, address) = free_listener();
        let backend = ControlledBackend::start(listener);
        let gateway = gateway_with_backend(&format!("unread-{disconnect:?}"), address, unchanged);
        let mut client = gateway.connect();
        let commands = orders(600, "few") + &orders(24 * 16, &"x".repeat(LARGE_BODY));
        write_until_blocked(&mut client, &commands);
        assert_eq!(backend.next_body(), "few");
        assert_disconnect_is_noticed(&gateway, client, disconnect);
        backend.reply(DONE);
        assert_eq!(backend.body_within(OBSERVATION_TIME), None, "{disconnect:?}");
    }
}

/// Guards: commands that are dropped while more than 1 MiB is buffered are rejected in order, with one answer to each, and
/// reading goes on after that.
#[test]
fn commands_beyond_the_buffer_are_rejected_in_order() {
    const BUFFERED: usize = 600;
    const LARGE: usize = 400;
    let (listener, address) = free_listener();
    let backend = ControlledBackend::start(listener);
    let gateway = gateway_with_backend("refused", address, unchanged);
    let mut client = gateway.connect();
    let commands = orders(BUFFERED, "few") + &orders(LARGE, &"x".repeat(LARGE_BODY));
    let written = write_until_blocked(&mut client, &commands);
    assert_eq!(written, commands.len(), "the gateway reads all of it");
    assert_eq!(backend.next_body(), "few");
    backend.reply(DONE);
    drop(backend); // every later request fails
    let mut reader = BufReader::new(client.try_clone().expect("a second handle"));
    let replies: Vec<String> =
        (0..BUFFERED + LARGE).map(|_| read_reply(&mut reader).expect("a reply")).collect();
    assert_eq!(replies[0], "done");
    let rejected = replies.iter().rev().take_while(|reply| reply.starts_with("-BUSY")).count();
    assert!(rejected >= LARGE - 2 * MIB / LARGE_BODY, "{rejected} rejected at the end");
    client.write_all(PING).expect("the gateway reads");
    assert_eq!(read_reply(&mut reader).expect("a reply"), "+PONG");
}

/// An order with a body of this length, cut off after the first bytes of the body.
fn partial_order(body_length: usize, body_sent: usize) -> String {
    let complete = order(&"x".repeat(body_length));
    let body_start = complete.len() - body_length - "\r\n".len();
    complete[..body_start + body_sent].to_owned()
}

/// One long body takes all the memory that there is for long bodies.
fn with_little_memory(configuration: String) -> String {
    configuration.replace("\"memory_mb\": 192", "\"memory_mb\": 1")
}

/// The body of [`client_that_takes_all_memory`], and the part of it that is sent at first.
const BODY_THAT_TAKES_ALL_MEMORY: usize = 900_000;
const SENT_AT_FIRST: usize = 400_000;

/// A client whose long body takes all the memory and is not complete.
fn client_that_takes_all_memory(gateway: &TestGateway) -> TcpStream {
    let mut client = gateway.connect();
    let order = partial_order(BODY_THAT_TAKES_ALL_MEMORY, SENT_AT_FIRST);
    client.write_all(order.as_bytes()).expect("the gateway reads");
    // Once another client has its answer, the body has been read.
    let mut other_client = gateway.connect();
    other_client.write_all(PING).expect("the gateway reads");
    assert_eq!(common::read_reply(&other_client), "+PONG");
    client
}

/// Guards: nothing was read from a client while there was no memory for its long body, so that its end after that was not seen.
/// The order before the body was written to a connection that was established after the client had disconnected.
#[test]
fn a_disconnect_after_a_long_body_without_memory_is_noticed() {
    for disconnect in Disconnect::ALL {
        let (backend, address) = FullBacklogBackend::new();
        let gateway = gateway_with_backend(&format!("room-{disconnect:?}"), address, with_little_memory);
        let _first_client = client_that_takes_all_memory(&gateway);
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        backend.wait_for_connection_attempt();
        write_until_blocked(&mut client, &partial_order(4 * MIB, 4 * MIB));
        assert_disconnect_is_noticed(&gateway, client, disconnect);
        assert_nothing_is_written(backend, disconnect);
    }
}

/// Guards: an order that had waited for memory was complete and was forwarded before its client's end after it was seen.
#[test]
fn a_request_that_waits_for_memory_is_dropped_when_its_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let (listener, address) = free_listener();
        let backend = ControlledBackend::start(listener);
        let gateway = gateway_with_backend(&format!("body-{disconnect:?}"), address, with_little_memory);
        let mut first_client = client_that_takes_all_memory(&gateway);
        let mut client = gateway.connect();
        let order = order(&"y".repeat(MIB));
        assert_eq!(write_until_blocked(&mut client, &order), order.len(), "the socket buffers hold it");
        disconnect.close(client);
        sleep(2 * TENTH_OF_A_SECOND);
        let rest = "x".repeat(BODY_THAT_TAKES_ALL_MEMORY - SENT_AT_FIRST) + "\r\n";
        first_client.write_all(rest.as_bytes()).expect("the gateway reads");
        assert_eq!(backend.next_body().len(), BODY_THAT_TAKES_ALL_MEMORY);
        backend.reply(DONE);
        assert_eq!(common::read_reply(&first_client), "done");
        let late_body = backend.body_within(OBSERVATION_TIME).map(|body| body.len());
        assert_eq!(late_body, None, "{disconnect:?}");
    }
}
