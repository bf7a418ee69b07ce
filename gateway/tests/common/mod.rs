//! Helpers for the tests that run the `quillramp` program on loopback. Each test uses a part of them.
#![allow(dead_code)]
use nix::sys::resource::{setrlimit, Resource};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

#[path = "../../../examples/example_backend.rs"]
pub mod example_servers;

pub const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// The endpoint list that an instance has before its first fetch, in the example's configuration.
const EMPTY_ENDPOINT_LIST: &str = r#"{"index": 0, "snapshot": true, "endpoints": []}"#;

/// A gateway process that is killed at the end of its test, also if the test panics.
pub struct GatewayProcess {
    child: Child,
}

impl GatewayProcess {
    pub fn spawn(command: &mut Command) -> GatewayProcess {
        GatewayProcess { child: command.spawn().expect("the program starts") }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the process exists");
    }

    /// Waits until the process exits.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().expect("the process exits").code()
    }

    /// Waits until the process closes its standard error, which must be a pipe.
    pub fn read_log(&mut self) -> String {
        let mut log = String::new();
        self.child.stderr.take().expect("a pipe").read_to_string(&mut log).expect("text");
        log
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have exited
        let _ = self.child.wait();
    }
}

pub fn free_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// An address that no other test uses. A port of 127.0.0.1 that was free a moment ago may have been taken by another test.
pub fn unique_address(port: u16) -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id() % (250 * 250);
    let [high, low] = [process / 250, process % 250].map(|n| n as u8);
    SocketAddr::from(([127, 1 + high, 1 + low, NEXT.fetch_add(1, Ordering::Relaxed)], port))
}

/// An empty directory for this test.
pub fn empty_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&directory); // there is none if the last run succeeded
    std::fs::create_dir_all(&directory).expect("a directory");
    directory
}

/// Connects, and retries until the connection is accepted.
pub fn connect_when_listening(address: SocketAddr) -> TcpStream {
    let start = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(error) => assert!(start.elapsed() < Duration::from_secs(10), "{error}"),
        }
        sleep(Duration::from_millis(10));
    }
}

/// The command that runs a gateway instance with this configuration file.
pub fn gateway_command(configuration: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    command.env("EDGE_CONFIG", configuration);
    command
}

/// Starts a gateway instance whose log is a pipe.
pub fn start_gateway(configuration: &Path) -> GatewayProcess {
    GatewayProcess::spawn(gateway_command(configuration).stderr(Stdio::piped()))
}

/// Waits until all instances accept connections and have their endpoint lists.
pub fn wait_until_ready(addresses: &[SocketAddr]) {
    for address in addresses {
        connect_when_listening(*address);
    }
    sleep(Duration::from_millis(200));
}

/// A backend in the endpoint list.
#[derive(Clone, Copy)]
pub struct ListedBackend {
    pub name: &'static str,
    pub address: SocketAddr,
}

