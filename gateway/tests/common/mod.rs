//! Helpers for the tests that run the `quillramp` program on loopback. Each test uses some of them.
#![allow(dead_code)]
use nix::sys::resource::{setrlimit, Resource};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::ffi::OsString;
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
/// The initial endpoint list in the example configuration.
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
        let id = i32::try_from(self.id()).expect("a process ID fits in 32 bits");
        kill(Pid::from_raw(id), signal).expect("the process exists");
    }

    /// Waits until the process exits; returns its exit code, or `None` if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().expect("the process exits").code()
    }

    /// Waits until the process closes its standard error, which must be a pipe; returns the text written to
    /// it.
    pub fn read_log(&mut self) -> String {
        let mut log = String::new();
        self.child
            .stderr
            .take()
            .expect("standard error is a pipe")
            .read_to_string(&mut log)
            .expect("the log is UTF-8");
        log
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // the process may have exited already
        let _ = self.child.wait();
    }
}

/// Returns a listener on a free port of 127.0.0.1, and its address.
pub fn free_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// Returns an address that no other test uses. A port of 127.0.0.1 that was free a moment ago may have been
/// taken by another test.
pub fn unique_address(port: u16) -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id() % (250 * 250);
    let [high, low] = [process / 250, process % 250].map(|part| part as u8);
    SocketAddr::from(([127, 1 + high, 1 + low, NEXT.fetch_add(1, Ordering::Relaxed)], port))
}

/// Creates an empty directory for this test.
pub fn empty_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&directory); // fails if there is none from an earlier run
    std::fs::create_dir_all(&directory).expect("the directory is created");
    directory
}

/// Connects to this address, with retries for up to 10 s until the connection is accepted.
pub fn connect_when_listening(address: SocketAddr) -> TcpStream {
    let start = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(error) => assert!(
                start.elapsed() < Duration::from_secs(10),
                "no connection to {address} within 10 s: {error}"
            ),
        }
        sleep(Duration::from_millis(10));
    }
}

/// Returns the command that runs a gateway instance with this configuration file.
pub fn gateway_command(configuration: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    command.env("EDGE_CONFIG", configuration);
    command
}

/// Starts a gateway instance with a pipe as its standard error, to which it logs.
pub fn start_gateway(configuration: &Path) -> GatewayProcess {
    GatewayProcess::spawn(gateway_command(configuration).stderr(Stdio::piped()))
}

/// Returns the status code and the body of the response to an operator's call.
pub fn admin_call(address: SocketAddr, request_line: &str) -> String {
    let mut stream = connect_when_listening(address);
    write!(stream, "{request_line} HTTP/1.1\r\nHost: x\r\n\r\n").expect("the gateway accepts input");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the response is complete");
    let status = response.split(' ').nth(1).unwrap_or("none").to_owned();
    status + " " + response.split("\r\n\r\n").nth(1).unwrap_or("").trim()
}

/// Waits until all instances accept connections, and 200 ms more for their endpoint lists.
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

/// Returns the endpoint list with these backends, as the list service sends it.
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

/// Returns the example configuration with these addresses of the list service and the counter, and without an
/// address for operators' calls.
pub fn example_configuration(list_service: SocketAddr, counter: SocketAddr) -> String {
    include_str!("../../../examples/configuration.json")
        .replace("127.0.0.1:7401", &list_service.to_string())
        .replace("127.0.0.1:7402", &counter.to_string())
        .replace("127.0.0.1:7403", "127.0.0.1:0")
        .replace("\"mgmt\": \"127.0.0.1:7404\",", "")
}

/// Addresses of the services that an instance under test uses.
pub struct ServiceAddresses {
    pub list_service: SocketAddr,
    pub counter: SocketAddr,
}

/// Starts a counter and a list service with these backends.
pub fn start_services(backends: &[ListedBackend]) -> ServiceAddresses {
    let (counter, counter_address) = free_listener();
    let (list_service, list_service_address) = free_listener();
    example_servers::start_counter(counter);
    serve_endpoints(list_service, backends);
    ServiceAddresses { list_service: list_service_address, counter: counter_address }
}

