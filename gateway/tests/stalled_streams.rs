//! Long values that stall half-way through a gateway on loopback: they end with their backend's connection, and wait for
//! backends that write late and clients that read late.
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

mod common;
use common::example_servers::{read_command, read_reply, request, serve_connections};
use common::{free_listener, serve_endpoints, with_initial_backends, ListedBackend, TestGateway, PING};

const VALUE_LENGTH: usize = 4 * 1024 * 1024;
/// Length of the part of the value that the backend writes at once.
const FIRST_PART_LENGTH: usize = VALUE_LENGTH / 2;
const CLIENT_TIMEOUT_MS: u64 = 1000;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(CLIENT_TIMEOUT_MS);

/// What the backend does after the first part of the value.
enum NextStep {
    WriteRest,
    Close,
}

/// An instance with a backend that writes the first part of a long value at once, and the rest slowly when
/// the test triggers it.
struct StalledStream {
    gateway: TestGateway,
    next_step: Sender<NextStep>,
}

impl StalledStream {
    /// The backend writes the rest in 32 pieces, with 50 ms between two of them.
    fn start(name: &str) -> StalledStream {
        StalledStream::start_with_pauses(name, VALUE_LENGTH / 64, Duration::from_millis(50))
    }

    /// The backend writes the rest in pieces of this length with this pause between two of them.
    fn start_with_pauses(name: &str, piece_length: usize, pause: Duration) -> StalledStream {
        let (listener, address) = free_listener();
        let backend = ListedBackend { name: "a", address };
        let (next_step, requested_step) = channel();
        let requested_step = Arc::new(Mutex::new(requested_step));
        serve_connections(listener, move |stream| {
            let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
            while read_command(&mut reader)?.is_some() {
                let value = "v".repeat(VALUE_LENGTH);
                write!(writer, "*3\r\n${VALUE_LENGTH}\r\n{}", &value[..FIRST_PART_LENGTH])?;
                let step = requested_step.lock().expect("no thread panics while it holds the lock").recv();
                let Ok(NextStep::WriteRest) = step else { return Ok(()) };
                for piece in value.as_bytes()[FIRST_PART_LENGTH..].chunks(piece_length) {
                    writer.write_all(piece)?;
                    sleep(pause);
                }
                write!(writer, "\r\n$-1\r\n$-1\r\n")?;
            }
            Ok(())
        });
        let (list_service, list_service_address) = free_listener();
        serve_endpoints(list_service, &[backend]);
        let gateway = TestGateway::start(&format!("stalled-{name}"), list_service_address, |configuration| {
            with_initial_backends(&configuration, &[backend])
        });
        StalledStream { gateway, next_step }
    }

    fn connect_and_send_request(&self) -> TcpStream {
        let mut client = self.gateway.connect();
        client.write_all(request("look", CLIENT_TIMEOUT_MS).as_bytes()).expect("the gateway accepts input");
        client
    }

    fn write_rest(&self) {
        self.next_step.send(NextStep::WriteRest).expect("the backend is running");
    }

    fn close(&self) {
        self.next_step.send(NextStep::Close).expect("the backend is running");
    }
}

/// Guards against both ends of a value that stops: cut off at a time that the gateway chose while its backend's
/// connection was open, or left open after that had ended.
#[test]
fn a_value_whose_backend_becomes_unresponsive_is_aborted_when_the_backends_connection_ends() {
    let stream = StalledStream::start("silent");
    let mut client = stream.connect_and_send_request();
    client.set_read_timeout(Some(4 * CLIENT_TIMEOUT)).expect("an open socket");
    let mut received = vec![];
    let error = client.read_to_end(&mut received).expect_err("the value is not cut off");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    stream.close();
    let closed_at = Instant::now();
    client.read_to_end(&mut received).expect("the connection is closed without a reset");
    let aborted_after = closed_at.elapsed();
    assert!(aborted_after < CLIENT_TIMEOUT / 4, "aborted {aborted_after:?} after its backend's connection");
    let length = received.len();
    assert!(length > FIRST_PART_LENGTH && length < VALUE_LENGTH, "cut off after {length} bytes");
    stream.gateway.wait_for_log_line("cut off: closed; 2097152 of 4194304 bytes, silent for 4.");
}

