//! A request that waits for the counter.
use crate::help::{example_servers, free_listener};
use crate::world::*;
use std::io::{BufReader, Write};

/// Guards: what waited for the counter as its client left is not delivered when the counter answers.
#[test]
fn while_it_waits_for_the_counter() {
    for disconnect_kind in DISCONNECTS {
        let ((backend, at), (counter, counter_at)) = (free_listener(), free_listener());
        let (seen, _answer) = controlled_backend(backend);
        let gateway = gateway_with_backend(&format!("counter-{disconnect_kind:?}"), at, |configuration| {
            let (before, after) = configuration.split_once("\"counter\": \"").expect("an address");
            let after = after.split_once('"').expect("its end").1;
            let configuration = format!("{before}\"counter\": \"{counter_at}\"{after}");
            // The longest wait for the counter is a part of the objective, and of the client's time.
            configuration
                .replace("\"aim_us\": 2900000", "\"aim_us\": 60000000")
                .replace("\"counter_timeout_us\": 80000", "\"counter_timeout_us\": 2000000")
        });
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        let (mut counter, _) = counter.accept().expect("a call");
        example_servers::target(&mut BufReader::new(counter.try_clone().expect("a second handle")))
            .expect("a call");
        disconnect(client, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        counter.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1").expect("it reads");
        assert_eq!(seen.recv_timeout(QUIET_TIME).ok(), None, "{disconnect_kind:?}");
    }
}
