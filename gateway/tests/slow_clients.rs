//! Requests that clients write slowly, through a gateway on loopback: they are served however long their bodies take, and
//! a client that stops within one is closed.
use std::io::Write;
use std::net::TcpStream;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

mod common;
use common::example_servers::request;
use common::{gateway_with_backend, read_reply, read_to_end, start_listed_backend, unchanged, TestGateway};

/// Time within which a client that stops within a command is owed an error or the end of its connection.
const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// Returns an order with a body of this length.
fn order(body_bytes: usize) -> String {
    let order = request("order", 1500);
    let (head, _) = order.rsplit_once('$').expect("the body is the last item");
    format!("{head}${body_bytes}\r\n{}\r\n", "b".repeat(body_bytes))
}

fn start_gateway(name: &str) -> TestGateway {
    let backend = start_listed_backend("a");
    gateway_with_backend(&format!("slow-clients-{name}"), backend.address, unchanged)
}

/// Writes a command in this number of parts, with this pause after each but the last; returns the reply.
fn write_slowly(mut client: TcpStream, command: &str, parts: usize, pause: Duration) -> String {
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("an open socket");
    for (index, part) in command.as_bytes().chunks(command.len().div_ceil(parts)).enumerate() {
        if index > 0 {
            sleep(pause);
        }
        if client.write_all(part).is_err() {
            return format!("closed after part {index}");
        }
    }
    read_reply(&client)
}

/// Guards against a sound request whose client is closed while it still writes: a body of up to 64 KiB had 2.5 s in all,
/// and a longer one 30 s.
#[test]
fn a_body_that_arrives_slowly_is_served_however_long_it_takes() {
    let gateway = start_gateway("served");
    let seconds = Duration::from_secs_f64;
    let cases = [(300, 4, 1.2), (40_000, 8, 0.5), (60_000, 3, 2.0), (100_000, 40, 0.8), (400_000, 4, 2.0)];
    scope(|scope| {
        for (body_bytes, parts, pause) in cases {
            let client = gateway.connect();
            scope.spawn(move || {
                let reply = write_slowly(client, &order(body_bytes), parts, seconds(pause));
                let served = format!("a order {}", "b".repeat(body_bytes));
                let case = format!("{body_bytes} bytes in {parts} parts, {pause} s apart");
                assert!(reply == served, "{case}: {} bytes, {reply:.60}", reply.len());
            });
        }
    });
}

/// Guards against clients that stop within a command and stay: one that had written more than 64 KiB was closed up to 5 s
/// after its last byte.
#[test]
fn a_client_that_stops_within_a_command_is_closed_within_3_s_of_its_last_byte() {
    let gateway = start_gateway("stops");
    scope(|scope| {
        for (body_bytes, first_part, second_part) in
            [(300, 20, 0), (300, 250, 30), (40_000, 20_000, 10_000), (100_000, 70_000, 20_000)]
        {
            let mut client = gateway.connect();
            scope.spawn(move || {
                let command = order(body_bytes);
                let parts = command.as_bytes()[..first_part + second_part].split_at(first_part);
                client.write_all(parts.0).expect("the gateway accepts input");
                sleep(Duration::from_millis(1000));
                client.write_all(parts.1).expect("the gateway accepts input");
                let stopped_at = Instant::now();
                let reply = read_to_end(client);
                let closed_after = stopped_at.elapsed();
                assert!(closed_after < BAD_CLIENT_LIMIT, "{body_bytes} bytes: {closed_after:?}, {reply}");
            });
        }
    });
}
