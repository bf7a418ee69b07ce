//! The client disconnects while its request waits in the write buffer of a shared connection.
use crate::common::example_servers::read_reply;
use crate::common::{self, free_listener, TestGateway};
use crate::harness::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;

/// Two clients, each with an order in flight on a separate connection to the backend. No descriptor is left
/// for a third connection. A long order of the second client follows the first client's order on its
/// connection, and is only partly written because the backend has stopped reading.
struct SharedConnection {
    gateway: TestGateway,
    first_client: TcpStream,
    second_client: TcpStream,
    /// The connection with the long order.
    blocked: BackendConnection,
    other: BackendConnection,
    long_order: String,
}

/// Returns the configuration with descriptors for two clients, two connections to the backend and one to the
/// counter.
fn with_few_descriptors(configuration: String) -> String {
    configuration.replace("\"sockets\": 1024", "\"sockets\": 37")
}

/// Returns a listener whose connections have a small receive buffer, and its address.
fn listener_with_small_buffer() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("a socket is created");
    socket.set_recv_buffer_size(4096).expect("an open socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(16).expect("a bound socket");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

impl SharedConnection {
    fn new(gateway: TestGateway, backend: &TcpListener) -> SharedConnection {
        let mut first_client = gateway.connect();
        send_order(&mut first_client, "first");
        let mut blocked = BackendConnection::accept(backend);
        // After some quick replies, the gateway allows several requests in flight at the backend.
        for _ in 0..40 {
            assert_eq!(blocked.next_body(), "first");
            blocked.reply_with_value("done");
            assert_eq!(common::read_reply(&first_client), "done");
            send_order(&mut first_client, "first");
        }
        assert_eq!(blocked.next_body(), "first");
        let mut second_client = gateway.connect();
        send_order(&mut second_client, "other");
        let mut other = BackendConnection::accept(backend);
        assert_eq!(other.next_body(), "other");
        let long_order = "x".repeat(4 * MIB);
        send_order(&mut second_client, &long_order);
        blocked.writer.peek(&mut [0]).expect("the long order begins to arrive");
        sleep(TENTH_OF_A_SECOND);
        SharedConnection { gateway, first_client, second_client, blocked, other, long_order }
    }
}

/// Makes the backend read again, and asserts that it receives these orders and nothing else.
fn assert_remaining_bodies(connection: &mut BackendConnection, expected: &[&str], disconnect: Disconnect) {
    let bodies = connection.remaining_bodies();
    let shorten = |body: &String| format!("{} of {} bytes", &body[..body.len().min(10)], body.len());
    let shortened: Vec<String> = bodies.iter().map(shorten).collect();
    assert!(bodies == expected, "{disconnect:?}: {shortened:?}");
}

/// Guards against a request that is sent for a client which has disconnected: it waited in a connection's
/// write buffer and was written although the client had disconnected before any byte of it was written.
#[test]
fn a_request_in_a_write_buffer_is_withdrawn_when_its_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let (backend, address) = listener_with_small_buffer();
        let gateway = gateway_with_backend(&format!("buffer-{disconnect:?}"), address, with_few_descriptors);
        let SharedConnection {
            gateway,
            mut first_client,
            mut second_client,
            mut blocked,
            mut other,
            long_order,
        } = SharedConnection::new(gateway, &backend);
        // Each connection gets one more order; the second of them stays in the write buffer.
        send_order(&mut first_client, "begun");
        assert_eq!(other.next_body(), "begun");
        send_order(&mut first_client, "waits");
        sleep(2 * TENTH_OF_A_SECOND);
        disconnect.close(first_client);
        wait_until_disconnect_is_logged(&gateway, disconnect);
        assert_remaining_bodies(&mut blocked, &[&long_order], disconnect);
        // The client with the long order gets its reply, and the next order on the connection is complete.
        blocked.reply_with_value("for nobody");
        blocked.reply_with_value("long done");
        other.reply_with_value("other done");
        let mut replies = BufReader::new(second_client.try_clone().expect("the socket handle is duplicated"));
        assert_eq!(read_reply(&mut replies).expect("the gateway replies"), "other done");
        assert_eq!(read_reply(&mut replies).expect("the gateway replies"), "long done");
        send_order(&mut second_client, "next");
        assert_remaining_bodies(&mut blocked, &["next"], disconnect);
    }
}

/// Guards against the same fault with a retry, after the request was rejected on the same connection.
#[test]
fn a_retry_in_a_write_buffer_is_withdrawn_when_the_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let (backend, address) = listener_with_small_buffer();
        let gateway =
            gateway_with_backend(&format!("buffer-again-{disconnect:?}"), address, with_few_descriptors);
        let SharedConnection { gateway, first_client, second_client, mut blocked, mut other, long_order } =
            SharedConnection::new(gateway, &backend);
        blocked.reply(BUSY);
        sleep(2 * TENTH_OF_A_SECOND);
        disconnect.close(first_client);
        wait_until_disconnect_is_logged(&gateway, disconnect);
        assert_remaining_bodies(&mut blocked, &[&long_order], disconnect);
        blocked.reply_with_value("long done");
        other.reply_with_value("other done");
        let mut replies = BufReader::new(second_client);
        assert_eq!(read_reply(&mut replies).expect("the gateway replies"), "other done");
        assert_eq!(read_reply(&mut replies).expect("the gateway replies"), "long done");
    }
}

/// Guards against a request that is sent to a draining backend: it waited in a connection's write buffer and
/// was written although the backend was listed as draining before any byte of it was written. As it has not
/// run, it is forwarded to another backend although it is non-idempotent.
#[test]
fn a_request_in_a_write_buffer_is_forwarded_elsewhere_when_its_backend_drains() {
    let ((backend, first), (second_listener, second)) = (listener_with_small_buffer(), free_listener());
    let second_backend = ControlledBackend::start(second_listener);
    let replacement = BackendReplacement { first, second };
    let (gateway, notify) = gateway_with_replaced_backend("buffer-drain", replacement, with_few_descriptors);
    let SharedConnection {
        gateway: _gateway,
        first_client,
        second_client: _second_client,
        mut blocked,
        other,
        long_order,
    } = SharedConnection::new(gateway, &backend);
    blocked.reply(BUSY);
    sleep(2 * TENTH_OF_A_SECOND);
    drop(other); // a descriptor is free again
    notify.send(()).expect("a watch is in flight");
    let body = second_backend.body_within(20 * TENTH_OF_A_SECOND);
    assert_eq!(body.expect("the request is forwarded to the second backend"), "first");
    second_backend.reply(DONE);
    assert_eq!(common::read_reply(&first_client), "done");
    assert_remaining_bodies(&mut blocked, &[&long_order], Disconnect::Fin);
}
