//! A request whose backend has enough to do.
use crate::help::{example_servers, free_listener};
use crate::world::*;
use std::io::BufReader;
use std::thread::sleep;

/// Guards: what waited for its backend to have time as its client left is not delivered when it has.
#[test]
fn while_its_backend_is_busy() {
    for disconnect_kind in DISCONNECTS {
        let (backend, at) = free_listener();
        let (seen, answer) = controlled_backend(backend);
        let gateway =
            gateway_with_backend(&format!("busy-{disconnect_kind:?}"), at, |configuration| configuration);
        let (mut stays, mut client) = (gateway.connect(), gateway.connect());
        send_order(&mut stays, "ahead");
        assert_eq!(seen.recv_timeout(50 * TENTH_OF_A_SECOND).expect("delivered"), "ahead");
        send_order(&mut client, "waits");
        assert_eq!(seen.recv_timeout(TENTH_OF_A_SECOND).ok(), None, "the backend is busy");
        disconnect(client, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        answer.send(DONE).expect("it waits");
        assert_eq!(example_servers::read_reply(&mut BufReader::new(stays)).expect("a reply"), "done");
        assert_eq!(seen.recv_timeout(QUIET_TIME).ok(), None, "{disconnect_kind:?}");
    }
}

/// Guards: the same for a further attempt, of one that its first backend turned away.
#[test]
fn while_the_backend_of_its_further_attempt_is_busy() {
    for disconnect_kind in DISCONNECTS {
        let ((first, first_at), (next, next_at)) = (free_listener(), free_listener());
        let ((at_first, turns_away), (at_next, answer)) =
            (controlled_backend(first), controlled_backend(next));
        let (gateway, tell) = gateway_with_replaced_backend(
            &format!("busy-again-{disconnect_kind:?}"),
            (first_at, next_at),
            |configuration| configuration,
        );
        let (mut stays, mut client) = (gateway.connect(), gateway.connect());
        send_order(&mut client, "waits");
        assert_eq!(at_first.recv_timeout(50 * TENTH_OF_A_SECOND).expect("delivered"), "waits");
        tell.send(()).expect("a watch is open");
        sleep(TENTH_OF_A_SECOND);
        send_order(&mut stays, "ahead");
        assert_eq!(at_next.recv_timeout(50 * TENTH_OF_A_SECOND).expect("delivered"), "ahead");
        turns_away.send("-BUSY\r\n").expect("it waits");
        assert_eq!(at_next.recv_timeout(TENTH_OF_A_SECOND).ok(), None, "the next backend is busy");
        disconnect(client, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        answer.send(DONE).expect("it waits");
        assert_eq!(example_servers::read_reply(&mut BufReader::new(stays)).expect("a reply"), "done");
        assert_eq!(at_next.recv_timeout(QUIET_TIME).ok(), None, "{disconnect_kind:?}");
    }
}
