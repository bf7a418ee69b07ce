//! Long values and long bodies through a gateway on loopback: complete, slow, many at once, and aborted.
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

mod common;
use common::example_servers::{read_command, request, serve_connections};
use common::{
    connect_when_listening, empty_directory, free_listener, gateway_command, start_services, unique_address,
    GatewayProcess, ListedBackend, PING,
};

const VALUE_LENGTH: usize = 4 * 1024 * 1024;
/// Memory limit of an instance through which far more data passes at once, in MiB.
const LITTLE_MEMORY_MB: usize = 32;

/// Returns the byte of the long value at this index.
fn value_byte(index: usize) -> u8 {
    (index / 7 % 251) as u8
}

/// Starts a backend that replies to `order` with the length and the sum of the body, aborts its reply to
/// `fail` half-way, and replies to everything else with a long value, written in pieces of an odd size.
fn start_backend(listener: TcpListener) {
    let value: Vec<u8> = (0..VALUE_LENGTH).map(value_byte).collect();
    let reply =
        [format!("*3\r\n${VALUE_LENGTH}\r\n").as_bytes(), &value, b"\r\n$-1\r\n$15\r\nload_share=0.25\r\n"]
            .concat();
    serve_connections(listener, move |stream| {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while let Some(items) = read_command(&mut reader)? {
            if items[3].contains("c=order") {
                sleep(Duration::from_millis(20));
                let value = body_digest(&items[4]);
                write!(writer, "*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())?;
                continue;
            }
            let is_aborted = items[3].contains("c=fail");
            let sent = if is_aborted { &reply[..VALUE_LENGTH / 2] } else { &reply[..] };
            for piece in sent.chunks(60_001) {
                writer.write_all(piece)?;
            }
            if is_aborted {
                return Ok(());
            }
        }
        Ok(())
    });
}

/// Returns the length of a body and the sum of its bytes.
fn body_digest(body: &str) -> String {
    let sum: u64 = body.bytes().map(u64::from).sum();
    format!("{} {sum}", body.len())
}

/// Starts an instance with this memory limit, in MiB.
fn start_with_memory(name: &str, memory_mb: usize) -> (GatewayProcess, SocketAddr) {
    let (backend, backend_address) = free_listener();
    start_backend(backend);
    let services = start_services(&[ListedBackend { name: "a", address: backend_address }]);
    let address = unique_address(7400);
    let configuration = include_str!("../../examples/configuration.json")
        .replace("127.0.0.1:7400", &address.to_string())
        .replace("127.0.0.1:7401", &services.list_service.to_string())
        .replace("127.0.0.1:7402", &services.counter.to_string())
        .replace("127.0.0.1:7403", "127.0.0.1:0")
        .replace("127.0.0.1:7404", "127.0.0.1:0")
        .replace("\"depth\": 12", "\"depth\": 400")
        .replace("\"aim_us\": 400000", "\"aim_us\": 1400000") // on a busy machine, a slow value is not overload
        .replace("\"memory_mb\": 192", &format!("\"memory_mb\": {memory_mb}"));
    let directory = empty_directory(name);
    let file = directory.join("configuration.json");
    std::fs::write(&file, configuration).expect("the file is written");
    let process = GatewayProcess::spawn(gateway_command(&file).env("TMPDIR", directory));
    connect_when_listening(address);
    sleep(Duration::from_millis(200)); // until the instance has its endpoint list
    (process, address)
}

/// Returns the peak of the resident memory of a process, in kB.
fn peak_memory(process: &GatewayProcess) -> usize {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", process.id())).expect("the process is running");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the status has a peak");
    peak.trim().trim_end_matches(" kB").parse().expect("the peak is a number")
}

fn assert_little_memory_was_used(process: &GatewayProcess) {
    let peak = peak_memory(process);
    assert!(
        peak < LITTLE_MEMORY_MB * 1024,
        "peak memory of {peak} kB, expected less than {LITTLE_MEMORY_MB} MiB"
    );
}

fn send_request(address: SocketAddr, operation: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the gateway accepts the connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("an open socket");
    stream.write_all(request(operation, 1400).as_bytes()).expect("the gateway accepts input");
    stream
}

/// Reads until the reply to a `PING`, in reads of at most this size with a pause after each; returns
/// everything it read.
fn read_until_pong(mut stream: &TcpStream, read_size: usize, pause: Duration) -> Vec<u8> {
    let (mut received, mut buffer) = (vec![], vec![0; read_size]);
    while !received.ends_with(b"+PONG\r\n") {
        let length = stream.read(&mut buffer).expect("the gateway sends more of the replies");
        assert!(length > 0, "the connection ended after {} bytes", received.len());
        received.extend_from_slice(&buffer[..length]);
        sleep(pause);
    }
    received
}

