//! Shutdowns and drains of a gateway process on loopback while its clients keep sending: every command that the
//! process reads gets its reply before the connection ends.
use nix::sys::signal::Signal;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

mod common;
use common::example_servers::{self, read_command, request, serve_connections};
use common::{
    admin_call, free_listener, gateway_with_backend, read_to_end, send_request, unchanged, unique_address,
    unresponsive_backend, TestGateway, PING,
};

const SECOND: Duration = Duration::from_secs(1);
const TENTH_OF_A_SECOND: Duration = Duration::from_millis(100);
/// Size of the receive buffer of a client that reads slowly, in bytes.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// What the socket buffers of both sides hold at most with such a receive buffer, in bytes: the maximum of
/// `tcp_wmem` is 4 MiB.
const MAX_SOCKET_BUFFER_BYTES: usize = 5 * 1024 * 1024;
/// A command that was sent this long before the end of its connection may cross the end without being read.
const CROSSING: Duration = Duration::from_millis(200);
/// Time after an operator's request to drain by which no connection may hold a command of the last 2 s.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);
/// Time from SIGTERM to the kill, with client timeouts of 3 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);

/// Returns the configuration with this address for operators' calls.
fn with_operators_at(address: SocketAddr) -> impl Fn(String) -> String {
    move |configuration| configuration.replacen('{', &format!("{{ \"mgmt\": \"{address}\","), 1)
}

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

/// Guards against requests that are read and never answered: 1.5 s after SIGTERM the gateway discarded the input
/// of every client with a pending request, and closed the connection after the reply to that one.
#[test]
fn a_request_sent_behind_a_pending_one_after_sigterm_is_answered_before_the_connection_ends() {
    let (backend, address) = free_listener();
    let commands = unresponsive_backend(backend);
    let mut gateway = gateway_with_backend("behind-pending", address, unchanged);
    let mut client = gateway.connect();
    send_request(&mut client, "order", 3000);
    commands.recv_timeout(5 * SECOND).expect("the request is forwarded");
    gateway.signal(Signal::SIGTERM);
    sleep(18 * TENTH_OF_A_SECOND);
    send_request(&mut client, "look", 1000);
    assert_eq!(read_to_end(client), "-ERR failed\r\n-BUSY 50\r\n");
    assert_eq!(gateway.exit_code(), Some(0));
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

/// Lets a client that has not read its replies yet send a command after the gateway has closed its connection, and
/// checks that it can read all replies all the same. `end_connection` makes the gateway close the connection.
fn assert_written_replies_survive_the_close(name: &str, end_connection: impl Fn(&TestGateway, SocketAddr)) {
    const REQUESTS: usize = 6;
    let (backend, address) = free_listener();
    let replies = backend_with_values_of(backend, 60_000);
    let operators = unique_address(7404);
    let gateway = gateway_with_backend(name, address, |configuration| {
        with_operators_at(operators)(with_large_quota(configuration))
    });
    let mut client = gateway.connect();
    let receive_buffer = socket2::SockRef::from(&client).set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES);
    receive_buffer.expect("an open socket");
    let requests: String = (0..REQUESTS).map(|_| request("look", 1500)).collect();
    client.write_all(requests.as_bytes()).expect("the gateway accepts input");
    assert_eq!(wait_for_last_reply(&replies), REQUESTS);
    end_connection(&gateway, operators);
    sleep(8 * TENTH_OF_A_SECOND);
    client.write_all(PING).expect("the reset has not arrived yet");
    sleep(2 * TENTH_OF_A_SECOND);
    assert_eq!(count_replies(client), REQUESTS);
}

/// Guards against answers of executed requests that are lost at a shutdown: the connection was closed while they were
/// in the kernel's send queue, and the client's next command reset it.
#[test]
fn replies_in_the_send_queue_reach_a_client_that_sends_a_command_after_sigterm() {
    assert_written_replies_survive_the_close("linger-sigterm", |gateway, _| gateway.signal(Signal::SIGTERM));
}

/// Guards against the same at an operator's drain.
#[test]
fn replies_in_the_send_queue_reach_a_client_that_sends_a_command_after_a_drain() {
    assert_written_replies_survive_the_close("linger-drain", |_, operators| {
        assert_eq!(admin_call(operators, "POST /healthcheck/fail"), "200 done");
    });
}

/// Guards against answers that are lost because their client pauses for longer than a time that the gateway chose.
#[test]
fn replies_in_the_send_queue_reach_a_client_that_reads_on_11_s_after_a_drain() {
    assert_written_replies_survive_the_close("linger-pause", |_, operators| {
        assert_eq!(admin_call(operators, "POST /healthcheck/fail"), "200 done");
        sleep(11 * SECOND);
    });
}