/// Starts an example backend with this name.
pub fn start_listed_backend(name: &'static str) -> ListedBackend {
    let (listener, address) = free_listener();
    example_servers::start_backend(listener, name);
    ListedBackend { name, address }
}

/// Starts a backend that never replies; returns a channel that receives each complete command.
pub fn unresponsive_backend(listener: TcpListener) -> Receiver<Vec<String>> {
    let (sender, commands) = channel();
    example_servers::serve_connections(listener, move |stream| {
        let mut reader = BufReader::new(stream);
        while let Some(items) = example_servers::read_command(&mut reader)? {
            let _ = sender.send(items); // fails if the test is over
        }
        Ok(())
    });
    commands
}

/// Starts an instance with one backend in its initial endpoint list.
pub fn gateway_with_backend(
    name: &str,
    address: SocketAddr,
    change: impl Fn(String) -> String,
) -> TestGateway {
    let backend = ListedBackend { name: "a", address };
    let (list_service, list_service_address) = free_listener();
    serve_endpoints(list_service, &[backend]);
    TestGateway::start(name, list_service_address, |configuration| {
        change(with_initial_backends(&configuration, &[backend]))
    })
}

pub fn unchanged(configuration: String) -> String {
    configuration
}

pub fn send_request(client: &mut TcpStream, operation: &str, timeout_ms: u64) {
    let request = example_servers::request(operation, timeout_ms);
    client.write_all(request.as_bytes()).expect("the gateway accepts input");
}

/// Makes the process that this command starts run with a limit on its descriptors.
pub fn limit_descriptors(command: &mut Command, limit: u64) {
    let set_limit = move || setrlimit(Resource::RLIMIT_NOFILE, limit, limit).map_err(std::io::Error::from);
    // SAFETY: between fork and exec, the closure only sets a resource limit.
    unsafe {
        command.pre_exec(set_limit);
    }
}

/// Returns the configuration with these backends in the initial endpoint list.
pub fn with_initial_backends(configuration: &str, backends: &[ListedBackend]) -> String {
    configuration.replace(EMPTY_ENDPOINT_LIST, &endpoint_list(backends))
}

/// Sends requests on a new connection; returns this number of replies, one per line.
pub fn exchange(address: SocketAddr, requests: &str, reply_count: usize) -> String {
    let mut stream = TcpStream::connect(address).expect("the gateway accepts the connection");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("an open socket");
    let mut reader = BufReader::new(stream.try_clone().expect("the socket handle is duplicated"));
    stream.write_all(requests.as_bytes()).expect("the gateway accepts input");
    let reply = |_| example_servers::read_reply(&mut reader).expect("the gateway replies") + "\n";
    (0..reply_count).map(reply).collect()
}

/// Reads the next reply. Bytes that were received after it are lost.
pub fn read_reply(stream: &TcpStream) -> String {
    example_servers::read_reply(&mut BufReader::new(stream)).expect("the gateway replies")
}

/// A gateway instance with an example counter. The test can pause its process, send it signals and read its
/// log. The list service is up to the caller.
pub struct TestGateway {
    pub process: GatewayProcess,
    pub address: SocketAddr,
    pub configuration_file: PathBuf,
    /// Receives the lines of its log as they are written.
    pub log: Receiver<String>,
}

impl TestGateway {
    /// Starts an instance with this list service and with the example configuration as changed by `change`.
    pub fn start(name: &str, list_service: SocketAddr, change: impl Fn(String) -> String) -> TestGateway {
        TestGateway::start_with(name, list_service, &[], change)
    }

