//! Long values that stop in the middle, through the real program on loopback: the backend's silence is told from a client
//! that reads slowly.
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::sleep;
use std::time::{Duration, Instant};

mod help;
use help::{example_servers, free_listener, serve_endpoints, TestGateway};

const LENGTH: usize = 4 * 1024 * 1024;
const WAIT_MS: u64 = 1000;

/// A backend that writes the first bytes of a long value at once, and the rest of it, slowly, when it is told to.
fn backend(listener: TcpListener, first: usize, rest: Receiver<()>) {
    let rest = std::sync::Arc::new(std::sync::Mutex::new(rest));
    example_servers::serve_connections(listener, move |stream| {
        let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
        while example_servers::command(&mut from)?.is_some() {
            let value = "v".repeat(LENGTH);
            write!(to, "*3\r\n${LENGTH}\r\n{}", &value[..first])?;
            let _ = rest.lock().expect("no panic").recv();
            for piece in value.as_bytes()[first..].chunks(LENGTH / 64) {
                to.write_all(piece)?;
                sleep(Duration::from_millis(50));
            }
            write!(to, "\r\n$-1\r\n$-1\r\n")?;
        }
        Ok(())
    });
}

fn gateway_with_backend(name: &str, at: SocketAddr) -> TestGateway {
    let (list, list_at) = free_listener();
    serve_endpoints(list, &[("a", at)]);
    let none = r#"{"index": 0, "snapshot": true, "endpoints": []}"#;
    TestGateway::start(&format!("stalled-{name}"), list_at, |configuration| {
        configuration.replace(none, &help::endpoint_list(&[("a", at)]))
    })
}

fn connect_and_send_request(gateway: &TestGateway) -> TcpStream {
    let mut client = gateway.connect();
    client.write_all(example_servers::request("look", WAIT_MS).as_bytes()).expect("it reads");
    client
}

/// Guards: a value whose backend fell silent in the middle was given up after 30 s; until then its client could not tell
/// that it would never be whole, and the answers behind it waited.
#[test]
fn a_value_whose_backend_falls_silent_is_given_up_once_its_clients_time_is_up() {
    let ((listener, at), (_rest, never)) = (free_listener(), channel());
    backend(listener, LENGTH / 2, never);
    let gateway = gateway_with_backend("silent", at);
    let from = Instant::now();
    let mut text = vec![];
    connect_and_send_request(&gateway).read_to_end(&mut text).expect("an end, not a reset");
    let (time, ended) = (Duration::from_millis(WAIT_MS), from.elapsed());
    assert!(text.len() > LENGTH / 2 && text.len() < LENGTH, "cut off after {} bytes", text.len());
    assert!(ended > time * 9 / 10 && ended < time * 3 / 2, "given up after {ended:?}");
}

/// Guards: a value is not given up for a client that reads late, past its time.
#[test]
fn a_value_whose_client_reads_late_comes_whole() {
    let ((listener, at), (rest, told)) = (free_listener(), channel());
    backend(listener, LENGTH / 2, told);
    rest.send(()).expect("the backend listens");
    let gateway = gateway_with_backend("late", at);
    let mut client = connect_and_send_request(&gateway);
    sleep(Duration::from_millis(2 * WAIT_MS));
    let (mut text, mut piece) = (vec![], vec![0; 65_536]);
    while text.len() < LENGTH {
        let n = client.read(&mut piece).expect("more");
        assert!(n > 0, "cut off after {} bytes", text.len());
        text.extend_from_slice(&piece[..n]);
    }
    assert!(text.ends_with(b"v\r\n"));
}

/// Guards: the same for one that comes slowly, but comes, past its client's time.
#[test]
fn a_value_that_still_moves_comes_whole() {
    let ((listener, at), (rest, told)) = (free_listener(), channel());
    backend(listener, LENGTH / 2, told);
    let gateway = gateway_with_backend("moves", at);
    let mut client = connect_and_send_request(&gateway);
    rest.send(()).expect("the backend listens");
    let (mut reply, from) = (BufReader::new(client.try_clone().expect("a second handle")), Instant::now());
    assert_eq!(example_servers::read_reply(&mut reply).expect("a value").len(), LENGTH);
    assert!(from.elapsed() > Duration::from_millis(WAIT_MS * 5 / 4), "past its client's time");
    client.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it is open");
    assert_eq!(example_servers::read_reply(&mut reply).expect("a reply"), "+PONG");
}
