//! The client disconnects while its request waits for a busy backend.
use crate::common::{free_listener, read_reply};
use crate::harness::*;
use std::thread::sleep;

/// Guards against a request that is forwarded to a busy backend once that is free, although its client has
/// disconnected meanwhile.
#[test]
fn a_request_that_waits_for_a_busy_backend_is_dropped_when_its_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let (listener, address) = free_listener();
        let backend = ControlledBackend::start(listener);
        let gateway = gateway_with_backend(&format!("busy-{disconnect:?}"), address, unchanged);
        let (mut other_client, mut client) = (gateway.connect(), gateway.connect());
        send_order(&mut other_client, "in flight");
        assert_eq!(backend.next_body(), "in flight");
        send_order(&mut client, "waits");
        assert_eq!(backend.body_within(TENTH_OF_A_SECOND), None, "the backend is busy");
        disconnect.close(client);
        wait_until_disconnect_is_logged(&gateway, disconnect);
        backend.reply(DONE);
        assert_eq!(read_reply(&other_client), "done");
        assert_eq!(backend.body_within(OBSERVATION_TIME), None, "{disconnect:?}");
    }
}

/// Guards against the same fault with a retry, after the first backend has rejected the request.
#[test]
fn a_retry_that_waits_for_a_busy_backend_is_dropped_when_the_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let ((first_listener, first), (second_listener, second)) = (free_listener(), free_listener());
        let first_backend = ControlledBackend::start(first_listener);
        let second_backend = ControlledBackend::start(second_listener);
        let (gateway, notify) = gateway_with_replaced_backend(
            &format!("busy-again-{disconnect:?}"),
            BackendReplacement { first, second },
            unchanged,
        );
        let (mut other_client, mut client) = (gateway.connect(), gateway.connect());
        send_order(&mut client, "waits");
        assert_eq!(first_backend.next_body(), "waits");
        notify.send(()).expect("a watch is in flight");
        sleep(TENTH_OF_A_SECOND);
        send_order(&mut other_client, "in flight");
        assert_eq!(second_backend.next_body(), "in flight");
        first_backend.reply(BUSY);
        assert_eq!(second_backend.body_within(TENTH_OF_A_SECOND), None, "the second backend is busy");
        disconnect.close(client);
        wait_until_disconnect_is_logged(&gateway, disconnect);
        second_backend.reply(DONE);
        assert_eq!(read_reply(&other_client), "done");
        assert_eq!(second_backend.body_within(OBSERVATION_TIME), None, "{disconnect:?}");
    }
}
