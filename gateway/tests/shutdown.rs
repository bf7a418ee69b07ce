//! Shutdowns and drains of a gateway process on loopback while its clients keep sending: every command that the
//! process reads gets its reply before the connection ends.
use nix::sys::signal::Signal;
use std::io::Write;
use std::thread::sleep;
use std::time::Duration;

mod common;
use common::{free_listener, gateway_with_backend, read_to_end, send_request, unresponsive_backend, PING};

const SECOND: Duration = Duration::from_secs(1);
const TENTH_OF_A_SECOND: Duration = Duration::from_millis(100);

/// Returns the configuration with timeouts of 1 s: the kill comes 1.7 s after SIGTERM, and the process exits
/// 0.1 s before.
fn with_short_timeouts(configuration: String) -> String {
    configuration
        .replace("\"give_up_us\": 3000000", "\"give_up_us\": 1000000")
        .replace("\"give_up_us\": 1500000", "\"give_up_us\": 1000000")
}

/// Guards against a command that is read and not answered because it arrives together with the time of the exit:
/// the process exited before it wrote the replies of that batch.
#[test]
fn a_command_that_arrives_with_the_time_of_the_exit_is_answered() {
    let (backend, address) = free_listener();
    let commands = unresponsive_backend(backend);
    let mut gateway = gateway_with_backend("with-the-exit", address, with_short_timeouts);
    let mut client = gateway.connect();
    send_request(&mut client, "order", 1000);
    commands.recv_timeout(5 * SECOND).expect("the request is forwarded");
    // With the request pending, the connection stays open until the pause.
    gateway.signal(Signal::SIGTERM);
    sleep(8 * TENTH_OF_A_SECOND);
    gateway.pause();
    client.write_all(PING).expect("an open connection");
    sleep(10 * TENTH_OF_A_SECOND);
    gateway.resume();
    assert_eq!(read_to_end(client), "-ERR failed\r\n-ERR draining\r\n");
    assert_eq!(gateway.exit_code(), Some(0));
}
