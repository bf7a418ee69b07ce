//! The real program on loopback, and clients that close their connections while something of theirs still waits: no attempt
//! may begin more than 0.1 s later. Each test makes the order of events itself: a backend, a counter or a list service
//! under its control says nothing before it has been seen that the client has left. Both ways of leaving are tried, a FIN
//! and a reset. docs/crossings.md has the table of the places where something waits.
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::sleep;
use std::time::{Duration, Instant};

mod help;
use help::{free, lists, toy, Crowded, World};

const TENTH: Duration = Duration::from_millis(100);
/// So long nothing may come for a client that has left.
const QUIET: Duration = Duration::from_millis(400);
/// How long a client waits for an answer, milliseconds.
const WAIT_MS: u64 = 2900;
const MIB: usize = 1024 * 1024;
const NOTHING: [&str; 0] = [];

/// How a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Fin,
    Reset,
}

const WAYS: [Way; 2] = [Way::Fin, Way::Reset];

fn leaves(client: TcpStream, way: Way) {
    if way == Way::Reset {
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("an open socket");
    }
}

/// Waits until the front door has seen some client leave so.
fn seen_to_leave(world: &World, way: Way) {
    let from = Instant::now();
    let why = if way == Way::Fin { "closed" } else { "reset" };
    loop {
        let left = (5 * 10 * TENTH).saturating_sub(from.elapsed());
        let line =
            world.log.recv_timeout(left).unwrap_or_else(|_| panic!("not seen to leave by {way:?} in 5 s"));
        if line.contains("connection client") && line.ends_with(&format!("ended: {why}")) {
            return;
        }
    }
}

/// An operation that must not be repeated, with this text as its body.
fn order(body: &str) -> String {
    let body = format!("${}\r\n{body}\r\n", body.len());
    toy::invocation("order", WAIT_MS).replace("$4\r\nbody\r\n", &body)
}

fn asks(client: &mut TcpStream, body: &str) {
    client.write_all(order(body).as_bytes()).expect("it reads");
}

