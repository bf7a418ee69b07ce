//! Long values through the real program on loopback: whole, slowly, many at once, and broken off.
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::thread::{sleep, spawn};
use std::time::Duration;

mod help;
use help::{connect_when_listening, example_servers, free_listener, GatewayProcess};

const LONG: usize = 4 * 1024 * 1024;

fn byte_at(i: usize) -> u8 {
    (i / 7 % 251) as u8
}

/// A backend whose values are long, in pieces of odd sizes; it breaks the one for `fail` off half-way.
fn backend(listener: TcpListener) {
    let value: Vec<u8> = (0..LONG).map(byte_at).collect();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let value = value.clone();
            spawn(move || {
                let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
                loop {
                    let Some(words) = example_servers::command(&mut from)? else {
                        return std::io::Result::Ok(());
                    };
                    if words[3].contains("c=order") {
                        sleep(Duration::from_millis(20));
                        let sum: u64 = words[4].bytes().map(u64::from).sum();
                        let value = format!("{} {sum}", words[4].len());
                        write!(to, "*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())?;
                        continue;
                    }
                    let whole = !words[3].contains("c=fail");
                    let text = [
                        format!("*3\r\n${LONG}\r\n").as_bytes(),
                        &value,
                        b"\r\n$-1\r\n$15\r\nload_share=0.25\r\n",
                    ]
                    .concat();
                    let text = if whole { &text[..] } else { &text[..LONG / 2] };
                    for piece in text.chunks(60_001) {
                        to.write_all(piece)?;
                    }
                    if !whole {
                        return Ok(());
                    }
                }
            });
        }
    });
}

