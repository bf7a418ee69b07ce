//! Real processes on loopback: grants, a shard killed and replaced, a retransmitted batch, reloaded maps.
mod shard_process;
mod socket_client;

use nix::sys::signal::Signal;
use quillramp_lease::client::LeaseOutcome;
use quillramp_lease::wire::{encode, BatchEntry, EntryResponse, Frame, FrameDecoder, PROTOCOL_VERSION};
use shard_process::{ShardProcess, PROGRAM};
use socket_client::SocketClient;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// Longest time that a test waits for a response.
const TIMEOUT: Duration = Duration::from_secs(10);

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

fn map_text(epoch: u32, address: SocketAddr, rate: f64) -> String {
    format!(
        "epoch = {epoch}\nactive_at = 0.0\n[[plan]]\nname = \"team\"\nrate = {rate:?}\nburst = 50.0\n\
         [[region]]\nname = \"north\"\nshare = 1.0\n[[region.shard]]\nid = 1\naddress = \"{address}\"\n"
    )
}

fn write_map(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("a folder for tests");
    path
}

fn granted(outcome: &LeaseOutcome) -> f64 {
    match outcome {
        LeaseOutcome::Granted { units, .. } => *units,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_shard_grants_and_its_replacement_starts_empty() {
    let address = free_address();
    let text = map_text(1, address, 25.0);
    let map = write_map("replaced", &text);
    let shard = ShardProcess::start(address, &map);
    let mut client = SocketClient::new(&text);
    std::thread::sleep(Duration::from_millis(2500)); // longer than a bucket takes to fill
    assert_eq!(granted(&client.request(40.0)), 40.0);
    drop(shard);
    let _shard = ShardProcess::start(address, &map);
    let started = Instant::now();
    let units = granted(&client.request(40.0));
    let refilled = 25.0 * (started.elapsed().as_secs_f64() + 1.0);
    assert!(units <= refilled, "{units} of at most {refilled} that a new shard refilled");
    std::thread::sleep(Duration::from_millis(500));
    assert!(granted(&client.request(5.0)) > 0.0);
}

#[test]
fn requests_fail_while_the_shard_is_down_and_later_ones_are_granted() {
    let address = free_address();
    let text = map_text(1, address, 100.0);
    let map = write_map("gone", &text);
    let shard = ShardProcess::start(address, &map);
    let mut client = SocketClient::new(&text);
    client.request(1.0);
    drop(shard);
    // The first one may still be sent on the old connection, or wait for the new one to fail.
    let outcomes = [client.request(1.0), client.request(1.0)];
    assert!(
        outcomes.iter().all(|o| matches!(o, LeaseOutcome::NotApplied | LeaseOutcome::Unconfirmed)),
        "{outcomes:?}"
    );
    let _shard = ShardProcess::start(address, &map);
    let until = Instant::now() + TIMEOUT;
    while !matches!(client.request(1.0), LeaseOutcome::Granted { units, .. } if units > 0.0) {
        assert!(Instant::now() < until, "never granted again");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_batch_retransmitted_on_a_new_connection_gets_the_same_response() {
    let address = free_address();
    let map = write_map("again", &map_text(1, address, 0.001));
    let _shard = ShardProcess::start(address, &map);
    let entry = BatchEntry { tenant: 9, plan: 0, spent_hundredths: -2000, requested_hundredths: 700 };
    let mut bytes = encode(&Frame::Hello { version: PROTOCOL_VERSION, gateway: 5, incarnation: 1, epoch: 1 });
    bytes.extend(encode(&Frame::Batch { sequence: 1, entries: vec![entry] }));
    for _ in 0..3 {
        let mut stream = TcpStream::connect(address).expect("it serves");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        stream.write_all(&bytes).expect("it reads");
        assert_eq!(
            read_frame(&mut stream),
            batch_response(700, 13),
            "twenty were returned once, seven were granted once"
        );
    }
}

fn batch_response(granted_hundredths: u32, available_units: u32) -> Frame {
    Frame::BatchResponse {
        sequence: 1,
        responses: vec![EntryResponse::Granted { granted_hundredths, available_units }],
    }
}

fn read_frame(stream: &mut TcpStream) -> Frame {
    let mut decoder = FrameDecoder::default();
    let mut buffer = [0; 1024];
    loop {
        if let Some(frame) = decoder.next_frame().expect("a frame") {
            return frame;
        }
        let length = stream.read(&mut buffer).expect("a response in time");
        assert!(length > 0, "closed without a response");
        decoder.extend(&buffer[..length]);
    }
}

#[test]
fn an_invalid_frame_closes_only_its_connection() {
    let address = free_address();
    let text = map_text(1, address, 25.0);
    let map = write_map("spoilt", &text);
    let _shard = ShardProcess::start(address, &map);
    let mut stream = TcpStream::connect(address).expect("it serves");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("it reads");
    stream.shutdown(std::net::Shutdown::Write).expect("a socket");
    assert_eq!(stream.read(&mut [0; 16]).unwrap_or(0), 0, "closed without a response");
    assert!(matches!(SocketClient::new(&text).request(1.0), LeaseOutcome::Granted { .. }));
}

#[test]
fn an_invalid_map_at_start_is_one_log_line_and_a_failure() {
    let address = free_address();
    let good = map_text(1, address, 25.0);
    let cases = [
        (good.replace("share = 1.0", "share = 0.5"), "north", "expected a sum of 1, found 0.5"),
        (good.replace("epoch = 1", "epoch = one"), "north", "no shard map"),
        (good.clone(), "west", "region 'west': not in the map"),
        (good.replace("id = 1", "id = 4"), "north", "shard 1: not in region 'north' of the map"),
    ];
    for (index, (text, region, words)) in cases.iter().enumerate() {
        let map = write_map(&format!("bad-{index}"), text);
        let output = Command::new(PROGRAM)
            .args(["--listen", &address.to_string(), "--region", region, "--id", "1", "--map"])
            .arg(&map)
            .output()
            .expect("the program starts");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{log}");
        assert!(log.contains(words) && log.lines().count() == 1, "{log}");
    }
}

#[test]
fn a_map_is_reloaded_and_an_invalid_one_is_rejected() {
    let address = free_address();
    let map = write_map("again-map", &map_text(1, address, 25.0));
    let mut shard = ShardProcess::start(address, &map);
    std::fs::write(&map, "nonsense").expect("a folder for tests");
    shard.signal(Signal::SIGHUP);
    shard.wait_for_log("the last good map stays");
    std::fs::write(&map, map_text(1, address, 30.0)).expect("a folder for tests");
    shard.signal(Signal::SIGHUP);
    assert!(shard.wait_for_log("the last good map stays").contains("epoch 1: expected above 1"));
    std::fs::write(&map, map_text(2, address, 30.0)).expect("a folder for tests");
    shard.signal(Signal::SIGHUP);
    shard.wait_for_log("map of epoch 2");
    assert!(matches!(
        SocketClient::new(&map_text(2, address, 30.0)).request(1.0),
        LeaseOutcome::Granted { .. }
    ));
    shard.signal(Signal::SIGTERM);
    assert_eq!(shard.wait().code(), Some(0));
}
