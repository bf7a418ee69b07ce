//! Memory of a gateway process on loopback while clients send or leave unread as much as they can: it stays within the
//! configured limit, and other clients are served.
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

mod common;
use common::example_servers::{self, read_command, request, serve_connections};
use common::{free_listener, gateway_with_backend, read_reply, send_request, TestGateway};

const MEBIBYTE: usize = 1024 * 1024;
/// The least memory that a gateway gets, in MiB.
const MEMORY_MB: usize = 32;
/// Length of a value just below 64 KiB, the longest one that is stored in full.
const LARGE_VALUE_BYTES: usize = 60_000;
/// Interval between two readings of the process's memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the configuration with little memory and a quota that no test uses up.
fn with_little_memory(configuration: String) -> String {
    configuration
        .replace("\"memory_mb\": 192", &format!("\"memory_mb\": {MEMORY_MB}"))
        .replace("\"per_second\": 2, \"depth\": 12", "\"per_second\": 100000, \"depth\": 100000")
}

/// Starts a backend that answers each command after 50 ms with a value of `value_bytes` bytes.
fn start_backend(listener: TcpListener, value_bytes: usize) {
    let reply = format!("*3\r\n${value_bytes}\r\n{}\r\n$-1\r\n$-1\r\n", "v".repeat(value_bytes));
    serve_connections(listener, move |stream| {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        while read_command(&mut reader)?.is_some() {
            sleep(Duration::from_millis(50));
            writer.write_all(reply.as_bytes())?;
        }
        Ok(())
    });
}

/// Starts a gateway with little memory, and a backend with values of `value_bytes` bytes.
fn start_gateway(name: &str, value_bytes: usize) -> TestGateway {
    let (listener, address) = free_listener();
    start_backend(listener, value_bytes);
    gateway_with_backend(&format!("memory-{name}"), address, with_little_memory)
}

/// Returns the resident memory of a process, in bytes; 0 once it has ended.
fn resident_bytes(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kibibytes = line.split_whitespace().nth(1).and_then(|number| number.parse::<usize>().ok());
    kibibytes.unwrap_or_default() * 1024
}

/// Samples the memory of the gateway for this long, and checks that it stays within the limit while a client that
/// sends one request at a time is answered.
fn assert_memory_is_bounded(gateway: &TestGateway, duration: Duration) {
    let mut usual_client = gateway.connect();
    let start = Instant::now();
    let (mut peak, mut answers) = (0, 0);
    while start.elapsed() < duration {
        send_request(&mut usual_client, "look", 1500);
        let reply = read_reply(&usual_client);
        answers += usize::from(!reply.starts_with('-'));
        for _ in 0..4 {
            peak = peak.max(resident_bytes(gateway.process.id()));
            sleep(SAMPLE_INTERVAL);
        }
    }
    assert!(0 < peak && peak < MEMORY_MB * MEBIBYTE, "{} MiB of {MEMORY_MB}", peak / MEBIBYTE);
    assert!(answers > 0, "the usual client is served");
}

/// Returns an order with a body of this length.
fn order(body_bytes: usize) -> String {
    let look = request("order", 3000);
    let (head, _) = look.rsplit_once("$").expect("the body is the last item");
    format!("{head}${body_bytes}\r\n{}\r\n", "x".repeat(body_bytes))
}

/// Connects a client that writes this from a thread of its own, and then reads all that it is sent.
fn start_client(address: SocketAddr, input: String) {
    let mut stream = TcpStream::connect(address).expect("the gateway accepts the connection");
    let mut reader = stream.try_clone().expect("the socket handle is duplicated");
    spawn(move || {
        let mut buffer = vec![0; 65_536];
        while reader.read(&mut buffer).is_ok_and(|length| length > 0) {}
    });
    spawn(move || {
        let _ = stream.write_all(input.as_bytes()); // fails if the gateway closes the connection
        sleep(Duration::from_secs(60));
    });
}

/// Guards against a process that is killed for its memory: complete commands of up to 64 KiB were stored without a
/// limit while they waited for their answers.
#[test]
fn pipelined_commands_with_large_bodies_do_not_exceed_the_memory() {
    const CLIENTS: usize = 10;
    const COMMANDS: usize = 300;
    let gateway = start_gateway("commands", 10);
    for _ in 0..CLIENTS {
        let commands = (0..COMMANDS).map(|_| order(LARGE_VALUE_BYTES)).collect();
        start_client(gateway.address, commands);
    }
    assert_memory_is_bounded(&gateway, Duration::from_secs(2));
}

