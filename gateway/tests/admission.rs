//! Admission at a gateway on loopback: clients with several addresses open connections until no descriptor is
//! left.
use nix::sys::signal::Signal;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::thread::sleep;
use std::time::{Duration, Instant};

mod common;
use common::example_servers::{self, request};
use common::{
    example_configuration, gateway_command, limit_descriptors, start_listed_backend, start_services,
    unique_address, wait_until_ready, GatewayProcess, ServiceAddresses, PING,
};

/// The address that `LIMITS` lists as known.
const KNOWN_CLIENT: [u8; 4] = [127, 0, 0, 9];
/// An operator file with limits on connections.
const LIMITS: &str = "[admission]\nconnections = 90\nreserve = 30\nper_address = 80\nstrangers = 70\n\
                      new_per_second = 1000.0\nburst = 1000\nfirst_word = 30.0\nknown = [\"127.0.0.9\"]\n";
/// Maximum number of connections of unknown clients, under `LIMITS`.
const MAX_UNKNOWN_CONNECTIONS: usize = 70;

/// Connects from this client address.
fn connect_from(client: [u8; 4], gateway: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(IpAddr::V4(Ipv4Addr::from(client)), 0).into())?;
    socket.connect_timeout(&gateway.into(), Duration::from_secs(2))?;
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    Ok(stream)
}

/// Returns the next reply; `None` if the connection ends without one.
fn read_reply(stream: &TcpStream) -> Option<String> {
    let reply = example_servers::read_reply(&mut std::io::BufReader::new(stream)).ok()?;
    (!reply.is_empty()).then_some(reply)
}

/// Limits on the descriptors of an instance.
struct DescriptorLimits {
    /// The limit in its configuration.
    configured: usize,
    /// The resource limit of its process.
    process: u64,
}

/// One instance with a backend, a counter and a list service.
struct LimitedGateway {
    process: GatewayProcess,
    address: SocketAddr,
    operator_file: PathBuf,
}

impl LimitedGateway {
    fn start(name: &str, limits: DescriptorLimits, operator_settings: Option<&str>) -> LimitedGateway {
        let ServiceAddresses { list_service, counter } = start_services(&[start_listed_backend("a")]);
        let address = unique_address(7400);
        let configuration = example_configuration(list_service, counter)
            .replace("127.0.0.1:7400", &address.to_string())
            .replace("\"sockets\": 1024", &format!("\"sockets\": {}", limits.configured));
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let configuration_file = directory.join(format!("{name}.json"));
        let operator_file = directory.join(format!("{name}.toml"));
        std::fs::write(&configuration_file, configuration).expect("the configuration file is written");
        let mut command = gateway_command(&configuration_file);
        if let Some(settings) = operator_settings {
            std::fs::write(&operator_file, settings).expect("the operator file is written");
            command.env("EDGE_OPERATOR", &operator_file);
        }
        limit_descriptors(&mut command, limits.process);
        let process = GatewayProcess::spawn(command.stderr(Stdio::null()));
        wait_until_ready(&[address]);
        LimitedGateway { process, address, operator_file }
    }

    fn connect_from(&self, client: [u8; 4]) -> std::io::Result<TcpStream> {
        connect_from(client, self.address)
    }

    /// Opens connections from five unknown addresses, far more than are admitted.
    fn flood(&self) -> Vec<TcpStream> {
        let unknown = |i| [127, 0, 0, 10 + (i % 5) as u8];
        let flood: Vec<TcpStream> = (0..400).filter_map(|i| self.connect_from(unknown(i)).ok()).collect();
        assert!(flood.len() > 300, "the operating system established {} connections", flood.len());
        flood
    }

    fn reload_operator_file(&self, settings: &str) {
        std::fs::write(&self.operator_file, settings).expect("the operator file is written");
        self.process.signal(Signal::SIGHUP);
        sleep(Duration::from_millis(150));
    }

    /// Returns the processor time that the process has used, in hundredths of a second.
    fn processor_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id()))
            .expect("the process is running");
        let after_name = stat.rsplit(')').next().expect("fields follow the process name");
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let (user, system) = (fields[11], fields[12]);
        [user, system].iter().map(|ticks| ticks.parse::<u64>().expect("the field is a number")).sum()
    }
}

/// Numbers of connections of unknown clients, by their outcome.
#[derive(Debug, Default)]
struct FloodOutcome {
    /// Rejected with an error that states the reason.
    rejected: usize,
    /// Closed without a reply; an idle connection may be closed in favour of a known client.
    closed: usize,
    /// Admitted and served.
    served: usize,
}

/// Sends a `PING` on each connection; returns the outcomes.
fn ping_all(clients: &[TcpStream]) -> FloodOutcome {
    let mut outcome = FloodOutcome::default();
    for stream in clients {
        let mut writer = stream;
        let _ = writer.write_all(PING); // the connection may be closed already
        match read_reply(stream) {
            Some(reply) if reply.starts_with("-ERR ") => outcome.rejected += 1,
            Some(reply) if reply == "+PONG" => outcome.served += 1,
            Some(reply) => panic!("expected +PONG or an error, found {reply}"),
            None => outcome.closed += 1,
        }
    }
    outcome
}

/// Connects as a known client and sends two requests; returns how many of them were served.
fn requests_served_to_known_client(gateway: &LimitedGateway) -> usize {
    let mut client = gateway.connect_from(KNOWN_CLIENT).expect("a reserved connection is free");
    client.write_all(PING).expect("the gateway accepts input");
    let ping_served = read_reply(&client).as_deref() == Some("+PONG");
    client.write_all(request("look", 1000).as_bytes()).expect("the gateway accepts input");
    let look_served =
        read_reply(&client).is_some_and(|reply| reply == "a look" || reply.starts_with("-BUSY"));
    usize::from(ping_served) + usize::from(look_served)
}

