//! A request whose connection is coming up.
use crate::help::{free_listener, FullBacklogBackend};
use crate::world::*;
use std::thread::sleep;

/// Guards: nothing is written to a connection that comes up after the client of its delivery has left.
#[test]
fn while_its_connection_comes_up() {
    for disconnect_kind in DISCONNECTS {
        let (backend, at) = FullBacklogBackend::new();
        let gateway =
            gateway_with_backend(&format!("dials-{disconnect_kind:?}"), at, |configuration| configuration);
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        backend.wait_for_connection_attempt();
        disconnect(client, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        assert_nothing_is_written(&backend, disconnect_kind);
    }
}

/// Guards: the same for a further attempt, of one that its first backend turned away.
#[test]
fn while_the_connection_of_its_further_attempt_comes_up() {
    for disconnect_kind in DISCONNECTS {
        let ((first, first_at), (next, next_at)) = (free_listener(), FullBacklogBackend::new());
        let (at_first, turns_away) = controlled_backend(first);
        let (gateway, tell) = gateway_with_replaced_backend(
            &format!("dials-again-{disconnect_kind:?}"),
            (first_at, next_at),
            |configuration| configuration,
        );
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        assert_eq!(at_first.recv_timeout(50 * TENTH_OF_A_SECOND).expect("delivered"), "early");
        tell.send(()).expect("a watch is open");
        sleep(TENTH_OF_A_SECOND);
        turns_away.send("-BUSY\r\n").expect("it waits");
        next.wait_for_connection_attempt();
        disconnect(client, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        assert_nothing_is_written(&next, disconnect_kind);
    }
}
