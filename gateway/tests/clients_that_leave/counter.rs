//! A request that waits for the counter.
use crate::help::{free, toy};
use crate::world::*;
use std::io::{BufReader, Write};

/// Guards: what waited for the counter as its client left is not delivered when the counter answers.
#[test]
fn while_it_waits_for_the_counter() {
    for way in WAYS {
        let ((backend, at), (counter, counter_at)) = (free(), free());
        let (seen, _answer) = held(backend);
        let world = world_of(&format!("counter-{way:?}"), at, |told| {
            let (before, after) = told.split_once("\"counter\": \"").expect("an address");
            let after = after.split_once('"').expect("its end").1;
            let told = format!("{before}\"counter\": \"{counter_at}\"{after}");
            // The longest wait for the counter is a part of the objective, and of the client's time.
            told.replace("\"aim_us\": 2900000", "\"aim_us\": 60000000")
                .replace("\"counter_timeout_us\": 80000", "\"counter_timeout_us\": 2000000")
        });
        let mut client = world.connect();
        asks(&mut client, "early");
        let (mut counter, _) = counter.accept().expect("a call");
        toy::target(&mut BufReader::new(counter.try_clone().expect("a second handle"))).expect("a call");
        leaves(client, way);
        seen_to_leave(&world, way);
        counter.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1").expect("it reads");
        assert_eq!(seen.recv_timeout(QUIET).ok(), None, "{way:?}");
    }
}
