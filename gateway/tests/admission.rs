//! Admission on loopback: descriptors opened up to the limit by the real program's clients, from several addresses.
use nix::sys::resource::{setrlimit, Resource};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

mod help;
use help::{
    example_configuration, example_servers, free_listener, serve_endpoints, wait_until_ready, GatewayProcess,
};

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// A client of that address.
fn connect_from(address: [u8; 4], to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address)), 0).into())?;
    socket.connect_timeout(&to.into(), Duration::from_secs(2))?;
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    Ok(stream)
}

/// The next line that it hears; none if it is ended without one.
fn read_reply(stream: &TcpStream) -> Option<String> {
    let line = example_servers::read_reply(&mut BufReader::new(stream.try_clone().expect("a second handle")))
        .ok()?;
    (!line.is_empty()).then_some(line)
}

/// The example servers with one front door that may have so many descriptors, by its configuration and by the machine, and what its
/// operator wrote.
fn start_gateway_with(
    name: &str,
    (sockets, machine): (usize, u64),
    operator: Option<&str>,
) -> (GatewayProcess, SocketAddr, PathBuf) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let ((backend, backend_at), (counter, counter_at), (list, list_at)) =
        (free_listener(), free_listener(), free_listener());
    let (_, listen) = free_listener();
    example_servers::start_backend(backend, "a");
    example_servers::start_counter(counter);
    serve_endpoints(list, &[("a", backend_at)]);
    let configuration = example_configuration(list_at, counter_at)
        .replace("127.0.0.1:7400", &listen.to_string())
        .replace("\"sockets\": 1024", &format!("\"sockets\": {sockets}"));
    let (file, by_operator) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.toml")));
    std::fs::write(&file, configuration).expect("a file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", file).stderr(Stdio::null());
    if let Some(text) = operator {
        std::fs::write(&by_operator, text).expect("a file");
        program.env("EDGE_OPERATOR", &by_operator);
    }
    // Only a limit is set between fork and exec.
    unsafe {
        program.pre_exec(move || {
            setrlimit(Resource::RLIMIT_NOFILE, machine, machine).map_err(std::io::Error::from)
        });
    }
    let door = GatewayProcess(program.spawn().expect("the program starts"));
    wait_until_ready(&[listen]);
    (door, listen, by_operator)
}

const LIMITS: &str = "[admission]\nconnections = 90\nreserve = 30\nper_address = 80\nstrangers = 70\n\
                      new_per_second = 1000.0\nburst = 1000\nfirst_word = 30.0\nknown = [\"127.0.0.9\"]\n";

#[test]
fn at_the_limit_known_clients_are_served_and_nothing_accepted_goes_unanswered() {
    let (door, at, file) = start_gateway_with("admission", (160, 160), Some(LIMITS));
    // Taken before the flood, answered in it.
    let mut early = connect_from([127, 0, 0, 3], at).expect("room");
    early.write_all(example_servers::request("slow", 1400).as_bytes()).expect("it reads");
    sleep(Duration::from_millis(50));

    let flood: Vec<TcpStream> =
        (0..400).filter_map(|i| connect_from([127, 0, 0, 10 + (i % 5) as u8], at).ok()).collect();
    assert!(flood.len() > 300, "{} got in at the machine", flood.len());
    let before = Instant::now();
    let mut served = 0;
    for _ in 0..25 {
        let mut known = connect_from([127, 0, 0, 9], at).expect("the reserve");
        known.write_all(PING).expect("it reads");
        served += usize::from(read_reply(&known).as_deref() == Some("+PONG"));
        known.write_all(example_servers::request("look", 1000).as_bytes()).expect("it reads");
        served +=
            usize::from(read_reply(&known).is_some_and(|said| said == "a look" || said.starts_with("-BUSY")));
    }
    assert_eq!(served, 50, "a known client is served in the flood");
    assert!(before.elapsed() < Duration::from_secs(5), "{:?}", before.elapsed());
    assert_eq!(read_reply(&early).as_deref(), Some("a slow"), "what was taken before is answered");

    // Everyone else hears why not, or is held and served; who said nothing may have been ended for a known one.
    let (mut rejected, mut ended, mut held) = (0, 0, 0);
    for stream in &flood {
        let mut to = stream;
        let _ = to.write_all(PING); // it may have been ended before that
        match read_reply(stream) {
            Some(said) if said.starts_with("-ERR ") => rejected += 1,
            Some(said) if said == "+PONG" => held += 1,
            Some(said) => panic!("{said}"),
            None => ended += 1,
        }
    }
    assert!(
        rejected + ended + held == flood.len() && held + ended <= 70,
        "{rejected} rejected, {ended} ended, {held} held"
    );
    assert!(held >= 20, "{held} held");

    // Lowered below what is open, then raised: read again, in force at once; a wrong file changes nothing.
    let pid = Pid::from_raw(i32::try_from(door.0.id()).expect("a process id"));
    drop(flood);
    let keeps: Vec<TcpStream> = (0..40).map(|_| connect_from([127, 0, 0, 9], at).expect("room")).collect();
    sleep(Duration::from_millis(100));
    for (text, may) in [
        ("[admission]\nconnections = 10\n", false),
        ("[admission]\nconnections = 0\n", false),
        ("[admission]\nconnections = 90\n", true),
    ] {
        std::fs::write(&file, text).expect("a file");
        kill(pid, Signal::SIGHUP).expect("it runs");
        sleep(Duration::from_millis(150));
        let mut new = connect_from([127, 0, 0, 30], at).expect("at the machine");
        let _ = new.write_all(PING); // it may be turned away before that
        assert_eq!(read_reply(&new).as_deref() == Some("+PONG"), may, "{text}");
    }
    drop(keeps);
    kill(pid, Signal::SIGTERM).expect("it runs");
}

