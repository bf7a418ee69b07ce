//! Thirty front doors started at once before a list service that is mute, refuses or is slow: when they answer `PING`. What
//! readiness waits on stands in docs/list-service.md.
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

mod help;
use help::{
    endpoint_list, example_configuration, example_servers, free_listener, own_address, start_gateway,
    GatewayProcess,
};

const FRONT_DOORS: usize = 30;
/// Of ten front doors nine are to be ready within this.
const READY: Duration = Duration::from_secs(6);
/// How long the start may wait for the lock on the file that two processes share, and a margin for a busy machine.
const LOCKED_START: Duration = Duration::from_secs(4);
/// A front door that is not ready by then is counted as one that never was.
const PATIENCE: Duration = Duration::from_secs(30);
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Its configuration, with the list service there.
fn configuration(name: &str, list: SocketAddr) -> (PathBuf, SocketAddr) {
    let (at, counter) = (own_address(7400), own_address(7402));
    let text = example_configuration(list, counter).replace("127.0.0.1:7400", &at.to_string());
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("readiness-{name}.json"));
    std::fs::write(&file, text).expect("a file");
    (file, at)
}

fn is_ready(at: SocketAddr) -> bool {
    let Ok(mut to) = TcpStream::connect(at) else { return false };
    to.set_read_timeout(Some(Duration::from_secs(1))).expect("a time-out");
    to.write_all(PING).is_ok()
        && example_servers::read_reply(&mut BufReader::new(to)).is_ok_and(|said| said == "+PONG")
}

/// How long each took from its start to its first `+PONG`.
fn start_all_at_once(name: &str, list: SocketAddr) -> Vec<Duration> {
    let files: Vec<_> = (0..FRONT_DOORS).map(|i| configuration(&format!("{name}-{i}"), list)).collect();
    let mut doors: Vec<_> = files
        .into_iter()
        .map(|(file, at)| (Instant::now(), GatewayProcess(start_gateway(&file)), at, None))
        .collect();
    let from = Instant::now();
    while from.elapsed() < PATIENCE && doors.iter().any(|(.., ready)| ready.is_none()) {
        for (started, _, at, ready) in doors.iter_mut().filter(|(.., ready)| ready.is_none()) {
            *ready = is_ready(*at).then(|| started.elapsed());
        }
        sleep(Duration::from_millis(2));
    }
    doors.into_iter().map(|(.., ready)| ready.unwrap_or(PATIENCE)).collect()
}

#[track_caller]
fn nine_in_ten_are_ready(name: &str, list: SocketAddr) {
    let mut took = start_all_at_once(name, list);
    took.sort_unstable();
    println!("{name}: median {:?}, slowest {:?}", took[FRONT_DOORS / 2], took[FRONT_DOORS - 1]);
    let ready = took.iter().filter(|t| **t <= READY).count();
    assert!(10 * ready >= 9 * FRONT_DOORS, "{ready} of {FRONT_DOORS} ready in {READY:?}: {took:?}");
}

/// Guards: none of what a start waits on is the list service. One after another, for each starts thirty processes.
#[test]
fn thirty_started_at_once_are_ready_whatever_the_list_service_does() {
    let (mute, at) = free_listener(); // it takes connections in, and never answers
    nine_in_ten_are_ready("mute", at);
    drop(mute);
    nine_in_ten_are_ready("refuses", own_address(7401));
    let (slow, at) = free_listener();
    example_servers::serve_connections(slow, |stream: TcpStream| {
        let mut from = BufReader::new(stream.try_clone()?);
        while example_servers::target(&mut from)?.is_some() {
            sleep(Duration::from_secs(3));
            let body = endpoint_list(&[]);
            write!(&stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    });
    nine_in_ten_are_ready("slow", at);
}

/// Guards: where operators may call, the start waited without end for the lock on the file that two processes share: one that
/// stood still with the lock kept the next from ever serving.
#[test]
fn a_lock_that_is_never_released_does_not_hold_a_start_back() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("readiness-locked");
    std::fs::create_dir_all(&folder).expect("a folder");
    let lock = std::fs::File::create(folder.join("quillramp-n0.lock")).expect("a file");
    lock.lock().expect("nobody else has it");
    let (_list, list_at) = free_listener();
    let (file, at) = configuration("locked", list_at);
    let operators = TcpListener::bind(own_address(7404)).and_then(|l| l.local_addr()).expect("an address");
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", file).env("TMPDIR", &folder).env("EDGE_MGMT", operators.to_string());
    let from = Instant::now();
    let _door = GatewayProcess(program.stderr(Stdio::null()).spawn().expect("the program starts"));
    while !is_ready(at) {
        assert!(from.elapsed() < LOCKED_START, "not ready in {:?}", from.elapsed());
        sleep(Duration::from_millis(10));
    }
    drop(lock);
}