/// Guards against a process that waits for a client that never reads: it exits before the kill.
#[test]
fn a_client_that_never_reads_does_not_delay_the_exit_past_the_kill() {
    let (backend, address) = free_listener();
    let replies = backend_with_values_of(backend, 60_000);
    let mut gateway = gateway_with_backend("linger-exit", address, with_large_quota);
    let mut client = gateway.connect();
    let receive_buffer = socket2::SockRef::from(&client).set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES);
    receive_buffer.expect("an open socket");
    let requests: String = (0..6).map(|_| request("look", 1500)).collect();
    client.write_all(requests.as_bytes()).expect("the gateway accepts input");
    wait_for_last_reply(&replies);
    let stopped_at = Instant::now();
    gateway.signal(Signal::SIGTERM);
    assert_eq!(gateway.exit_code(), Some(0));
    assert!(stopped_at.elapsed() < KILL_DELAY, "exited {:?} after SIGTERM", stopped_at.elapsed());
    drop(client);
}

/// Sends a `look` every `interval` until the connection ends; returns the times before each write.
fn send_requests(mut client: TcpStream, interval: Duration) -> JoinHandle<Vec<Instant>> {
    spawn(move || {
        let mut sent_at = vec![Instant::now()];
        while client.write_all(request("look", 1500).as_bytes()).is_ok() {
            sleep(interval);
            sent_at.push(Instant::now());
        }
        sent_at
    })
}

/// Guards against a drain that does not end: a client that keeps sending commands holds its connection open, or
/// its last commands are read and never answered. `interval`: time between two commands.
fn assert_a_busy_client_is_disconnected_in_time(name: &str, interval: Duration) {
    const ORDERS: usize = 2;
    let (backend, address) = free_listener();
    let commands = unresponsive_backend(backend);
    let operators = unique_address(7404);
    let gateway = gateway_with_backend(name, address, with_operators_at(operators));
    let mut client = gateway.connect();
    send_request(&mut client, "order", 3000);
    commands.recv_timeout(5 * SECOND).expect("the request is forwarded");
    let drained_at = Instant::now();
    assert_eq!(admin_call(operators, "POST /healthcheck/fail"), "200 done");
    // The timeout of this request ends after the limit.
    sleep(12 * TENTH_OF_A_SECOND);
    send_request(&mut client, "order", 3000);
    commands.recv_timeout(5 * SECOND).expect("the request is forwarded");
    sleep(8 * TENTH_OF_A_SECOND);
    let sender = send_requests(client.try_clone().expect("the socket handle is duplicated"), interval);
    let replies = read_to_end(client);
    let ended_at = Instant::now();
    let sent_at = sender.join().expect("the sender ends");
    let held_for = ended_at - drained_at;
    assert!(held_for < DRAIN_LIMIT, "held for {held_for:?} after the request to drain");
    let answered = replies.lines().count().checked_sub(ORDERS).expect("both orders are answered");
    assert!(0 < answered && answered < sent_at.len(), "{answered} replies to {} commands", sent_at.len());
    let first_unanswered = ended_at.saturating_duration_since(sent_at[answered]);
    assert!(
        first_unanswered < CROSSING,
        "only {answered} of {} commands are answered; the next one was sent {first_unanswered:?} before the end",
        sent_at.len()
    );
}

#[test]
fn a_client_that_sends_a_command_every_5_ms_to_a_drained_instance_is_disconnected_within_4_s() {
    assert_a_busy_client_is_disconnected_in_time("steady", Duration::from_millis(5));
}

#[test]
fn a_client_that_sends_more_commands_than_are_buffered_to_a_drained_instance_is_disconnected_within_4_s() {
    // Fewer than 65,536 in all, as the connection of a client with more commands in the buffer is closed.
    assert_a_busy_client_is_disconnected_in_time("saturating", Duration::from_micros(50));
}

/// Guards against a shutdown that is late, or leaves commands unanswered, because a client keeps sending: the
/// process exits before the kill, and only what crosses the end of the connection has no reply.
#[test]
fn a_client_that_keeps_sending_after_sigterm_is_answered_and_the_process_exits_before_the_kill() {
    let (backend, address) = free_listener();
    let commands = unresponsive_backend(backend);
    let mut gateway = gateway_with_backend("keeps-sending", address, unchanged);
    let mut client = gateway.connect();
    send_request(&mut client, "order", 3000);
    commands.recv_timeout(5 * SECOND).expect("the request is forwarded");
    let signalled_at = Instant::now();
    gateway.signal(Signal::SIGTERM);
    let sender =
        send_requests(client.try_clone().expect("the socket handle is duplicated"), Duration::from_millis(5));
    let replies = read_to_end(client);
    let ended_at = Instant::now();
    let sent_at = sender.join().expect("the sender ends");
    assert_eq!(gateway.exit_code(), Some(0));
    assert!(signalled_at.elapsed() < KILL_DELAY, "exited after {:?}", signalled_at.elapsed());
    let answered = replies.lines().count().checked_sub(1).expect("the order is answered");
    assert!(0 < answered && answered < sent_at.len(), "{answered} replies to {} commands", sent_at.len());
    let first_unanswered = ended_at.saturating_duration_since(sent_at[answered]);
    assert!(
        first_unanswered < CROSSING,
        "the first command without a reply: {first_unanswered:?} before the end"
    );
}
