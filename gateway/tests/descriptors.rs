//! The real program, whose descriptors idle clients fill while the list service is down: at its return the list, the counter
//! and backends still get theirs.
use nix::sys::resource::{setrlimit, Resource};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

mod help;
use help::{
    connect_when_listening, endpoint_list, example_configuration, example_servers, free_listener,
    own_address, GatewayProcess,
};

/// What the machine allows the front door.
const DESCRIPTORS: u64 = 160;
/// More than the front door may take in, so that somebody always waits for the next descriptor that is free.
const IDLE_CLIENTS: usize = 500;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const SECOND: Duration = Duration::from_secs(1);

/// A list service that can be silenced. It lists `a` before that and `b` after; each list that it gives is told of.
struct List {
    down: Arc<AtomicBool>,
    returned: Arc<AtomicBool>,
    requests: Receiver<Instant>,
}

impl List {
    fn start(listener: TcpListener, before: String, after: String) -> List {
        let (down, returned) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (to, requests) = channel();
        let (is_down, has_returned) = (down.clone(), returned.clone());
        example_servers::serve_connections(listener, move |stream| {
            let mut from = BufReader::new(stream.try_clone()?);
            while let Some(target) = example_servers::target(&mut from)? {
                if is_down.load(Ordering::SeqCst) {
                    return Ok(()); // nothing is answered, and its connections end
                }
                let body = match (
                    has_returned.load(Ordering::SeqCst),
                    example_servers::number(&target, "since") as u64,
                ) {
                    (false, 0) => before.clone(),
                    (true, 0 | 1) => {
                        let _ = to.send(Instant::now()); // the test may be over
                        after.clone()
                    }
                    (_, since) => {
                        sleep(Duration::from_millis(example_servers::number(&target, "timeout_ms") as u64));
                        format!(r#"{{"index":{since},"snapshot":false,"endpoints":[]}}"#)
                    }
                };
                write!(&stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
            }
            Ok(())
        });
        List { down, returned, requests }
    }

    fn stop(&self) {
        self.down.store(true, Ordering::SeqCst);
    }

    fn restart(&self) -> Instant {
        self.returned.store(true, Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
        Instant::now()
    }
}

/// Clients that say nothing, and connect again when they are ended.
struct Flood {
    goes_on: Arc<AtomicBool>,
    connected: Arc<AtomicUsize>,
}

impl Flood {
    fn start(at: SocketAddr) -> Flood {
        let (goes_on, connected) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
        let (on, count) = (goes_on.clone(), connected.clone());
        spawn(move || {
            let mut idle: Vec<TcpStream> = vec![];
            while on.load(Ordering::Relaxed) {
                idle.retain(is_open);
                while idle.len() < IDLE_CLIENTS {
                    let Ok(stream) = TcpStream::connect_timeout(&at, SECOND) else { break };
                    stream.set_nonblocking(true).expect("a socket");
                    idle.push(stream);
                    count.fetch_add(1, Ordering::Relaxed);
                }
                sleep(Duration::from_millis(2));
            }
        });
        Flood { goes_on, connected }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.goes_on.store(false, Ordering::Relaxed);
    }
}

fn is_open(mut stream: &TcpStream) -> bool {
    matches!(stream.read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// A front door that may have so many descriptors by its configuration, and `DESCRIPTORS` by the machine.
fn start_configured(name: &str, configured: usize, list: SocketAddr) -> (GatewayProcess, SocketAddr) {
    let ((counter, counter_at), at) = (free_listener(), own_address(7400));
    example_servers::start_counter(counter);
    let configuration = example_configuration(list, counter_at)
        .replace("127.0.0.1:7400", &at.to_string())
        .replace("\"sockets\": 1024", &format!("\"sockets\": {configured}"));
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("descriptors-{name}.json"));
    std::fs::write(&file, configuration).expect("a file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", file).stderr(Stdio::null());
    // Only a limit is set between fork and exec.
    unsafe {
        program.pre_exec(|| {
            setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTORS, DESCRIPTORS).map_err(std::io::Error::from)
        });
    }
    let door = GatewayProcess(program.spawn().expect("the program starts"));
    connect_when_listening(at);
    (door, at)
}

/// A client that goes on asking.
struct Client(BufReader<TcpStream>);

impl Client {
    fn connect(at: SocketAddr) -> Client {
        let stream = TcpStream::connect(at).expect("it accepts");
        stream.set_read_timeout(Some(5 * SECOND)).expect("a time-out");
        Client(BufReader::new(stream))
    }

    fn request(&mut self, text: &[u8]) -> String {
        self.0.get_mut().write_all(text).expect("it reads");
        example_servers::read_reply(&mut self.0).expect("a reply")
    }

    /// Keeps at it for so long.
    fn ping_for(&mut self, during: Duration) {
        let from = Instant::now();
        while from.elapsed() < during {
            assert_eq!(self.request(PING), "+PONG");
            sleep(Duration::from_millis(50));
        }
    }
}

/// Idle clients fill the descriptors while the list service is down; then it returns, and an invocation is sent on.
fn descriptors_filled_while_discovery_is_down(name: &str, configured: usize) {
    let (list, list_at) = free_listener();
    let ((backend, before), (other, after)) = (free_listener(), free_listener());
    example_servers::start_backend(backend, "a");
    example_servers::start_backend(other, "b");
    let after = endpoint_list(&[("b", after)]).replace("\"index\":1", "\"index\":2");
    let list = List::start(list, endpoint_list(&[("a", before)]), after);
    let (_door, at) = start_configured(name, configured, list_at);
    let mut client = Client::connect(at);
    client.ping_for(Duration::from_millis(300));
    list.stop();
    // The watch that is out is answered within 2 s; from then on no connection to the service lives.
    client.ping_for(3 * SECOND);
    let flood = Flood::start(at);
    client.ping_for(SECOND);
    let from = list.restart();
    let mut polled_at = None;
    while polled_at.is_none() && from.elapsed() < 8 * SECOND {
        client.ping_for(Duration::from_millis(50));
        polled_at = list.requests.try_recv().ok();
    }
    let polled_at = polled_at.expect("the list service was not reached in 8 s");
    assert!(polled_at - from < 2 * SECOND, "told after {:?}", polled_at - from);
    let said = client.request(example_servers::request("look", 1000).as_bytes());
    assert_eq!(said, "b look", "with the counter and a new backend");
    assert!(flood.connected.load(Ordering::Relaxed) > DESCRIPTORS as usize);
}

/// Guards: clients in a flood were taken in up to the machine's limit before the reducer had seen the first of them, and a
/// client that asked all the while was ended for them.
#[test]
fn idle_clients_leave_the_list_the_counter_and_backends_theirs() {
    descriptors_filled_while_discovery_is_down("configured", DESCRIPTORS as usize);
}

/// Guards: where the machine allows fewer descriptors than the configuration, none was kept at all.
#[test]
fn they_do_so_where_the_machine_allows_less_than_the_configuration() {
    descriptors_filled_while_discovery_is_down("machine", 4 * DESCRIPTORS as usize);
}
