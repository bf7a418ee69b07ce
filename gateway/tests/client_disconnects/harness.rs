//! Shared by these tests: ways to disconnect, backends that the test controls, and gateways in front of them.
use crate::common::example_servers::{read_command, read_target, request, serve_connections, write_ok};
use crate::common::{
    endpoint_list, free_listener, serve_endpoints, with_known_backends, FullBacklogBackend, ListedBackend,
    TestGateway,
};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const TENTH_OF_A_SECOND: Duration = Duration::from_millis(100);
/// How long a backend is observed, after a client has disconnected, for requests of that client.
pub const OBSERVATION_TIME: Duration = Duration::from_millis(400);
/// How long the gateway has for what a test waits for.
const PATIENCE: Duration = Duration::from_secs(5);
/// A client's timeout for its request, in milliseconds.
const TIMEOUT_MS: u64 = 2900;
pub const MIB: usize = 1024 * 1024;
const NO_BODIES: [&str; 0] = [];

/// A backend's reply with the value `done`.
pub const DONE: &str = "*3\r\n$4\r\ndone\r\n$-1\r\n$-1\r\n";
/// A backend's reply that rejects the request.
pub const BUSY: &str = "-BUSY\r\n";

/// How a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disconnect {
    Fin,
    Reset,
}

impl Disconnect {
    pub const ALL: [Disconnect; 2] = [Disconnect::Fin, Disconnect::Reset];

    pub fn close(self, client: TcpStream) {
        if self == Disconnect::Reset {
            socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("an open socket");
        }
        drop(client);
    }

    /// The reason that the gateway logs.
    fn log_reason(self) -> &'static str {
        match self {
            Disconnect::Fin => "closed",
            Disconnect::Reset => "reset",
        }
    }
}

/// Waits until the gateway has logged that a client disconnected in this way.
pub fn wait_until_disconnect_is_logged(gateway: &TestGateway, disconnect: Disconnect) {
    let start = Instant::now();
    let end = format!("ended: {}", disconnect.log_reason());
    loop {
        let line = gateway.log.recv_timeout(PATIENCE.saturating_sub(start.elapsed()));
        let line = line.unwrap_or_else(|_| panic!("no {disconnect:?} is logged in {PATIENCE:?}"));
        if line.contains("connection client") && line.ends_with(&end) {
            return;
        }
    }
}

/// A request that must not be repeated, with this body.
pub fn order(body: &str) -> String {
    let body = format!("${}\r\n{body}\r\n", body.len());
    request("order", TIMEOUT_MS).replace("$4\r\nbody\r\n", &body)
}

pub fn send_order(client: &mut TcpStream, body: &str) {
    client.write_all(order(body).as_bytes()).expect("the gateway reads");
}

/// Writes until all is written or the socket has taken nothing for 0.3 s; returns the number of bytes that were written.
pub fn write_until_blocked(client: &mut TcpStream, text: &str) -> usize {
    client.set_nonblocking(true).expect("an open socket");
    let mut written = 0;
    let mut last_write = Instant::now();
    while written < text.len() && last_write.elapsed() < 3 * TENTH_OF_A_SECOND {
        match client.write(&text.as_bytes()[written..]) {
            Ok(length) => {
                written += length;
                last_write = Instant::now();
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(TENTH_OF_A_SECOND / 20),
            Err(error) => panic!("{error}"),
        }
    }
    client.set_nonblocking(false).expect("an open socket");
    written
}

/// The backend's side of a connection from the gateway.
pub struct BackendConnection {
    pub reader: BufReader<TcpStream>,
    pub writer: TcpStream,
}

impl BackendConnection {
    /// The next connection of the gateway, which must come in time.
    pub fn accept(listener: &TcpListener) -> BackendConnection {
        listener.set_nonblocking(true).expect("an open socket");
        let start = Instant::now();
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    listener.set_nonblocking(false).expect("an open socket");
                    stream.set_nonblocking(false).expect("an open socket");
                    return BackendConnection::new(stream);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => panic!("{error}"),
            }
            assert!(start.elapsed() < PATIENCE, "the gateway does not connect in {PATIENCE:?}");
            sleep(TENTH_OF_A_SECOND / 20);
        }
    }

    pub fn new(stream: TcpStream) -> BackendConnection {
        stream.set_read_timeout(Some(PATIENCE)).expect("an open socket");
        stream.set_write_timeout(Some(PATIENCE)).expect("an open socket");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        BackendConnection { reader, writer: stream }
    }

    /// The body of the next command.
    pub fn next_body(&mut self) -> String {
        let items = read_command(&mut self.reader).expect("a command").expect("not the end");
        items[4].clone()
    }

    pub fn reply_with_value(&mut self, value: &str) {
        self.reply(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }

    pub fn reply(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).expect("an open connection");
    }

    /// The bodies of all commands until the end, or until nothing has arrived for a while. Panics if a command is incomplete.
    pub fn remaining_bodies(&mut self) -> Vec<String> {
        self.writer.set_read_timeout(Some(OBSERVATION_TIME)).expect("an open socket");
        let (mut received, mut buffer) = (vec![], vec![0; 65_536]);
        while let Ok(length @ 1..) = self.reader.read(&mut buffer) {
            received.extend_from_slice(&buffer[..length]);
        }
        self.writer.set_read_timeout(Some(PATIENCE)).expect("an open socket");
        let mut rest = &received[..];
        let next = || read_command(&mut rest).expect("a complete command").map(|items| items[4].clone());
        std::iter::from_fn(next).collect()
    }
}

