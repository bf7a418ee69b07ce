//! The client disconnects while the gateway does not accept more of its commands, because too many are
//! pending or there is no memory for a long body.
use crate::common::example_servers::read_reply;
use crate::common::{self, free_listener, FullBacklogBackend, TestGateway, PING};
use crate::harness::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

/// Length of a body just below 64 KiB; longer bodies wait for memory.
const LARGE_BODY_LENGTH: usize = 64_000;

fn orders(count: usize, body: &str) -> String {
    (0..count).map(|_| order(body)).collect()
}

/// Disconnects, and asserts that the gateway logs it within 0.1 s.
fn assert_disconnect_is_detected(gateway: &TestGateway, client: TcpStream, disconnect: Disconnect) {
    let start = Instant::now();
    disconnect.close(client);
    wait_until_disconnect_is_logged(gateway, disconnect);
    assert!(start.elapsed() < TENTH_OF_A_SECOND, "{disconnect:?}: detected after {:?}", start.elapsed());
}

/// Guards against an undetected disconnect: nothing more was read from a client with 512 unanswered commands
/// and more than 1 MiB after them, so that the end of its connection was not read. Each reply let further
/// commands start, seconds after the client had disconnected.
#[test]
fn a_disconnect_after_more_commands_than_are_buffered_is_detected() {
    for disconnect in Disconnect::ALL {
        let (listener, address) = free_listener();
        let backend = ControlledBackend::start(listener);
        let gateway = gateway_with_backend(&format!("unread-{disconnect:?}"), address, unchanged);
        let mut client = gateway.connect();
        let commands = orders(600, "few") + &orders(24 * 16, &"x".repeat(LARGE_BODY_LENGTH));
        write_until_blocked(&mut client, &commands);
        assert_eq!(backend.next_body(), "few");
        assert_disconnect_is_detected(&gateway, client, disconnect);
        backend.reply(DONE);
        assert_eq!(backend.body_within(OBSERVATION_TIME), None, "{disconnect:?}");
    }
}

/// Guards against lost or misplaced replies: commands that are dropped while more than 1 MiB is buffered are
/// rejected in order, with one reply to each, and later commands are read again.
#[test]
fn commands_beyond_the_buffer_are_rejected_in_order() {
    const BUFFERED_COMMANDS: usize = 600;
    const LARGE_COMMANDS: usize = 400;
    let (listener, address) = free_listener();
    let backend = ControlledBackend::start(listener);
    let gateway = gateway_with_backend("refused", address, unchanged);
    let mut client = gateway.connect();
    let commands = orders(BUFFERED_COMMANDS, "few") + &orders(LARGE_COMMANDS, &"x".repeat(LARGE_BODY_LENGTH));
    let written = write_until_blocked(&mut client, &commands);
    assert_eq!(written, commands.len(), "the gateway reads all commands");
    assert_eq!(backend.next_body(), "few");
    backend.reply(DONE);
    drop(backend); // every later request fails
    let mut reader = BufReader::new(client.try_clone().expect("the socket handle is duplicated"));
    let replies: Vec<String> = (0..BUFFERED_COMMANDS + LARGE_COMMANDS)
        .map(|_| read_reply(&mut reader).expect("the gateway replies"))
        .collect();
    assert_eq!(replies[0], "done");
    let rejected = replies.iter().rev().take_while(|reply| reply.starts_with("-BUSY")).count();
    assert!(rejected >= LARGE_COMMANDS - 2 * MIB / LARGE_BODY_LENGTH, "{rejected} rejected at the end");
    client.write_all(PING).expect("the gateway accepts input");
    assert_eq!(read_reply(&mut reader).expect("the gateway replies"), "+PONG");
}

/// Returns an order with a body of this length, cut off after `body_sent` bytes of the body.
fn partial_order(body_length: usize, body_sent: usize) -> String {
    let complete = order(&"x".repeat(body_length));
    let body_start = complete.len() - body_length - "\r\n".len();
    complete[..body_start + body_sent].to_owned()
}

/// Returns the configuration with so little memory that one long body takes all that is available for long
/// bodies.
fn with_little_memory(configuration: String) -> String {
    configuration.replace("\"memory_mb\": 192", "\"memory_mb\": 1")
}

/// Length of the body that [`client_that_takes_all_memory`] sends.
const MEMORY_FILLING_BODY_LENGTH: usize = 900_000;
/// Length of the first part of that body.
const FIRST_PART_LENGTH: usize = 400_000;

/// Connects a client and sends the first part of a long body, which takes all the memory for long bodies.
fn client_that_takes_all_memory(gateway: &TestGateway) -> TcpStream {
    let mut client = gateway.connect();
    let order = partial_order(MEMORY_FILLING_BODY_LENGTH, FIRST_PART_LENGTH);
    client.write_all(order.as_bytes()).expect("the gateway accepts input");
    // Once another client has its reply, that part has been read.
    let mut other_client = gateway.connect();
    other_client.write_all(PING).expect("the gateway accepts input");
    assert_eq!(common::read_reply(&other_client), "+PONG");
    client
}

/// Guards against an undetected disconnect: nothing was read from a client while there was no memory for its
/// long body, so that the end of its connection was not read. The order before the body was written to a
/// connection that was established after the client had disconnected.
#[test]
fn a_disconnect_after_a_long_body_without_memory_is_detected() {
    for disconnect in Disconnect::ALL {
        let (backend, address) = FullBacklogBackend::new();
        let gateway = gateway_with_backend(&format!("room-{disconnect:?}"), address, with_little_memory);
        let _first_client = client_that_takes_all_memory(&gateway);
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        backend.wait_for_connection_attempt();
        write_until_blocked(&mut client, &partial_order(4 * MIB, 4 * MIB));
        assert_disconnect_is_detected(&gateway, client, disconnect);
        assert_nothing_is_written(backend, disconnect);
    }
}

/// Guards against a disconnect that is read too late: an order that had waited for memory was complete, and
/// it was forwarded before the end of its client's connection was read.
#[test]
fn a_request_that_waits_for_memory_is_dropped_when_its_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let (listener, address) = free_listener();
        let backend = ControlledBackend::start(listener);
        let gateway = gateway_with_backend(&format!("body-{disconnect:?}"), address, with_little_memory);
        let mut first_client = client_that_takes_all_memory(&gateway);
        let mut client = gateway.connect();
        let order = order(&"y".repeat(MIB));
        assert_eq!(
            write_until_blocked(&mut client, &order),
            order.len(),
            "the socket buffers hold the order"
        );
        disconnect.close(client);
        sleep(2 * TENTH_OF_A_SECOND);
        let rest = "x".repeat(MEMORY_FILLING_BODY_LENGTH - FIRST_PART_LENGTH) + "\r\n";
        first_client.write_all(rest.as_bytes()).expect("the gateway accepts input");
        assert_eq!(backend.next_body().len(), MEMORY_FILLING_BODY_LENGTH);
        backend.reply(DONE);
        assert_eq!(common::read_reply(&first_client), "done");
        let late_body = backend.body_within(OBSERVATION_TIME).map(|body| body.len());
        assert_eq!(late_body, None, "{disconnect:?}");
    }
}
