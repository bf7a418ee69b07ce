//! During an outage of the list service, idle clients take all descriptors that clients may have. After the
//! outage, descriptors are still left for the connections to the list service, the counter and backends.
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

mod common;
use common::example_servers::{
    self, parse_query_number, read_reply, read_target, request, serve_connections, write_ok,
};
use common::{
    connect_when_listening, endpoint_list, example_configuration, free_listener, gateway_command,
    limit_descriptors, unique_address, GatewayProcess, ListedBackend, PING,
};

/// Limit on the descriptors of the gateway process (`RLIMIT_NOFILE`).
const DESCRIPTORS: u64 = 160;
/// Number of idle clients: more than the gateway admits, so that some client always waits for a free
/// descriptor.
const IDLE_CLIENTS: usize = 500;
const SECOND: Duration = Duration::from_secs(1);

/// Both endpoint lists of a [`ListService`].
struct EndpointLists {
    before_outage: String,
    after_outage: String,
}

/// A list service that can be stopped and restarted.
struct ListService {
    state: Arc<ListServiceState>,
    /// Receives the time of each endpoint list that is sent after the restart.
    lists_sent: Receiver<Instant>,
}

#[derive(Default)]
struct ListServiceState {
    is_down: AtomicBool,
    has_restarted: AtomicBool,
}

impl ListService {
    fn start(listener: TcpListener, lists: EndpointLists) -> ListService {
        let state = Arc::<ListServiceState>::default();
        let (sender, lists_sent) = channel();
        let (lists, shared_state) = (Arc::new(lists), state.clone());
        serve_connections(listener, move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone()?);
            while let Some(target) = read_target(&mut reader)? {
                if shared_state.is_down.load(Ordering::SeqCst) {
                    return Ok(()); // closes the connection without a response
                }
                write_ok(&mut stream, &response_body(&target, &shared_state, &lists, &sender))?;
            }
            Ok(())
        });
        ListService { state, lists_sent }
    }

    fn stop(&self) {
        self.state.is_down.store(true, Ordering::SeqCst);
    }

    fn restart(&self) -> Instant {
        self.state.has_restarted.store(true, Ordering::SeqCst);
        self.state.is_down.store(false, Ordering::SeqCst);
        Instant::now()
    }
}