/// Fewer descriptors than the configuration says: the machine's word counts, without a spin, and the front door goes on once
/// there are some again.
#[test]
fn out_of_descriptors_it_waits_without_a_spin_and_goes_on() {
    let (door, at, _) = start_gateway_with("descriptors", (400, 60), None);
    let mut early = connect_from([127, 0, 0, 3], at).expect("room");
    early.write_all(example_servers::request("look", 1000).as_bytes()).expect("it reads");
    assert_eq!(read_reply(&early).as_deref(), Some("a look"));
    let flood: Vec<TcpStream> = (0..120).filter_map(|_| connect_from([127, 0, 0, 4], at).ok()).collect();
    sleep(Duration::from_millis(200));
    let used = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", door.0.id())).expect("it runs");
        let fields: Vec<&str> = stat.rsplit(')').next().expect("its name").split_whitespace().collect();
        fields[11..13].iter().map(|f| f.parse::<u64>().expect("ticks")).sum::<u64>()
    };
    let before = used();
    sleep(Duration::from_secs(1));
    let ticks = used() - before;
    assert!(ticks < 30, "{ticks} hundredths of a second of processor time in one second of waiting");
    drop(flood);
    sleep(Duration::from_millis(300));
    let mut late = connect_from([127, 0, 0, 3], at).expect("room again");
    late.write_all(PING).expect("it reads");
    assert_eq!(read_reply(&late).as_deref(), Some("+PONG"));
    let mut rest = String::new();
    late.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
    let _ = late.read_to_string(&mut rest); // it times out
    assert_eq!(rest, "", "nothing after it");
}

#[test]
fn a_wrong_file_is_named_with_all_that_is_wrong() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let ((_, list_at), (_, counter_at)) = (free_listener(), free_listener());
    let (file, by_operator) = (folder.join("wrong.json"), folder.join("wrong.toml"));
    std::fs::write(&file, example_configuration(list_at, counter_at)).expect("a file");
    std::fs::write(&by_operator, "[admission]\nconnections = 5000\nstrangers = 0\n").expect("a file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", file).env("EDGE_OPERATOR", &by_operator).stderr(Stdio::piped());
    let said = program.spawn().expect("the program starts").wait_with_output().expect("it ends");
    let text = String::from_utf8_lossy(&said.stderr).replace(&*by_operator.to_string_lossy(), "FILE");
    assert_eq!(
        (said.status.code(), text.trim()),
        (
            Some(1),
            "quillramp: FILE: line 2: admission.connections: expected 1 to 960, as 1024 descriptors are allowed and 64 \
             serve else, found 5000; FILE: line 3: admission.strangers: expected 1 to 5000, found 0"
        )
    );
}
