//! The real program and its next version on loopback: one listening socket, one folder for what both must know.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::Duration;

mod help;
use help::{connect_when_listening, free_listener, own_address, GatewayProcess};

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn program(folder: &Path, mgmt: &str) -> Command {
    let configuration =
        include_str!("../../examples/configuration.json").replace("127.0.0.1:7403", "127.0.0.1:0").replace(
            r#""endpoints": []"#,
            r#""endpoints": [{"name": "s-a", "address": "127.0.0.1:9", "zone": "z", "group": 0,
            "status": "SERVING", "weight": 1.0, "since_ms": 0}]"#,
        );
    let file = folder.join("told.json");
    std::fs::write(&file, configuration).expect("a file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", file).env("TMPDIR", folder).env("EDGE_MGMT", mgmt).stderr(Stdio::piped());
    program
}

/// A listening socket that the processes started here inherit.
fn inherited_listener() -> (TcpListener, SocketAddr) {
    let (listener, listen) = free_listener();
    nix::fcntl::fcntl(&listener, nix::fcntl::FcntlArg::F_SETFD(nix::fcntl::FdFlag::empty()))
        .expect("inherited");
    (listener, listen)
}

/// A process of the front door that accepts on it.
fn start_on(listener: &TcpListener, folder: &Path, mgmt: SocketAddr) -> GatewayProcess {
    let mut program = program(folder, &mgmt.to_string());
    let fd = listener.as_raw_fd().to_string();
    GatewayProcess(program.env("EDGE_PASSED_SOCKET", fd).spawn().expect("the program starts"))
}

fn terminate(process: &GatewayProcess) {
    kill(Pid::from_raw(process.0.id() as i32), Signal::SIGTERM).expect("it runs");
}

/// What an operator's call gets: the status and the body.
fn admin_call(at: SocketAddr, call: &str) -> String {
    let mut to = connect_when_listening(at);
    write!(to, "{call} HTTP/1.1\r\nHost: x\r\n\r\n").expect("it reads");
    let mut said = String::new();
    to.read_to_string(&mut said).expect("it ends");
    let status = said.split(' ').nth(1).unwrap_or("none").to_owned();
    status + " " + said.split("\r\n\r\n").nth(1).unwrap_or("").trim()
}

fn ping(to: &mut TcpStream) -> String {
    to.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it reads");
    let mut said = [0; 64];
    let n = to.read(&mut said).expect("it answers");
    String::from_utf8_lossy(&said[..n]).trim().to_owned()
}

