//! The reducer without sockets: events in, the effects it asks for as a short trace.
use expect_test::{expect, Expect};
use quillramp_admission::Limits;
use quillramp_gateway::process::{configuration, operator};
use quillramp_gateway::state::event::{
    CloseReason, ConnectionId, Effect, Event, OperatorUpdate, SharedState,
};
use quillramp_gateway::state::reducer::{Reducer, ReducerConfig};
use quillramp_gateway::wire::admin;
use quillramp_gateway::wire::http::{Request, Response};
use quillramp_gateway::wire::resp::{self, BackendReply};
use std::net::{IpAddr, Ipv4Addr};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Three front doors, two backends, an idempotent operation `look` and a non-idempotent one `order`.
const TOLD: &str = include_str!("told.json");

/// A front door that shares its listening socket, operators' descriptors and a place to keep things, or not.
fn bench_of(sockets: usize, passed: bool, keeps: bool) -> Bench {
    let told = configuration::decode(TOLD.as_bytes()).expect("a good configuration");
    let start = quillramp::settings::load(told.seed, told.settings.get().as_bytes()).expect("good settings");
    let (peers, peers_all, counter, list) = (told.peers, told.peers_all, told.counter, told.discovery);
    let parties = ReducerConfig {
        peers,
        peer_broadcast: peers_all,
        counter,
        discovery: list,
        max_descriptors: sockets,
        inherited_listener: passed,
        admin_enabled: keeps,
        saves_changes: keeps,
    };
    let reducer = Reducer::new(1000.0, start, parties, &told.known);
    let mut bench = Bench { reducer, now: 1000.0, id: 1, text: String::new() };
    bench.settle();
    bench.text.clear();
    bench
}

struct Bench {
    reducer: Reducer,
    now: f64,
    id: u64,
    text: String,
}

fn bench() -> Bench {
    bench_with(1024)
}

fn bench_with(sockets: usize) -> Bench {
    bench_of(sockets, false, false)
}

fn said(effect: &Effect) -> Option<String> {
    Some(match effect {
        Effect::Reply(id, answer) => {
            let mut out = vec![];
            answer.encode(&mut out);
            format!("client {id}: {}", String::from_utf8_lossy(&out).trim_end().replace("\r\n", " "))
        }
        Effect::SendAttempt { connection, call, timeout_ms: wait_ms, .. } => {
            let operation = String::from_utf8_lossy(call.operation());
            format!("backend link {connection}: {operation} for {wait_ms} ms")
        }
        Effect::Withdraw { connection, delivery } => {
            format!("backend link {connection}: withdraw {delivery} if not begun")
        }
        Effect::HttpRequest(conn, Request::AddToCounter { add, .. }) => format!("{conn:?}: add {add}"),
        Effect::HttpRequest(conn, Request::WatchEndpoints { since, wait_ms: 1 }) => {
            format!("{conn:?}: since {since}, at once")
        }
        Effect::HttpRequest(conn, Request::WatchEndpoints { since, .. }) => {
            format!("{conn:?}: watch since {since}")
        }
        Effect::HttpRequest(conn, Request::List) => format!("{conn:?}: list"),
        Effect::Connect(conn, to) => format!("connect {conn:?} to {to}"),
        Effect::SendDatagram(to, body) => format!("datagram of {} to {to}", body.len()),
        Effect::Close(_) => return None, // its log line tells
        Effect::Log(line) => format!("log: {line}"),
        Effect::LogClosed(end) => format!("log: {end}"),
        Effect::AdminRespond(id, r) => format!("operator {id}: {} {}", r.status, r.body.trim_end()),
        Effect::AnnounceDescriptorLimit(most) => format!("will hold {most} descriptors at the most"),
        Effect::Reject(id, why) => format!("client {id} is not taken in: {why}"),
        Effect::SaveChange(_, change) => format!("keep {change:?}"),
        Effect::CloseIfIdle(_, CloseReason::Idle) => return None, // see `settle`
        Effect::CloseIfIdle(id, _) => format!("part with client {id} if it is quiet"),
        Effect::Stream(id, to) => format!("backend link {id} passes to client {to:?}"),
        Effect::CloseIfStalled { connection, unresponsive_for: silent_for, stalled_for: still_for } => {
            format!("backend link {connection} ends if silent for {silent_for} s, or still for {still_for} s")
        }
        Effect::StopReading(id) => format!("read client {id} no more"),
        Effect::StopAccepting => "stop accepting".into(),
        Effect::Exit => "exit once all is written".into(),
        Effect::ExitImmediately => "exit now".into(),
    })
}

fn said_by(client: u64, text: &str) -> Event {
    Event::ClientCommand(client, resp::decode_command(text.as_bytes()).expect("framed").expect("whole").0)
}

impl Bench {
    fn settle(&mut self) -> Option<f64> {
        let (next, effects) = self.reducer.poll(self.now);
        for line in effects.iter().filter_map(said) {
            self.text += &format!("{:.3} {line}\n", self.now - 1000.0);
        }
        // Nothing unread stands on a connection that is idle here: it ends, and the reducer hears of it.
        let idle =
            |e: &Effect| if let Effect::CloseIfIdle(id, CloseReason::Idle) = e { Some(*id) } else { None };
        let mut idle: Vec<Event> = effects
            .iter()
            .filter_map(idle)
            .map(|id| Event::IdleClientClosed(id, CloseReason::Idle))
            .collect();
        if idle.is_empty() {
            return next;
        }
        self.reducer.handle_batch(self.now, &mut idle);
        self.settle()
    }
    fn event(&mut self, event: Event) -> &mut Self {
        self.batch(vec![event])
    }
    fn admits(&mut self, limits: Limits) -> &mut Self {
        let declares = OperatorUpdate { admission: Some(limits), ..OperatorUpdate::default() };
        self.event(Event::OperatorFileReloaded(Box::new(declares)))
    }
    fn batch(&mut self, mut events: Vec<Event>) -> &mut Self {
        self.reducer.handle_batch(self.now, &mut events);
        self.settle();
        self
    }
    /// Lets time go by, with a look whenever one is due.
    fn until(&mut self, at: f64) -> &mut Self {
        while let Some(next) = self.settle().filter(|n| *n <= 1000.0 + at) {
            self.now = self.now.max(next);
        }
        self.now = 1000.0 + at;
        self.settle();
        self
    }
    fn client(&mut self, id: u64) -> &mut Self {
        self.event(Event::ClientAccepted(id, HERE))
    }
    fn call(&mut self, client: u64, operation: &str, customer: u64) -> &mut Self {
        self.command(client, operation, &format!("{customer:016x}"), "t=small,d=800,units=1,spread=1,first=0")
    }
    fn command(&mut self, client: u64, operation: &str, customer: &str, list: &str) -> &mut Self {
        let (verb, body) = if operation == "look" { ("CALL.GET", "") } else { ("CALL.POST", "$1\r\nx\r\n") };
        let (n, list) = (if body.is_empty() { 4 } else { 5 }, format!("c={operation},{list}"));
        let text = format!(
            "*{n}\r\n${}\r\n{verb}\r\n${}\r\n{customer}\r\n$16\r\n{:016x}\r\n${}\r\n{list}\r\n{body}",
            verb.len(),
            customer.len(),
            self.id,
            list.len()
        );
        self.id += 1;
        self.says(client, &text)
    }
    fn says(&mut self, client: u64, text: &str) -> &mut Self {
        self.event(said_by(client, text))
    }
    fn up(&mut self, id: u64) -> &mut Self {
        self.event(Event::Connected(ConnectionId::Backend(id)))
    }
    fn value(&mut self, id: u64, value: &str) -> &mut Self {
        self.replies(id, value, false)
    }
    fn replies(&mut self, id: u64, value: &str, more: bool) -> &mut Self {
        self.event(Event::BackendReply(
            id,
            BackendReply::Value { value: value.into(), billed: None, report: None },
            more,
        ))
    }
    fn ended(&mut self, conn: ConnectionId, why: CloseReason, unsent: bool) -> &mut Self {
        self.event(Event::ConnectionEnded { connection: conn, reason: why, unsent })
    }
    fn counter(&mut self, id: u64, status: u16, body: &str) -> &mut Self {
        self.event(Event::HttpResponse(
            ConnectionId::Counter(id),
            Response { status, body: body.into(), closes_connection: false },
        ))
    }
    /// Keeps these lines of what was said.
    fn only(&mut self, which: impl Fn(&str) -> bool) {
        let lines = std::mem::take(&mut self.text);
        self.text = lines.lines().filter(|l| which(l)).map(|l| l.to_owned() + "\n").collect();
    }
    /// What was said, the list service apart.
    fn is_but_list(&mut self, expected: Expect) {
        self.only(|l| !l.contains("connection list") && !l.contains("connect Discovery"));
        self.is(expected);
    }
    fn is(&mut self, expected: Expect) {
        expected.assert_eq(&std::mem::take(&mut self.text));
    }
}

