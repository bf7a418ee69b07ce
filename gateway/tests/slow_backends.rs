//! Long requests that backends read slowly, through a gateway on loopback: every request is answered within its own
//! time, also while the requests of others hold the memory for long commands.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

mod common;
use common::example_servers::{request, serve_connections};
use common::{free_listener, serve_endpoints, with_initial_backends, ListedBackend, TestGateway};

const MEBIBYTE: usize = 1024 * 1024;
/// The least memory that a gateway gets, in MiB. Long commands may take an eighth of it.
const MEMORY_MB: usize = 32;
/// Length of a body that takes nearly all of the memory for long commands.
const FILLING_BODY_BYTES: usize = MEMORY_MB * MEBIBYTE / 8 - 100_000;
/// Time by which an answer may be late.
const SLACK: Duration = Duration::from_millis(50);

/// Starts a backend that reads 64 KiB a second and never replies.
fn start_slow_reader(listener: TcpListener) {
    serve_connections(listener, |mut stream| {
        let mut buffer = [0; 4096];
        while stream.read(&mut buffer)? > 0 {
            sleep(Duration::from_millis(62));
        }
        Ok(())
    });
}

/// Starts an instance with little memory and four backends that read slowly.
fn start_gateway(name: &str) -> TestGateway {
    let backends = ["a", "b", "c", "d"].map(|name| {
        let (listener, address) = free_listener();
        start_slow_reader(listener);
        ListedBackend { name, address }
    });
    let (list_service, list_service_address) = free_listener();
    serve_endpoints(list_service, &backends);
    TestGateway::start(&format!("slow-backends-{name}"), list_service_address, |configuration| {
        with_initial_backends(&configuration, &backends)
            .replace("\"memory_mb\": 192", &format!("\"memory_mb\": {MEMORY_MB}"))
            .replace("\"per_second\": 2, \"depth\": 12", "\"per_second\": 100000, \"depth\": 100000")
    })
}

/// Returns an order with a body of this length.
fn order(body_bytes: usize, timeout_ms: u64) -> String {
    let order = request("order", timeout_ms);
    let (head, _) = order.rsplit_once('$').expect("the body is the last item");
    format!("{head}${body_bytes}\r\n{}\r\n", "b".repeat(body_bytes))
}

/// The reply to a request, and the time from its last byte to the reply.
type TimedReply = (String, Duration);

/// Sends a command at once, on a connection of its own.
fn send(address: SocketAddr, command: String) -> JoinHandle<TimedReply> {
    spawn(move || {
        let mut client = TcpStream::connect(address).expect("the gateway accepts the connection");
        client.set_read_timeout(Some(Duration::from_secs(20))).expect("an open socket");
        client.write_all(command.as_bytes()).expect("the gateway accepts input");
        let written_at = Instant::now();
        (common::read_reply(&client), written_at.elapsed())
    })
}

/// Guards against an answer that comes seconds after its time: the end of a long request waited unread for the memory
/// that requests to slow backends held, and its time began only when that was read.
#[test]
fn a_request_that_waits_for_memory_beside_slow_backends_is_rejected_within_half_its_time() {
    let gateway = start_gateway("memory");
    let mut holding = vec![send(gateway.address, order(FILLING_BODY_BYTES, 3000))];
    sleep(Duration::from_millis(100));
    // While memory is short, one client may exceed the limit until it is answered.
    holding.push(send(gateway.address, order(200_000, 3000)));
    sleep(Duration::from_millis(100));
    let cases =
        [(70_000, 400), (100_000, 500), (100_000, 1500), (130_000, 900), (200_000, 500), (400_000, 2500)];
    let waiting = cases.map(|(body_bytes, timeout_ms)| send(gateway.address, order(body_bytes, timeout_ms)));
    let replies = waiting.map(|client| client.join().expect("no panic"));
    for ((body_bytes, timeout_ms), (reply, waited)) in cases.into_iter().zip(replies) {
        let case = format!("{body_bytes} bytes, {timeout_ms} ms: {reply} after {waited:?}");
        assert!(waited < Duration::from_millis(timeout_ms) / 2 + SLACK, "{case}");
        assert!(reply.starts_with("-BUSY "), "{case}");
    }
    for client in holding {
        let (reply, waited) = client.join().expect("no panic");
        assert!(waited < Duration::from_millis(3000) + SLACK, "{reply} after {waited:?}");
    }
}