#[test]
fn at_the_connection_limit_known_clients_are_served_and_admitted_requests_answered() {
    let limits = DescriptorLimits { configured: 160, process: 160 };
    let gateway = LimitedGateway::start("admission", limits, Some(LIMITS));
    // The request of this client is accepted before the flood and answered during the flood.
    let mut early_client = gateway.connect_from([127, 0, 0, 3]).expect("a free connection");
    early_client.write_all(request("slow", 1400).as_bytes()).expect("the gateway accepts input");
    sleep(Duration::from_millis(50));

    let flood = gateway.flood();
    let start = Instant::now();
    let served: usize = (0..25).map(|_| requests_served_to_known_client(&gateway)).sum();
    assert_eq!(served, 50, "a known client is served during the flood");
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    assert_eq!(
        read_reply(&early_client).as_deref(),
        Some("a slow"),
        "a request from before the flood is answered"
    );

    let outcome = ping_all(&flood);
    let FloodOutcome { rejected, closed, served } = outcome;
    assert!(
        rejected + closed + served == flood.len() && served + closed <= MAX_UNKNOWN_CONNECTIONS,
        "{outcome:?}"
    );
    assert!(served >= 20, "{outcome:?}");
    gateway.process.signal(Signal::SIGTERM);
}

/// Guards against a reloaded limit that takes effect late or not at all: after a flood, the limit is lowered
/// below the number of open connections and raised again. An invalid file changes nothing.
#[test]
fn a_reloaded_connection_limit_is_in_force_at_once() {
    let limits = DescriptorLimits { configured: 160, process: 160 };
    let gateway = LimitedGateway::start("admission-reload", limits, Some(LIMITS));
    let outcome = ping_all(&gateway.flood());
    assert!(outcome.rejected > 0 && outcome.served > 0, "{outcome:?}");
    let connect = |_| gateway.connect_from(KNOWN_CLIENT).expect("a free connection");
    let open: Vec<TcpStream> = (0..40).map(connect).collect();
    sleep(Duration::from_millis(100));
    for (settings, is_served) in [
        ("[admission]\nconnections = 10\n", false),
        ("[admission]\nconnections = 0\n", false),
        ("[admission]\nconnections = 90\n", true),
    ] {
        gateway.reload_operator_file(settings);
        let mut client =
            gateway.connect_from([127, 0, 0, 30]).expect("the operating system establishes the connection");
        let _ = client.write_all(PING); // fails if the connection was rejected before
        assert_eq!(read_reply(&client).as_deref() == Some("+PONG"), is_served, "{settings}");
    }
    drop(open);
    gateway.process.signal(Signal::SIGTERM);
}

/// Guards against a busy loop: the process may have fewer descriptors than its configuration says, so that
/// accepting fails.
#[test]
fn an_instance_without_free_descriptors_waits_without_using_the_processor_and_serves_once_some_are_free() {
    let limits = DescriptorLimits { configured: 400, process: 60 };
    let gateway = LimitedGateway::start("descriptors", limits, None);
    let mut early_client = gateway.connect_from([127, 0, 0, 3]).expect("a free connection");
    early_client.write_all(request("look", 1000).as_bytes()).expect("the gateway accepts input");
    assert_eq!(read_reply(&early_client).as_deref(), Some("a look"));
    let flood: Vec<TcpStream> = (0..120).filter_map(|_| gateway.connect_from([127, 0, 0, 4]).ok()).collect();
    sleep(Duration::from_millis(200));
    let ticks_before = gateway.processor_ticks();
    sleep(Duration::from_secs(1));
    let ticks = gateway.processor_ticks() - ticks_before;
    assert!(ticks < 30, "{ticks} hundredths of a second of processor time in one second of waiting");

    drop(flood);
    sleep(Duration::from_millis(300));
    let mut late_client = gateway.connect_from([127, 0, 0, 3]).expect("a free connection");
    late_client.write_all(PING).expect("the gateway accepts input");
    assert_eq!(read_reply(&late_client).as_deref(), Some("+PONG"));
    let mut rest = String::new();
    late_client.set_read_timeout(Some(Duration::from_millis(50))).expect("an open socket");
    let _ = late_client.read_to_string(&mut rest); // ends with a timeout
    assert_eq!(rest, "", "nothing follows the reply");
}

#[test]
fn an_invalid_operator_file_is_reported_at_startup_with_every_error() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (configuration_file, operator_file) = (directory.join("wrong.json"), directory.join("wrong.toml"));
    let configuration = example_configuration(unique_address(7401), unique_address(7402));
    std::fs::write(&configuration_file, configuration).expect("the configuration file is written");
    std::fs::write(&operator_file, "[admission]\nconnections = 5000\nstrangers = 0\n")
        .expect("the operator file is written");
    let mut command = gateway_command(&configuration_file);
    command.env("EDGE_OPERATOR", &operator_file).stderr(Stdio::piped());
    let mut process = GatewayProcess::spawn(&mut command);
    let output = process.read_log().replace(&*operator_file.to_string_lossy(), "FILE");
    assert_eq!(
        (process.exit_code(), output.trim()),
        (
            Some(1),
            "quillramp: FILE: line 2: admission.connections: expected 1 to 960 (1024 file descriptors minus 64 for other \
             uses), found 5000; FILE: line 3: admission.strangers: expected 1 to 5000, found 0"
        )
    );
}
