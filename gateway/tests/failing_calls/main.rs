//! Socket calls of the gateway that fail or come short, as the manual pages of Linux document, injected by a library that
//! is loaded before the C library: every request is answered in time all the same.
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

#[path = "../common/mod.rs"]
mod common;
use common::example_servers::{read_reply, request};
use common::{free_listener, serve_endpoints, start_listed_backend, with_initial_backends, TestGateway};

const CLIENTS: usize = 12;
const REQUESTS: usize = 40;
const CLIENT_TIMEOUT_MS: u64 = 1400;
/// Time after its request's timeout until which an answer is not lost.
const LATE_BY: Duration = Duration::from_millis(500);

/// Compiles the library once; returns its path.
fn fault_library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/failing_calls/fault_library.c");
        let library = Path::new(env!("CARGO_TARGET_TMPDIR")).join("fault_library.so");
        let arguments = ["-O1", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC", source, "-ldl", "-o"];
        let status = Command::new("cc").args(arguments).arg(&library).status().expect("a C compiler");
        assert!(status.success(), "the fault library compiles");
        library
    })
}

/// A gateway with one backend whose socket calls fail.
struct FaultyGateway {
    gateway: TestGateway,
    counts: PathBuf,
}

impl FaultyGateway {
    /// `faults`: rates by call, as the library reads them.
    fn start(name: &str, faults: &str) -> FaultyGateway {
        let backend = start_listed_backend("a");
        let (list_service, list_service_address) = free_listener();
        serve_endpoints(list_service, &[backend]);
        let counts = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fault-counts-{name}"));
        let _ = std::fs::remove_file(&counts); // fails if there is none from an earlier run
        let environment = [
            ("LD_PRELOAD", fault_library().as_os_str().to_owned()),
            ("FAULTS", faults.into()),
            ("FAULT_SEED", "7".into()),
            ("FAULT_COUNTS", counts.as_os_str().to_owned()),
        ];
        let name = format!("failing-calls-{name}");
        let gateway = TestGateway::start_with(&name, list_service_address, &environment, |configuration| {
            with_initial_backends(&configuration, &[backend])
                .replace("\"per_second\": 2, \"depth\": 12", "\"per_second\": 100000, \"depth\": 100000")
        });
        FaultyGateway { gateway, counts }
    }

    /// Returns how many faults were injected.
    fn injected(&self) -> u64 {
        let counts = std::fs::read(&self.counts).expect("the library has counted");
        counts.chunks(8).map(|count| u64::from_ne_bytes(count.try_into().expect("8 bytes"))).sum()
    }
}

/// Sends a request; returns the reply, nothing if the connection has ended, or what failed.
fn exchange(reader: &mut BufReader<TcpStream>) -> String {
    let _ = reader.get_mut().write_all(request("look", CLIENT_TIMEOUT_MS).as_bytes()); // fails if it has ended
    match read_reply(reader) {
        Err(error) if error.kind() == ErrorKind::ConnectionReset => String::new(),
        reply => reply.unwrap_or_else(|error| error.to_string()),
    }
}

/// Sends requests one after another, on a new connection for each fifth; returns those without an answer in time.
fn unanswered_requests(gateway: SocketAddr) -> Vec<String> {
    let connect = || {
        let client = TcpStream::connect(gateway).expect("the backlog accepts the connection");
        client.set_read_timeout(Some(Duration::from_secs(3))).expect("an open socket");
        BufReader::new(client)
    };
    let mut unanswered = vec![];
    let mut reader = connect();
    for number in 0..REQUESTS {
        if number % 5 == 0 {
            reader = connect();
        }
        let sent_at = Instant::now();
        let mut reply = exchange(&mut reader);
        if reply.is_empty() {
            // A close between requests may cross a request that is not read; its client sends it once more.
            reader = connect();
            reply = exchange(&mut reader);
        }
        let waited = sent_at.elapsed();
        let is_answer = reply == "a look" || reply.starts_with("-BUSY") || reply.starts_with("-ERR failed");
        if !is_answer || waited > Duration::from_millis(CLIENT_TIMEOUT_MS) + LATE_BY {
            unanswered.push(format!("request {number}: '{reply}' after {waited:?}"));
            reader = connect();
        }
        sleep(Duration::from_millis(5));
    }
    unanswered
}

/// Checks that all requests of some clients are answered in time while calls fail.
fn assert_all_are_answered(name: &str, faults: &str) {
    let faulty = FaultyGateway::start(name, faults);
    let gateway = faulty.gateway.address;
    let unanswered: Vec<String> = scope(|scope| {
        let clients = [(); CLIENTS].map(|()| scope.spawn(move || unanswered_requests(gateway)));
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect()
    });
    let injected = faulty.injected();
    assert!(injected > 20, "{injected} faults were injected");
    assert!(unanswered.is_empty(), "{} of {}: {unanswered:#?}", unanswered.len(), CLIENTS * REQUESTS);
}

/// Guards against requests that are never read: a read that returned less than there was counted as the last one.
#[test]
fn requests_are_answered_when_reads_return_less_than_there_is() {
    assert_all_are_answered("recv", "recv-short=0.2,recv-eintr=0.05");
}

/// Guards against answers that are never written: output waited for a socket that was writable all the time.
#[test]
fn requests_are_answered_when_writes_fail_for_a_moment_or_are_short() {
    assert_all_are_answered("send", "send-short=0.2,send-eintr=0.05,send-nobufs=0.1");
}

/// Guards against a connection that is never accepted: after an error, accepting waited for the end of another one.
#[test]
fn a_client_is_accepted_after_errors_although_no_other_connection_ends() {
    let faulty = FaultyGateway::start("accept", "accept=0.8");
    for _ in 0..10 {
        let client = faulty.gateway.connect();
        let unanswered_after = Instant::now();
        (&client).write_all(request("look", CLIENT_TIMEOUT_MS).as_bytes()).expect("the backlog holds it");
        assert_eq!(common::read_reply(&client), "a look");
        let waited = unanswered_after.elapsed();
        assert!(waited < Duration::from_millis(CLIENT_TIMEOUT_MS), "{waited:?}");
        std::mem::forget(client); // its connection stays open
    }
    assert!(faulty.injected() > 10);
}

/// Guards against lost requests while sockets can't be opened, connections fail at once, and waits are interrupted.
#[test]
fn requests_are_answered_when_connecting_fails_for_a_moment() {
    assert_all_are_answered("connect", "connect=0.2,socket=0.1,wait-eintr=0.1,accept=0.2");
}
