//! The real program on loopback, among the toy world of `examples/`.
use expect_test::expect;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

#[path = "../../examples/toy.rs"]
mod toy;

fn start(configuration: &Path) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", configuration).stderr(Stdio::piped());
    program.spawn().expect("the program starts")
}

fn free() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// Sends this and reads so many replies.
fn say(at: SocketAddr, text: &str, replies: usize) -> String {
    let mut to = TcpStream::connect(at).expect("it accepts");
    to.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    let mut from = BufReader::new(to.try_clone().expect("a second handle"));
    to.write_all(text.as_bytes()).expect("it reads");
    let replies = (0..replies).map(|_| toy::reply(&mut from).expect("a reply") + "\n");
    replies.collect()
}

#[test]
fn it_serves_says_what_is_wrong_and_ends_in_order() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let bad = folder.join("bad.json");
    std::fs::write(&bad, "{\"name\": 3}").expect("a file");
    let output = start(&bad).wait_with_output().expect("it ends");
    let said = String::from_utf8_lossy(&output.stderr).replace(&*bad.to_string_lossy(), "FILE");
    let mut text = format!("{:?}: {said}", output.status.code());

    let (backend, backend_at) = free();
    let (counter, counter_at) = free();
    let (list, list_at) = free();
    let (_, listen) = free(); // free again for the front door
    toy::backend(backend, "a");
    toy::counter(counter);
    let entry = format!(
        r#"{{"name":"s-a","address":"{backend_at}","zone":"z","group":0,"status":"SERVING","weight":1.0,"since_ms":0}}"#
    );
    toy::list(list, format!(r#"{{"index":1,"snapshot":true,"endpoints":[{entry}]}}"#));
    let example = include_str!("../../examples/configuration.json");
    let told = example.replace("127.0.0.1:7400", &listen.to_string());
    let told = told
        .replace("127.0.0.1:7401", &list_at.to_string())
        .replace("\"memory_mb\": 192", "\"memory_mb\": 1");
    let told =
        told.replace("127.0.0.1:7402", &counter_at.to_string()).replace("127.0.0.1:7403", "127.0.0.1:0");
    let good = folder.join("good.json");
    std::fs::write(&good, &told).expect("a file");
    let mut door = start(&good);
    let from = Instant::now();
    while TcpStream::connect(listen).is_err() && from.elapsed() < Duration::from_secs(10) {
        sleep(Duration::from_millis(10));
    }
    sleep(Duration::from_millis(200)); // for the list

    text += &say(listen, "*1\r\n$4\r\nPING\r\n", 1);
    text += &say(listen, &(toy::invocation("slow", 1400) + &toy::invocation("sing", 2900)), 2);
    text += &say(listen, &toy::invocation("order", 2900), 1);
    text += &say(listen, &toy::invocation("fail", 2900), 1);
    text += &say(listen, "PING\r\n", 2);
    // Unfinished commands are kept as far as there is memory for them.
    let half = format!("*5\r\n$9\r\nCALL.POST\r\n$60000\r\n{}", "x".repeat(50_000));
    let mut halves: Vec<_> = (0..2).map(|_| TcpStream::connect(listen).expect("it accepts")).collect();
    halves.iter_mut().for_each(|to| to.write_all(half.as_bytes()).expect("it reads"));
    sleep(Duration::from_millis(100));
    text += &say(listen, &half, 1);
    drop(halves);
    // Far ahead of its answers: they all come, in the end.
    let ahead =
        say(listen, &(toy::invocation("slow", 1400) + &"*1\r\n$4\r\nPING\r\n".repeat(20_000)), 20_001);
    text += &format!("{} answers\n", ahead.lines().count());
    let pid = Pid::from_raw(i32::try_from(door.id()).expect("a process id"));
    // Read again: what can't be read leaves the old one in force, and what can moves list and counter over.
    for told in ["{", &told.replace(&counter_at.to_string(), "127.0.0.1:1")] {
        std::fs::write(&good, told).expect("a file");
        kill(pid, Signal::SIGHUP).expect("it runs");
        sleep(Duration::from_millis(100));
        text += &say(listen, &toy::invocation("look", 1000), 1);
    }
    kill(pid, Signal::SIGTERM).expect("it runs");
    sleep(Duration::from_millis(150));
    text += &say(listen, &toy::invocation("look", 1000), 1);
    text += &format!("{:?}\n", door.wait().expect("it ends").code());
    let mut log = String::new();
    door.stderr.take().expect("piped").read_to_string(&mut log).expect("text");
    let again = log.lines().filter(|l| l.contains("configuration")).map(|l| l.split(' ').nth(3));
    text += &format!("{:?}\n", again.collect::<Vec<_>>());
    text += &format!("{} clients ended with a reason\n", log.matches("connection client").count());
    expect![[r#"
        Some(1): quillramp: FILE: invalid type: integer `3`, expected a string at line 1 column 10
        +PONG
        a slow
        -ERR unknown operation
        a order body
        -ERR failed
        -ERR protocol: expected an array of bulk strings

        -ERR protocol: too much unfinished
        20001 answers
        a look
        a look
        a look
        Some(0)
        [Some("not"), Some("read")]
        13 clients ended with a reason
    "#]]
    .assert_eq(&text);
}
