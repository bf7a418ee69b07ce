//! The handover from a gateway process to the next one, on loopback: both inherit one listening socket and
//! share a file.
use nix::sys::signal::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::Duration;

mod common;
use common::{
    admin_call, empty_directory, free_listener, gateway_command, process_state, unique_address, wait_until,
    GatewayProcess, PING,
};

/// Name of the file that the processes of one gateway instance share, in the directory that `TMPDIR` names.
const SHARED_FILE: &str = "quillramp-n0.json";

/// Returns the command that starts a process with this address for operators' calls. The initial endpoint
/// list has the backend `s-a`; the configuration and the shared file are in this directory.
fn command(directory: &Path, admin_address: &str) -> Command {
    let configuration =
        include_str!("../../examples/configuration.json").replace("127.0.0.1:7403", "127.0.0.1:0").replace(
            r#""endpoints": []"#,
            r#""endpoints": [{"name": "s-a", "address": "127.0.0.1:9", "zone": "z", "group": 0,
            "status": "SERVING", "weight": 1.0, "since_ms": 0}]"#,
        );
    let file = configuration_file(directory);
    std::fs::write(&file, configuration).expect("the configuration file is written");
    let mut command = gateway_command(&file);
    command.env("TMPDIR", directory).env("EDGE_MGMT", admin_address).stderr(Stdio::piped());
    command
}

fn configuration_file(directory: &Path) -> PathBuf {
    directory.join("configuration.json")
}

/// Makes child processes inherit this descriptor.
fn make_inheritable(descriptor: impl AsFd) {
    let no_flags = nix::fcntl::FcntlArg::F_SETFD(nix::fcntl::FdFlag::empty());
    nix::fcntl::fcntl(descriptor, no_flags).expect("an open descriptor");
}

/// An upgrade: processes of one instance that listen on one socket and share a directory.
struct Upgrade {
    directory: PathBuf,
    listener: TcpListener,
    address: SocketAddr,
}

impl Upgrade {
    fn new(name: &str) -> Upgrade {
        let (listener, address) = free_listener();
        make_inheritable(&listener);
        Upgrade { directory: empty_directory(name), listener, address }
    }

    /// Starts a process that listens on the shared socket, and waits until it serves.
    fn start_process(&self) -> UpgradeProcess {
        let admin_address = unique_address(7404);
        let mut command = command(&self.directory, &admin_address.to_string());
        command.env("EDGE_PASSED_SOCKET", self.listener.as_raw_fd().to_string());
        let process = UpgradeProcess { process: GatewayProcess::spawn(&mut command), admin_address };
        assert_eq!(process.admin_call("GET /healthcheck"), "200 serving");
        process
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the shared socket listens")
    }
}

/// A process that listens on the shared socket.
struct UpgradeProcess {
    process: GatewayProcess,
    admin_address: SocketAddr,
}

impl UpgradeProcess {
    fn admin_call(&self, request_line: &str) -> String {
        admin_call(self.admin_address, request_line)
    }

    /// Waits for the process to exit with code 0, and returns its log.
    fn exit_log(&mut self) -> String {
        assert_eq!(self.process.exit_code(), Some(0));
        self.process.read_log()
    }
}

fn ping(stream: &mut TcpStream) -> String {
    stream.write_all(PING).expect("the gateway accepts input");
    let mut reply = [0; 64];
    let length = stream.read(&mut reply).expect("the gateway replies");
    String::from_utf8_lossy(&reply[..length]).trim().to_owned()
}

fn assert_closed(stream: &mut TcpStream) {
    assert_eq!(stream.read(&mut [0]).expect("the connection is closed without a reset"), 0);
}