#[test]
fn the_next_version_takes_over_the_socket_and_the_bans() {
    let folder = folder("takes-over");
    let (listener, listen) = inherited_listener();
    let start = |mgmt: SocketAddr| start_on(&listener, &folder, mgmt);
    let (first, second) = (own_address(7404), own_address(7404));
    let mut old = start(first);
    assert_eq!(admin_call(first, "GET /healthcheck"), "200 serving");
    let connect = || TcpStream::connect(listen).expect("it listens");
    let (mut kept, mut silent) = (connect(), connect());
    assert_eq!(ping(&mut kept), "+PONG");
    assert_eq!(admin_call(first, "POST /backends/s-a/maint"), "200 done");

    let new = start(second);
    assert_eq!(admin_call(second, "GET /healthcheck"), "200 serving");
    assert!(
        admin_call(second, "GET /stats").contains(r#""members":1,"members_unavailable":1"#),
        "the ban came along"
    );
    // A call at the new one reaches the old one too.
    assert_eq!(admin_call(second, "POST /backends/s-a/ready"), "200 done");
    sleep(Duration::from_millis(300));
    assert!(admin_call(first, "GET /stats").contains(r#""members_unavailable":0"#));
    terminate(&old);
    sleep(Duration::from_millis(100));
    assert!(admin_call(first, "GET /healthcheck").starts_with("503"));
    assert_eq!(kept.read(&mut [0]).expect("an end"), 0, "ended between two commands");
    // What nobody had asked anything on is still served, and each new one finds a process that listens.
    for _ in 0..20 {
        assert_eq!(ping(&mut connect()), "+PONG");
    }
    assert_eq!(ping(&mut silent), "+PONG");
    assert_eq!(silent.read(&mut [0]).expect("an end"), 0);
    assert_eq!(old.0.wait().expect("it ends").code(), Some(0));
    assert_eq!(ping(&mut connect()), "+PONG");
    drop(new);
}

/// Guards: a next version that had died and was not yet looked after by its parent counted as there: told to stop, the old one left
/// the socket to it at once, and nobody accepted. A process that only has the number of one that is long gone is not it either.
#[test]
fn nothing_is_handed_over_to_a_process_that_has_died() {
    let folder = folder("died");
    let (listener, listen) = inherited_listener();
    let start = |mgmt: SocketAddr| start_on(&listener, &folder, mgmt);
    let logs = |process: &mut GatewayProcess| {
        assert_eq!(process.0.wait().expect("it ends").code(), Some(0));
        let mut said = String::new();
        process.0.stderr.take().expect("piped").read_to_string(&mut said).expect("text");
        said
    };
    // Told of a process with the number of this test's, which started at another time.
    let stale = format!(r#"{{"serves": {}, "since": 1}}"#, std::process::id());
    std::fs::write(folder.join("quillramp-n0.json"), stale).expect("a file");
    let (alone, first, second) = (own_address(7404), own_address(7404), own_address(7404));
    let mut process = start(alone);
    assert_eq!(admin_call(alone, "GET /healthcheck"), "200 serving");
    terminate(&process);
    let said = logs(&mut process);
    assert!(!said.contains("another process"), "{said}");

    let mut old = start(first);
    assert_eq!(admin_call(first, "GET /healthcheck"), "200 serving");
    let new = start(second);
    assert_eq!(admin_call(second, "GET /healthcheck"), "200 serving");
    // It dies, and nobody has looked yet.
    kill(Pid::from_raw(new.0.id() as i32), Signal::SIGKILL).expect("it runs");
    help::wait_until("it has died", || help::process_state(new.0.id()) == Some('Z'));
    terminate(&old);
    help::wait_until("it has heard", || admin_call(first, "GET /healthcheck").starts_with("503"));
    let mut late = TcpStream::connect(listen).expect("somebody listens");
    late.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    assert_eq!(ping(&mut late), "-ERR draining", "the old one still accepts");
    drop((late, new));
    let said = logs(&mut old);
    assert!(
        said.contains("shutting down: serving on") && !said.contains("the next process accepts"),
        "{said}"
    );
}

#[test]
fn what_is_passed_and_kept_wrongly_is_said_in_one_line() {
    let folder = folder("wrongly");
    let said = |program: &mut Command| {
        let output = program.output().expect("it runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), text.lines().count()), (Some(1), 1), "{text}");
        text.trim().to_owned()
    };
    let file = std::fs::File::create(folder.join("plain")).expect("a file");
    nix::fcntl::fcntl(&file, nix::fcntl::FcntlArg::F_SETFD(nix::fcntl::FdFlag::empty())).expect("inherited");
    for (fd, why) in [
        ("x", "is no descriptor"),
        ("0", "is no descriptor"),
        ("977", "EBADF"),
        (&file.as_raw_fd().to_string(), "non-socket"),
    ] {
        let line = said(program(&folder, "127.0.0.1:0").env("EDGE_PASSED_SOCKET", fd)).to_lowercase();
        assert!(line.contains(&why.to_lowercase()), "{line}");
    }
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = taken.local_addr().expect("an address").to_string();
    for mgmt in ["here", at.as_str()] {
        said(&mut program(&folder, mgmt));
    }
    // A spoilt file stops nothing.
    std::fs::write(folder.join("quillramp-n0.json"), "{\"out\": 3").expect("a file");
    let (mgmt, listen) = (free_listener().1, free_listener().1);
    let mut program = program(&folder, &mgmt.to_string());
    let configuration = std::fs::read_to_string(folder.join("told.json")).expect("written");
    std::fs::write(folder.join("told.json"), configuration.replace("127.0.0.1:7400", &listen.to_string()))
        .expect("a file");
    let _door = GatewayProcess(program.spawn().expect("the program starts"));
    assert_eq!(admin_call(mgmt, "GET /healthcheck"), "200 serving");
    assert!(admin_call(mgmt, "POST /backends/s-b/maint").starts_with("404"));
    assert_eq!(admin_call(mgmt, "POST /backends/s%2Da/maint"), "200 done");
    assert_eq!(admin_call(mgmt, "GET /backends/s-a/maint"), "405 no such call");
}