/// Returns the endpoint list if the caller does not have the current one; otherwise an empty change, when the
/// watch times out.
fn response_body(
    target: &str,
    state: &ListServiceState,
    lists: &EndpointLists,
    lists_sent: &Sender<Instant>,
) -> String {
    let known_index = parse_query_number(target, "since") as u64;
    match (state.has_restarted.load(Ordering::SeqCst), known_index) {
        (false, 0) => lists.before_outage.clone(),
        (true, 0 | 1) => {
            let _ = lists_sent.send(Instant::now()); // fails if the test is over
            lists.after_outage.clone()
        }
        _ => {
            sleep(Duration::from_millis(parse_query_number(target, "timeout_ms") as u64));
            format!(r#"{{"index":{known_index},"snapshot":false,"endpoints":[]}}"#)
        }
    }
}

/// Clients that send nothing and reconnect when the gateway closes their connections, until the end of the
/// test.
struct IdleClients {
    stop: Arc<AtomicBool>,
    connected: Arc<AtomicUsize>,
}

impl IdleClients {
    fn start(gateway: SocketAddr) -> IdleClients {
        let clients = IdleClients { stop: Arc::default(), connected: Arc::default() };
        let (stop, connected) = (clients.stop.clone(), clients.connected.clone());
        spawn(move || {
            let mut idle: Vec<TcpStream> = vec![];
            while !stop.load(Ordering::Relaxed) {
                idle.retain(is_open);
                while idle.len() < IDLE_CLIENTS {
                    let Ok(stream) = TcpStream::connect_timeout(&gateway, SECOND) else { break };
                    stream.set_nonblocking(true).expect("an open socket");
                    idle.push(stream);
                    connected.fetch_add(1, Ordering::Relaxed);
                }
                sleep(Duration::from_millis(2));
            }
        });
        clients
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn is_open(mut stream: &TcpStream) -> bool {
    matches!(stream.read(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Starts an instance with this configured number of descriptors and the resource limit `DESCRIPTORS`.
fn start_with_descriptors(
    name: &str,
    configured: usize,
    list_service: SocketAddr,
) -> (GatewayProcess, SocketAddr) {
    let (counter, counter_address) = free_listener();
    example_servers::start_counter(counter);
    let address = unique_address(7400);
    let configuration = example_configuration(list_service, counter_address)
        .replace("127.0.0.1:7400", &address.to_string())
        .replace("\"sockets\": 1024", &format!("\"sockets\": {configured}"));
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("descriptors-{name}.json"));
    std::fs::write(&file, configuration).expect("the configuration file is written");
    let mut command = gateway_command(&file);
    limit_descriptors(&mut command, DESCRIPTORS);
    let process = GatewayProcess::spawn(command.stderr(Stdio::null()));
    connect_when_listening(address);
    (process, address)
}

/// A client that sends commands continually, on one connection.
struct ActiveClient {
    stream: BufReader<TcpStream>,
}

impl ActiveClient {
    fn connect(gateway: SocketAddr) -> ActiveClient {
        let stream = TcpStream::connect(gateway).expect("the gateway accepts");
        stream.set_read_timeout(Some(5 * SECOND)).expect("an open socket");
        ActiveClient { stream: BufReader::new(stream) }
    }

    fn exchange(&mut self, request: &[u8]) -> String {
        self.stream.get_mut().write_all(request).expect("the gateway accepts input");
        read_reply(&mut self.stream).expect("the gateway replies")
    }

    fn ping_for(&mut self, duration: Duration) {
        let start = Instant::now();
        while start.elapsed() < duration {
            assert_eq!(self.exchange(PING), "+PONG");
            sleep(Duration::from_millis(50));
        }
    }

    /// Sends pings until the list service has sent an endpoint list; returns the time when it was sent.
    fn ping_until_listed(&mut self, list_service: &ListService, restarted_at: Instant) -> Instant {
        while restarted_at.elapsed() < 8 * SECOND {
            self.ping_for(Duration::from_millis(50));
            if let Ok(sent_at) = list_service.lists_sent.try_recv() {
                return sent_at;
            }
        }
        panic!("the list service has not sent an endpoint list within 8 s of its restart");
    }
}

/// Fills the descriptors with idle clients during an outage of the list service. Asserts that afterwards the
/// gateway fetches the endpoint list in time, and that the new backend `b` serves a request.
fn assert_outage_is_survived_with_idle_clients(name: &str, configured_descriptors: usize) {
    let (list_service, list_service_address) = free_listener();
    let (backend_before, before_address) = free_listener();
    let (backend_after, after_address) = free_listener();
    example_servers::start_backend(backend_before, "a");
    example_servers::start_backend(backend_after, "b");
    let lists = EndpointLists {
        before_outage: endpoint_list(&[ListedBackend { name: "a", address: before_address }]),
        after_outage: endpoint_list(&[ListedBackend { name: "b", address: after_address }])
            .replace("\"index\":1", "\"index\":2"),
    };
    let list_service = ListService::start(list_service, lists);
    let (_process, address) = start_with_descriptors(name, configured_descriptors, list_service_address);
    let mut client = ActiveClient::connect(address);
    client.ping_for(Duration::from_millis(300));
    list_service.stop();
    // The watch in flight gets its response within 2 s, after which no connection to the service is open.
    client.ping_for(3 * SECOND);
    let idle_clients = IdleClients::start(address);
    client.ping_for(SECOND);

    let restarted_at = list_service.restart();
    let listed_after = client.ping_until_listed(&list_service, restarted_at) - restarted_at;
    assert!(
        listed_after < 2 * SECOND,
        "the endpoint list was sent {listed_after:?} after the restart, expected less than 2 s"
    );
    let reply = client.exchange(request("look", 1000).as_bytes());
    assert_eq!(reply, "b look", "the gateway has connections to the counter and the new backend");
    assert!(idle_clients.connected.load(Ordering::Relaxed) > DESCRIPTORS as usize);
}

/// Guards against clients that use up all descriptors: they were accepted up to the resource limit before the
/// reducer had handled the first of them, and an active client was closed to free a descriptor.
#[test]
fn idle_clients_leave_descriptors_for_the_list_service_the_counter_and_backends() {
    assert_outage_is_survived_with_idle_clients("configured", DESCRIPTORS as usize);
}

/// Guards against a reservation that ignores the resource limit: with a limit below the configured number, no
/// descriptors were reserved.
#[test]
fn descriptors_are_reserved_within_a_resource_limit_below_the_configured_number() {
    assert_outage_is_survived_with_idle_clients("machine", 4 * DESCRIPTORS as usize);
}