#[test]
fn the_next_process_takes_over_the_listener_and_the_ejections_by_operators() {
    let upgrade = Upgrade::new("takes-over");
    let mut old = upgrade.start_process();
    let (mut active, mut idle) = (upgrade.connect(), upgrade.connect());
    assert_eq!(ping(&mut active), "+PONG");
    assert_eq!(old.admin_call("POST /backends/s-a/maint"), "200 done");

    let new = upgrade.start_process();
    assert!(
        new.admin_call("GET /stats").contains(r#""members":1,"members_unavailable":1"#),
        "the new process has the operator's ejection"
    );
    // An operator's call to the new process takes effect in the old one too.
    assert_eq!(new.admin_call("POST /backends/s-a/ready"), "200 done");
    sleep(Duration::from_millis(300));
    assert!(old.admin_call("GET /stats").contains(r#""members_unavailable":0"#));

    old.process.signal(Signal::SIGTERM);
    sleep(Duration::from_millis(100));
    assert!(old.admin_call("GET /healthcheck").starts_with("503"));
    assert_closed(&mut active);
    // The old process still serves a connection without a command so far, and new connections are accepted by
    // the new process.
    for _ in 0..20 {
        assert_eq!(ping(&mut upgrade.connect()), "+PONG");
    }
    assert_eq!(ping(&mut idle), "+PONG");
    assert_closed(&mut idle);
    assert_eq!(old.process.exit_code(), Some(0));
    assert_eq!(ping(&mut upgrade.connect()), "+PONG");
    drop(new);
}

/// Guards against a handover to a new process that has exited but is still a zombie. It counted as running,
/// so the old process stopped accepting on SIGTERM, and no process accepted clients.
#[test]
fn the_listener_is_not_handed_over_to_a_process_that_has_exited() {
    let upgrade = Upgrade::new("died");
    let mut old = upgrade.start_process();
    let new = upgrade.start_process();
    new.process.signal(Signal::SIGKILL);
    wait_until("the new process has exited", || process_state(new.process.id()) == Some('Z'));
    old.process.signal(Signal::SIGTERM);
    wait_until("the old process drains", || old.admin_call("GET /healthcheck").starts_with("503"));
    let mut late_client = upgrade.connect();
    late_client.set_read_timeout(Some(Duration::from_secs(5))).expect("an open socket");
    assert_eq!(ping(&mut late_client), "-ERR draining", "the old process still accepts");
    drop((late_client, new));
    let log = old.exit_log();
    assert!(
        log.contains("shutting down: still serving") && !log.contains("the next process accepts"),
        "{log}"
    );
}

/// Guards against a reused process id: an unrelated process with the id of a gateway process that had exited
/// counted as the next gateway process.
#[test]
fn the_listener_is_not_handed_over_to_a_process_with_a_reused_id() {
    let upgrade = Upgrade::new("reused-id");
    // The id of the process that runs this test, with another start time.
    let stale = format!(r#"{{"serves": {}, "since": 1}}"#, std::process::id());
    std::fs::write(upgrade.directory.join(SHARED_FILE), stale).expect("the shared file is written");
    let mut only = upgrade.start_process();
    only.process.signal(Signal::SIGTERM);
    let log = only.exit_log();
    assert!(!log.contains("another process"), "{log}");
}

/// Runs a program that fails at startup, and returns its output, which must be a single line.
fn startup_failure(command: &mut Command) -> String {
    let output = command.output().expect("the program starts");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), text.lines().count()), (Some(1), 1), "{text}");
    text.trim().to_owned()
}

#[test]
fn an_invalid_inherited_socket_or_admin_address_is_reported_in_one_line() {
    let directory = empty_directory("invalid-passed-socket");
    let file = std::fs::File::create(directory.join("plain")).expect("a regular file is created");
    make_inheritable(&file);
    for (descriptor, reason) in [
        ("x", "expected a descriptor number above 2"),
        ("0", "expected a descriptor number above 2"),
        ("977", "EBADF"),
        (&file.as_raw_fd().to_string(), "non-socket"),
    ] {
        let mut command = command(&directory, "127.0.0.1:0");
        let line = startup_failure(command.env("EDGE_PASSED_SOCKET", descriptor)).to_lowercase();
        assert!(line.contains(&reason.to_lowercase()), "{line}");
    }
    let (_listener, address_in_use) = free_listener();
    for admin_address in ["here", &address_in_use.to_string()] {
        startup_failure(&mut command(&directory, admin_address));
    }
}

#[test]
fn an_unreadable_shared_file_does_not_prevent_a_start_and_admin_calls_are_answered() {
    let directory = empty_directory("unreadable-shared-file");
    std::fs::write(directory.join(SHARED_FILE), "{\"out\": 3").expect("the shared file is written");
    let (admin_address, address) = (unique_address(7404), unique_address(7400));
    let mut command = command(&directory, &admin_address.to_string());
    let file = configuration_file(&directory);
    let configuration = std::fs::read_to_string(&file).expect("the configuration file is read");
    std::fs::write(&file, configuration.replace("127.0.0.1:7400", &address.to_string()))
        .expect("the configuration file is written");
    let _process = GatewayProcess::spawn(&mut command);
    assert_eq!(admin_call(admin_address, "GET /healthcheck"), "200 serving");
    assert!(admin_call(admin_address, "POST /backends/s-b/maint").starts_with("404"));
    assert_eq!(admin_call(admin_address, "POST /backends/s%2Da/maint"), "200 done");
    assert_eq!(admin_call(admin_address, "GET /backends/s-a/maint"), "405 no such call");
}
