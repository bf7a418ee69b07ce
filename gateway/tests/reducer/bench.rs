//! A reducer with a trace of its effects, and what its tests do to it.
use expect_test::Expect;
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

pub const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Three front doors, two backends, an idempotent operation `look` and a non-idempotent one `order`.
pub const CONFIGURATION: &str = include_str!("../told.json");

/// An instance with so many descriptors that shares its listening socket or not, and that operators may call or not.
pub fn bench_configured(max_descriptors: usize, inherited_listener: bool, admin: bool) -> Bench {
    let loaded = configuration::decode(CONFIGURATION.as_bytes()).expect("a good configuration");
    let settings =
        quillramp::settings::load(loaded.seed, loaded.settings.get().as_bytes()).expect("good settings");
    let config = ReducerConfig {
        peers: loaded.peers,
        peer_broadcast: loaded.peers_all,
        counter: loaded.counter,
        discovery: loaded.discovery,
        max_descriptors,
        inherited_listener,
        admin_enabled: admin,
        saves_changes: admin,
    };
    let reducer = Reducer::new(1000.0, settings, config, &loaded.known);
    let mut bench = Bench { reducer, now: 1000.0, id: 1, text: String::new() };
    bench.settle();
    bench.text.clear();
    bench
}

/// A reducer, its clock, and the trace of its effects so far.
pub struct Bench {
    pub reducer: Reducer,
    /// Seconds; it starts at 1000.
    pub now: f64,
    /// The id of the next request.
    pub id: u64,
    pub text: String,
}

pub fn bench() -> Bench {
    bench_with_descriptors(1024)
}

pub fn bench_with_descriptors(max_descriptors: usize) -> Bench {
    bench_configured(max_descriptors, false, false)
}

/// An effect as a line of the trace; none where another effect tells.
pub fn describe(effect: &Effect) -> Option<String> {
    Some(match effect {
        Effect::Reply { client, reply } => {
            let mut out = vec![];
            reply.encode(&mut out);
            format!("client {client}: {}", String::from_utf8_lossy(&out).trim_end().replace("\r\n", " "))
        }
        Effect::SendAttempt { connection, request, timeout_ms, .. } => {
            let operation = String::from_utf8_lossy(request.operation());
            format!("backend link {connection}: {operation} for {timeout_ms} ms")
        }
        Effect::Withdraw { connection, attempt } => {
            format!("backend link {connection}: withdraw {attempt} if not begun")
        }
        Effect::HttpRequest { connection, request: Request::AddToCounter { add, .. } } => {
            format!("{connection:?}: add {add}")
        }
        Effect::HttpRequest { connection, request: Request::WatchEndpoints { since, wait_ms: 1 } } => {
            format!("{connection:?}: since {since}, at once")
        }
        Effect::HttpRequest { connection, request: Request::WatchEndpoints { since, .. } } => {
            format!("{connection:?}: watch since {since}")
        }
        Effect::HttpRequest { connection, request: Request::List } => format!("{connection:?}: list"),
        Effect::Connect { connection, address } => format!("connect {connection:?} to {address}"),
        Effect::SendDatagram { to, body } => format!("datagram of {} to {to}", body.len()),
        Effect::Close(_) => return None, // its log line tells
        Effect::Log(line) => format!("log: {line}"),
        Effect::LogClosed(end) => format!("log: {end}"),
        Effect::AdminRespond { connection, response } => {
            format!("operator {connection}: {} {}", response.status, response.body.trim_end())
        }
        Effect::AnnounceDescriptorLimit(most) => format!("will hold {most} descriptors at the most"),
        Effect::Reject { client, reason } => format!("client {client} is not taken in: {reason}"),
        Effect::SaveChange { change, .. } => format!("keep {change:?}"),
        Effect::CloseIfIdle { reason: CloseReason::Idle, .. } => return None, // see `settle`
        Effect::CloseIfIdle { client, .. } => format!("part with client {client} if it is quiet"),
        Effect::Stream { connection, client } => {
            format!("backend link {connection} passes to client {client:?}")
        }
        Effect::CloseIfStalled { connection, unresponsive_for, stalled_for } => {
            format!("backend link {connection} ends if silent for {unresponsive_for} s, or still for {stalled_for} s")
        }
        Effect::StopReading(id) => format!("read client {id} no more"),
        Effect::StopAccepting => "stop accepting".into(),
        Effect::Exit => "exit once all is written".into(),
        Effect::ExitImmediately => "exit now".into(),
    })
}

pub fn command_event(client: u64, text: &str) -> Event {
    Event::ClientCommand {
        client,
        command: resp::decode_command(text.as_bytes()).expect("framed").expect("whole").0,
    }
}

/// What follows an effect that closes a client that has been idle for too long.
fn idle_client_closed(effect: &Effect) -> Option<Event> {
    match effect {
        Effect::CloseIfIdle { client, reason: CloseReason::Idle } => {
            Some(Event::IdleClientClosed { client: *client, reason: CloseReason::Idle })
        }
        _ => None,
    }
}

