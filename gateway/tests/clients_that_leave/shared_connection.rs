//! A request behind another one in the buffer of a shared connection.
use crate::help::{example_servers, free_listener, TestGateway};
use crate::world::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;

/// Two clients with an order at the backend each, on a connection each, and no descriptor left for a third. Behind the
/// first client's order stands a long one of the second client, half written, for the backend has stopped reading.
struct SharedConnection {
    gateway: TestGateway,
    first: TcpStream,
    second: TcpStream,
    /// The connection with the long order, and the other one.
    blocked: BackendSession,
    other: BackendSession,
    long: String,
}

/// Descriptors for the two clients, two connections to the backend and one to the counter, but no more.
fn few_descriptors(configuration: String) -> String {
    configuration.replace("\"sockets\": 1024", "\"sockets\": 37")
}

/// A listener whose connections take little in that nobody reads.
fn listener_with_small_buffer() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("an open socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(16).expect("it listens");
    let listener: TcpListener = socket.into();
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

impl SharedConnection {
    fn new(gateway: TestGateway, backend: &TcpListener) -> SharedConnection {
        let mut first = gateway.connect();
        let mut replies = BufReader::new(first.try_clone().expect("a second handle"));
        send_order(&mut first, "first");
        let mut blocked = BackendSession::accept(backend);
        // It answers quickly at first, so that several may be out at it.
        for _ in 0..40 {
            assert_eq!(blocked.body(), "first");
            blocked.answer("done");
            assert_eq!(example_servers::read_reply(&mut replies).expect("a reply"), "done");
            send_order(&mut first, "first");
        }
        assert_eq!(blocked.body(), "first");
        let mut second = gateway.connect();
        send_order(&mut second, "other");
        let mut other = BackendSession::accept(backend);
        assert_eq!(other.body(), "other");
        let long = "x".repeat(4 * MIB);
        send_order(&mut second, &long);
        blocked.to.peek(&mut [0]).expect("it has begun to come");
        sleep(TENTH_OF_A_SECOND);
        SharedConnection { gateway, first, second, blocked, other, long }
    }
}

/// The backend reads on: these orders come, and nothing else.
fn assert_bodies(served: &mut BackendSession, bodies: &[&str], disconnect_kind: Disconnect) {
    let came = served.bodies();
    let short = |body: &str| format!("{} of {} bytes", &body[..body.len().min(10)], body.len());
    let texts: Vec<String> = came.iter().map(|body| short(body)).collect();
    assert!(came == bodies, "{disconnect_kind:?}: {texts:?}");
}

/// Guards: an attempt that stood behind another one in a connection's buffer left for the backend though its client had
/// gone before any byte of it was written.
#[test]
fn while_it_stands_behind_another_one_in_a_buffer() {
    for disconnect_kind in DISCONNECTS {
        let (backend, at) = listener_with_small_buffer();
        let gateway = gateway_with_backend(&format!("buffer-{disconnect_kind:?}"), at, few_descriptors);
        let SharedConnection { gateway, mut first, mut second, mut blocked, mut other, long } =
            SharedConnection::new(gateway, &backend);
        // One goes behind each of the two orders that are out, the second one into the buffer.
        send_order(&mut first, "begun");
        assert_eq!(other.body(), "begun");
        send_order(&mut first, "waits");
        sleep(2 * TENTH_OF_A_SECOND);
        disconnect(first, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        assert_bodies(&mut blocked, &[&long], disconnect_kind);
        // The long order's client has its answers, and what comes next on the connection is whole.
        blocked.answer("for nobody");
        blocked.answer("long done");
        other.answer("other done");
        let mut replies = BufReader::new(second.try_clone().expect("a second handle"));
        assert_eq!(example_servers::read_reply(&mut replies).expect("a reply"), "other done");
        assert_eq!(example_servers::read_reply(&mut replies).expect("a reply"), "long done");
        send_order(&mut second, "next");
        assert_bodies(&mut blocked, &["next"], disconnect_kind);
    }
}

/// Guards: the same for a further attempt, of one that was turned away on that very connection.
#[test]
fn while_its_further_attempt_stands_behind_another_one_in_a_buffer() {
    for disconnect_kind in DISCONNECTS {
        let (backend, at) = listener_with_small_buffer();
        let gateway = gateway_with_backend(&format!("buffer-again-{disconnect_kind:?}"), at, few_descriptors);
        let SharedConnection { gateway, first, second, mut blocked, mut other, long } =
            SharedConnection::new(gateway, &backend);
        blocked.send_text("-BUSY\r\n");
        sleep(2 * TENTH_OF_A_SECOND);
        disconnect(first, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        assert_bodies(&mut blocked, &[&long], disconnect_kind);
        blocked.answer("long done");
        other.answer("other done");
        let mut replies = BufReader::new(second);
        assert_eq!(example_servers::read_reply(&mut replies).expect("a reply"), "other done");
        assert_eq!(example_servers::read_reply(&mut replies).expect("a reply"), "long done");
    }
}

/// Guards: an attempt that stood behind another one in a connection's buffer left for a backend that was told to drain
/// before any byte of it was written. It has not run, so even what must not be repeated goes elsewhere.
#[test]
fn what_stands_behind_another_one_in_a_buffer_goes_elsewhere_when_its_backend_drains() {
    let ((backend, at), (next, next_at)) = (listener_with_small_buffer(), free_listener());
    let (at_next, answer) = controlled_backend(next);
    let (gateway, tell) = gateway_with_replaced_backend("buffer-drain", (at, next_at), few_descriptors);
    let SharedConnection { gateway: _world, first, second: _second, mut blocked, other, long } =
        SharedConnection::new(gateway, &backend);
    blocked.send_text("-BUSY\r\n");
    sleep(2 * TENTH_OF_A_SECOND);
    drop(other); // a descriptor is free again
    tell.send(()).expect("a watch is open");
    assert_eq!(at_next.recv_timeout(20 * TENTH_OF_A_SECOND).expect("it goes elsewhere"), "first");
    answer.send(DONE).expect("it waits");
    assert_eq!(example_servers::read_reply(&mut BufReader::new(first)).expect("a reply"), "done");
    assert_bodies(&mut blocked, &[&long], Disconnect::Fin);
}
