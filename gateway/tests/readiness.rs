//! Readiness: how long an instance takes until it answers its first `PING`. Thirty instances are started at
//! once while the list service is unresponsive, refuses connections or is slow, and one while another process
//! holds the lock of the shared file. docs/list-service.md says what readiness waits for.
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::thread::sleep;
use std::time::{Duration, Instant};

mod common;
use common::example_servers::{self, read_reply, read_target, serve_connections};
use common::{
    endpoint_list, example_configuration, free_listener, gateway_command, start_gateway, unique_address,
    GatewayProcess, PING,
};

const INSTANCES: usize = 30;
/// Time within which nine in ten instances must be ready.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// Time within which an instance must be ready although the shared file is locked: the longest wait for the
/// lock, and a margin for a busy machine.
const LOCKED_READY_WITHIN: Duration = Duration::from_secs(4);
/// Time after which an instance counts as one that never becomes ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// An instance whose configuration file is written; its process may not have been started yet.
struct ConfiguredInstance {
    file: PathBuf,
    address: SocketAddr,
}

impl ConfiguredInstance {
    fn new(name: &str, list_service: SocketAddr) -> ConfiguredInstance {
        let address = unique_address(7400);
        let configuration = example_configuration(list_service, unique_address(7402))
            .replace("127.0.0.1:7400", &address.to_string());
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("readiness-{name}.json"));
        std::fs::write(&file, configuration).expect("the file is written");
        ConfiguredInstance { file, address }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        stream.set_read_timeout(Some(Duration::from_secs(1))).expect("an open socket");
        stream.write_all(PING).is_ok()
            && read_reply(&mut BufReader::new(stream)).is_ok_and(|reply| reply == "+PONG")
    }
}

struct StartedInstance {
    configured: ConfiguredInstance,
    _process: GatewayProcess,
    started_at: Instant,
    /// Time from its start to its first `+PONG`.
    ready_after: Option<Duration>,
}

impl StartedInstance {
    fn start(configured: ConfiguredInstance) -> StartedInstance {
        let started_at = Instant::now();
        let process = start_gateway(&configured.file);
        StartedInstance { configured, _process: process, started_at, ready_after: None }
    }

    fn check_readiness(&mut self) {
        if self.ready_after.is_none() && self.configured.is_ready() {
            self.ready_after = Some(self.started_at.elapsed());
        }
    }
}

/// Starts all instances at once; returns the time that each took to become ready.
fn start_all_at_once(name: &str, list_service: SocketAddr) -> Vec<Duration> {
    let configure = |i| ConfiguredInstance::new(&format!("{name}-{i}"), list_service);
    let configured: Vec<_> = (0..INSTANCES).map(configure).collect();
    let mut instances: Vec<_> = configured.into_iter().map(StartedInstance::start).collect();
    let start = Instant::now();
    while start.elapsed() < READY_TIMEOUT && instances.iter().any(|instance| instance.ready_after.is_none()) {
        instances.iter_mut().for_each(StartedInstance::check_readiness);
        sleep(Duration::from_millis(2));
    }
    instances.into_iter().map(|instance| instance.ready_after.unwrap_or(READY_TIMEOUT)).collect()
}

#[track_caller]
fn assert_nine_in_ten_are_ready(name: &str, list_service: SocketAddr) {
    let mut times = start_all_at_once(name, list_service);
    times.sort_unstable();
    println!("{name}: median {:?}, slowest {:?}", times[INSTANCES / 2], times[INSTANCES - 1]);
    let ready = times.iter().filter(|time| **time <= READY_WITHIN).count();
    assert!(10 * ready >= 9 * INSTANCES, "{ready} of {INSTANCES} ready within {READY_WITHIN:?}: {times:?}");
}

/// Guards against a start that waits for the list service. One test covers all cases so that they run one
/// after another, as each starts thirty processes.
#[test]
fn thirty_instances_started_at_once_are_ready_whatever_the_state_of_the_list_service() {
    let (unresponsive, address) = free_listener(); // accepts connections but answers no call
    assert_nine_in_ten_are_ready("unresponsive", address);
    drop(unresponsive);
    assert_nine_in_ten_are_ready("refuses", unique_address(7401));
    let (slow, address) = free_listener();
    serve_connections(slow, |mut stream: TcpStream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        while read_target(&mut reader)?.is_some() {
            sleep(Duration::from_secs(3));
            example_servers::write_ok(&mut stream, &endpoint_list(&[]))?;
        }
        Ok(())
    });
    assert_nine_in_ten_are_ready("slow", address);
}

/// Guards against a start that never completes: with an address for operators' calls, the process waited
/// without a limit for the lock of the shared file. A process that was stopped while it held the lock kept
/// the next one from ever serving.
#[test]
fn an_instance_is_ready_although_the_lock_of_the_shared_file_is_never_released() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("readiness-locked");
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let lock = std::fs::File::create(directory.join("quillramp-n0.lock")).expect("the lock file is created");
    lock.lock().expect("no other process holds the lock");
    let (_list_service, list_service_address) = free_listener();
    let instance = ConfiguredInstance::new("locked", list_service_address);
    let mut command = gateway_command(&instance.file);
    command.env("TMPDIR", &directory).env("EDGE_MGMT", unique_address(7404).to_string());
    let start = Instant::now();
    let _process = GatewayProcess::spawn(command.stderr(Stdio::null()));
    while !instance.is_ready() {
        assert!(start.elapsed() < LOCKED_READY_WITHIN, "not ready within {:?}", start.elapsed());
        sleep(Duration::from_millis(10));
    }
    drop(lock);
}