fn start_with_memory(name: &str, memory_mb: usize) -> (GatewayProcess, SocketAddr) {
    let ((behind, behind_at), (counter, counter_at), (list, list_at)) =
        (free_listener(), free_listener(), free_listener());
    let (_, listen) = free_listener();
    backend(behind);
    example_servers::start_counter(counter);
    example_servers::start_list_service(
        list,
        format!(
            r#"{{"index":1,"snapshot":true,"endpoints":[{{"name":"s-a","address":"{behind_at}","zone":"z","group":0,"status":"SERVING","weight":1.0,"since_ms":0}}]}}"#
        ),
    );
    let configuration = include_str!("../../examples/configuration.json")
        .replace("127.0.0.1:7400", &listen.to_string())
        .replace("127.0.0.1:7401", &list_at.to_string())
        .replace("127.0.0.1:7402", &counter_at.to_string())
        .replace("127.0.0.1:7403", "127.0.0.1:0")
        .replace("127.0.0.1:7404", "127.0.0.1:0")
        .replace("\"depth\": 12", "\"depth\": 400")
        .replace("\"memory_mb\": 192", &format!("\"memory_mb\": {memory_mb}"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("told.json");
    std::fs::write(&file, configuration).expect("a file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    let process = GatewayProcess(
        program.env("EDGE_CONFIG", file).env("TMPDIR", folder).spawn().expect("the program starts"),
    );
    connect_when_listening(listen);
    sleep(Duration::from_millis(200)); // it has its list
    (process, listen)
}

/// The most memory that it has had, in kB.
fn peak_memory(process: &GatewayProcess) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).expect("it runs");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    peak.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn send_request(at: SocketAddr, operation: &str) -> TcpStream {
    let mut to = TcpStream::connect(at).expect("it accepts");
    to.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    to.write_all(example_servers::request(operation, 1400).as_bytes()).expect("it reads");
    to
}

fn check(text: &[u8]) {
    let head = format!("${LONG}\r\n");
    assert!(text.starts_with(head.as_bytes()), "{}", String::from_utf8_lossy(&text[..text.len().min(60)]));
    let value = &text[head.len()..head.len() + LONG];
    assert!(value.iter().enumerate().all(|(i, b)| *b == byte_at(i)), "the value as it was");
    assert_eq!(&text[head.len() + LONG..], b"\r\n+PONG\r\n");
}

/// Guards: a value over 64 KiB broke its backend's connection off, and its invocation failed.
#[test]
fn long_values_come_whole_however_slowly_and_a_broken_one_shows() {
    let (_door, at) = start_with_memory("whole", 192);
    for pause in [0, 2] {
        let mut to = send_request(at, "look");
        to.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it reads"); // answered behind the value
        let (mut text, mut piece) = (vec![], vec![0; 50_021]);
        while !text.ends_with(b"+PONG\r\n") {
            let n = to.read(&mut piece).expect("more");
            assert!(n > 0, "it ended after {} bytes", text.len());
            text.extend_from_slice(&piece[..n]);
            sleep(Duration::from_millis(pause));
        }
        check(&text);
    }
    let mut text = vec![];
    send_request(at, "fail").read_to_end(&mut text).expect("an end, not a reset");
    assert!(text.len() > 1_000_000 && text.len() < LONG, "cut off after {}", text.len());
}

/// Guards: what waits for clients that read slowly is bounded, however many there are.
#[test]
fn many_long_values_at_once_stay_far_under_the_limit() {
    const MANY: usize = 60; // of 4 MiB each
    let (process, at) = start_with_memory("many", 32);
    let mut clients: Vec<TcpStream> = (0..MANY).map(|_| send_request(at, "look")).collect();
    sleep(Duration::from_millis(1000));
    let peak = peak_memory(&process);
    assert!(peak < 32 * 1024, "{peak} kB at the most");
    let mut whole = 0;
    for to in &mut clients {
        to.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it reads");
        let (mut text, mut piece) = (vec![], vec![0; 200_000]);
        while !text.ends_with(b"+PONG\r\n") {
            let n = to.read(&mut piece).expect("more");
            assert!(n > 0, "it ended after {} bytes", text.len());
            text.extend_from_slice(&piece[..n]);
        }
        if text[0] == b'$' {
            check(&text);
            whole += 1;
        }
    }
    assert!(whole > 2, "{whole} came whole, the others were refused");
}

/// Guards: a body over 64 KiB was turned away; and many at once wait for room, each is served, and none takes the
/// memory of the others.
#[test]
fn long_bodies_wait_for_room_and_all_are_served() {
    const BODY: usize = 2 * 1024 * 1024;
    let (process, at) = start_with_memory("bodies", 32);
    let clients: Vec<_> = (0..30)
        .map(|_| {
            spawn(move || {
                let text = example_servers::request("order", 2900);
                let body = format!("${BODY}\r\n{}\r\n", "b".repeat(BODY));
                let text = text.replace("$4\r\nbody\r\n", &body);
                let mut to = TcpStream::connect(at).expect("it accepts");
                for piece in text.as_bytes().chunks(70_001) {
                    to.write_all(piece).expect("it reads");
                    sleep(Duration::from_millis(1));
                }
                example_servers::read_reply(&mut BufReader::new(to)).expect("an answer")
            })
        })
        .collect();
    // A small one is not held up meanwhile.
    let mut small = TcpStream::connect(at).expect("it accepts");
    small.write_all(b"*1\r\n$4\r\nPI").expect("it reads");
    sleep(Duration::from_millis(300));
    small.write_all(b"NG\r\n").expect("it reads");
    small.set_read_timeout(Some(Duration::from_millis(500))).expect("a time-out");
    assert_eq!(example_servers::read_reply(&mut BufReader::new(small)).expect("at once"), "+PONG");
    let expected = format!("{BODY} {}", BODY as u64 * u64::from(b'b'));
    let said: Vec<String> = clients.into_iter().map(|c| c.join().expect("no panic")).collect();
    let served = said.iter().filter(|s| **s == expected).count();
    assert!(served >= 20 && said.iter().all(|s| *s == expected || s.starts_with("-BUSY")), "{said:?}");
    let peak = peak_memory(&process);
    assert!(peak < 32 * 1024, "{peak} kB at the most");
    // Too long, and a length that is none.
    for (length, why) in [("4194305", "4 MiB"), ("-5", "negative"), ("4e6", "no number")] {
        let text =
            example_servers::request("order", 2900).replace("$4\r\nbody", &format!("${length}\r\nbody"));
        let mut to = TcpStream::connect(at).expect("it accepts");
        to.write_all(text.as_bytes()).expect("it reads");
        let said = example_servers::read_reply(&mut BufReader::new(to)).expect("an answer");
        assert!(said.starts_with("-ERR protocol") && said.contains(why), "{said}");
    }
}