/// Guards against a value that is aborted because its client reads late, after its timeout.
#[test]
fn a_value_is_delivered_complete_to_a_client_that_reads_after_its_timeout() {
    let stream = StalledStream::start("late");
    stream.write_rest();
    let mut client = stream.connect_and_send_request();
    sleep(2 * CLIENT_TIMEOUT);
    let reply_length = format!("${VALUE_LENGTH}\r\n").len() + VALUE_LENGTH + "\r\n".len();
    let (mut received, mut buffer) = (vec![], vec![0; 65_536]);
    while received.len() < reply_length {
        let length = client.read(&mut buffer).expect("the gateway sends more of the value");
        assert!(length > 0, "cut off after {} bytes", received.len());
        received.extend_from_slice(&buffer[..length]);
    }
    assert_eq!(received.len(), reply_length);
    assert!(received.ends_with(b"v\r\n"));
}

/// Guards against a value that is aborted because its backend writes slowly, past its client's timeout.
#[test]
fn a_value_that_makes_progress_is_delivered_complete_after_its_clients_timeout() {
    let stream = StalledStream::start("moves");
    let mut client = stream.connect_and_send_request();
    stream.write_rest();
    let start = Instant::now();
    let mut reader = BufReader::new(client.try_clone().expect("the socket handle is duplicated"));
    assert_eq!(read_reply(&mut reader).expect("the gateway sends a value").len(), VALUE_LENGTH);
    assert!(start.elapsed() > CLIENT_TIMEOUT * 5 / 4, "the value is complete after its client's timeout");
    client.write_all(PING).expect("an open connection");
    assert_eq!(read_reply(&mut reader).expect("the gateway replies"), "+PONG");
}

/// Guards against a sound value that is cut off while its backend still writes it: each pause of 0.2 s after its
/// client's timeout was taken for the end.
#[test]
fn a_value_with_pauses_of_400_ms_is_delivered_complete_after_its_clients_timeout() {
    let stream = StalledStream::start_with_pauses("pauses", VALUE_LENGTH / 16, Duration::from_millis(400));
    let mut client = stream.connect_and_send_request();
    stream.write_rest();
    let start = Instant::now();
    let mut reader = BufReader::new(client.try_clone().expect("the socket handle is duplicated"));
    assert_eq!(read_reply(&mut reader).expect("the gateway sends a value").len(), VALUE_LENGTH);
    assert!(start.elapsed() > CLIENT_TIMEOUT * 2, "the value is complete after its client's timeout");
    client.write_all(PING).expect("an open connection");
    assert_eq!(read_reply(&mut reader).expect("the gateway replies"), "+PONG");
}

/// Guards against a value that is aborted because the gateway process was paused, although its backend has
/// written meanwhile.
#[test]
fn a_value_is_not_aborted_because_of_a_pause_of_the_gateway() {
    let stream = StalledStream::start("paused");
    let mut client = stream.connect_and_send_request();
    stream.write_rest();
    let start = Instant::now();
    let mut reader = BufReader::new(client.try_clone().expect("the socket handle is duplicated"));
    let value = std::thread::spawn(move || read_reply(&mut reader));
    sleep(CLIENT_TIMEOUT);
    while start.elapsed() < CLIENT_TIMEOUT * 3 / 2 && !value.is_finished() {
        stream.gateway.pause();
        sleep(Duration::from_millis(250));
        stream.gateway.resume();
        sleep(Duration::from_millis(20));
    }
    let value = value.join().expect("the reader does not panic").expect("the gateway sends a value");
    assert_eq!(value.len(), VALUE_LENGTH);
    client.write_all(PING).expect("an open connection");
}
