//! A request whose connection is coming up.
use crate::help::{free, Crowded};
use crate::world::*;
use std::thread::sleep;

/// Guards: nothing is written to a connection that comes up after the client of its delivery has left.
#[test]
fn while_its_connection_comes_up() {
    for way in WAYS {
        let (backend, at) = Crowded::new();
        let world = world_of(&format!("dials-{way:?}"), at, |told| told);
        let mut client = world.connect();
        asks(&mut client, "early");
        backend.is_asked_for();
        leaves(client, way);
        seen_to_leave(&world, way);
        assert_nothing_is_written(&backend, way);
    }
}

/// Guards: the same for a further attempt, of one that its first backend turned away.
#[test]
fn while_the_connection_of_its_further_attempt_comes_up() {
    for way in WAYS {
        let ((first, first_at), (next, next_at)) = (free(), Crowded::new());
        let (at_first, turns_away) = held(first);
        let (world, tell) =
            world_that_is_told(&format!("dials-again-{way:?}"), (first_at, next_at), |told| told);
        let mut client = world.connect();
        asks(&mut client, "early");
        assert_eq!(at_first.recv_timeout(50 * TENTH).expect("delivered"), "early");
        tell.send(()).expect("a watch is open");
        sleep(TENTH);
        turns_away.send("-BUSY\r\n").expect("it waits");
        next.is_asked_for();
        leaves(client, way);
        seen_to_leave(&world, way);
        assert_nothing_is_written(&next, way);
    }
}
