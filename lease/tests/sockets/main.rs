//! Shard processes on loopback: grants, a killed and replaced shard, a retransmitted batch, invalid input and
//! reloaded maps.
mod shard_process;
mod socket_client;

use nix::sys::signal::Signal;
use quillramp_lease::client::LeaseOutcome;
use quillramp_lease::wire::{encode, BatchEntry, EntryResponse, Frame, FrameDecoder, PROTOCOL_VERSION};
use shard_process::{ShardProcess, PROGRAM};
use socket_client::SocketClient;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Maximum time that a test waits for a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Port of every shard. Each shard has its own loopback address.
const SHARD_PORT: u16 = 7101;

/// Returns a loopback address that no other test uses. Binding a free port and releasing it would not do:
/// another process may take the port before the shard starts, or a process that another test is starting may
/// have inherited the socket.
fn unique_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, high | 128, low, number], SHARD_PORT))
}

/// Returns the text of a map with one shard and a plan of `rate` units per second with a burst of 50 units.
fn map_text(epoch: u32, address: SocketAddr, rate: f64) -> String {
    format!(
        "epoch = {epoch}\nactive_at = 0.0\n[[plan]]\nname = \"team\"\nrate = {rate:?}\nburst = 50.0\n\
         [[region]]\nname = \"north\"\nshare = 1.0\n[[region.shard]]\nid = 1\naddress = \"{address}\"\n"
    )
}

fn write_map(name: &str, text: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&file, text).expect("the map file is writable");
    file
}

/// Requests units and returns the number of units granted.
fn granted_units(client: &mut SocketClient, units: f64) -> f64 {
    match client.request(units) {
        LeaseOutcome::Granted { units, .. } => units,
        other => panic!("expected a grant, found {other:?}"),
    }
}

#[test]
fn a_shard_grants_and_its_replacement_starts_empty() {
    const RATE: f64 = 25.0;
    let address = unique_address();
    let text = map_text(1, address, RATE);
    let map = write_map("replaced", &text);
    let shard = ShardProcess::start(address, &map);
    let mut client = SocketClient::new(&text);
    sleep(Duration::from_millis(2500)); // longer than a bucket takes to refill (2 s)
    assert_eq!(granted_units(&mut client, 40.0), 40.0);
    drop(shard);
    let _shard = ShardProcess::start(address, &map);
    let started = Instant::now();
    let units = granted_units(&mut client, 40.0);
    let max_refilled = RATE * (started.elapsed().as_secs_f64() + 1.0);
    assert!(
        units <= max_refilled,
        "expected at most {max_refilled} units from the replacement's refill, found {units} granted"
    );
    sleep(Duration::from_millis(500));
    assert!(granted_units(&mut client, 5.0) > 0.0);
}

