//! Helpers for these tests: ways to disconnect, backends that the test controls, and gateways in front of
//! them.
use crate::common::example_servers::{read_command, read_target, request, serve_connections, write_ok};
use crate::common::{
    self, endpoint_list, free_listener, with_initial_backends, FullBacklogBackend, ListedBackend, TestGateway,
};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub use crate::common::unchanged;

pub const TENTH_OF_A_SECOND: Duration = Duration::from_millis(100);
/// Time after a disconnect during which a backend must receive no request of that client.
pub const OBSERVATION_TIME: Duration = Duration::from_millis(400);
/// Maximum time that a test waits for an action of the gateway.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a client for its request, in milliseconds.
const TIMEOUT_MS: u64 = 2900;
pub const MIB: usize = 1024 * 1024;
const NO_BODIES: [&str; 0] = [];

/// A backend's reply with the value `done`.
pub const DONE: &str = "*3\r\n$4\r\ndone\r\n$-1\r\n$-1\r\n";
/// A backend's reply that rejects the request.
pub const BUSY: &str = "-BUSY\r\n";

/// How a client disconnects.
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

    /// Returns the code of the reason that the gateway logs.
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
    let line_end = format!("ended: {}", disconnect.log_reason());
    loop {
        let line = gateway.log.recv_timeout(WAIT_TIMEOUT.saturating_sub(start.elapsed()));
        let line = line
            .unwrap_or_else(|_| panic!("no {disconnect:?} of a client is logged within {WAIT_TIMEOUT:?}"));
        if line.contains("connection client") && line.ends_with(&line_end) {
            return;
        }
    }
}

/// Encodes a non-idempotent request with this body.
pub fn order(body: &str) -> String {
    let body = format!("${}\r\n{body}\r\n", body.len());
    request("order", TIMEOUT_MS).replace("$4\r\nbody\r\n", &body)
}

pub fn send_order(client: &mut TcpStream, body: &str) {
    client.write_all(order(body).as_bytes()).expect("the gateway accepts input");
}

/// Writes until all of the text is written or the socket has accepted nothing for 0.3 s; returns the number
/// of bytes that were written.
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
    /// Accepts the next connection of the gateway. Panics if there is none within `WAIT_TIMEOUT`.
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
            assert!(start.elapsed() < WAIT_TIMEOUT, "the gateway did not connect within {WAIT_TIMEOUT:?}");
            sleep(TENTH_OF_A_SECOND / 20);
        }
    }

    pub fn new(stream: TcpStream) -> BackendConnection {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("an open socket");
        stream.set_write_timeout(Some(WAIT_TIMEOUT)).expect("an open socket");
        let reader = BufReader::new(stream.try_clone().expect("the socket handle is duplicated"));
        BackendConnection { reader, writer: stream }
    }

    /// Returns the body of the next command.
    pub fn next_body(&mut self) -> String {
        let items =
            read_command(&mut self.reader).expect("a complete command").expect("the connection is open");
        items[4].clone()
    }

    pub fn reply_with_value(&mut self, value: &str) {
        self.reply(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }

    pub fn reply(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).expect("an open connection");
    }

    /// Returns the bodies of all commands until the connection ends, or until nothing has arrived for
    /// `OBSERVATION_TIME`. Panics if a command is incomplete.
    pub fn remaining_bodies(&mut self) -> Vec<String> {
        self.writer.set_read_timeout(Some(OBSERVATION_TIME)).expect("an open socket");
        let (mut received, mut buffer) = (vec![], vec![0; 65_536]);
        while let Ok(length @ 1..) = self.reader.read(&mut buffer) {
            received.extend_from_slice(&buffer[..length]);
        }
        self.writer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("an open socket");
        let mut rest = &received[..];
        let next_body = || read_command(&mut rest).expect("a complete command").map(|items| items[4].clone());
        std::iter::from_fn(next_body).collect()
    }
}

/// A backend that sends each reply when the test triggers it. It handles one request at a time over all its
/// connections.
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
                let _ = body_sender.send(items[4].clone()); // fails if the test is over
                let Ok(reply) = next_reply.lock().expect("no thread panics while it holds the lock").recv()
                else {
                    return Ok(());
                };
                connection.reply(reply);
            }
            Ok(())
        });
        ControlledBackend { bodies, replies }
    }

    /// Returns the body of the next command.
    pub fn next_body(&self) -> String {
        self.bodies.recv_timeout(WAIT_TIMEOUT).expect("the gateway forwards a request")
    }

    /// Returns the body of the next command; `None` if there is none within this time.
    pub fn body_within(&self, time: Duration) -> Option<String> {
        self.bodies.recv_timeout(time).ok()
    }

    /// Replies to the oldest unanswered request. Once the backend is dropped, each request fails.
    pub fn reply(&self, text: &'static str) {
        self.replies.send(text).expect("the backend is running");
    }
}

/// Returns the configuration with long timeouts for all but the clients, and with a quota that is never
/// exhausted. With the usual timeout, a late response of the counter on a busy machine would make the gateway
/// open another connection to it, for which the tests with few descriptors have no descriptor.
fn with_long_timeouts(configuration: &str) -> String {
    configuration
        .replace("\"dial_timeout_us\": 250000", "\"dial_timeout_us\": 5000000")
        .replace("\"aim_us\": 1000000", "\"aim_us\": 2900000")
        .replace("\"depth\": 12", "\"depth\": 100000")
        .replace("\"counter_timeout_us\": 80000", "\"counter_timeout_us\": 2000000")
}

/// Starts an instance with one backend in its initial endpoint list, and waits until it has logged the end of the
/// connection that checked whether it listens.
pub fn gateway_with_backend(
    name: &str,
    address: SocketAddr,
    change: impl Fn(String) -> String,
) -> TestGateway {
    let gateway = common::gateway_with_backend(&test_name(name), address, |configuration| {
        change(with_long_timeouts(&configuration))
    });
    wait_until_disconnect_is_logged(&gateway, Disconnect::Fin);
    gateway
}

/// Returns the name of an instance among those of all tests.
fn test_name(name: &str) -> String {
    format!("leave-{name}")
}

/// Starts an instance, and waits until it has logged the end of the connection that checked whether it
/// listens. The next disconnect in the log is that of a client of the test.
fn start_gateway(name: &str, list_service: SocketAddr, change: impl Fn(String) -> String) -> TestGateway {
    let gateway = TestGateway::start(&test_name(name), list_service, change);
    wait_until_disconnect_is_logged(&gateway, Disconnect::Fin);
    gateway
}

/// Addresses of a backend that drains and of the backend that replaces it.
pub struct BackendReplacement {
    pub first: SocketAddr,
    pub second: SocketAddr,
}

/// Starts an instance with the first backend in its initial endpoint list. A message on the channel makes the
/// list service report that the first backend drains and the second one serves.
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
        change(with_initial_backends(&with_long_timeouts(&configuration), &[first]))
    });
    (gateway, notify)
}

/// Starts a list service that sends this watch event for each message on the returned channel.
fn serve_controlled_watch(listener: TcpListener, watch_event: String) -> Sender<()> {
    let (notify, notifications) = channel();
    let notifications = Arc::new(Mutex::new(notifications));
    serve_connections(listener, move |stream| {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while read_target(&mut reader)?.is_some() {
            let Ok(()) = notifications.lock().expect("no thread panics while it holds the lock").recv()
            else {
                return Ok(());
            };
            write_ok(&mut writer, &watch_event)?;
        }
        Ok(())
    });
    notify
}

/// Accepts every connection that is pending or whose attempt is retransmitted, which takes a second, and
/// asserts that nothing is written to it.
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