/// Guards against a request that is dropped without an answer for lack of memory: each one is answered in order, and
/// what is rejected says when to come back.
#[test]
fn requests_without_memory_are_rejected_in_order_with_a_time() {
    const COMMANDS: usize = 400;
    let gateway = start_gateway("order", 10);
    let mut client = gateway.connect();
    let commands: String = (0..COMMANDS).map(|_| order(LARGE_VALUE_BYTES)).collect();
    let mut reader = BufReader::new(client.try_clone().expect("the socket handle is duplicated"));
    let writer = spawn(move || client.write_all(commands.as_bytes()).map(|()| client));
    let next_reply = |_| example_servers::read_reply(&mut reader).expect("the gateway replies");
    let replies: Vec<String> = (0..COMMANDS).map(next_reply).collect();
    let rejected = replies.iter().filter(|reply| reply.starts_with("-BUSY ")).count();
    assert!(0 < rejected && rejected < COMMANDS, "{rejected} of {COMMANDS} rejected with a time");
    assert!(replies.iter().all(|reply| reply.starts_with("-BUSY ") || *reply == "v".repeat(10)));
    drop(writer.join().expect("the writer does not panic").expect("the gateway reads all commands"));
}

/// Connects this many clients that send this input and then neither send nor read anything.
fn connect_silent_clients(address: SocketAddr, count: usize, input: &str) -> Vec<TcpStream> {
    let connect = |_| {
        let mut client = TcpStream::connect(address).expect("the gateway accepts the connection");
        let receive_buffer = socket2::SockRef::from(&client).set_recv_buffer_size(8 * 1024);
        receive_buffer.expect("an open socket");
        client.set_nonblocking(true).expect("an open socket");
        let _ = client.write(input.as_bytes()); // as much as the gateway reads at once
        client
    };
    (0..count).map(connect).collect()
}

/// Guards against a process that is killed for its memory while hundreds of clients stop in the middle of a command.
#[test]
fn clients_that_stop_in_the_middle_of_a_command_do_not_exceed_the_memory() {
    let gateway = start_gateway("half", 10);
    for body_bytes in [LARGE_VALUE_BYTES, 3 * MEBIBYTE] {
        let command = order(body_bytes);
        let _clients = connect_silent_clients(gateway.address, 300, &command[..command.len() / 2]);
        assert_memory_is_bounded(&gateway, Duration::from_secs(2));
    }
}

/// Guards against the same with clients whose bodies of a megabyte arrive side by side, which left a heap of several
/// times their size.
#[test]
fn bodies_that_grow_side_by_side_do_not_exceed_the_memory() {
    let gateway = start_gateway("slow-bodies", 10);
    let address = gateway.address;
    let writer = spawn(move || {
        let command = order(MEBIBYTE);
        let mut clients = connect_silent_clients(address, 200, &command[..20_000]);
        for piece in command.as_bytes()[20_000..].chunks(20_000) {
            for client in &mut clients {
                let _ = client.write(piece); // fails while the gateway does not read
            }
            sleep(Duration::from_millis(30));
        }
    });
    assert_memory_is_bounded(&gateway, Duration::from_secs(3));
    writer.join().expect("the writer does not panic");
}

/// Guards against the same with clients that do not read their replies.
#[test]
fn replies_that_are_not_read_do_not_exceed_the_memory() {
    let gateway = start_gateway("unread", LARGE_VALUE_BYTES);
    let requests: String = (0..60).map(|_| request("look", 3000)).collect();
    let _clients = connect_silent_clients(gateway.address, 100, &requests);
    assert_memory_is_bounded(&gateway, Duration::from_secs(3));
}

/// Guards against memory that values hold whose backends stop within them: the first part of each was kept after it had
/// been forwarded.
#[test]
fn hundreds_of_values_that_never_end_stay_within_the_memory_limit() {
    const VALUES: usize = 460;
    const PART_BYTES: usize = 65_000; // nearly one read
    let (listener, address) = free_listener();
    serve_connections(listener, |stream| {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
        read_command(&mut reader)?;
        write!(writer, "*3\r\n$139047\r\n{}", "v".repeat(PART_BYTES))?;
        sleep(Duration::from_secs(3600));
        Ok(())
    });
    let gateway = gateway_with_backend("memory-endless", address, with_little_memory);
    let clients: Vec<TcpStream> = (0..VALUES)
        .map(|_| {
            let mut client = gateway.connect();
            send_request(&mut client, "look", 1500);
            client.read_exact(&mut vec![0; PART_BYTES]).expect("the value begins");
            client
        })
        .collect();
    let resident = resident_bytes(gateway.process.id());
    let limit = MEMORY_MB * MEBIBYTE / 10 * 9; // slow values may take nine tenths
    assert!(0 < resident && resident < limit, "{} MiB of {MEMORY_MB}", resident / MEBIBYTE);
    drop(clients);
}
