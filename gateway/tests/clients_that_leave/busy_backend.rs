//! A request whose backend has enough to do.
use crate::help::{free, toy};
use crate::world::*;
use std::io::BufReader;
use std::thread::sleep;

/// Guards: what waited for its backend to have time as its client left is not delivered when it has.
#[test]
fn while_its_backend_is_busy() {
    for way in WAYS {
        let (backend, at) = free();
        let (seen, answer) = held(backend);
        let world = world_of(&format!("busy-{way:?}"), at, |told| told);
        let (mut stays, mut client) = (world.connect(), world.connect());
        asks(&mut stays, "ahead");
        assert_eq!(seen.recv_timeout(50 * TENTH).expect("delivered"), "ahead");
        asks(&mut client, "waits");
        assert_eq!(seen.recv_timeout(TENTH).ok(), None, "the backend is busy");
        leaves(client, way);
        seen_to_leave(&world, way);
        answer.send(DONE).expect("it waits");
        assert_eq!(toy::reply(&mut BufReader::new(stays)).expect("a reply"), "done");
        assert_eq!(seen.recv_timeout(QUIET).ok(), None, "{way:?}");
    }
}

/// Guards: the same for a further attempt, of one that its first backend turned away.
#[test]
fn while_the_backend_of_its_further_attempt_is_busy() {
    for way in WAYS {
        let ((first, first_at), (next, next_at)) = (free(), free());
        let ((at_first, turns_away), (at_next, answer)) = (held(first), held(next));
        let (world, tell) =
            world_that_is_told(&format!("busy-again-{way:?}"), (first_at, next_at), |told| told);
        let (mut stays, mut client) = (world.connect(), world.connect());
        asks(&mut client, "waits");
        assert_eq!(at_first.recv_timeout(50 * TENTH).expect("delivered"), "waits");
        tell.send(()).expect("a watch is open");
        sleep(TENTH);
        asks(&mut stays, "ahead");
        assert_eq!(at_next.recv_timeout(50 * TENTH).expect("delivered"), "ahead");
        turns_away.send("-BUSY\r\n").expect("it waits");
        assert_eq!(at_next.recv_timeout(TENTH).ok(), None, "the next backend is busy");
        leaves(client, way);
        seen_to_leave(&world, way);
        answer.send(DONE).expect("it waits");
        assert_eq!(toy::reply(&mut BufReader::new(stays)).expect("a reply"), "done");
        assert_eq!(at_next.recv_timeout(QUIET).ok(), None, "{way:?}");
    }
}
