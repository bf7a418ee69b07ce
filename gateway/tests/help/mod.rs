//! What the tests of the real program share; each uses a part of it.
#![allow(dead_code)]
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

#[path = "../../../examples/toy.rs"]
pub mod toy;

/// A front door that ends with the test, whatever comes of it.
pub struct Door(pub Child);

impl Drop for Door {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

pub fn free() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// Waits until it accepts.
pub fn reach(at: SocketAddr) -> TcpStream {
    let from = Instant::now();
    loop {
        match TcpStream::connect(at) {
            Ok(to) => return to,
            Err(e) => assert!(from.elapsed() < Duration::from_secs(10), "{e}"),
        }
        sleep(Duration::from_millis(10));
    }
}

pub fn start(configuration: &Path) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", configuration).stderr(Stdio::piped());
    program.spawn().expect("the program starts")
}

/// Waits until it accepts, and has its list.
pub fn up(at: &[SocketAddr]) {
    for at in at {
        reach(*at);
    }
    sleep(Duration::from_millis(200));
}

/// A list service that knows these backends.
pub fn lists(list: TcpListener, backends: &[(&str, SocketAddr)]) {
    let entry = |(name, at): &(&str, SocketAddr)| {
        format!(
            r#"{{"name":"s-{name}","address":"{at}","zone":"z","group":0,"status":"SERVING","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries: Vec<String> = backends.iter().map(entry).collect();
    toy::list(list, format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(",")));
}

/// The example's configuration, for a toy world at these addresses.
pub fn example(list: SocketAddr, counter: SocketAddr) -> String {
    include_str!("../../../examples/configuration.json")
        .replace("127.0.0.1:7401", &list.to_string())
        .replace("127.0.0.1:7402", &counter.to_string())
        .replace("127.0.0.1:7403", "127.0.0.1:0")
        .replace("\"mgmt\": \"127.0.0.1:7404\",", "")
}

/// Sends this and reads so many replies.
pub fn say(at: SocketAddr, text: &str, replies: usize) -> String {
    let mut to = TcpStream::connect(at).expect("it accepts");
    to.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    let mut from = BufReader::new(to.try_clone().expect("a second handle"));
    to.write_all(text.as_bytes()).expect("it reads");
    let replies = (0..replies).map(|_| toy::reply(&mut from).expect("a reply") + "\n");
    replies.collect()
}