    /// Starts an instance in the same way, with these additional environment variables.
    pub fn start_with(
        name: &str,
        list_service: SocketAddr,
        environment: &[(&str, OsString)],
        change: impl Fn(String) -> String,
    ) -> TestGateway {
        let (counter, counter_address) = free_listener();
        example_servers::start_counter(counter);
        let address = unique_address(7400);
        let configuration = example_configuration(list_service, counter_address)
            .replace("127.0.0.1:7400", &address.to_string());
        let configuration_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("gateway-{name}.json"));
        std::fs::write(&configuration_file, change(configuration))
            .expect("the configuration file is written");
        // Operators' changes are saved in this directory.
        let directory = empty_directory(&format!("gateway-{name}"));
        let mut command = gateway_command(&configuration_file);
        command.env("TMPDIR", directory).envs(environment.iter().cloned());
        let mut process = GatewayProcess::spawn(command.stderr(Stdio::piped()));
        let (sender, log) = channel();
        let lines = BufReader::new(process.child.stderr.take().expect("standard error is a pipe")).lines();
        spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        connect_when_listening(address);
        TestGateway { process, address, configuration_file, log }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the gateway accepts the connection");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("an open socket");
        stream.set_write_timeout(Some(Duration::from_secs(20))).expect("an open socket");
        stream
    }

    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Stops the process until `resume`. The process then handles everything that arrived meanwhile in one batch
    /// of events.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        wait_until("the process is stopped", || process_state(self.process.id()) == Some('T'));
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits up to 5 s for a log line that contains this text.
    pub fn wait_for_log_line(&self, text: &str) {
        let start = Instant::now();
        let mut other_lines = vec![];
        while let Ok(line) = self.log.recv_timeout(Duration::from_secs(5).saturating_sub(start.elapsed())) {
            if line.contains(text) {
                return;
            }
            other_lines.push(line);
        }
        panic!("expected a log line with '{text}' within 5 s, found {other_lines:#?}");
    }

    /// Waits until the process exits; returns its exit code, or `None` if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.process.exit_code()
    }
}

/// Returns the state of a process as Linux reports it: `T` if it is stopped, `Z` if it has exited and its
/// parent has not waited for it.
pub fn process_state(process: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("the process exists");
    stat.rsplit(')').next()?.trim().chars().next()
}

/// Waits up to 10 s until the condition holds.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(10), "condition not met within 10 s: {description}");
        sleep(Duration::from_millis(2));
    }
}

/// Returns everything that is received on a connection until it is closed or reset.
pub fn read_to_end(mut stream: TcpStream) -> String {
    let mut received = vec![];
    let _ = stream.read_to_end(&mut received); // fails if the connection is reset
    String::from_utf8_lossy(&received).into_owned()
}

/// A backend whose listen backlog is full: a connection to it is not established until the test frees the
/// backlog.
pub struct FullBacklogBackend {
    pub listener: TcpListener,
    /// The connection that fills the backlog.
    filler: Option<TcpStream>,
}

impl FullBacklogBackend {
    /// Returns a backend that listens on a free port, and its address.
    pub fn new() -> (FullBacklogBackend, SocketAddr) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket is created");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
        socket.bind(&any.into()).expect("a free port");
        socket.listen(0).expect("a bound socket");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("the listener has an address");
        let filler = Some(TcpStream::connect(address).expect("the backlog holds one connection"));
        (FullBacklogBackend { listener, filler }, address)
    }

    /// Waits until the gateway attempts to connect.
    pub fn wait_for_connection_attempt(&self) {
        let port = self.listener.local_addr().expect("the listener has an address").port();
        let pending = format!("0100007F:{port:04X} 02 "); // to 127.0.0.1 and this port, in state SYN-SENT
        wait_until("a connection attempt is pending", || {
            let sockets = std::fs::read_to_string("/proc/net/tcp").expect("Linux lists its sockets");
            sockets.lines().any(|line| line.contains(&pending))
        });
    }

    /// Accepts and closes the connection that fills the backlog.
    pub fn free_backlog(&mut self) {
        drop(self.listener.accept().expect("the connection that fills the backlog"));
        self.filler = None;
    }

    /// Frees the backlog and accepts the pending connection, which is established only then.
    pub fn accept_pending(&mut self) -> TcpStream {
        self.free_backlog();
        self.listener.accept().expect("its first segment is retransmitted within a second").0
    }
}