/// A backend that sends a reply when the test says so, one request at a time over all its connections.
pub struct ControlledBackend {
    bodies: Receiver<String>,
    replies: Sender<&'static str>,
}

impl ControlledBackend {
    pub fn start(listener: TcpListener) -> ControlledBackend {
        let (body_sender, bodies) = channel();
        let (replies, reply_receiver) = channel::<&'static str>();
        let next_reply = Arc::new(Mutex::new(reply_receiver));
        serve_connections(listener, move |stream| {
            let mut connection = BackendConnection::new(stream);
            connection.writer.set_read_timeout(None)?;
            while let Some(items) = read_command(&mut connection.reader)? {
                let _ = body_sender.send(items[4].clone()); // the test may be over
                let Ok(reply) = next_reply.lock().expect("no panic").recv() else { return Ok(()) };
                connection.reply(reply);
            }
            Ok(())
        });
        ControlledBackend { bodies, replies }
    }

    /// The body of the next command.
    pub fn next_body(&self) -> String {
        self.bodies.recv_timeout(PATIENCE).expect("the gateway forwards a request")
    }

    /// The body of the next command; `None` if there is none in this time.
    pub fn body_within(&self, time: Duration) -> Option<String> {
        self.bodies.recv_timeout(time).ok()
    }

    /// Replies to the oldest request that waits for it. Once the backend is dropped, each request fails.
    pub fn reply(&self, text: &'static str) {
        self.replies.send(text).expect("the backend runs");
    }
}

pub fn unchanged(configuration: String) -> String {
    configuration
}

/// The configuration with long timeouts for all but the clients, and without an effective quota. On a busy machine a late answer of
/// the counter would make the gateway open another connection to it, for which the tests with few descriptors have none.
fn with_long_timeouts(configuration: &str) -> String {
    configuration
        .replace("\"dial_timeout_us\": 250000", "\"dial_timeout_us\": 5000000")
        .replace("\"aim_us\": 1000000", "\"aim_us\": 2900000")
        .replace("\"depth\": 12", "\"depth\": 100000")
        .replace("\"counter_timeout_us\": 80000", "\"counter_timeout_us\": 2000000")
}

/// An instance that knows one backend from the start.
pub fn gateway_with_backend(
    name: &str,
    address: SocketAddr,
    change: impl Fn(String) -> String,
) -> TestGateway {
    let backend = ListedBackend { name: "a", address };
    let (list_service, list_service_address) = free_listener();
    serve_endpoints(list_service, &[backend]);
    start_gateway(name, list_service_address, |configuration| {
        change(with_known_backends(&with_long_timeouts(&configuration), &[backend]))
    })
}

/// Starts an instance, and waits until the log has the end of the connection that was opened to see whether it listens. The next
/// disconnect in the log is one of the test's clients.
fn start_gateway(name: &str, list_service: SocketAddr, change: impl Fn(String) -> String) -> TestGateway {
    let gateway = TestGateway::start(&format!("leave-{name}"), list_service, change);
    wait_until_disconnect_is_logged(&gateway, Disconnect::Fin);
    gateway
}

/// The addresses of a backend that drains and of the one that takes its place.
pub struct BackendReplacement {
    pub first: SocketAddr,
    pub second: SocketAddr,
}

/// An instance that knows the first backend. The channel makes the list service notify it that the first one drains and the
/// second one is ready.
pub fn gateway_with_replaced_backend(
    name: &str,
    replacement: BackendReplacement,
    change: impl Fn(String) -> String,
) -> (TestGateway, Sender<()>) {
    let first = ListedBackend { name: "a", address: replacement.first };
    let second = ListedBackend { name: "b", address: replacement.second };
    let watch_event = endpoint_list(&[first, second])
        .replacen("SERVING", "DRAINING", 1)
        .replace("\"index\":1,\"snapshot\":true", "\"index\":2,\"snapshot\":false");
    let (list_service, list_service_address) = free_listener();
    let notify = serve_controlled_watch(list_service, watch_event);
    let gateway = start_gateway(name, list_service_address, |configuration| {
        change(with_known_backends(&with_long_timeouts(&configuration), &[first]))
    });
    (gateway, notify)
}

/// A list service that sends this watch event each time the test says so.
fn serve_controlled_watch(listener: TcpListener, watch_event: String) -> Sender<()> {
    let (notify, notified) = channel();
    let notified = Arc::new(Mutex::new(notified));
    serve_connections(listener, move |stream| {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while read_target(&mut reader)?.is_some() {
            let Ok(()) = notified.lock().expect("no panic").recv() else { return Ok(()) };
            write_ok(&mut writer, &watch_event)?;
        }
        Ok(())
    });
    notify
}

/// Accepts every connection that is pending or attempted again, which takes a second, and checks that nothing is written to it.
pub fn assert_nothing_is_written(mut backend: FullBacklogBackend, disconnect: Disconnect) {
    backend.free_backlog();
    backend.listener.set_nonblocking(true).expect("an open socket");
    let start = Instant::now();
    while start.elapsed() < 15 * TENTH_OF_A_SECOND {
        if let Ok((stream, _)) = backend.listener.accept() {
            stream.set_nonblocking(false).expect("an open socket");
            assert_eq!(BackendConnection::new(stream).remaining_bodies(), NO_BODIES, "{disconnect:?}");
        }
        sleep(TENTH_OF_A_SECOND / 10);
    }
}
