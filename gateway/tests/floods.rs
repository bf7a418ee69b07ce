//! Floods on loopback: some clients send cheap or invalid commands at full speed, and others are answered in time all
//! the same.
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

mod common;
use common::example_servers::{self, request};
use common::{
    admin_call, free_listener, gateway_with_backend, read_reply, unique_address, TestGateway, PING,
};

/// Number of clients that flood the gateway, each on one connection.
const FLOODING_CLIENTS: usize = 6;
/// Duration of a flood.
const FLOOD: Duration = Duration::from_secs(3);
/// Timeout of the usual client's requests.
const CLIENT_TIMEOUT_MS: u64 = 700;
/// Time after its request's timeout until which an answer is not lost.
const LATE_BY: Duration = Duration::from_millis(500);
/// Size of one write of a flood, in bytes.
const WRITE_BYTES: usize = 256 * 1024;

fn bulk_strings(items: &[&str]) -> String {
    let items_text = items.iter().map(|item| format!("${}\r\n{item}\r\n", item.len()));
    format!("*{}\r\n{}", items.len(), items_text.collect::<String>())
}

/// Starts a gateway with an example backend, with operators' calls at an address that is returned.
fn start_gateway(name: &str) -> (TestGateway, SocketAddr) {
    let (listener, address) = free_listener();
    common::example_servers::start_backend(listener, "a");
    let operators = unique_address(7404);
    let gateway = gateway_with_backend(&format!("flood-{name}"), address, |configuration| {
        configuration
            .replace("\"per_second\": 2, \"depth\": 12", "\"per_second\": 100000, \"depth\": 100000")
            .replacen('{', &format!("{{ \"mgmt\": \"{operators}\","), 1)
    });
    (gateway, operators)
}

/// Writes commands at full speed, on a new connection whenever one ends, and reads all replies. `next_command`
/// returns the command with this number.
fn flood(address: SocketAddr, ends: Arc<AtomicBool>, next_command: impl Fn(usize) -> String) {
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let mut reader = stream.try_clone().expect("the socket handle is duplicated");
        spawn(move || {
            let mut buffer = vec![0; 65_536];
            while reader.read(&mut buffer).is_ok_and(|length| length > 0) {}
        });
        let mut commands = String::new();
        while !ends.load(Ordering::Relaxed) {
            commands.clear();
            while commands.len() < WRITE_BYTES {
                number += 1;
                commands.push_str(&next_command(number));
            }
            if stream.write_all(commands.as_bytes()).is_err() {
                break; // the gateway has closed the connection
            }
        }
    }
}

/// Sends a request of the usual client; returns the reply, or nothing if the connection has ended.
fn exchange(client: &mut TcpStream) -> String {
    let request = request("look", CLIENT_TIMEOUT_MS);
    let _ = client.write_all(request.as_bytes()); // fails if the connection has ended
    example_servers::read_reply(&mut BufReader::new(client)).unwrap_or_default()
}

/// Floods the gateway, and checks that a client with one request at a time is answered in time. `command` returns a
/// command by the number of the flooding client and of the command.
fn assert_others_are_answered_during(gateway: &TestGateway, command: fn(usize, usize) -> String) {
    let ends = Arc::new(AtomicBool::new(false));
    for client in 0..FLOODING_CLIENTS {
        let (address, ends) = (gateway.address, ends.clone());
        spawn(move || flood(address, ends, move |number| command(client, number)));
    }
    sleep(Duration::from_millis(200));
    let mut client = gateway.connect();
    let start = Instant::now();
    let (mut slowest, mut served) = (Duration::ZERO, 0);
    while start.elapsed() < FLOOD {
        let sent_at = Instant::now();
        let mut reply = exchange(&mut client);
        if reply.is_empty() {
            // A close for lack of descriptors may cross a request that is not read; its client sends it once more.
            client = gateway.connect();
            reply = exchange(&mut client);
        }
        assert!(!reply.is_empty(), "the connection ends without a reply twice in a row");
        slowest = slowest.max(sent_at.elapsed());
        served += usize::from(!reply.starts_with('-'));
        sleep(Duration::from_millis(10));
    }
    ends.store(true, Ordering::Relaxed);
    assert!(slowest < Duration::from_millis(CLIENT_TIMEOUT_MS) + LATE_BY, "answered after {slowest:?}");
    assert!(served > 0, "the usual client is served");
}

/// Guards against answers that come late while other clients send commands at full speed: a connection was read and its
/// commands were handled for as long as there was input.
#[test]
fn clients_are_answered_during_a_flood_of_pings() {
    let (gateway, _) = start_gateway("pings");
    assert_others_are_answered_during(&gateway, |_, _| String::from_utf8_lossy(PING).into_owned());
}

/// Guards against the same with commands that are rejected before any limit.
#[test]
fn clients_are_answered_during_a_flood_of_unknown_commands() {
    let (gateway, _) = start_gateway("unknown");
    assert_others_are_answered_during(&gateway, |_, _| bulk_strings(&["FOO", "bar"]));
}

/// Guards against the same with empty commands, the cheapest ones to send.
#[test]
fn clients_are_answered_during_a_flood_of_empty_commands() {
    let (gateway, _) = start_gateway("empty");
    assert_others_are_answered_during(&gateway, |_, _| "*0\r\n".into());
}

/// Guards against the same with requests of operations that do not exist, with bodies.
#[test]
fn clients_are_answered_during_a_flood_of_invalid_requests_with_bodies() {
    let (gateway, _) = start_gateway("bodies");
    assert_others_are_answered_during(&gateway, |client, number| {
        let id = format!("{:016x}", (client + 1) << 40 | number);
        let arguments = "c=none,t=small,d=1500,units=1,spread=1,first=0";
        bulk_strings(&["CALL.POST", "0000000000000005", &id, arguments, &"x".repeat(1000)])
    });
}

/// Guards against memory that grows with each new customer's number, and against a flood of them that keeps other
/// clients' customers out.
#[test]
fn a_flood_of_new_customers_is_rejected_and_leaves_other_clients_their_share() {
    let (gateway, operators) = start_gateway("customers");
    let new_customer = |client: usize, number: usize| {
        let customer = format!("{:016x}", (client + 1) << 28 | number);
        let id = format!("{:016x}", (client + 1) << 40 | number);
        bulk_strings(&["CALL.GET", &customer, &id, "c=look,t=small,d=1500,units=1,spread=1,first=0"])
    };
    assert_others_are_answered_during(&gateway, new_customer);
    let mut client = gateway.connect();
    let request = new_customer(FLOODING_CLIENTS, 1);
    client.write_all(request.as_bytes()).expect("the gateway accepts input");
    assert!(!read_reply(&client).starts_with("-ERR"), "a new customer of another client");
    let stats = admin_call(operators, "GET /stats");
    let (_, rest) = stats.split_once("\"customers\":").expect("the number of customers");
    let customers: usize =
        rest.split(',').next().and_then(|number| number.parse().ok()).expect("a whole number");
    assert!(customers < 20_000, "{customers} customers with an account");
    assert!(!stats.contains("\"rejected_new_customers\":0,"), "{stats}");
}