/// Writes as much as the machine takes, for as long as it takes more.
fn writes_ahead(client: &mut TcpStream, text: &str) -> usize {
    client.set_nonblocking(true).expect("an open socket");
    let (mut done, mut last) = (0, Instant::now());
    while done < text.len() && last.elapsed() < 3 * TENTH {
        match client.write(&text.as_bytes()[done..]) {
            Ok(n) => (done, last) = (done + n, Instant::now()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(TENTH / 20),
            Err(e) => panic!("{e}"),
        }
    }
    client.set_nonblocking(false).expect("an open socket");
    done
}

/// A connection of the front door to a backend, at the backend.
struct Served {
    from: BufReader<TcpStream>,
    to: TcpStream,
}

impl Served {
    fn accept(listener: &TcpListener) -> Served {
        Served::of(listener.accept().expect("the front door connects").0)
    }

    fn of(to: TcpStream) -> Served {
        to.set_read_timeout(Some(50 * TENTH)).expect("a time-out");
        Served { from: BufReader::new(to.try_clone().expect("a second handle")), to }
    }

    /// The body of the next command.
    fn body(&mut self) -> String {
        let words = toy::command(&mut self.from).expect("a command").expect("not the end");
        words[4].clone()
    }

    fn answers(&mut self, value: &str) {
        self.says(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }

    fn says(&mut self, text: &str) {
        self.to.write_all(text.as_bytes()).expect("an open connection");
    }

    /// The bodies of all commands that come until nothing has come for a while, or the end. All of them are whole.
    fn bodies(&mut self) -> Vec<String> {
        self.to.set_read_timeout(Some(QUIET)).expect("a time-out");
        let (mut all, mut piece) = (vec![], vec![0; 65_536]);
        while let Ok(n @ 1..) = self.from.read(&mut piece) {
            all.extend_from_slice(&piece[..n]);
        }
        self.to.set_read_timeout(Some(50 * TENTH)).expect("a time-out");
        let mut rest = &all[..];
        let next = || toy::command(&mut rest).expect("a whole command").map(|words| words[4].clone());
        std::iter::from_fn(next).collect()
    }
}

/// A backend that passes nothing on but tells of each command's body, and answers when it is told to.
fn held(listener: TcpListener) -> (Receiver<String>, Sender<&'static str>) {
    let ((seen_by, seen), (answer, answers)) = (channel(), channel::<&'static str>());
    let answers = std::sync::Arc::new(std::sync::Mutex::new(answers));
    toy::each(listener, move |stream| {
        let mut served = Served::of(stream);
        served.to.set_read_timeout(None)?;
        while let Some(words) = toy::command(&mut served.from)? {
            let _ = seen_by.send(words[4].clone()); // the test may be over
            let Ok(text) = answers.lock().expect("no panic").recv() else { return Ok(()) };
            served.says(text);
        }
        Ok(())
    });
    (seen, answer)
}

const DONE: &str = "*3\r\n$4\r\ndone\r\n$-1\r\n$-1\r\n";

/// What the configuration of all these tests has in common: no time presses but the client's, and no quota.
fn patient(told: String) -> String {
    told.replace("\"dial_timeout_us\": 250000", "\"dial_timeout_us\": 5000000")
        .replace("\"aim_us\": 1000000", "\"aim_us\": 2900000")
        .replace("\"depth\": 12", "\"depth\": 100000")
}

fn knows(told: String, backends: &[(&str, SocketAddr)]) -> String {
    let none = r#"{"index": 0, "snapshot": true, "endpoints": []}"#;
    told.replace(none, &help::listing(backends))
}

/// A front door with one backend, that it knows of.
fn world_of(name: &str, backend: SocketAddr, change: impl Fn(String) -> String) -> World {
    let (list, at) = free();
    lists(list, &[("a", backend)]);
    World::start(&format!("leave-{name}"), at, |told| change(knows(patient(told), &[("a", backend)])))
}

/// A front door that knows the backend `a`, and is told that it drains and `b` is there once the test says so.
fn world_that_is_told(
    name: &str,
    (a, b): (SocketAddr, SocketAddr),
    change: impl Fn(String) -> String,
) -> (World, Sender<()>) {
    let ((list, at), (tell, told)) = (free(), channel());
    let told = std::sync::Arc::new(std::sync::Mutex::new(told));
    let change_of_list = help::listing(&[("a", a), ("b", b)])
        .replacen("SERVING", "DRAINING", 1)
        .replace("\"index\":1,\"snapshot\":true", "\"index\":2,\"snapshot\":false");
    toy::each(list, move |stream| {
        let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
        while toy::target(&mut from)?.is_some() {
            let Ok(()) = told.lock().expect("no panic").recv() else { return Ok(()) };
            write!(
                to,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{change_of_list}",
                change_of_list.len()
            )?;
        }
        Ok(())
    });
    let world = World::start(&format!("leave-{name}"), at, |told| change(knows(patient(told), &[("a", a)])));
    (world, tell)
}

// ======== the quota

/// Guards: what waited for the counter as its client left is not delivered when the counter answers.
#[test]
fn while_it_waits_for_the_counter() {
    for way in WAYS {
        let ((backend, at), (counter, counter_at)) = (free(), free());
        let (seen, _answer) = held(backend);
        let world = world_of(&format!("counter-{way:?}"), at, |told| {
            let (before, after) = told.split_once("\"counter\": \"").expect("an address");
            let after = after.split_once('"').expect("its end").1;
            let told = format!("{before}\"counter\": \"{counter_at}\"{after}");
            // The longest wait for the counter is a part of the objective, and of the client's time.
            told.replace("\"aim_us\": 2900000", "\"aim_us\": 60000000")
                .replace("\"counter_timeout_us\": 80000", "\"counter_timeout_us\": 2000000")
        });
        let mut client = world.connect();
        asks(&mut client, "early");
        let (mut counter, _) = counter.accept().expect("a call");
        toy::target(&mut BufReader::new(counter.try_clone().expect("a second handle"))).expect("a call");
        leaves(client, way);
        seen_to_leave(&world, way);
        counter.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1").expect("it reads");
        assert_eq!(seen.recv_timeout(QUIET).ok(), None, "{way:?}");
    }
}

// ======== a backend that has enough to do

/// Guards: what waited for its backend to have time as its client left is not delivered when it has.
#[test]
fn while_its_backend_is_busy() {
    for way in WAYS {
        let (backend, at) = free();
        let (seen, answer) = held(backend);
        let world = world_of(&format!("busy-{way:?}"), at, |told| told);
        let (mut stays, mut client) = (world.connect(), world.connect());
        asks(&mut stays, "ahead");
        assert_eq!(seen.recv_timeout(50 * TENTH).expect("delivered"), "ahead");
        asks(&mut client, "waits");
        assert_eq!(seen.recv_timeout(TENTH).ok(), None, "the backend is busy");
        leaves(client, way);
        seen_to_leave(&world, way);
        answer.send(DONE).expect("it waits");
        assert_eq!(toy::reply(&mut BufReader::new(stays)).expect("a reply"), "done");
        assert_eq!(seen.recv_timeout(QUIET).ok(), None, "{way:?}");
    }
}

/// Guards: the same for a further attempt, of one that its first backend turned away.
#[test]
fn while_the_backend_of_its_further_attempt_is_busy() {
    for way in WAYS {
        let ((first, first_at), (next, next_at)) = (free(), free());
        let ((at_first, turns_away), (at_next, answer)) = (held(first), held(next));
        let (world, tell) =
            world_that_is_told(&format!("busy-again-{way:?}"), (first_at, next_at), |told| told);
        let (mut stays, mut client) = (world.connect(), world.connect());
        asks(&mut client, "waits");
        assert_eq!(at_first.recv_timeout(50 * TENTH).expect("delivered"), "waits");
        tell.send(()).expect("a watch is open");
        sleep(TENTH);
        asks(&mut stays, "ahead");
        assert_eq!(at_next.recv_timeout(50 * TENTH).expect("delivered"), "ahead");
        turns_away.send("-BUSY\r\n").expect("it waits");
        assert_eq!(at_next.recv_timeout(TENTH).ok(), None, "the next backend is busy");
        leaves(client, way);
        seen_to_leave(&world, way);
        answer.send(DONE).expect("it waits");
        assert_eq!(toy::reply(&mut BufReader::new(stays)).expect("a reply"), "done");
        assert_eq!(at_next.recv_timeout(QUIET).ok(), None, "{way:?}");
    }
}

// ======== a connection that is coming up

/// The backend lets in whoever still asks: nothing is written to it. Who is turned down asks again after a second.
fn assert_nothing_is_written(backend: &Crowded, way: Way) {
    drop(backend.listener.accept().expect("the one before"));
    backend.listener.set_nonblocking(true).expect("an open socket");
    let from = Instant::now();
    while from.elapsed() < 15 * TENTH {
        if let Ok((stream, _)) = backend.listener.accept() {
            stream.set_nonblocking(false).expect("an open socket");
            assert_eq!(Served::of(stream).bodies(), NOTHING, "{way:?}");
        }
        sleep(TENTH / 10);
    }
}

/// Guards: nothing is written to a connection that comes up after the client of its delivery has left.
#[test]
fn while_its_connection_comes_up() {
    for way in WAYS {
        let (backend, at) = Crowded::new();
        let world = world_of(&format!("dials-{way:?}"), at, |told| told);
        let mut client = world.connect();
        asks(&mut client, "early");
        backend.is_asked_for();
        leaves(client, way);
        seen_to_leave(&world, way);
        assert_nothing_is_written(&backend, way);
    }
}

/// Guards: the same for a further attempt, of one that its first backend turned away.
#[test]
fn while_the_connection_of_its_further_attempt_comes_up() {
    for way in WAYS {
        let ((first, first_at), (next, next_at)) = (free(), Crowded::new());
        let (at_first, turns_away) = held(first);
        let (world, tell) =
            world_that_is_told(&format!("dials-again-{way:?}"), (first_at, next_at), |told| told);
        let mut client = world.connect();
        asks(&mut client, "early");
        assert_eq!(at_first.recv_timeout(50 * TENTH).expect("delivered"), "early");
        tell.send(()).expect("a watch is open");
        sleep(TENTH);
        turns_away.send("-BUSY\r\n").expect("it waits");
        next.is_asked_for();
        leaves(client, way);
        seen_to_leave(&world, way);
        assert_nothing_is_written(&next, way);
    }
}

// ======== behind another delivery in the buffer of a shared connection

/// Two clients with an order at the backend each, on a connection each, and no descriptor left for a third. Behind the
/// first client's order stands a long one of the second client, half written, for the backend has stopped reading.
struct SharedConnection {
    world: World,
    first: TcpStream,
    second: TcpStream,
    /// The connection with the long order, and the other one.
    blocked: Served,
    other: Served,
    long: String,
}

/// Descriptors for the two clients, two connections to the backend and one to the counter, but no more.
fn few_descriptors(told: String) -> String {
    told.replace("\"sockets\": 1024", "\"sockets\": 37")
}

/// A listener whose connections take little in that nobody reads.
fn narrow() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("an open socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(16).expect("it listens");
    let listener: TcpListener = socket.into();
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

impl SharedConnection {
    fn new(world: World, backend: &TcpListener) -> SharedConnection {
        let mut first = world.connect();
        let mut replies = BufReader::new(first.try_clone().expect("a second handle"));
        asks(&mut first, "first");
        let mut blocked = Served::accept(backend);
        // It answers quickly at first, so that several may be out at it.
        for _ in 0..40 {
            assert_eq!(blocked.body(), "first");
            blocked.answers("done");
            assert_eq!(toy::reply(&mut replies).expect("a reply"), "done");
            asks(&mut first, "first");
        }
        assert_eq!(blocked.body(), "first");
        let mut second = world.connect();
        asks(&mut second, "other");
        let mut other = Served::accept(backend);
        assert_eq!(other.body(), "other");
        let long = "x".repeat(4 * MIB);
        asks(&mut second, &long);
        blocked.to.peek(&mut [0]).expect("it has begun to come");
        sleep(TENTH);
        SharedConnection { world, first, second, blocked, other, long }
    }
}

/// The backend reads on: these orders come, and nothing else.
fn assert_comes(served: &mut Served, bodies: &[&str], way: Way) {
    let came = served.bodies();
    let short = |body: &str| format!("{} of {} bytes", &body[..body.len().min(10)], body.len());
    let texts: Vec<String> = came.iter().map(|body| short(body)).collect();
    assert!(came == bodies, "{way:?}: {texts:?}");
}

/// Guards: an attempt that stood behind another one in a connection's buffer left for the backend though its client had
/// gone before any byte of it was written.
#[test]
fn while_it_stands_behind_another_one_in_a_buffer() {
    for way in WAYS {
        let (backend, at) = narrow();
        let world = world_of(&format!("buffer-{way:?}"), at, few_descriptors);
        let SharedConnection { world, mut first, mut second, mut blocked, mut other, long } =
            SharedConnection::new(world, &backend);
        // One goes behind each of the two orders that are out, the second one into the buffer.
        asks(&mut first, "begun");
        assert_eq!(other.body(), "begun");
        asks(&mut first, "waits");
        sleep(2 * TENTH);
        leaves(first, way);
        seen_to_leave(&world, way);
        assert_comes(&mut blocked, &[&long], way);
        // The long order's client has its answers, and what comes next on the connection is whole.
        blocked.answers("for nobody");
        blocked.answers("long done");
        other.answers("other done");
        let mut replies = BufReader::new(second.try_clone().expect("a second handle"));
        assert_eq!(toy::reply(&mut replies).expect("a reply"), "other done");
        assert_eq!(toy::reply(&mut replies).expect("a reply"), "long done");
        asks(&mut second, "next");
        assert_comes(&mut blocked, &["next"], way);
    }
}

/// Guards: the same for a further attempt, of one that was turned away on that very connection.
#[test]
fn while_its_further_attempt_stands_behind_another_one_in_a_buffer() {
    for way in WAYS {
        let (backend, at) = narrow();
        let world = world_of(&format!("buffer-again-{way:?}"), at, few_descriptors);
        let SharedConnection { world, first, second, mut blocked, mut other, long } =
            SharedConnection::new(world, &backend);
        blocked.says("-BUSY\r\n");
        sleep(2 * TENTH);
        leaves(first, way);
        seen_to_leave(&world, way);
        assert_comes(&mut blocked, &[&long], way);
        blocked.answers("long done");
        other.answers("other done");
        let mut replies = BufReader::new(second);
        assert_eq!(toy::reply(&mut replies).expect("a reply"), "other done");
        assert_eq!(toy::reply(&mut replies).expect("a reply"), "long done");
    }
}

/// Guards: an attempt that stood behind another one in a connection's buffer left for a backend that was told to drain
/// before any byte of it was written. It has not run, so even what must not be repeated goes elsewhere.
#[test]
fn what_stands_behind_another_one_in_a_buffer_goes_elsewhere_when_its_backend_drains() {
    let ((backend, at), (next, next_at)) = (narrow(), free());
    let (at_next, answer) = held(next);
    let (world, tell) = world_that_is_told("buffer-drain", (at, next_at), few_descriptors);
    let SharedConnection { world: _world, first, second: _second, mut blocked, other, long } =
        SharedConnection::new(world, &backend);
    blocked.says("-BUSY\r\n");
    sleep(2 * TENTH);
    drop(other); // a descriptor is free again
    tell.send(()).expect("a watch is open");
    assert_eq!(at_next.recv_timeout(20 * TENTH).expect("it goes elsewhere"), "first");
    answer.send(DONE).expect("it waits");
    assert_eq!(toy::reply(&mut BufReader::new(first)).expect("a reply"), "done");
    assert_comes(&mut blocked, &[&long], Way::Fin);
}

// ======== a client that is not read from

/// Guards: of a client with 512 commands unanswered and more than 1 MiB behind them nothing more was read, so its end was
/// not seen; each answer let further ones of its commands begin, seconds after it had left.
#[test]
fn while_more_lies_behind_its_commands_than_is_kept() {
    for way in WAYS {
        let (backend, at) = free();
        let (seen, answer) = held(backend);
        let world = world_of(&format!("unread-{way:?}"), at, |told| told);
        let mut client = world.connect();
        let many: String =
            (0..24).map(|_| (0..16).map(|_| order(&"x".repeat(64_000))).collect::<String>()).collect();
        let few: String = (0..600).map(|_| order("few")).collect();
        writes_ahead(&mut client, &(few + &many));
        assert_eq!(seen.recv_timeout(50 * TENTH).expect("the first one is delivered"), "few");
        let from = Instant::now();
        leaves(client, way);
        seen_to_leave(&world, way);
        assert!(from.elapsed() < TENTH, "{way:?}: seen after {:?}", from.elapsed());
        answer.send(DONE).expect("it waits");
        assert_eq!(seen.recv_timeout(QUIET).ok(), None, "{way:?}");
    }
}

/// Guards: what is dropped while more than 1 MiB waits is refused in its turn, one answer to each command, and reading
/// goes on as before after that.
#[test]
fn what_is_not_kept_is_refused_in_its_turn() {
    const KEPT: usize = 600;
    const LONG: usize = 400;
    let (backend, at) = free();
    let (seen, answer) = held(backend);
    let world = world_of("refused", at, |told| told);
    let mut client = world.connect();
    let mut text: String = (0..KEPT).map(|_| order("few")).collect();
    text += &(0..LONG).map(|_| order(&"x".repeat(64_000))).collect::<String>();
    assert_eq!(writes_ahead(&mut client, &text), text.len(), "all of it is read");
    assert_eq!(seen.recv_timeout(50 * TENTH).expect("the first one is delivered"), "few");
    answer.send(DONE).expect("it waits");
    drop(answer); // every later one fails
    let mut replies = BufReader::new(client.try_clone().expect("a second handle"));
    let said: Vec<String> = (0..KEPT + LONG).map(|_| toy::reply(&mut replies).expect("a reply")).collect();
    assert_eq!(said[0], "done");
    let refused = said.iter().rev().take_while(|s| s.starts_with("-BUSY")).count();
    assert!(refused >= LONG - 2 * MIB / 64_000, "{refused} refused at the end");
    client.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it reads");
    assert_eq!(toy::reply(&mut replies).expect("a reply"), "+PONG");
}

/// The beginning of an order with a long body.
fn half(body: usize, came: usize) -> String {
    let whole = order(&"x".repeat(body));
    whole[..whole.len() - body - 2 + came].to_owned()
}

/// Little memory, so that one long body takes all the room there is for them.
fn little_memory(told: String) -> String {
    told.replace("\"memory_mb\": 192", "\"memory_mb\": 1")
}

/// One whose long body takes all the room, up to its end.
fn takes_the_room(world: &World) -> TcpStream {
    let mut client = world.connect();
    client.write_all(half(900_000, 400_000).as_bytes()).expect("it reads");
    // It has been read once another's answer has come.
    let mut other = world.connect();
    other.write_all(b"*1\r\n$4\r\nPING\r\n").expect("it reads");
    assert_eq!(toy::reply(&mut BufReader::new(other)).expect("a reply"), "+PONG");
    client
}

/// Guards: a client whose long body had no room was not read from, so its end was not seen behind that, and its order
/// before it was written to a connection that came up after the client had left.
#[test]
fn while_the_body_behind_it_has_no_room() {
    for way in WAYS {
        let (backend, at) = Crowded::new();
        let world = world_of(&format!("room-{way:?}"), at, little_memory);
        let _first = takes_the_room(&world);
        let mut client = world.connect();
        asks(&mut client, "early");
        backend.is_asked_for();
        writes_ahead(&mut client, &half(4 * MIB, 4 * MIB));
        let from = Instant::now();
        leaves(client, way);
        seen_to_leave(&world, way);
        assert!(from.elapsed() < TENTH, "{way:?}: seen after {:?}", from.elapsed());
        assert_nothing_is_written(&backend, way);
    }
}

/// Guards: an order that had waited for room was whole, and went on its way, before its client's end was seen behind it.
#[test]
fn while_it_waits_for_room() {
    for way in WAYS {
        let (backend, at) = free();
        let (seen, answer) = held(backend);
        let world = world_of(&format!("body-{way:?}"), at, little_memory);
        let mut first = takes_the_room(&world);
        let mut client = world.connect();
        let whole = order(&"y".repeat(MIB));
        assert_eq!(writes_ahead(&mut client, &whole), whole.len(), "the machine takes all of it");
        leaves(client, way);
        sleep(2 * TENTH);
        first.write_all(("x".repeat(500_000) + "\r\n").as_bytes()).expect("it reads");
        assert_eq!(seen.recv_timeout(50 * TENTH).expect("delivered").len(), 900_000);
        answer.send(DONE).expect("it waits");
        assert_eq!(toy::reply(&mut BufReader::new(first)).expect("a reply"), "done");
        assert_eq!(seen.recv_timeout(QUIET).ok().map(|body| body.len()), None, "{way:?}");
    }
}
