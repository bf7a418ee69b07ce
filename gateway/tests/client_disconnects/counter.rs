//! The client disconnects while its request waits for the counter.
use crate::common::example_servers::{read_target, write_ok};
use crate::common::free_listener;
use crate::harness::*;
use std::io::BufReader;
use std::net::SocketAddr;

/// Returns the configuration with this counter and with a long timeout for its calls, which is limited to a
/// part of the latency objective and of the client's timeout.
fn with_slow_counter(configuration: String, counter: SocketAddr) -> String {
    let (before, after) =
        configuration.split_once("\"counter\": \"").expect("the configuration has a counter");
    let (_, after) = after.split_once('"').expect("the address of the counter ends");
    format!("{before}\"counter\": \"{counter}\"{after}")
        .replace("\"aim_us\": 2900000", "\"aim_us\": 60000000")
        .replace("\"counter_timeout_us\": 80000", "\"counter_timeout_us\": 2000000")
}

/// Guards against a request that is forwarded once the counter responds, although its client has disconnected
/// meanwhile.
#[test]
fn a_request_that_waits_for_the_counter_is_dropped_when_its_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let ((listener, address), (counter, counter_address)) = (free_listener(), free_listener());
        let backend = ControlledBackend::start(listener);
        let name = format!("counter-{disconnect:?}");
        let gateway = gateway_with_backend(&name, address, |configuration| {
            with_slow_counter(configuration, counter_address)
        });
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        let (mut counter, _) = counter.accept().expect("the gateway connects");
        read_target(&mut BufReader::new(&counter)).expect("the gateway calls the counter");
        disconnect.close(client);
        wait_until_disconnect_is_logged(&gateway, disconnect);
        write_ok(&mut counter, "1").expect("the gateway accepts input");
        assert_eq!(backend.body_within(OBSERVATION_TIME), None, "{disconnect:?}");
    }
}