#[test]
fn requests_fail_while_the_shard_is_down_and_later_ones_are_granted() {
    let address = unique_address();
    let text = map_text(1, address, 100.0);
    let map = write_map("down", &text);
    let shard = ShardProcess::start(address, &map);
    let mut client = SocketClient::new(&text);
    client.request(1.0);
    drop(shard);
    // The first request may still be sent on the old connection, or may wait until the new connection fails.
    for request in ["first", "second"] {
        let outcome = client.request(1.0);
        assert!(
            matches!(outcome, LeaseOutcome::NotApplied | LeaseOutcome::Unconfirmed),
            "{request} request: expected a failure, found {outcome:?}"
        );
    }
    let _shard = ShardProcess::start(address, &map);
    let deadline = Instant::now() + TIMEOUT;
    while !matches!(client.request(1.0), LeaseOutcome::Granted { units, .. } if units > 0.0) {
        assert!(Instant::now() < deadline, "no units granted within {TIMEOUT:?}");
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_batch_retransmitted_on_a_new_connection_gets_the_same_response() {
    let address = unique_address();
    let map = write_map("retransmitted", &map_text(1, address, 0.001));
    let _shard = ShardProcess::start(address, &map);
    let entry = BatchEntry { tenant: 9, plan: 0, spent_hundredths: -2000, requested_hundredths: 700 };
    let mut bytes = encode(&Frame::Hello { version: PROTOCOL_VERSION, gateway: 5, incarnation: 1, epoch: 1 });
    bytes.extend(encode(&Frame::Batch { sequence: 1, entries: vec![entry] }));
    // The bucket starts almost empty. 20 units are returned once and 7 granted once, so that 13 remain.
    let response = EntryResponse::Granted { granted_hundredths: 700, available_units: 13 };
    let expected = Frame::BatchResponse { sequence: 1, responses: vec![response] };
    for _ in 0..3 {
        let mut stream = connect(address);
        stream.write_all(&bytes).expect("the shard reads from the connection");
        assert_eq!(read_frame(&mut stream), expected);
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the shard accepts connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("an open socket");
    stream
}

fn read_frame(stream: &mut TcpStream) -> Frame {
    let mut decoder = FrameDecoder::default();
    let mut buffer = [0; 1024];
    loop {
        if let Some(frame) = decoder.next_frame().expect("a valid frame") {
            return frame;
        }
        let length = stream.read(&mut buffer).expect("a response before the read timeout");
        assert!(length > 0, "the shard closed the connection without a response");
        decoder.extend(&buffer[..length]);
    }
}

#[test]
fn an_invalid_frame_closes_only_its_connection() {
    let address = unique_address();
    let text = map_text(1, address, 25.0);
    let map = write_map("invalid-frame", &text);
    let _shard = ShardProcess::start(address, &map);
    let mut stream = connect(address);
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("the shard reads from the connection");
    stream.shutdown(std::net::Shutdown::Write).expect("an open socket");
    assert_eq!(stream.read(&mut [0; 16]).unwrap_or(0), 0, "expected a closed connection without a response");
    let outcome = SocketClient::new(&text).request(1.0);
    assert!(matches!(outcome, LeaseOutcome::Granted { .. }), "{outcome:?}");
}

/// Startup that is expected to fail.
struct FailingStart<'a> {
    map: String,
    region: &'a str,
    /// Expected part of the log line.
    error: &'a str,
}

#[test]
fn startup_with_an_invalid_map_fails_with_one_log_line() {
    let address = unique_address();
    let valid = map_text(1, address, 25.0);
    let starts = [
        FailingStart {
            map: valid.replace("share = 1.0", "share = 0.5"),
            region: "north",
            error: "expected a sum of 1, found 0.5",
        },
        FailingStart {
            map: valid.replace("epoch = 1", "epoch = one"),
            region: "north",
            error: "parse error in line 1: ",
        },
        FailingStart { map: valid.clone(), region: "west", error: "region 'west': not in the map" },
        FailingStart {
            map: valid.replace("id = 1", "id = 4"),
            region: "north",
            error: "shard 1: not in region 'north' of the map",
        },
    ];
    for (index, start) in starts.iter().enumerate() {
        let map = write_map(&format!("bad-{index}"), &start.map);
        let output = Command::new(PROGRAM)
            .args(["--listen", &address.to_string(), "--region", start.region, "--id", "1", "--map"])
            .arg(&map)
            .output()
            .expect("the program starts");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{log}");
        assert!(log.contains(start.error), "{log}");
        assert_eq!(log.lines().count(), 1, "{log}");
    }
}

#[test]
fn a_map_is_reloaded_and_an_invalid_one_is_rejected() {
    let address = unique_address();
    let file = write_map("reloaded", &map_text(1, address, 25.0));
    let mut shard = ShardProcess::start(address, &file);
    let reload = |shard: &ShardProcess, map: &str| {
        std::fs::write(&file, map).expect("the map file is writable");
        shard.signal(Signal::SIGHUP);
    };
    reload(&shard, "nonsense");
    shard.wait_for_log("keeping the last valid shard map");
    reload(&shard, &map_text(1, address, 30.0));
    let log = shard.wait_for_log("keeping the last valid shard map");
    assert!(log.contains("epoch 1: expected an epoch above 1"), "{log}");
    let next_map = map_text(2, address, 30.0);
    reload(&shard, &next_map);
    shard.wait_for_log("shard map of epoch 2");
    let outcome = SocketClient::new(&next_map).request(1.0);
    assert!(matches!(outcome, LeaseOutcome::Granted { .. }), "{outcome:?}");
    shard.signal(Signal::SIGTERM);
    assert_eq!(shard.wait().code(), Some(0));
}
