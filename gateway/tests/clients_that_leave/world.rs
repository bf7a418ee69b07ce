//! What these tests share: clients that leave, and backends that wait for the test.
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::help::{example_servers, free_listener, serve_endpoints, FullBacklogBackend, TestGateway};

pub const TENTH_OF_A_SECOND: Duration = Duration::from_millis(100);
/// So long nothing may come for a client that has left.
pub const QUIET_TIME: Duration = Duration::from_millis(400);
/// How long a client waits for an answer, milliseconds.
pub const WAIT_MS: u64 = 2900;
pub const MIB: usize = 1024 * 1024;
pub const NO_BODIES: [&str; 0] = [];

/// How a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disconnect {
    Fin,
    Reset,
}

pub const DISCONNECTS: [Disconnect; 2] = [Disconnect::Fin, Disconnect::Reset];

pub fn disconnect(client: TcpStream, disconnect_kind: Disconnect) {
    if disconnect_kind == Disconnect::Reset {
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("an open socket");
    }
}

/// Waits until the front door has seen some client leave so.
pub fn wait_until_client_is_gone(gateway: &TestGateway, disconnect_kind: Disconnect) {
    let from = Instant::now();
    let why = if disconnect_kind == Disconnect::Fin { "closed" } else { "reset" };
    loop {
        let left = (5 * 10 * TENTH_OF_A_SECOND).saturating_sub(from.elapsed());
        let line = gateway
            .log
            .recv_timeout(left)
            .unwrap_or_else(|_| panic!("not seen to leave by {disconnect_kind:?} in 5 s"));
        if line.contains("connection client") && line.ends_with(&format!("ended: {why}")) {
            return;
        }
    }
}

/// An operation that must not be repeated, with this text as its body.
pub fn order(body: &str) -> String {
    let body = format!("${}\r\n{body}\r\n", body.len());
    example_servers::request("order", WAIT_MS).replace("$4\r\nbody\r\n", &body)
}

pub fn send_order(client: &mut TcpStream, body: &str) {
    client.write_all(order(body).as_bytes()).expect("it reads");
}

