//! The client disconnects while its request waits for a connection to a backend.
use crate::common::{free_listener, FullBacklogBackend};
use crate::harness::*;
use std::thread::sleep;

/// Guards against a request that is written to a connection which is established after its client has
/// disconnected.
#[test]
fn a_request_that_waits_for_a_connection_is_dropped_when_its_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let (backend, address) = FullBacklogBackend::new();
        let gateway = gateway_with_backend(&format!("dials-{disconnect:?}"), address, unchanged);
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        backend.wait_for_connection_attempt();
        disconnect.close(client);
        wait_until_disconnect_is_logged(&gateway, disconnect);
        assert_nothing_is_written(backend, disconnect);
    }
}

/// Guards against the same fault with a retry, after the first backend has rejected the request.
#[test]
fn a_retry_that_waits_for_a_connection_is_dropped_when_the_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let ((listener, first), (second_backend, second)) = (free_listener(), FullBacklogBackend::new());
        let first_backend = ControlledBackend::start(listener);
        let (gateway, notify) = gateway_with_replaced_backend(
            &format!("dials-again-{disconnect:?}"),
            BackendReplacement { first, second },
            unchanged,
        );
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        assert_eq!(first_backend.next_body(), "early");
        notify.send(()).expect("a watch is in flight");
        sleep(TENTH_OF_A_SECOND);
        first_backend.reply(BUSY);
        second_backend.wait_for_connection_attempt();
        disconnect.close(client);
        wait_until_disconnect_is_logged(&gateway, disconnect);
        assert_nothing_is_written(second_backend, disconnect);
    }
}