#[test]
fn what_is_out_when_the_clients_time_is_up_has_timed_out_and_is_answered() {
    let mut b = bench();
    b.client(1).call(1, "order", 5).until(0.05).up(3).until(1.0);
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.040 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: order for 750 ms
        0.080 log: connection counter 2 ended: dial-timeout
        0.800 log: connection backend 3 s-a ended: gave-up
        0.800 client 1: -ERR failed
    "#]]);
}

#[test]
fn answers_go_in_the_order_of_the_commands() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).call(1, "look", 6).until(0.05).up(4).up(5).value(5, "second");
    b.value(4, "first");
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 connect Counter(3) to 127.0.0.1:7007
        0.016 connect Backend(4) to 127.0.0.1:7012
        0.016 connect Backend(5) to 127.0.0.1:7011
        0.050 backend link 4: look for 750 ms
        0.050 backend link 5: look for 750 ms
        0.050 client 1: $5 first
        0.050 client 1: $6 second
    "#]]);
}

/// Guards: units of 0, a non-idempotent operation sent as an idempotent one and the id of an invocation that is out
/// went on to backends, which said so five times over and were set aside for it.
#[test]
fn a_command_that_the_settings_do_not_allow_is_said_to_be_wrong_and_goes_nowhere() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).until(0.05).up(3).text.clear();
    b.id = 1;
    b.call(1, "look", 5);
    let customer = "0000000000000005";
    for list in [
        "t=small,d=800,units=0,spread=1,first=0",
        "t=small,d=800,units=9,spread=1,first=0",
        "t=small,d=800,units=1,spread=0,first=0",
        "t=small,d=800,units=1,spread=4,first=0",
        "t=small,d=800,units=1,spread=1,first=3",
        "t=small,d=0,units=1,spread=1,first=0",
        "t=small,d=1501,units=1,spread=1,first=0",
        "t=big,d=800,units=1,spread=1,first=0",
    ] {
        b.command(1, "look", customer, list);
    }
    b.command(1, "sing", customer, "t=small,d=800,units=1,spread=1,first=0");
    let list = "c=order,t=small,d=800,units=1,spread=1,first=0";
    b.says(
        1,
        &format!(
            "*4\r\n$8\r\nCALL.GET\r\n$16\r\n{customer}\r\n$16\r\n{customer}\r\n${}\r\n{list}\r\n",
            list.len()
        ),
    );
    b.value(3, "served");
    b.is(expect![[r#"
        0.050 client 1: $6 served
        0.050 client 1: -ERR id: an invocation under it is open
        0.050 client 1: -ERR units: expected more than 0, and 8 at the most
        0.050 client 1: -ERR units: expected more than 0, and 8 at the most
        0.050 client 1: -ERR first and spread: no such front doors
        0.050 client 1: -ERR first and spread: no such front doors
        0.050 client 1: -ERR first and spread: no such front doors
        0.050 client 1: -ERR d: expected 1 to 1500 ms
        0.050 client 1: -ERR d: expected 1 to 1500 ms
        0.050 client 1: -ERR unknown plan
        0.050 client 1: -ERR unknown operation
        0.050 client 1: -ERR not by this command: CALL.GET is for what may be repeated, CALL.POST for all else
    "#]]);
}

#[test]
fn a_non_idempotent_delivery_goes_again_only_if_it_had_not_left_whole() {
    let mut b = bench();
    b.client(1).call(1, "order", 5).until(0.05).up(3);
    b.ended(ConnectionId::Backend(3), CloseReason::Reset, true).up(4).ended(
        ConnectionId::Backend(4),
        CloseReason::Reset,
        false,
    );
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.040 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: order for 750 ms
        0.050 log: connection backend 3 s-a ended: reset
        0.050 connect Backend(4) to 127.0.0.1:7012
        0.050 backend link 4: order for 750 ms
        0.050 log: connection backend 4 s-b ended: reset
        0.050 client 1: -ERR failed
    "#]]);
}

#[test]
fn a_link_that_comes_up_late_is_written_to_only_if_that_still_makes_sense() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).until(0.05);
    let list = r#"{"index":42,"snapshot":false,"endpoints":[{"name":"s-a","address":"127.0.0.1:7011",
        "zone":"z","group":0,"status":"DRAINING","weight":1.0,"since_ms":0}]}"#;
    b.event(Event::Connected(ConnectionId::Discovery(1)));
    b.event(Event::HttpResponse(
        ConnectionId::Discovery(1),
        Response { status: 200, body: list.into(), closes_connection: false },
    ));
    b.up(3).until(0.1);
    b.ended(ConnectionId::Client(1), CloseReason::Closed, false).up(4);
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 Discovery(1): watch since 41
        0.050 Discovery(1): watch since 42
        0.050 log: connection backend 3 s-a ended: delisted
        0.050 connect Backend(4) to 127.0.0.1:7012
        0.080 log: connection counter 2 ended: dial-timeout
        0.100 log: connection client 1 ended: closed
        0.100 log: connection backend 4 s-b ended: gave-up
    "#]]);
}

#[test]
fn an_idle_link_serves_again_and_closes_well_before_the_backend_would() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).until(0.05).up(3).value(3, "a").until(1.0).call(1, "look", 5).until(1.05);
    b.until(1.1).value(3, "b").until(10.0);
    b.is_but_list(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: look for 750 ms
        0.050 client 1: $1 a
        0.080 log: connection counter 2 ended: dial-timeout
        1.000 connect Counter(4) to 127.0.0.1:7007
        1.016 backend link 3: look for 783 ms
        1.080 log: connection counter 4 ended: dial-timeout
        1.080 log: counter silent: 4 calls missed in 1.08 s; even slices
        1.100 client 1: $1 b
        9.000 log: connection backend 3 s-a ended: idle
    "#]]);
}