/// Writes as much as the machine takes, for as long as it takes more.
pub fn write_until_blocked(client: &mut TcpStream, text: &str) -> usize {
    client.set_nonblocking(true).expect("an open socket");
    let (mut done, mut last) = (0, Instant::now());
    while done < text.len() && last.elapsed() < 3 * TENTH_OF_A_SECOND {
        match client.write(&text.as_bytes()[done..]) {
            Ok(n) => (done, last) = (done + n, Instant::now()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(TENTH_OF_A_SECOND / 20),
            Err(e) => panic!("{e}"),
        }
    }
    client.set_nonblocking(false).expect("an open socket");
    done
}

/// A connection of the front door to a backend, at the backend.
pub struct BackendSession {
    pub from: BufReader<TcpStream>,
    pub to: TcpStream,
}

impl BackendSession {
    pub fn accept(listener: &TcpListener) -> BackendSession {
        BackendSession::of(listener.accept().expect("the front door connects").0)
    }

    pub fn of(to: TcpStream) -> BackendSession {
        to.set_read_timeout(Some(50 * TENTH_OF_A_SECOND)).expect("a time-out");
        BackendSession { from: BufReader::new(to.try_clone().expect("a second handle")), to }
    }

    /// The body of the next command.
    pub fn body(&mut self) -> String {
        let words = example_servers::command(&mut self.from).expect("a command").expect("not the end");
        words[4].clone()
    }

    pub fn answer(&mut self, value: &str) {
        self.send_text(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }

    pub fn send_text(&mut self, text: &str) {
        self.to.write_all(text.as_bytes()).expect("an open connection");
    }

    /// The bodies of all commands that come until nothing has come for a while, or the end. All of them are whole.
    pub fn bodies(&mut self) -> Vec<String> {
        self.to.set_read_timeout(Some(QUIET_TIME)).expect("a time-out");
        let (mut all, mut piece) = (vec![], vec![0; 65_536]);
        while let Ok(n @ 1..) = self.from.read(&mut piece) {
            all.extend_from_slice(&piece[..n]);
        }
        self.to.set_read_timeout(Some(50 * TENTH_OF_A_SECOND)).expect("a time-out");
        let mut rest = &all[..];
        let next =
            || example_servers::command(&mut rest).expect("a whole command").map(|words| words[4].clone());
        std::iter::from_fn(next).collect()
    }
}

/// A backend that passes nothing on but tells of each command's body, and answers when it is told to.
pub fn controlled_backend(listener: TcpListener) -> (Receiver<String>, Sender<&'static str>) {
    let ((seen_by, seen), (answer, answers)) = (channel(), channel::<&'static str>());
    let answers = std::sync::Arc::new(std::sync::Mutex::new(answers));
    example_servers::serve_connections(listener, move |stream| {
        let mut served = BackendSession::of(stream);
        served.to.set_read_timeout(None)?;
        while let Some(words) = example_servers::command(&mut served.from)? {
            let _ = seen_by.send(words[4].clone()); // the test may be over
            let Ok(text) = answers.lock().expect("no panic").recv() else { return Ok(()) };
            served.send_text(text);
        }
        Ok(())
    });
    (seen, answer)
}

pub const DONE: &str = "*3\r\n$4\r\ndone\r\n$-1\r\n$-1\r\n";

/// What the configuration of all these tests has in common: no time presses but the client's, and no quota.
pub fn with_long_timeouts(configuration: String) -> String {
    configuration
        .replace("\"dial_timeout_us\": 250000", "\"dial_timeout_us\": 5000000")
        .replace("\"aim_us\": 1000000", "\"aim_us\": 2900000")
        .replace("\"depth\": 12", "\"depth\": 100000")
}

pub fn with_known_backends(configuration: String, backends: &[(&str, SocketAddr)]) -> String {
    let none = r#"{"index": 0, "snapshot": true, "endpoints": []}"#;
    configuration.replace(none, &crate::help::endpoint_list(backends))
}

/// A front door with one backend, that it knows of.
pub fn gateway_with_backend(
    name: &str,
    backend: SocketAddr,
    change: impl Fn(String) -> String,
) -> TestGateway {
    let (list, at) = free_listener();
    serve_endpoints(list, &[("a", backend)]);
    start_gateway(name, at, |configuration| {
        change(with_known_backends(with_long_timeouts(configuration), &[("a", backend)]))
    })
}

/// Starts a front door. The connection by which its start is waited for has ended when this returns, and the log says no more
/// of it: what it says next of a client that left is said of a test's own.
fn start_gateway(name: &str, list: SocketAddr, change: impl Fn(String) -> String) -> TestGateway {
    let gateway = TestGateway::start(&format!("leave-{name}"), list, change);
    wait_until_client_is_gone(&gateway, Disconnect::Fin);
    gateway
}

/// A front door that knows the backend `a`, and is told that it drains and `b` is there once the test says so.
pub fn gateway_with_replaced_backend(
    name: &str,
    (a, b): (SocketAddr, SocketAddr),
    change: impl Fn(String) -> String,
) -> (TestGateway, Sender<()>) {
    let ((list, at), (replace_backend, replaced)) = (free_listener(), channel());
    let replaced = std::sync::Arc::new(std::sync::Mutex::new(replaced));
    let change_of_list = crate::help::endpoint_list(&[("a", a), ("b", b)])
        .replacen("SERVING", "DRAINING", 1)
        .replace("\"index\":1,\"snapshot\":true", "\"index\":2,\"snapshot\":false");
    example_servers::serve_connections(list, move |stream| {
        let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
        while example_servers::target(&mut from)?.is_some() {
            let Ok(()) = replaced.lock().expect("no panic").recv() else { return Ok(()) };
            write!(
                to,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{change_of_list}",
                change_of_list.len()
            )?;
        }
        Ok(())
    });
    let gateway = start_gateway(name, at, |configuration| {
        change(with_known_backends(with_long_timeouts(configuration), &[("a", a)]))
    });
    (gateway, replace_backend)
}

/// The backend lets in whoever still asks: nothing is written to it. Who is turned down asks again after a second.
pub fn assert_nothing_is_written(backend: &FullBacklogBackend, disconnect_kind: Disconnect) {
    drop(backend.listener.accept().expect("the one before"));
    backend.listener.set_nonblocking(true).expect("an open socket");
    let from = Instant::now();
    while from.elapsed() < 15 * TENTH_OF_A_SECOND {
        if let Ok((stream, _)) = backend.listener.accept() {
            stream.set_nonblocking(false).expect("an open socket");
            assert_eq!(BackendSession::of(stream).bodies(), NO_BODIES, "{disconnect_kind:?}");
        }
        sleep(TENTH_OF_A_SECOND / 10);
    }
}
