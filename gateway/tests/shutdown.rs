//! Shutdowns and drains of a gateway process on loopback while its clients keep sending: every command that the
//! process reads gets its reply before the connection ends.
use nix::sys::signal::Signal;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

mod common;
use common::example_servers::{self, read_command, request, serve_connections};
use common::{free_listener, gateway_with_backend, read_to_end, send_request, unresponsive_backend, PING};

const SECOND: Duration = Duration::from_secs(1);
const TENTH_OF_A_SECOND: Duration = Duration::from_millis(100);
/// Size of the receive buffer of a client that reads slowly, in bytes.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// What the socket buffers of both sides hold at most with such a receive buffer, in bytes: the maximum of
/// `tcp_wmem` is 4 MiB.
const MAX_SOCKET_BUFFER_BYTES: usize = 5 * 1024 * 1024;

/// Returns the configuration with timeouts of 1 s: the kill comes 1.7 s after SIGTERM, and the process exits
/// 0.1 s before.
fn with_short_timeouts(configuration: String) -> String {
    configuration
        .replace("\"give_up_us\": 3000000", "\"give_up_us\": 1000000")
        .replace("\"give_up_us\": 1500000", "\"give_up_us\": 1000000")
}

/// Returns the configuration with a quota that no test uses up.
fn with_large_quota(configuration: String) -> String {
    configuration.replace("\"per_second\": 2, \"depth\": 12", "\"per_second\": 100000, \"depth\": 100000")
}

/// Guards against a command that is read and not answered because it arrives together with the time of the exit:
/// the process exited before it wrote the replies of that batch.
#[test]
fn a_command_that_arrives_with_the_time_of_the_exit_is_answered() {
    let (backend, address) = free_listener();
    let commands = unresponsive_backend(backend);
    let mut gateway = gateway_with_backend("with-the-exit", address, with_short_timeouts);
    let mut client = gateway.connect();
    send_request(&mut client, "order", 1000);
    commands.recv_timeout(5 * SECOND).expect("the request is forwarded");
    // With the request pending, the connection stays open until the pause.
    gateway.signal(Signal::SIGTERM);
    sleep(8 * TENTH_OF_A_SECOND);
    gateway.pause();
    client.write_all(PING).expect("an open connection");
    sleep(10 * TENTH_OF_A_SECOND);
    gateway.resume();
    assert_eq!(read_to_end(client), "-ERR failed\r\n-ERR draining\r\n");
    assert_eq!(gateway.exit_code(), Some(0));
}

/// Starts a backend that replies to each command with a value of `length` bytes; returns the number of its
/// replies.
fn backend_with_values_of(listener: TcpListener, length: usize) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let replies = count.clone();
    let reply = format!("*3\r\n${length}\r\n{}\r\n$-1\r\n$-1\r\n", "v".repeat(length));
    serve_connections(listener, move |stream| {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while read_command(&mut reader)?.is_some() {
            writer.write_all(reply.as_bytes())?;
            replies.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    });
    count
}

/// Waits until a backend has sent no reply for a while; returns the number of its replies.
fn wait_for_last_reply(replies: &AtomicUsize) -> usize {
    loop {
        let before = replies.load(Ordering::Relaxed);
        sleep(3 * TENTH_OF_A_SECOND);
        if before > 0 && replies.load(Ordering::Relaxed) == before {
            return before;
        }
    }
}

/// Reads the replies on a connection until it ends; returns their number.
fn count_replies(client: TcpStream) -> usize {
    let mut reader = BufReader::new(client);
    let mut next_reply = || example_servers::read_reply(&mut reader).unwrap_or_default();
    (0..).take_while(|_| !next_reply().is_empty()).count()
}

/// Guards against a request that is read and never answered: a connection whose replies were not all written
/// yet was closed, and what the client sent until it had read them was discarded.
#[test]
fn a_request_sent_before_a_slow_client_has_read_its_replies_is_answered() {
    const VALUE_BYTES: usize = 60_000;
    const REQUESTS: usize = 120; // fewer than connections fit into the backlog of the backend
    let (backend, address) = free_listener();
    let replies = backend_with_values_of(backend, VALUE_BYTES);
    let mut gateway = gateway_with_backend("slow-client", address, with_large_quota);
    let mut client = gateway.connect();
    let receive_buffer = socket2::SockRef::from(&client).set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES);
    receive_buffer.expect("an open socket");
    // The gateway reads them all at once: with unwritten replies in its buffer it would read only some.
    gateway.pause();
    let requests: String = (0..REQUESTS).map(|_| request("look", 1500)).collect();
    client.write_all(requests.as_bytes()).expect("the socket buffers hold all requests");
    gateway.resume();
    let value_bytes = wait_for_last_reply(&replies) * VALUE_BYTES;
    assert!(value_bytes > MAX_SOCKET_BUFFER_BYTES, "{value_bytes} bytes of values");
    gateway.signal(Signal::SIGTERM);
    sleep(8 * TENTH_OF_A_SECOND);
    send_request(&mut client, "look", 1500);
    sleep(2 * TENTH_OF_A_SECOND);
    assert_eq!(count_replies(client), REQUESTS + 1);
    assert_eq!(gateway.exit_code(), Some(0));
}