impl Bench {
    pub fn settle(&mut self) -> Option<f64> {
        let (next, effects) = self.reducer.poll(self.now);
        for line in effects.iter().filter_map(describe) {
            self.text += &format!("{:.3} {line}\n", self.now - 1000.0);
        }
        // Nothing is unread on a connection that is idle here: it is closed, and the reducer is notified.
        let mut closed: Vec<Event> = effects.iter().filter_map(idle_client_closed).collect();
        if closed.is_empty() {
            return next;
        }
        self.reducer.handle_batch(self.now, &mut closed);
        self.settle()
    }
    pub fn event(&mut self, event: Event) -> &mut Self {
        self.batch(vec![event])
    }
    pub fn set_admission_limits(&mut self, limits: Limits) -> &mut Self {
        let declares = OperatorUpdate { admission: Some(limits), ..OperatorUpdate::default() };
        self.event(Event::OperatorFileReloaded(Box::new(declares)))
    }
    pub fn batch(&mut self, mut events: Vec<Event>) -> &mut Self {
        self.reducer.handle_batch(self.now, &mut events);
        self.settle();
        self
    }
    /// Lets time go by, with a look whenever one is due.
    pub fn until(&mut self, at: f64) -> &mut Self {
        while let Some(next) = self.settle().filter(|n| *n <= 1000.0 + at) {
            self.now = self.now.max(next);
        }
        self.now = 1000.0 + at;
        self.settle();
        self
    }
    pub fn client(&mut self, client: u64) -> &mut Self {
        self.event(Event::ClientAccepted { client, address: HERE })
    }
    pub fn call(&mut self, client: u64, operation: &str, customer: u64) -> &mut Self {
        self.command(client, operation, &format!("{customer:016x}"), "t=small,d=800,units=1,spread=1,first=0")
    }
    pub fn command(&mut self, client: u64, operation: &str, customer: &str, list: &str) -> &mut Self {
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
        self.sends(client, &text)
    }
    pub fn sends(&mut self, client: u64, text: &str) -> &mut Self {
        self.event(command_event(client, text))
    }
    pub fn up(&mut self, id: u64) -> &mut Self {
        self.event(Event::Connected(ConnectionId::Backend(id)))
    }
    pub fn value(&mut self, id: u64, value: &str) -> &mut Self {
        self.replies(id, value, false)
    }
    pub fn replies(&mut self, id: u64, value: &str, more: bool) -> &mut Self {
        self.event(Event::BackendReply {
            connection: id,
            reply: BackendReply::Value { value: value.into(), billed: None, report: None },
            more_received: more,
        })
    }
    pub fn ended(&mut self, connection: ConnectionId, reason: CloseReason, unsent: bool) -> &mut Self {
        self.event(Event::ConnectionEnded { connection, reason, unsent })
    }
    pub fn counter(&mut self, id: u64, status: u16, body: &str) -> &mut Self {
        self.event(Event::HttpResponse {
            connection: ConnectionId::Counter(id),
            response: Response { status, body: body.into(), closes_connection: false },
        })
    }
    /// Keeps these lines of what was said.
    pub fn only(&mut self, which: impl Fn(&str) -> bool) {
        let lines = std::mem::take(&mut self.text);
        self.text = lines.lines().filter(|l| which(l)).map(|l| l.to_owned() + "\n").collect();
    }
    /// What was said, the list service apart.
    pub fn is_but_list(&mut self, expected: Expect) {
        self.only(|l| !l.contains("connection list") && !l.contains("connect Discovery"));
        self.is(expected);
    }
    pub fn is(&mut self, expected: Expect) {
        expected.assert_eq(&std::mem::take(&mut self.text));
    }
}

pub fn call(b: &mut Bench, id: u64, text: &str) {
    let call = admin::decode_call(format!("{text} HTTP/1.1\r\n\r\n").as_bytes()).expect("whole");
    b.event(Event::AdminConnected(id)).event(Event::AdminCall { connection: id, call });
}

/// A change that is kept by now, as the thread that keeps it tells.
pub fn shared_state_saved(b: &mut Bench, id: u64, out: &[&str], drained: bool) {
    let shared = SharedState {
        ejected_backends: out.iter().map(|n| (n.to_string(), 1000.0)).collect(),
        drained,
        ..SharedState::default()
    };
    b.event(Event::SharedStateSaved { call: Some(id), shared: Ok(shared) });
}

pub fn whole_list(names: &[(&str, u16)]) -> Event {
    let entry = |(name, port): &(&str, u16)| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"z","group":0,"status":"SERVING","weight":1,"since_ms":0}}"#
        )
    };
    let all: Vec<String> = names.iter().map(entry).collect();
    let body = format!(r#"{{"index":42,"snapshot":true,"endpoints":[{}]}}"#, all.join(","));
    Event::HttpResponse {
        connection: ConnectionId::Discovery(1),
        response: Response { status: 200, body: body.into(), closes_connection: false },
    }
}

pub const PING: &str = "*1\r\n$4\r\nPING\r\n";

/// A front door under this operator's file.
pub fn reload_operator_file(b: &mut Bench, text: &str) {
    let loaded = configuration::decode(CONFIGURATION.as_bytes()).expect("a good configuration");
    let start =
        quillramp::settings::load(loaded.seed, loaded.settings.get().as_bytes()).expect("good settings");
    let platform = operator::platform(&start.instance, 1024);
    let read = quillramp_operator::read(text, Some(&platform)).expect("a good file");
    b.event(Event::OperatorFileReloaded(Box::new(operator::operator_update(read, &platform))));
}

pub const LIMITS: Limits = Limits {
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