/// Asserts that the replies are the complete long value and `PONG`.
fn assert_complete(replies: &[u8]) {
    let head = format!("${VALUE_LENGTH}\r\n");
    let start = &replies[..replies.len().min(60)];
    assert!(replies.starts_with(head.as_bytes()), "{}", String::from_utf8_lossy(start));
    let (value, rest) = replies[head.len()..].split_at(VALUE_LENGTH);
    let is_unchanged = value.iter().enumerate().all(|(index, byte)| *byte == value_byte(index));
    assert!(is_unchanged, "the value differs from the backend's");
    assert_eq!(rest, b"\r\n+PONG\r\n");
}

/// Guards against the loss of long values: a value over 64 KiB ended the connection to its backend, and its
/// request failed.
#[test]
fn a_long_value_is_delivered_complete_to_fast_and_slow_clients() {
    let (_process, address) = start_with_memory("whole", 192);
    for pause_ms in [0, 2] {
        let mut client = send_request(address, "look");
        client.write_all(PING).expect("the gateway accepts input"); // answered after the value
        assert_complete(&read_until_pong(&client, 50_021, Duration::from_millis(pause_ms)));
    }
}

#[test]
fn a_long_value_that_its_backend_aborts_closes_the_clients_connection() {
    let (_process, address) = start_with_memory("broken-off", 192);
    let mut received = vec![];
    send_request(address, "fail")
        .read_to_end(&mut received)
        .expect("the connection is closed without a reset");
    let length = received.len();
    assert!(length > 1_000_000 && length < VALUE_LENGTH, "cut off after {length} bytes");
}

/// Guards against unbounded buffers for clients that read slowly, however many there are.
#[test]
fn many_long_values_at_once_stay_far_below_the_memory_limit() {
    const CLIENTS: usize = 60; // with 4 MiB each
    let (process, address) = start_with_memory("many", LITTLE_MEMORY_MB);
    let mut clients: Vec<TcpStream> = (0..CLIENTS).map(|_| send_request(address, "look")).collect();
    sleep(Duration::from_millis(1000));
    assert_little_memory_was_used(&process);
    let mut complete = 0;
    for client in &mut clients {
        client.write_all(PING).expect("the gateway accepts input");
        let replies = read_until_pong(client, 200_000, Duration::ZERO);
        if replies[0] == b'$' {
            assert_complete(&replies);
            complete += 1;
        }
    }
    assert!(complete > 2, "{complete} values are complete, the others were rejected");
}

/// Sends an `order` with a long body in small pieces; returns the reply.
fn send_long_body(address: SocketAddr, length: usize) -> String {
    let body = format!("${length}\r\n{}\r\n", "b".repeat(length));
    let request = request("order", 2900).replace("$4\r\nbody\r\n", &body);
    let mut stream = TcpStream::connect(address).expect("the gateway accepts the connection");
    for piece in request.as_bytes().chunks(70_001) {
        stream.write_all(piece).expect("the gateway accepts input");
        sleep(Duration::from_millis(1));
    }
    common::read_reply(&stream)
}

/// Guards against the rejection of a body over 64 KiB. If many arrive at once, they wait for memory, and none
/// takes the memory of others.
#[test]
fn long_bodies_wait_for_memory_and_are_served_while_short_commands_are_not_delayed() {
    const BODY_LENGTH: usize = 2 * 1024 * 1024;
    let (process, address) = start_with_memory("bodies", LITTLE_MEMORY_MB);
    let clients: Vec<_> = (0..30).map(|_| spawn(move || send_long_body(address, BODY_LENGTH))).collect();
    let mut short = TcpStream::connect(address).expect("the gateway accepts the connection");
    let (first_part, second_part) = PING.split_at(PING.len() - "NG\r\n".len());
    short.write_all(first_part).expect("the gateway accepts input");
    sleep(Duration::from_millis(300));
    short.write_all(second_part).expect("the gateway accepts input");
    short.set_read_timeout(Some(Duration::from_millis(500))).expect("an open socket");
    assert_eq!(common::read_reply(&short), "+PONG");

    let expected = body_digest(&"b".repeat(BODY_LENGTH));
    let replies: Vec<String> =
        clients.into_iter().map(|client| client.join().expect("the client does not panic")).collect();
    let served = replies.iter().filter(|reply| **reply == expected).count();
    let is_served_or_rejected = |reply: &String| *reply == expected || reply.starts_with("-BUSY");
    assert!(served >= 20 && replies.iter().all(is_served_or_rejected), "{replies:?}");
    assert_little_memory_was_used(&process);
}

#[test]
fn a_body_that_is_too_long_or_has_no_valid_length_is_a_protocol_error() {
    let (_process, address) = start_with_memory("body-length", LITTLE_MEMORY_MB);
    for (length, reason) in [("4194305", "4 MiB"), ("-5", "negative"), ("4e6", "no number")] {
        let request = request("order", 2900).replace("$4\r\nbody", &format!("${length}\r\nbody"));
        let mut client = TcpStream::connect(address).expect("the gateway accepts the connection");
        client.write_all(request.as_bytes()).expect("the gateway accepts input");
        let reply = common::read_reply(&client);
        assert!(reply.starts_with("-ERR protocol") && reply.contains(reason), "{reply}");
    }
}