#[test]
fn a_silent_counter_connection_is_not_written_to_and_its_late_answer_is_dropped() {
    let mut b = bench();
    b.client(1).call(1, "look", 5).event(Event::Connected(ConnectionId::Counter(2))).until(0.1);
    b.call(1, "look", 6)
        .event(Event::Connected(ConnectionId::Counter(4)))
        .counter(2, 200, "1")
        .counter(4, 200, "1");
    b.call(1, "look", 7).counter(2, 503, "").until(0.2);
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 Counter(2): add 1
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.100 connect Counter(4) to 127.0.0.1:7007
        0.100 Counter(4): add 1.026315789473684
        0.100 Counter(2): add 20.200000000000045
        0.100 connect Backend(5) to 127.0.0.1:7012
        0.100 Counter(4): add 1.0249343832020998
    "#]]);
}

#[test]
fn calls_on_one_name_have_their_turns_in_order() {
    let mut b = bench();
    b.client(1).event(Event::Connected(ConnectionId::Discovery(1)));
    for customer in [5, 6] {
        b.call(1, "look", customer);
    }
    b.event(Event::Connected(ConnectionId::Counter(2))).event(Event::Connected(ConnectionId::Counter(3)));
    // The other connection is free, but the lift of the first name is still out.
    b.counter(3, 200, "1").counter(3, 200, "21").counter(2, 200, "1").call(1, "look", 5);
    b.is(expect![[r#"
        0.000 Discovery(1): watch since 41
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 connect Counter(3) to 127.0.0.1:7007
        0.000 Counter(2): add 1
        0.000 Counter(3): add 1
        0.000 Counter(3): add 20
        0.000 connect Backend(4) to 127.0.0.1:7012
        0.000 Counter(2): add 20
        0.000 connect Backend(5) to 127.0.0.1:7011
        0.000 Counter(2): add 1
    "#]]);
}

#[test]
fn where_descriptors_run_short_idle_connections_go_first_and_then_deliveries_share() {
    let mut b = bench_with(32 + 5);
    b.client(1).client(2).call(1, "look", 5).until(0.05).up(3).value(3, "a").client(3);
    b.call(1, "look", 6).until(0.1).call(1, "look", 7).until(0.15);
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: look for 750 ms
        0.050 client 1: $1 a
        0.050 log: connection backend 3 s-a ended: crowded
        0.050 connect Counter(4) to 127.0.0.1:7007
        0.066 log: connection client 2 ended: crowded
        0.066 connect Backend(5) to 127.0.0.1:7011
        0.080 log: connection counter 2 ended: dial-timeout
        0.100 connect Counter(6) to 127.0.0.1:7007
        0.116 log: connection client 3 ended: crowded
        0.116 connect Backend(7) to 127.0.0.1:7012
        0.130 log: connection counter 4 ended: dial-timeout
    "#]]);
}

#[test]
fn told_to_stop_it_serves_on_then_ends_connections_and_leaves_when_all_is_answered() {
    let mut b = bench();
    b.client(1).client(2).event(Event::Shutdown).until(0.3).call(1, "look", 5).until(0.35).up(3).until(0.5);
    b.event(Event::IdleClientClosed(2, CloseReason::Stopping))
        .until(0.6)
        .value(3, "a")
        .event(Event::Shutdown)
        .event(Event::IdleClientClosed(1, CloseReason::Stopping));
    b.is(expect![[r#"
        0.000 log: told to stop: serving on, then ending connections
        0.300 connect Counter(2) to 127.0.0.1:7007
        0.316 connect Backend(3) to 127.0.0.1:7011
        0.350 backend link 3: look for 749 ms
        0.380 log: connection counter 2 ended: dial-timeout
        0.500 stop accepting
        0.500 part with client 2 if it is quiet
        0.500 log: connection client 2 ended: stopping
        0.566 connect Backend(4) to 127.0.0.1:7012
        0.600 client 1: $1 a
        0.600 log: connection backend 4 s-b ended: gave-up
        0.600 part with client 1 if it is quiet
        0.600 log: connection client 1 ended: stopping
        0.600 exit once all is written
    "#]]);
}

#[test]
fn strangers_and_malformed_datagrams_are_dropped_and_counted() {
    let mut b = bench();
    let peer = "127.0.0.1:7004".parse().expect("an address");
    let stranger = "127.0.0.1:9".parse().expect("an address");
    b.event(Event::Datagram { from: peer, body: b"\x01s-a".to_vec() });
    b.event(Event::Datagram { from: stranger, body: b"\x01s-a".to_vec() });
    b.event(Event::Datagram { from: peer, body: vec![2; 300] });
    // A count for more front doors than there are.
    b.event(Event::Datagram { from: peer, body: [&[2, 5, 0, 0, 0, 0, 0, 0, 0, 9, 0][..], &[0; 8]].concat() });
    b.event(Event::Datagram { from: peer, body: [&[2, 5, 0, 0, 0, 0, 0, 0, 0, 3, 0][..], &[0; 8]].concat() });
    b.event(Event::Datagram { from: peer, body: vec![] });
    b.is(expect![[r#"
        0.000 log: datagrams dropped so far: 1
        0.000 log: datagrams dropped so far: 2
        0.000 log: datagrams dropped so far: 4
    "#]]);
}

#[test]
fn broken_framing_is_said_and_the_connection_closes_after_what_it_is_owed() {
    let mut b = bench();
    b.client(1)
        .call(1, "look", 5)
        .event(Event::ClientCommand(1, resp::ClientCommand::ProtocolError("no array")));
    b.until(0.05).up(3).value(3, "a");
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.016 connect Backend(3) to 127.0.0.1:7011
        0.050 backend link 3: look for 750 ms
        0.050 client 1: $1 a
        0.050 client 1: -ERR protocol: no array
        0.050 log: connection client 1 ended: bad-framing
    "#]]);
}

/// Guards: a configuration read again under load moves the list and the counter over and ends no invocation.
#[test]
fn the_list_and_the_counter_move_under_load() {
    let mut b = bench();
    b.client(1)
        .event(Event::Connected(ConnectionId::Discovery(1)))
        .call(1, "look", 5)
        .event(Event::Connected(ConnectionId::Counter(2)));
    let (list, counter) = ("127.0.0.1:8006".parse().expect("address"), "127.0.0.1:8007".parse().ok());
    b.event(Event::ConfigurationReloaded { discovery: list, counter })
        .event(Event::Connected(ConnectionId::Discovery(3)));
    b.call(1, "look", 6)
        .event(Event::Connected(ConnectionId::Counter(4)))
        .counter(2, 200, "1")
        .up(6)
        .value(6, "served");
    let whole = r#"{"index":3,"snapshot":true,"endpoints":[]}"#;
    b.event(Event::HttpResponse(
        ConnectionId::Discovery(3),
        Response { status: 200, body: whole.into(), closes_connection: false },
    ));
    b.is(expect![[r#"
        0.000 Discovery(1): watch since 41
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 Counter(2): add 1
        0.000 log: configuration read again: list service at 127.0.0.1:8006, counter at Some(127.0.0.1:8007)
        0.000 log: connection list 1 ended: moved
        0.000 connect Discovery(3) to 127.0.0.1:8006
        0.000 Discovery(3): list
        0.000 connect Counter(4) to 127.0.0.1:8007
        0.000 Counter(4): add 1
        0.000 log: connection counter 2 ended: moved
        0.000 connect Counter(5) to 127.0.0.1:8007
        0.000 connect Backend(6) to 127.0.0.1:7012
        0.000 backend link 6: look for 799 ms
        0.000 client 1: $6 served
        0.000 log: connection backend 6 s-b ended: delisted
        0.000 Discovery(3): watch since 3
    "#]]);
}

/// Guards: clients that keep a connection and ask no more took the descriptors of backend connections, each of which
/// costs a handshake to have again; and clients that say nothing held theirs for ever.
#[test]
fn clients_that_only_hold_on_are_let_go() {
    let mut b = bench_with(32 + 6);
    b.client(1).client(2).call(2, "look", 5).until(0.05).up(3).value(3, "a").until(2.2).text.clear();
    // Short of descriptors: who never said anything goes first, then who was answered long ago, then a backend's.
    b.client(3).client(4).call(3, "look", 6).client(5).client(6);
    b.is_but_list(expect![[r#"
        2.200 connect Counter(5) to 127.0.0.1:7007
        2.200 log: connection client 1 ended: crowded
        2.200 log: connection client 2 ended: crowded
    "#]]);
    // With enough of them, one that has asked may stay for longer, unless it stopped in mid-command.
    let mut b = bench();
    b.client(1).client(2).call(2, "look", 5).until(0.05).up(3).value(3, "a").text.clear();
    b.until(0.5).client(3).call(3, "order", 5).event(Event::PartialMessage(ConnectionId::Client(3)));
    b.until(11.0);
    b.is_but_list(expect![[r#"
        0.080 log: connection counter 2 ended: dial-timeout
        0.500 connect Counter(4) to 127.0.0.1:7007
        0.540 backend link 3: order for 759 ms
        0.580 log: connection counter 4 ended: dial-timeout
        0.580 log: counter silent: 4 calls missed in 0.58 s; even slices
        1.300 log: connection backend 3 s-a ended: gave-up
        1.300 client 3: -ERR failed
        2.500 log: connection client 1 ended: idle
        3.000 log: connection client 3 ended: idle
        10.500 log: connection client 2 ended: idle
    "#]]);
}

/// Guards: a reply that can't be read set its backend aside; a second copy behind a good one was the next delivery's
/// answer; and so was what came on an idle connection.
#[test]
fn spoilt_replies_fail_and_what_nobody_asked_for_ends_the_connection() {
    let mut b = bench();
    b.client(1).call(1, "order", 5).until(0.05).up(3).ended(
        ConnectionId::Backend(3),
        CloseReason::BadFraming,
        false,
    );
    b.call(1, "look", 6).until(0.1).text.clear();
    b.up(5).replies(5, "good", true).value(5, "good").call(1, "look", 7).until(0.15).up(7).value(7, "good");
    b.event(Event::PartialMessage(ConnectionId::Backend(7)));
    b.is(expect![[r#"
        0.100 backend link 5: look for 749 ms
        0.100 client 1: $4 good
        0.100 log: connection backend 5 s-a ended: surplus
        0.100 connect Counter(6) to 127.0.0.1:7007
        0.116 connect Backend(7) to 127.0.0.1:7011
        0.130 log: connection counter 4 ended: dial-timeout
        0.150 backend link 7: look for 750 ms
        0.150 client 1: $4 good
        0.150 log: connection backend 7 s-a ended: surplus
    "#]]);
}

/// Guards: a counter's answer without a number kept its connection in use, and what it added was not given back.
#[test]
fn an_answer_of_the_counter_without_a_number_ends_its_connection_and_the_units_go_back() {
    let mut b = bench();
    b.client(1)
        .call(1, "look", 5)
        .event(Event::Connected(ConnectionId::Counter(2)))
        .counter(2, 200, "none")
        .until(0.2);
    b.call(1, "look", 5).event(Event::Connected(ConnectionId::Counter(4))).ended(
        ConnectionId::Counter(4),
        CloseReason::BadFraming,
        false,
    );
    b.until(0.4).call(1, "look", 5).event(Event::Connected(ConnectionId::Counter(6))).counter(6, 200, "1");
    b.counter(6, 200, "21").event(Event::PartialMessage(ConnectionId::Counter(6)));
    b.is(expect![[r#"
        0.000 connect Counter(2) to 127.0.0.1:7007
        0.000 Counter(2): add 1
        0.000 log: connection counter 2 ended: bad-framing
        0.000 connect Backend(3) to 127.0.0.1:7011
        0.200 connect Counter(4) to 127.0.0.1:7007
        0.200 Counter(4): add 1.026315789473684
        0.200 log: connection counter 4 ended: bad-framing
        0.200 connect Backend(5) to 127.0.0.1:7012
        0.250 log: connection backend 3 s-a ended: dial-timeout
        0.250 client 1: -BUSY 400
        0.400 connect Counter(6) to 127.0.0.1:7007
        0.400 Counter(6): add 1.0262467191601052
        0.400 Counter(6): add 20.799999999999955
        0.400 connect Backend(7) to 127.0.0.1:7011
        0.400 log: connection counter 6 ended: surplus
    "#]]);
}

/// Guards: backends that had gone were kept for ever, by name, place and what the decisions knew of them; and an index
/// must not come to mean another backend while anything here has to do with the first.
#[test]
fn gone_backends_are_forgotten_once_nothing_has_to_do_with_them() {
    let mut b = bench();
    b.event(Event::Connected(ConnectionId::Discovery(1)))
        .client(1)
        .call(1, "order", 5)
        .until(0.05)
        .up(3)
        .text
        .clear();
    let mut list = |names: &[&str]| {
        let entry = |n: &&str| {
            format!(
                r#"{{"name":"{n}","address":"127.0.0.1:7011","zone":"z","group":0,"status":"SERVING","weight":1,"since_ms":0}}"#
            )
        };
        let all: Vec<String> = names.iter().map(entry).collect();
        let body = format!(r#"{{"index":42,"snapshot":true,"endpoints":[{}]}}"#, all.join(","));
        b.event(Event::HttpResponse(
            ConnectionId::Discovery(1),
            Response { status: 200, body: body.into(), closes_connection: false },
        ));
        let until = b.now - 1000.0 + 1.0;
        b.until(until).text.clear();
        b.reducer.backend_count()
    };
    // The order is out at the first backend all the while; the indices of others are used again.
    let mut places = vec![];
    for names in [&["s-c", "s-d"], &["s-e", "s-f"], &["s-g", "s-h"]] {
        places.push(list(names));
    }
    expect!["[4, 4, 4]"].assert_eq(&format!("{places:?}"));
}

fn call(b: &mut Bench, id: u64, text: &str) {
    let call = admin::decode_call(format!("{text} HTTP/1.1\r\n\r\n").as_bytes()).expect("whole");
    b.event(Event::AdminConnected(id)).event(Event::AdminCall(id, call));
}

/// A change that is kept by now, as the thread that keeps it tells.
fn kept(b: &mut Bench, id: u64, out: &[&str], drained: bool) {
    let shared = SharedState {
        ejected_backends: out.iter().map(|n| (n.to_string(), 1000.0)).collect(),
        drained,
        ..SharedState::default()
    };
    b.event(Event::SharedStateSaved { call: Some(id), shared: Ok(shared) });
}

fn whole_list(names: &[(&str, u16)]) -> Event {
    let entry = |(name, port): &(&str, u16)| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"z","group":0,"status":"SERVING","weight":1,"since_ms":0}}"#
        )
    };
    let all: Vec<String> = names.iter().map(entry).collect();
    let body = format!(r#"{{"index":42,"snapshot":true,"endpoints":[{}]}}"#, all.join(","));
    Event::HttpResponse(
        ConnectionId::Discovery(1),
        Response { status: 200, body: body.into(), closes_connection: false },
    )
}

/// Guards: a backend out by hand gets nothing new, whatever the list says; one call back ends it, and then it is used
/// again, as a cold one; nobody can leave out what was never listed.
#[test]
fn a_backend_out_by_hand_stays_out_until_it_is_called_back() {
    let mut b = bench_of(1024, false, true);
    b.event(Event::Connected(ConnectionId::Discovery(1))).client(1).text.clear();
    call(&mut b, 1, "POST /backends/s-x/maint");
    for id in [2, 3] {
        call(&mut b, id, "POST /backends/s-b/maint");
        kept(&mut b, id, &["s-b"], false);
    }
    // It leaves the list, is forgotten, and is listed again.
    b.event(whole_list(&[("s-a", 7011)])).until(1.0).event(whole_list(&[("s-a", 7011), ("s-b", 7012)]));
    for customer in 0..6 {
        let at = b.now - 1000.0 + 0.1;
        b.call(1, "order", customer).until(at);
    }
    assert!(b.text.contains(":7011") && !b.text.contains(":7012"), "{}", b.text);
    call(&mut b, 4, "POST /backends/s-b/ready");
    kept(&mut b, 4, &[], false);
    call(&mut b, 5, "POST /backends/s-b/ready");
    kept(&mut b, 5, &[], false);
    let before = b.text.len();
    for customer in 10..40 {
        let at = b.now - 1000.0 + 0.1;
        b.call(1, "order", customer).until(at);
    }
    assert!(b.text[before..].contains(":7012"), "it is used again");
    b.only(|l| l.contains("operator") || l.contains("by hand") || l.contains("keep"));
    b.is(expect![[r#"
        0.000 operator 1: 404 backend s-x was never listed
        0.000 log: backend s-b left out by hand
        0.000 keep EjectBackend("s-b", 1000.0)
        0.000 operator 2: 200 done
        0.000 keep EjectBackend("s-b", 1000.0)
        0.000 operator 3: 200 done
        1.000 log: connection operator 1 ended: called
        1.000 log: connection operator 2 ended: called
        1.000 log: connection operator 3 ended: called
        1.600 log: backend s-b back by hand
        1.600 keep RestoreBackend("s-b")
        1.600 operator 4: 200 done
        1.600 keep RestoreBackend("s-b")
        1.600 operator 5: 200 done
        2.600 log: connection operator 4 ended: called
        2.600 log: connection operator 5 ended: called
    "#]]);
}

/// Guards: a drained front door says no at once, takes what comes, ends connections between commands and takes clients
/// again after one call; SIGTERM in a drain ends in an exit all the same.
#[test]
fn a_drain_says_no_ends_connections_and_is_over_with_one_call() {
    let mut b = bench_of(1024, false, true);
    b.client(1).client(2).says(2, "*1\r\n$4\r\nPING\r\n").call(1, "order", 5).until(0.05).text.clear();
    call(&mut b, 1, "POST /healthcheck/ok");
    kept(&mut b, 1, &[], false);
    call(&mut b, 2, "POST /healthcheck/fail");
    b.says(2, "*1\r\n$4\r\nPING\r\n");
    kept(&mut b, 2, &[], true);
    call(&mut b, 3, "GET /healthcheck");
    b.until(0.3)
        .client(3)
        .until(0.6)
        .event(Event::IdleClientClosed(2, CloseReason::Draining))
        .event(Event::IdleClientClosed(3, CloseReason::Draining));
    // One that asks on and on is read no more.
    b.call(1, "look", 6).until(1.6).text += "--\n";
    call(&mut b, 4, "POST /healthcheck/fail");
    kept(&mut b, 4, &[], true);
    call(&mut b, 5, "POST /healthcheck/ok");
    kept(&mut b, 5, &[], false);
    b.client(4).says(4, "*1\r\n$4\r\nPING\r\n").until(2.0).text += "--\n";
    call(&mut b, 6, "POST /healthcheck/fail");
    kept(&mut b, 6, &[], true);
    b.until(2.4).event(Event::Shutdown).until(3.0).event(Event::IdleClientClosed(4, CloseReason::Stopping));
    call(&mut b, 7, "POST /healthcheck/ok");
    kept(&mut b, 7, &[], false);
    call(&mut b, 8, "GET /healthcheck");
    b.only(|l| !l.contains("ackend") && !l.contains("ounter"));
    b.is(expect![[r#"
        0.050 keep SetDrained(false)
        0.050 operator 1: 200 done
        0.050 log: drained by hand: ending connections
        0.050 keep SetDrained(true)
        0.050 client 2: -ERR draining
        0.050 operator 2: 200 done
        0.050 operator 3: 503 draining
        0.550 part with client 2 if it is quiet
        0.550 part with client 3 if it is quiet
        0.600 log: connection client 2 ended: draining
        0.600 log: connection client 3 ended: draining
        0.790 client 1: -BUSY 500
        1.050 log: connection operator 1 ended: called
        1.050 log: connection operator 2 ended: called
        1.050 log: connection operator 3 ended: called
        1.116 client 1: -BUSY 500
        1.116 part with client 1 if it is quiet
        --
        1.600 keep SetDrained(true)
        1.600 operator 4: 200 done
        1.600 log: the drain is over
        1.600 keep SetDrained(false)
        1.600 operator 5: 200 done
        1.600 client 4: +PONG
        --
        2.000 log: drained by hand: ending connections
        2.000 keep SetDrained(true)
        2.000 operator 6: 200 done
        2.400 log: told to stop: serving on, then ending connections
        2.600 log: connection operator 4 ended: called
        2.600 log: connection operator 5 ended: called
        2.900 stop accepting
        2.900 part with client 1 if it is quiet
        2.900 part with client 4 if it is quiet
        3.000 log: connection operator 6 ended: called
        3.000 log: connection client 4 ended: stopping
        3.000 log: the drain is over
        3.000 keep SetDrained(false)
        3.000 operator 7: 200 done
        3.000 operator 8: 503 draining
    "#]]);
}

/// Guards: with the listening socket passed on, the old process leaves it at once, still says yes for the front door,
/// ends connections between commands only, and none that nobody has asked anything on; bans made at the new one hold.
#[test]
fn an_old_version_serves_out_while_the_new_one_accepts() {
    let mut b = bench_of(1024, true, true);
    b.client(1)
        .client(2)
        .client(3)
        .says(2, "*1\r\n$4\r\nPING\r\n")
        .call(1, "order", 5)
        .until(0.05)
        .text
        .clear();
    let out = [("s-a".to_string(), 1000.0)].into();
    b.event(Event::SharedStateSaved {
        call: None,
        shared: Ok(SharedState {
            ejected_backends: out,
            drained: false,
            peer_process_running: true,
            peer_process_newer: true,
            peer_descriptor_limit: None,
        }),
    });
    b.event(Event::Shutdown)
        .says(2, "*1\r\n$4\r\nPING\r\n")
        .event(Event::IdleClientClosed(2, CloseReason::Stopping))
        .until(3.1);
    b.says(3, "*1\r\n$4\r\nPING\r\n")
        .event(Event::IdleClientClosed(3, CloseReason::Stopping))
        .event(Event::IdleClientClosed(1, CloseReason::Stopping));
    b.only(|l| !l.contains("ounter"));
    b.is(expect![[r#"
        0.050 log: backend s-a left out by hand
        0.050 log: another process of this front door is there
        0.050 log: told to stop: the next process accepts, this one serves out
        0.050 stop accepting
        0.050 will hold 62 descriptors at the most
        0.050 part with client 2 if it is quiet
        0.050 client 2: +PONG
        0.050 part with client 2 if it is quiet
        0.050 log: connection client 2 ended: stopping
        0.290 log: connection backend 3 s-a ended: dial-timeout
        0.290 connect Backend(4) to 127.0.0.1:7012
        0.540 log: connection backend 4 s-b ended: dial-timeout
        0.540 connect Backend(5) to 127.0.0.1:7012
        0.790 log: connection backend 5 s-b ended: dial-timeout
        0.790 client 1: -BUSY 500
        0.790 part with client 1 if it is quiet
        3.100 client 3: +PONG
        3.100 part with client 3 if it is quiet
        3.100 log: connection client 3 ended: stopping
        3.100 log: connection client 1 ended: stopping
        3.100 exit once all is written
    "#]]);
}

/// Guards: each figure counts what was served, refused and failed, an abandoned one as none of these.
#[test]
fn the_figures_are_those_of_what_happened() {
    let mut b = bench_of(1024, false, true);
    b.client(1)
        .client(2)
        .call(1, "look", 5)
        .until(0.05)
        .up(3)
        .value(3, "a")
        .call(1, "order", 6)
        .until(0.1)
        .ended(ConnectionId::Backend(3), CloseReason::Reset, false);
    b.call(2, "look", 7).until(0.15);
    b.ended(ConnectionId::Client(2), CloseReason::Closed, false);
    // A full quota refuses.
    for _ in 0..12 {
        b.call(1, "look", 8);
    }
    b.event(Event::ReloadFailed("no file".into())).reducer.stats.written += 2;
    b.text.clear();
    call(&mut b, 1, "GET /stats");
    b.until(0.5);
    call(&mut b, 2, "GET /stats");
    b.only(|l| l.contains("operator"));
    b.is(expect![[r#"
        0.150 operator 1: 200 {"completed":{"look":1,"order":0},"rejected":{"look":0,"order":0},"failed":{"look":0,"order":1},"upstream_requests":2,"pending":12,"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":1}
        0.500 operator 2: 200 {"completed":{"look":1,"order":0},"rejected":{"look":10,"order":0},"failed":{"look":0,"order":1},"upstream_requests":2,"pending":2,"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":1}
    "#]]);
}

/// Guards: callers that finish no call hold nothing up; their number is bounded, and so is their time.
#[test]
fn callers_that_say_nothing_are_let_go() {
    let mut b = bench_of(1024, false, true);
    for id in 0..17 {
        b.event(Event::AdminConnected(id));
    }
    b.until(4.9);
    call(&mut b, 17, "GET /nowhere");
    b.until(5.1);
    let ended = b.text.matches("ended: called").count();
    assert_eq!(ended, 17, "{}", b.text);
    b.only(|l| l.contains("404") || l.contains("operator 0 "));
    b.is(expect![[r#"
        0.000 log: connection operator 0 ended: called
        4.900 operator 17: 404 no such call
    "#]]);
}

/// Guards: a client that took 2 s for a command was cut off, 2 s after its last answer and with more of it on the way.
#[test]
fn a_slow_command_has_its_time_from_its_first_byte() {
    let mut b = bench();
    b.client(1).client(2).says(1, "*1\r\n$4\r\nPING\r\n").until(1.9).text.clear();
    for at in [1.9, 2.5, 3.0, 3.8] {
        b.until(at).event(Event::PartialMessage(ConnectionId::Client(1)));
    }
    b.until(3.9)
        .says(1, "*1\r\n$4\r\nPING\r\n")
        .event(Event::PartialMessage(ConnectionId::Client(1)))
        .until(8.0);
    b.is_but_list(expect![[r#"
        2.500 log: connection client 2 ended: idle
        3.900 client 1: +PONG
        6.400 log: connection client 1 ended: idle
    "#]]);
}

/// Guards: a value over 64 KiB broke its connection off. It passes when it is its turn, nothing is delivered again from
/// then on, and one that breaks off ends its client's connection.
#[test]
fn a_long_value_passes_in_its_turn_and_is_never_asked_for_again() {
    let mut b = bench();
    b.client(1).client(2).call(1, "look", 5).call(1, "look", 6).until(0.05).up(4).up(5).text.clear();
    b.event(Event::StreamStarted(5)).value(4, "first").until(5.0);
    call(&mut b, 9, "GET /stats");
    b.event(Event::StreamForwarded(5))
        .event(Event::StreamTrailer(5, None, None, false))
        .call(1, "look", 7)
        .until(5.02)
        .text += "--\n";
    // The same one breaks off.
    b.event(Event::StreamStarted(5))
        .until(5.1)
        .ended(ConnectionId::Backend(5), CloseReason::Reset, false)
        .until(8.0);
    b.only(|l| !l.contains("ounter"));
    b.is_but_list(expect![[r#"
        0.050 client 1: $5 first
        0.050 backend link 5 passes to client Some(1)
        0.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
        1.000 backend link 5 ends if silent for 0.2 s, or still for 30 s
        1.200 backend link 5 ends if silent for 0.2 s, or still for 30 s
        1.400 backend link 5 ends if silent for 0.2 s, or still for 30 s
        1.600 backend link 5 ends if silent for 0.2 s, or still for 30 s
        1.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
        2.000 backend link 5 ends if silent for 0.2 s, or still for 30 s
        2.200 backend link 5 ends if silent for 0.2 s, or still for 30 s
        2.400 backend link 5 ends if silent for 0.2 s, or still for 30 s
        2.500 log: connection client 2 ended: idle
        2.600 backend link 5 ends if silent for 0.2 s, or still for 30 s
        2.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
        3.000 backend link 5 ends if silent for 0.2 s, or still for 30 s
        3.200 backend link 5 ends if silent for 0.2 s, or still for 30 s
        3.400 backend link 5 ends if silent for 0.2 s, or still for 30 s
        3.600 backend link 5 ends if silent for 0.2 s, or still for 30 s
        3.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
        4.000 backend link 5 ends if silent for 0.2 s, or still for 30 s
        4.200 backend link 5 ends if silent for 0.2 s, or still for 30 s
        4.400 backend link 5 ends if silent for 0.2 s, or still for 30 s
        4.600 backend link 5 ends if silent for 0.2 s, or still for 30 s
        4.800 backend link 5 ends if silent for 0.2 s, or still for 30 s
        5.000 operator 9: 200 {"completed":{"look":1,"order":0},"rejected":{"look":0,"order":0},"failed":{"look":0,"order":0},"upstream_requests":0,"pending":1,"members":2,"members_unavailable":0,"config_reloads":0,"config_reload_errors":0}
        5.000 client 1: 
        5.000 backend link 5: look for 799 ms
        --
        5.020 backend link 5 passes to client Some(1)
        5.100 log: connection backend 5 s-a ended: reset
        5.100 log: connection client 1 ended: cut-off
        6.000 log: connection operator 9 ended: called
        8.000 log: connection backend 4 s-b ended: idle
    "#]]);
}

/// Guards: a connection to the list service that had gone mute was waited on for 22 s, while all backends were replaced.
/// No answer by when one is due, news or not, is asked for anew at once, by calls that do not wait; an end, too.
#[test]
fn a_mute_list_connection_is_left_when_its_answer_is_due() {
    let mut b = bench();
    let none = r#"{"index":41,"snapshot":false,"endpoints":[]}"#;
    let answer = |id| {
        let response = Response { status: 200, body: none.into(), closes_connection: false };
        Event::HttpResponse(ConnectionId::Discovery(id), response)
    };
    b.event(Event::Connected(ConnectionId::Discovery(1)))
        .until(5.5)
        .event(Event::Connected(ConnectionId::Discovery(2)))
        .event(answer(2));
    b.until(7.0)
        .ended(ConnectionId::Discovery(2), CloseReason::Reset, false)
        .event(Event::Connected(ConnectionId::Discovery(3)))
        .event(answer(3));
    // Nobody there: a call is out at any time, however long that lasts.
    b.until(8.0).ended(ConnectionId::Discovery(3), CloseReason::Reset, false);
    for id in 4..8 {
        b.ended(ConnectionId::Discovery(id), CloseReason::Refused, false);
        let next = b.now - 1000.0 + 0.25;
        b.until(next);
    }
    b.until(12.0);
    b.is(expect![[r#"
        0.000 Discovery(1): watch since 41
        5.400 connect Discovery(2) to 127.0.0.1:7002
        5.500 Discovery(2): since 41, at once
        5.500 log: connection list 1 ended: silent
        5.500 Discovery(2): watch since 41
        7.000 log: connection list 2 ended: reset
        7.000 connect Discovery(3) to 127.0.0.1:7002
        7.000 Discovery(3): since 41, at once
        7.000 Discovery(3): watch since 41
        8.000 log: connection list 3 ended: reset
        8.000 connect Discovery(4) to 127.0.0.1:7002
        8.000 log: connection list 4 ended: refused
        8.200 connect Discovery(5) to 127.0.0.1:7002
        8.250 log: connection list 5 ended: refused
        8.450 connect Discovery(6) to 127.0.0.1:7002
        8.500 log: connection list 6 ended: refused
        8.700 connect Discovery(7) to 127.0.0.1:7002
        8.750 log: connection list 7 ended: refused
        8.950 connect Discovery(8) to 127.0.0.1:7002
        9.350 connect Discovery(9) to 127.0.0.1:7002
        9.750 log: connection list 9 ended: silent
        9.750 connect Discovery(10) to 127.0.0.1:7002
        10.150 log: connection list 10 ended: silent
        10.150 connect Discovery(11) to 127.0.0.1:7002
        10.550 log: connection list 11 ended: silent
        10.550 connect Discovery(12) to 127.0.0.1:7002
        10.950 log: connection list 12 ended: silent
        10.950 connect Discovery(13) to 127.0.0.1:7002
        11.350 log: connection list 13 ended: silent
        11.350 connect Discovery(14) to 127.0.0.1:7002
        11.750 log: connection list 14 ended: silent
        11.750 connect Discovery(15) to 127.0.0.1:7002
    "#]]);
}

/// Guards: with a passed socket, and nobody there to take over, a stop waited for clients that had never said anything and
/// kept the next start from coming.
#[test]
fn a_stop_with_nobody_to_take_over_is_like_any_other() {
    let mut b = bench_of(1024, true, true);
    b.client(1).client(2).says(2, "*1\r\n$4\r\nPING\r\n");
    // The one before is still there: it takes nothing over.
    let shared = SharedState { peer_process_running: true, ..SharedState::default() };
    b.event(Event::SharedStateSaved { call: None, shared: Ok(shared) }).text.clear();
    b.event(Event::Shutdown).says(2, "*1\r\n$4\r\nPING\r\n").until(0.3).client(3).until(0.6);
    b.event(Event::IdleClientClosed(1, CloseReason::Stopping))
        .event(Event::IdleClientClosed(2, CloseReason::Stopping))
        .event(Event::IdleClientClosed(3, CloseReason::Stopping));
    b.is(expect![[r#"
        0.000 log: told to stop: serving on, then ending connections
        0.000 client 2: -ERR draining
        0.500 stop accepting
        0.500 part with client 1 if it is quiet
        0.500 part with client 2 if it is quiet
        0.500 part with client 3 if it is quiet
        0.600 log: connection client 1 ended: stopping
        0.600 log: connection client 2 ended: stopping
        0.600 log: connection client 3 ended: stopping
        0.600 exit once all is written
    "#]]);
}

const PING: &str = "*1\r\n$4\r\nPING\r\n";

/// Guards: descriptors ran short in the batch in which a client's command had been read; its connection was spared for
/// another's and the command, which has its turn after all else, was lost without an answer.
#[test]
fn a_client_whose_command_has_been_read_is_not_let_go() {
    let mut b = bench_with(32 + 5);
    b.client(1).says(1, PING).client(2).says(2, PING).until(1.0).text.clear();
    let come = [3, 4, 5].map(|id| Event::ClientAccepted(id, HERE));
    b.batch(come.into_iter().chain([said_by(1, PING)]).collect());
    b.is_but_list(expect![[r#"
        1.000 log: connection client 2 ended: crowded
        1.000 client 1: +PONG
    "#]]);
}

/// Guards: a front door that was drained by hand and then told to stop ended connections that had just come, with commands
/// on them that had been read.
#[test]
fn a_drained_front_door_that_is_told_to_stop_serves_on_for_a_while() {
    let mut b = bench_of(1024, false, true);
    b.client(1);
    call(&mut b, 1, "POST /healthcheck/fail");
    kept(&mut b, 1, &[], true);
    b.until(0.7).event(Event::Shutdown).until(0.9).text.clear();
    b.batch(vec![Event::ClientAccepted(2, HERE), said_by(2, PING)]).until(1.25);
    // From now on connections end; one on which something was read is answered first.
    b.batch(vec![Event::ClientAccepted(3, HERE), said_by(3, PING)]).event(Event::ClientAccepted(4, HERE));
    b.is_but_list(expect![[r#"
        0.900 client 2: -ERR draining
        1.000 log: connection operator 1 ended: called
        1.200 stop accepting
        1.200 part with client 1 if it is quiet
        1.200 part with client 2 if it is quiet
        1.250 client 3: -ERR draining
        1.250 part with client 3 if it is quiet
        1.250 log: connection client 4 ended: stopping
    "#]]);
}

/// Guards: over an upgrade each process had half of the descriptors, however few the one that left still needed.
#[test]
fn what_a_leaving_process_will_not_use_the_other_one_has() {
    let room = |holds| {
        let mut b = bench_of(200, true, true);
        b.event(Event::SharedStateSaved {
            call: None,
            shared: Ok(SharedState {
                peer_process_running: true,
                peer_descriptor_limit: holds,
                ..SharedState::default()
            }),
        });
        (1..200).find(|id| b.client(*id).text.contains("crowded")).expect("room for fewer than that")
    };
    let (half, all_but_60, all_but_half) = (room(None), room(Some(60)), room(Some(150)));
    assert_eq!((all_but_60 - half, all_but_half), (40, half), "{half}");
}

/// Room for three clients, one of them from the known address.
fn gated() -> Bench {
    let mut b = bench_of(1024, false, false);
    b.admits(Limits { known: vec!["10.0.0.1".parse().expect("an address")], ..LIMITS });
    b.text.clear();
    b
}

fn there(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

/// Guards: nothing limited what one address holds, and a known client found no place.
#[test]
fn who_finds_no_place_hears_why_and_a_known_one_has_its_place() {
    let mut b = gated();
    b.client(1).client(2).client(3).event(Event::ClientAccepted(4, there(1))).says(4, PING);
    b.says(1, PING).until(0.5).event(Event::ClientAccepted(5, there(1))).says(5, PING);
    b.is_but_list(expect![[r#"
        0.000 client 3 is not taken in: too many connections of this address on which nothing was asked
        0.000 log: connection client 3 ended: turned-away
        0.000 client 4: +PONG
        0.000 client 1: +PONG
        0.500 log: connection client 2 ended: crowded
        0.500 client 5: +PONG
    "#]]);
}

/// Guards: the gate was not told that a command had begun, and a slow client was let go as a silent one.
#[test]
fn a_client_at_its_first_command_is_not_silent() {
    let mut b = gated();
    b.client(1).client(2).event(Event::PartialMessage(ConnectionId::Client(1))).until(1.6);
    b.is_but_list(expect![[r#"
        1.000 log: connection client 2 ended: idle
    "#]]);
    b.says(1, PING);
    b.is_but_list(expect![[r#"
        1.600 client 1: +PONG
    "#]]);
}

/// Guards: one hospital's commands took all that its gateway's address may have unfinished.
#[test]
fn commands_past_an_addresss_part_may_come_again_soon() {
    let mut b = gated();
    b.client(1)
        .call(1, "look", 5)
        .call(1, "look", 5)
        .client(2)
        .call(2, "look", 5)
        .call(2, "look", 6)
        .until(0.05);
    b.up(4);
    b.only(|l| l.contains("client") || l.contains("link"));
    b.is(expect![[r#"
        0.000 client 2: -BUSY 50
        0.050 backend link 4: look for 750 ms
    "#]]);
}

/// Guards: a command that had been read before its connection was held did not count, and the connection was spared for
/// want of descriptors (emulator, seed 2698).
#[test]
fn what_came_with_a_connection_counts_from_the_moment_it_is_held() {
    let mut b = bench_with(32 + 4);
    let limits = Limits { connections: 30, reserve: 0, per_address: 30, strangers: 30, ..LIMITS };
    b.admits(limits).client(1).client(2).until(0.5).text.clear();
    b.batch(vec![Event::ClientAccepted(3, HERE), said_by(3, PING), said_by(3, PING)]);
    b.is_but_list(expect![[r#"
        0.500 client 3: +PONG
        0.500 client 3: +PONG
    "#]]);
}

/// A front door under this operator's file.
fn declared(b: &mut Bench, text: &str) {
    let told = configuration::decode(TOLD.as_bytes()).expect("a good configuration");
    let start = quillramp::settings::load(told.seed, told.settings.get().as_bytes()).expect("good settings");
    let platform = operator::platform(&start.instance, 1024);
    let read = quillramp_operator::read(text, Some(&platform)).expect("a good file");
    b.event(Event::OperatorFileReloaded(Box::new(operator::operator_update(read, &platform))));
}

const SHORT: &str = "[[class]]\nname = \"short\"\nattempts = 1\ntimeout = 0.2\n[[route]]\noperations = [\"look\"]\nclass = \"short\"\n";

/// Guards: an invocation is kept under the limits it was taken under, and its class may be gone by then; two files in one batch
/// are taken up in their order; what is taken up is told once.
#[test]
fn invocations_keep_the_limits_they_began_under() {
    let mut b = bench();
    b.client(1).client(2).client(3);
    b.call(1, "look", 1).until(0.1);
    declared(&mut b, SHORT);
    b.call(2, "look", 2).until(0.15);
    declared(&mut b, SHORT);
    declared(&mut b, "");
    b.call(3, "look", 3).until(2.0);
    b.only(|l| l.contains("client") || l.contains("declared"));
    b.is(expect![[r#"
        0.100 log: limits declared: 1 classes, for 1 pairs of operation and plan
        0.150 log: limits declared: 0 classes, for 0 pairs of operation and plan
        0.254 client 3: -BUSY 400
        0.266 client 1: -BUSY 400
        0.300 client 2: -BUSY 500
    "#]]);
}

/// Guards: a gate that is switched on while connections are open did not know them, and their addresses passed their caps.
#[test]
fn admission_knows_who_was_there_before_it() {
    let mut b = bench();
    b.client(1).client(2).says(1, PING).call(2, "look", 5).until(0.01);
    b.admits(LIMITS).text.clear();
    b.client(3).client(4).says(3, PING).says(4, PING);
    b.only(|l| l.contains("client"));
    b.is(expect![[r#"
        0.010 client 3 is not taken in: full
        0.010 log: connection client 3 ended: turned-away
        0.010 client 4 is not taken in: full
        0.010 log: connection client 4 ended: turned-away
    "#]]);
}

const CONTRACT: &str =
    "[broker]\ncapacity = 100\nstrangers = \"refuse\"\n[[contract]]\nteam = \"t\"\nrate = 3\nburst = 3\n\
                        operations = [\"look\"]\ncustomers = [\"0000000000000005\"]\n";

/// Guards: what a contract refuses never reaches the decisions, what they refuse is given back to it, and who has no contract hears so.
#[test]
fn an_invocation_has_room_in_its_contract_first() {
    let mut b = bench();
    declared(&mut b, CONTRACT);
    b.client(1).text.clear();
    // An even part of three a second is one, with which it begins.
    b.call(1, "look", 5).call(1, "look", 5).call(1, "order", 5).call(1, "look", 6).until(1.5);
    b.only(|l| l.contains("client"));
    b.is(expect![[r#"
        0.516 client 1: -BUSY 500
        0.516 client 1: -BUSY 1000
        0.516 client 1: -ERR contract: not an operation of its contract
        0.516 client 1: -ERR contract: no contract in force
    "#]]);
    assert_eq!(b.reducer.figures().matches("\"look\":").count(), 3);
}

const LIMITS: Limits = Limits {
    connections: 3,
    reserve: 1,
    per_address: 3,
    strangers: 2,
    rate: 100.0,
    burst: 100.0,
    unfinished: 2,
    first_word: 1.0,
    known_for: 0.0,
    known: vec![],
};