/// The endpoint list of these backends.
pub fn endpoint_list(backends: &[ListedBackend]) -> String {
    let entry = |backend: &ListedBackend| {
        let ListedBackend { name, address } = backend;
        format!(
            r#"{{"name":"s-{name}","address":"{address}","zone":"z","group":0,"status":"SERVING","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries: Vec<String> = backends.iter().map(entry).collect();
    format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Starts a list service with these backends.
pub fn serve_endpoints(listener: TcpListener, backends: &[ListedBackend]) {
    example_servers::start_list_service(listener, endpoint_list(backends));
}

/// The example's configuration with these addresses of the list service and the counter.
pub fn example_configuration(list_service: SocketAddr, counter: SocketAddr) -> String {
    include_str!("../../../examples/configuration.json")
        .replace("127.0.0.1:7401", &list_service.to_string())
        .replace("127.0.0.1:7402", &counter.to_string())
        .replace("127.0.0.1:7403", "127.0.0.1:0")
        .replace("\"mgmt\": \"127.0.0.1:7404\",", "")
}

/// Where the services of an instance under test are.
pub struct ServiceAddresses {
    pub list_service: SocketAddr,
    pub counter: SocketAddr,
}

/// Starts a counter, and a list service with these backends.
pub fn start_services(backends: &[ListedBackend]) -> ServiceAddresses {
    let (counter, counter_address) = free_listener();
    let (list_service, list_service_address) = free_listener();
    example_servers::start_counter(counter);
    serve_endpoints(list_service, backends);
    ServiceAddresses { list_service: list_service_address, counter: counter_address }
}

/// Starts an example backend of this name.
pub fn start_listed_backend(name: &'static str) -> ListedBackend {
    let (listener, address) = free_listener();
    example_servers::start_backend(listener, name);
    ListedBackend { name, address }
}

/// Limits the descriptors of a process that is to be started.
pub fn limit_descriptors(command: &mut Command, limit: u64) {
    let set_limit = move || setrlimit(Resource::RLIMIT_NOFILE, limit, limit).map_err(std::io::Error::from);
    // SAFETY: between fork and exec only a resource limit is set.
    unsafe {
        command.pre_exec(set_limit);
    }
}

/// The configuration with these backends known from the start.
pub fn with_known_backends(configuration: &str, backends: &[ListedBackend]) -> String {
    configuration.replace(EMPTY_ENDPOINT_LIST, &endpoint_list(backends))
}

/// Sends requests on a connection of their own and reads this number of replies, one a line.
pub fn exchange(address: SocketAddr, requests: &str, reply_count: usize) -> String {
    let mut stream = TcpStream::connect(address).expect("the gateway accepts");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("an open socket");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    stream.write_all(requests.as_bytes()).expect("the gateway reads");
    let reply = |_| example_servers::read_reply(&mut reader).expect("a reply") + "\n";
    (0..reply_count).map(reply).collect()
}

/// Reads the next reply on a stream on which no further one has been sent.
pub fn read_reply(stream: &TcpStream) -> String {
    example_servers::read_reply(&mut BufReader::new(stream)).expect("a reply")
}

/// A gateway instance that a test can pause, signal and read the log of, with an example counter. The list service is the
/// caller's.
pub struct TestGateway {
    pub process: GatewayProcess,
    pub address: SocketAddr,
    pub configuration_file: PathBuf,
    /// The lines of its log as they are written.
    pub log: Receiver<String>,
}

impl TestGateway {
    /// Starts it with this list service and with the example's configuration changed by `change`.
    pub fn start(name: &str, list_service: SocketAddr, change: impl Fn(String) -> String) -> TestGateway {
        let (counter, counter_address) = free_listener();
        example_servers::start_counter(counter);
        let address = unique_address(7400);
        let configuration = example_configuration(list_service, counter_address)
            .replace("127.0.0.1:7400", &address.to_string());
        let configuration_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("gateway-{name}.json"));
        std::fs::write(&configuration_file, change(configuration)).expect("a file");
        let mut process = start_gateway(&configuration_file);
        let (sender, log) = channel();
        let lines = BufReader::new(process.child.stderr.take().expect("a pipe")).lines();
        spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        connect_when_listening(address);
        TestGateway { process, address, configuration_file, log }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the gateway accepts");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("an open socket");
        stream.set_write_timeout(Some(Duration::from_secs(20))).expect("an open socket");
        stream
    }

    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Stops the process until `resume`. Everything that arrives meanwhile is then in one batch of events.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        wait_until("the process is stopped", || process_state(self.process.id()) == Some('T'));
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for a log line that contains this text.
    pub fn wait_for_log_line(&self, text: &str) {
        let start = Instant::now();
        let mut other_lines = vec![];
        while let Ok(line) = self.log.recv_timeout(Duration::from_secs(5).saturating_sub(start.elapsed())) {
            if line.contains(text) {
                return;
            }
            other_lines.push(line);
        }
        panic!("no line with '{text}' in 5 s: {other_lines:#?}");
    }

    /// Waits until the process exits.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.process.exit_code()
    }
}

/// The state of a process as Linux reports it: `T` is stopped, `Z` has exited and has not been waited for.
pub fn process_state(process: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("the process exists");
    stat.rsplit(')').next()?.trim().chars().next()
}

/// Waits until the condition holds.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(10), "not in 10 s: {description}");
        sleep(Duration::from_millis(2));
    }
}

/// Everything that is received on a connection until it ends.
pub fn read_to_end(mut stream: TcpStream) -> String {
    let mut received = vec![];
    let _ = stream.read_to_end(&mut received); // a reset is an end too
    String::from_utf8_lossy(&received).into_owned()
}

/// A backend whose backlog is full: a connection to it is not established before the test accepts it.
pub struct FullBacklogBackend {
    pub listener: TcpListener,
    /// The connection that fills the backlog.
    filler: Option<TcpStream>,
}

impl FullBacklogBackend {
    pub fn new() -> (FullBacklogBackend, SocketAddr) {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a free port");
        socket.listen(0).expect("a bound socket");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        let filler = Some(TcpStream::connect(address).expect("the backlog holds one connection"));
        (FullBacklogBackend { listener, filler }, address)
    }

    /// Waits until the gateway tries to connect.
    pub fn wait_for_connection_attempt(&self) {
        let port = self.listener.local_addr().expect("an address").port();
        let pending = format!("0100007F:{port:04X} 02 "); // to 127.0.0.1 and this port, in state SYN-SENT
        wait_until("a connection attempt is pending", || {
            let sockets = std::fs::read_to_string("/proc/net/tcp").expect("Linux");
            sockets.lines().any(|line| line.contains(&pending))
        });
    }

    /// Accepts the connection that fills the backlog and drops it.
    pub fn free_backlog(&mut self) {
        drop(self.listener.accept().expect("the connection that fills the backlog"));
        self.filler = None;
    }

    /// Accepts the pending connection, which is established from then on.
    pub fn accept_pending(&mut self) -> TcpStream {
        self.free_backlog();
        self.listener.accept().expect("its first segment is sent again within a second").0
    }
}
