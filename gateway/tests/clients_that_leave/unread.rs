//! A client that is not read from.
use crate::help::{example_servers, free_listener, FullBacklogBackend, TestGateway};
use crate::world::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

/// Guards: of a client with 512 commands unanswered and more than 1 MiB behind them nothing more was read, so its end was
/// not seen; each answer let further ones of its commands begin, seconds after it had left.
#[test]
fn while_more_lies_behind_its_commands_than_is_kept() {
    for disconnect_kind in DISCONNECTS {
        let (backend, at) = free_listener();
        let (seen, answer) = controlled_backend(backend);
        let gateway =
            gateway_with_backend(&format!("unread-{disconnect_kind:?}"), at, |configuration| configuration);
        let mut client = gateway.connect();
        let many: String =
            (0..24).map(|_| (0..16).map(|_| order(&"x".repeat(64_000))).collect::<String>()).collect();
        let few: String = (0..600).map(|_| order("few")).collect();
        write_until_blocked(&mut client, &(few + &many));
        assert_eq!(seen.recv_timeout(50 * TENTH_OF_A_SECOND).expect("the first one is delivered"), "few");
        let from = Instant::now();
        disconnect(client, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        assert!(from.elapsed() < TENTH_OF_A_SECOND, "{disconnect_kind:?}: seen after {:?}", from.elapsed());
        answer.send(DONE).expect("it waits");
        assert_eq!(seen.recv_timeout(QUIET_TIME).ok(), None, "{disconnect_kind:?}");
    }
}

/// Guards: what is dropped while more than 1 MiB waits is refused in its turn, one answer to each command, and reading
/// goes on as before after that.
#[test]
fn what_is_not_kept_is_refused_in_its_turn() {
    const KEPT: usize = 600;
    const LONG: usize = 400;
    let (backend, at) = free_listener();
    let (seen, answer) = controlled_backend(backend);
    let gateway = gateway_with_backend("refused", at, |configuration| configuration);
    let mut client = gateway.connect();
    let mut text: String = (0..KEPT).map(|_| order("few")).collect();
    text += &(0..LONG).map(|_| order(&"x".repeat(64_000))).collect::<String>();
    assert_eq!(write_until_blocked(&mut client, &text), text.len(), "all of it is read");
    assert_eq!(seen.recv_timeout(50 * TENTH_OF_A_SECOND).expect("the first one is delivered"), "few");
    answer.send(DONE).expect("it waits");
    drop(answer); // every later one fails
    let mut replies = BufReader::new(client.try_clone().expect("a second handle"));
    let said: Vec<String> =
        (0..KEPT + LONG).map(|_| example_servers::read_reply(&mut replies).expect("a reply")).collect();
    assert_eq!(said[0], "done");
    let refused = said.iter().rev().take_while(|s| s.starts_with("-BUSY")).count();
    assert!(refused >= LONG - 2 * MIB / 64_000, "{refused} refused at the end");
    client.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it reads");
    assert_eq!(example_servers::read_reply(&mut replies).expect("a reply"), "+PONG");
}

/// The beginning of an order with a long body.
fn order_prefix(body: usize, came: usize) -> String {
    let whole = order(&"x".repeat(body));
    whole[..whole.len() - body - 2 + came].to_owned()
}

/// Little memory, so that one long body takes all the room there is for them.
fn little_memory(configuration: String) -> String {
    configuration.replace("\"memory_mb\": 192", "\"memory_mb\": 1")
}

/// One whose long body takes all the room, up to its end.
fn client_that_takes_the_memory(gateway: &TestGateway) -> TcpStream {
    let mut client = gateway.connect();
    client.write_all(order_prefix(900_000, 400_000).as_bytes()).expect("it reads");
    // It has been read once another's answer has come.
    let mut other = gateway.connect();
    other.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it reads");
    assert_eq!(example_servers::read_reply(&mut BufReader::new(other)).expect("a reply"), "+PONG");
    client
}

/// Guards: a client whose long body had no room was not read from, so its end was not seen behind that, and its order
/// before it was written to a connection that came up after the client had left.
#[test]
fn while_the_body_behind_it_has_no_room() {
    for disconnect_kind in DISCONNECTS {
        let (backend, at) = FullBacklogBackend::new();
        let gateway = gateway_with_backend(&format!("room-{disconnect_kind:?}"), at, little_memory);
        let _first = client_that_takes_the_memory(&gateway);
        let mut client = gateway.connect();
        send_order(&mut client, "early");
        backend.wait_for_connection_attempt();
        write_until_blocked(&mut client, &order_prefix(4 * MIB, 4 * MIB));
        let from = Instant::now();
        disconnect(client, disconnect_kind);
        wait_until_client_is_gone(&gateway, disconnect_kind);
        assert!(from.elapsed() < TENTH_OF_A_SECOND, "{disconnect_kind:?}: seen after {:?}", from.elapsed());
        assert_nothing_is_written(&backend, disconnect_kind);
    }
}

/// Guards: an order that had waited for room was whole, and went on its way, before its client's end was seen behind it.
#[test]
fn while_it_waits_for_room() {
    for disconnect_kind in DISCONNECTS {
        let (backend, at) = free_listener();
        let (seen, answer) = controlled_backend(backend);
        let gateway = gateway_with_backend(&format!("body-{disconnect_kind:?}"), at, little_memory);
        let mut first = client_that_takes_the_memory(&gateway);
        let mut client = gateway.connect();
        let whole = order(&"y".repeat(MIB));
        assert_eq!(write_until_blocked(&mut client, &whole), whole.len(), "the machine takes all of it");
        disconnect(client, disconnect_kind);
        sleep(2 * TENTH_OF_A_SECOND);
        first.write_all(("x".repeat(500_000) + "\r\n").as_bytes()).expect("it reads");
        assert_eq!(seen.recv_timeout(50 * TENTH_OF_A_SECOND).expect("delivered").len(), 900_000);
        answer.send(DONE).expect("it waits");
        assert_eq!(example_servers::read_reply(&mut BufReader::new(first)).expect("a reply"), "done");
        assert_eq!(seen.recv_timeout(QUIET_TIME).ok().map(|body| body.len()), None, "{disconnect_kind:?}");
    }
}
