//! What the tests of the real program share; each uses a part of it.
#![allow(dead_code)]
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

#[path = "../../../examples/example_backend.rs"]
pub mod example_servers;

/// A front door that ends with the test, whatever comes of it.
pub struct GatewayProcess(pub Child);

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

pub fn free_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// An address that nobody else has: a port that was free a moment ago may be another test's by now.
pub fn own_address(port: u16) -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id() % (250 * 250);
    let [high, low] = [process / 250, process % 250].map(|n| n as u8);
    SocketAddr::from(([127, 1 + high, 1 + low, NEXT.fetch_add(1, Ordering::Relaxed)], port))
}

/// Waits until it accepts.
pub fn connect_when_listening(at: SocketAddr) -> TcpStream {
    let from = Instant::now();
    loop {
        match TcpStream::connect(at) {
            Ok(to) => return to,
            Err(e) => assert!(from.elapsed() < Duration::from_secs(10), "{e}"),
        }
        sleep(Duration::from_millis(10));
    }
}

pub fn start_gateway(configuration: &Path) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", configuration).stderr(Stdio::piped());
    program.spawn().expect("the program starts")
}

/// Waits until it accepts, and has its list.
pub fn wait_until_ready(at: &[SocketAddr]) {
    for at in at {
        connect_when_listening(*at);
    }
    sleep(Duration::from_millis(200));
}

/// A list service that knows these backends.
pub fn serve_endpoints(list: TcpListener, backends: &[(&str, SocketAddr)]) {
    example_servers::start_list_service(list, endpoint_list(backends));
}

/// The example's configuration, for the example servers at these addresses.
pub fn example_configuration(list: SocketAddr, counter: SocketAddr) -> String {
    include_str!("../../../examples/configuration.json")
        .replace("127.0.0.1:7401", &list.to_string())
        .replace("127.0.0.1:7402", &counter.to_string())
        .replace("127.0.0.1:7403", "127.0.0.1:0")
        .replace("\"mgmt\": \"127.0.0.1:7404\",", "")
}

/// Sends this and reads so many replies.
pub fn exchange(at: SocketAddr, text: &str, replies: usize) -> String {
    let mut to = TcpStream::connect(at).expect("it accepts");
    to.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    let mut from = BufReader::new(to.try_clone().expect("a second handle"));
    to.write_all(text.as_bytes()).expect("it reads");
    let replies = (0..replies).map(|_| example_servers::read_reply(&mut from).expect("a reply") + "\n");
    replies.collect()
}

/// A front door that a test holds still, stops and listens to, with an example counter; its list service is the caller's.
pub struct TestGateway {
    pub process: GatewayProcess,
    pub at: SocketAddr,
    /// Its configuration.
    pub file: PathBuf,
    /// The lines of its log, as they come.
    pub log: Receiver<String>,
}

impl TestGateway {
    /// Starts it with the list service at this address, its configuration changed so.
    pub fn start(name: &str, list: SocketAddr, change: impl Fn(String) -> String) -> TestGateway {
        let ((counter, counter_at), at) = (free_listener(), own_address(7400));
        example_servers::start_counter(counter);
        let configuration =
            change(example_configuration(list, counter_at).replace("127.0.0.1:7400", &at.to_string()));
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crossing-{name}.json"));
        std::fs::write(&file, configuration).expect("a file");
        let mut process = start_gateway(&file);
        let (to, log) = channel();
        let lines = BufReader::new(process.stderr.take().expect("piped")).lines();
        spawn(move || lines.map_while(Result::ok).try_for_each(|line| to.send(line)));
        let gateway = TestGateway { process: GatewayProcess(process), at, file, log };
        connect_when_listening(at);
        gateway
    }

    pub fn connect(&self) -> TcpStream {
        let to = TcpStream::connect(self.at).expect("it accepts");
        to.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
        to
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.process.0.id() as i32), signal).expect("it runs");
    }

    /// Stops its clock, in a manner: it stands until it goes on, and then meets at once all that came meanwhile.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        wait_until("it stands", || process_state(self.process.0.id()) == Some('T'));
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for a line of its log.
    pub fn wait_for_log_line(&self, part: &str) {
        let from = Instant::now();
        let mut all = vec![];
        while let Ok(line) = self.log.recv_timeout(Duration::from_secs(5).saturating_sub(from.elapsed())) {
            if line.contains(part) {
                return;
            }
            all.push(line);
        }
        panic!("no line with '{part}' in 5 s: {all:#?}");
    }

    /// Its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.process.0.wait().expect("it ends").code()
    }
}

/// How the machine says that a process fares: `T` stands, `Z` has died and nobody has looked yet.
pub fn process_state(process: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("on the machine's list");
    stat.rsplit(')').next()?.trim().chars().next()
}

/// Waits until it is so.
pub fn wait_until(what: &str, is: impl Fn() -> bool) {
    let from = Instant::now();
    while !is() {
        assert!(from.elapsed() < Duration::from_secs(10), "not in 10 s: {what}");
        sleep(Duration::from_millis(2));
    }
}

/// All that is said on a connection to its end.
pub fn read_to_end(mut from: TcpStream) -> String {
    let mut said = vec![];
    let _ = from.read_to_end(&mut said); // a reset is an end too
    String::from_utf8_lossy(&said).into_owned()
}

/// A backend whose backlog is full, so that a connection to it is not up before it is let in.
pub struct FullBacklogBackend {
    pub listener: TcpListener,
    before: Vec<TcpStream>,
}

impl FullBacklogBackend {
    pub fn new() -> (FullBacklogBackend, SocketAddr) {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a free port");
        socket.listen(0).expect("it listens");
        let listener: TcpListener = socket.into();
        let at = listener.local_addr().expect("an address");
        let before = vec![TcpStream::connect(at).expect("the one that it has room for")];
        (FullBacklogBackend { listener, before }, at)
    }

    /// Waits until somebody else is on the way here.
    pub fn wait_for_connection_attempt(&self) {
        let port = self.listener.local_addr().expect("an address").port();
        let to = format!("0100007F:{port:04X} 02 "); // to us, its first word sent
        wait_until("a connection in the making", || {
            std::fs::read_to_string("/proc/net/tcp").expect("Linux").lines().any(|line| line.contains(&to))
        });
    }

    /// Lets it in: from now on its connection is up.
    pub fn accept_pending(&mut self) -> TcpStream {
        drop(self.listener.accept().expect("the one before"));
        self.before.clear();
        self.listener.accept().expect("it asks again within a second").0
    }
}

/// The endpoint list of these backends.
pub fn endpoint_list(backends: &[(&str, SocketAddr)]) -> String {
    let entry = |(name, at): &(&str, SocketAddr)| {
        format!(
            r#"{{"name":"s-{name}","address":"{at}","zone":"z","group":0,"status":"SERVING","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries: Vec<String> = backends.iter().map(entry).collect();
    format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}
