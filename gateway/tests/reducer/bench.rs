//! The test bench of the reducer: it delivers events, advances the clock and writes the effects to a trace.
use expect_test::Expect;
use quillramp_admission::Limits;
use quillramp_gateway::process::{configuration, operator};
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::effect::Effect;
use quillramp_gateway::state::event::{Event, OperatorUpdate};
use quillramp_gateway::state::reducer::{Reducer, ReducerConfig, ReducerOutput};
use quillramp_gateway::state::shared_state::SharedState;
use quillramp_gateway::wire::admin;
use quillramp_gateway::wire::http::{Request, Response};
use quillramp_gateway::wire::resp::{self, BackendReply};
use std::net::{IpAddr, Ipv4Addr};

/// The address of the clients.
pub const CLIENT_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// A configuration with three gateway instances, two backends, an idempotent operation `look` and a
/// non-idempotent operation `order`.
/// Maximum number of customers with an account.
pub const MAX_CUSTOMERS: usize = 1000;
pub const CONFIGURATION: &str = include_str!("configuration.json");

/// Creates a bench for an instance with at most `max_descriptors` descriptors. `inherited_listener` says
/// whether its process inherited the listening socket, `admin_enabled` whether operators can call it.
pub fn bench_configured(max_descriptors: usize, inherited_listener: bool, admin_enabled: bool) -> Bench {
    let loaded = configuration::decode(CONFIGURATION.as_bytes()).expect("a valid configuration");
    let settings =
        quillramp::settings::load(loaded.seed, loaded.settings.get().as_bytes()).expect("valid settings");
    let config = ReducerConfig {
        peers: loaded.peers,
        peer_broadcast: loaded.peer_broadcast,
        counter: loaded.counter,
        discovery: loaded.discovery,
        max_descriptors,
        max_customers: MAX_CUSTOMERS,
        max_waiting_value_bytes: usize::MAX,
        inherited_listener,
        admin_enabled,
        saves_changes: admin_enabled,
    };
    let reducer = Reducer::new(1000.0, settings, config, &loaded.initial_endpoints);
    let mut bench = Bench { reducer, now: 1000.0, next_request_id: 1, trace: String::new() };
    bench.poll();
    bench.trace.clear();
    bench
}

/// A reducer with its clock and a trace of its effects.
pub struct Bench {
    pub reducer: Reducer,
    /// Current time in seconds; starts at 1000.
    pub now: f64,
    /// ID of the next request.
    pub next_request_id: u64,
    /// The effects since the trace was last compared or cleared, one per line.
    pub trace: String,
}

pub fn bench() -> Bench {
    bench_with_descriptors(1024)
}

pub fn bench_with_descriptors(max_descriptors: usize) -> Bench {
    bench_configured(max_descriptors, false, false)
}

/// Returns the line of an effect in the trace; `None` if the line of another effect covers it.
pub fn describe(effect: &Effect) -> Option<String> {
    Some(match effect {
        Effect::Reply { client, reply } => {
            let mut out = vec![];
            reply.encode(&mut out);
            format!("client {client}: {}", String::from_utf8_lossy(&out).trim_end().replace("\r\n", " "))
        }
        Effect::SendAttempt { connection, request, timeout_ms, .. } => {
            let operation = String::from_utf8_lossy(request.operation());
            format!("backend connection {connection}: {operation} for {timeout_ms} ms")
        }
        Effect::Withdraw { connection, attempt } => {
            format!("backend connection {connection}: withdraw attempt {attempt} unless begun")
        }
        Effect::HttpRequest { connection, request } => {
            format!("{connection:?}: {}", describe_http_request(request))
        }
        Effect::Connect { connection, address } => format!("connect {connection:?} to {address}"),
        Effect::SendDatagram { to, body } => format!("datagram of {} to {to}", body.len()),
        Effect::Close(_) => return None, // `LogClosed` has a line
        Effect::Log(message) => format!("log: {message}"),
        Effect::LogClosed(closed) => format!("log: {closed}"),
        Effect::AdminRespond { connection, response } => {
            format!("operator {connection}: {} {}", response.status, response.body.trim_end())
        }
        Effect::AnnounceDescriptorLimit(limit) => format!("announce a limit of {limit} descriptors"),
        Effect::Reject { client, reason } => format!("client {client} rejected: {reason}"),
        Effect::SaveChange { change, .. } => format!("save {change:?}"),
        Effect::CloseIfIdle { reason: CloseReason::Idle, .. } => return None, // see `idle_client_closed`
        Effect::CloseIfIdle { client, .. } => format!("close client {client} if idle"),
        Effect::Stream { connection, client } => {
            format!("backend connection {connection} streams to client {client:?}")
        }
        Effect::CloseSilentStream { min_silence } => {
            format!("close the stream that has been silent longest, for {min_silence} s or more")
        }
        Effect::StopReading(client) => format!("stop reading client {client}"),
        Effect::StopAccepting => "stop accepting".into(),
        Effect::Exit => "exit once all is written".into(),
        Effect::ExitImmediately => "exit now".into(),
    })
}

fn describe_http_request(request: &Request) -> String {
    match request {
        Request::AddToCounter { add, .. } => format!("add {add}"),
        Request::WatchEndpoints { since, wait_ms: 1 } => format!("since {since}, at once"),
        Request::WatchEndpoints { since, .. } => format!("watch since {since}"),
        Request::FetchEndpoints => "list".into(),
    }
}

/// Returns the event for a command of this client, decoded from its text on the wire.
pub fn command_event(client: u64, text: &str) -> Event {
    let decoded = resp::decode_command(text.as_bytes()).expect("valid framing");
    let command = decoded.expect("a complete command").value;
    Event::ClientCommand { client, command }
}

/// Returns the event that confirms an effect which closes a client after its idle timeout; `None` for other
/// effects.
fn idle_client_closed(effect: &Effect) -> Option<Event> {
    match effect {
        Effect::CloseIfIdle { client, reason: CloseReason::Idle } => {
            Some(Event::IdleClientClosed { client: *client, reason: CloseReason::Idle })
        }
        _ => None,
    }
}

impl Bench {
    /// Polls the reducer and traces its effects; returns the time of the next poll.
    pub fn poll(&mut self) -> Option<f64> {
        let ReducerOutput { next_poll_at, effects } = self.reducer.poll(self.now);
        for line in effects.iter().filter_map(describe) {
            self.trace += &format!("{:.3} {line}\n", self.now - 1000.0);
        }
        // No client has unread input here, so each idle connection is closed and the reducer is notified.
        let mut closed: Vec<Event> = effects.iter().filter_map(idle_client_closed).collect();
        if closed.is_empty() {
            return next_poll_at;
        }
        self.reducer.handle_batch(self.now, &mut closed);
        self.poll()
    }

    /// Makes the reducer handle one event.
    pub fn event(&mut self, event: Event) -> &mut Self {
        self.batch(vec![event])
    }

    /// Loads an operator file that declares these admission limits.
    pub fn set_admission_limits(&mut self, limits: Limits) -> &mut Self {
        let update = OperatorUpdate { admission: Some(limits), ..OperatorUpdate::default() };
        self.event(Event::OperatorFileReloaded(Box::new(update)))
    }

    /// Makes the reducer handle these events in one batch.
    pub fn batch(&mut self, mut events: Vec<Event>) -> &mut Self {
        self.reducer.handle_batch(self.now, &mut events);
        self.poll();
        self
    }

    /// Advances the clock to `at` seconds after the start, and polls the reducer at each time that it
    /// requested.
    pub fn run_until(&mut self, at: f64) -> &mut Self {
        while let Some(next) = self.poll().filter(|next| *next <= 1000.0 + at) {
            self.now = self.now.max(next);
        }
        self.now = 1000.0 + at;
        self.poll();
        self
    }

    /// Connects a client from `CLIENT_ADDRESS`.
    pub fn client_connects(&mut self, client: u64) -> &mut Self {
        self.event(Event::ClientAccepted { client, address: CLIENT_ADDRESS })
    }

    /// Sends a request of one unit from this client.
    pub fn request(&mut self, client: u64, operation: &str, customer: u64) -> &mut Self {
        self.request_with(
            client,
            operation,
            &format!("{customer:016x}"),
            "t=small,d=800,units=1,spread=1,first=0",
        )
    }

    /// Sends a request from this client; `arguments` follow the operation in its list of arguments.
    pub fn request_with(
        &mut self,
        client: u64,
        operation: &str,
        customer: &str,
        arguments: &str,
    ) -> &mut Self {
        let (verb, body) = if operation == "look" { ("CALL.GET", "") } else { ("CALL.POST", "$1\r\nx\r\n") };
        let item_count = if body.is_empty() { 4 } else { 5 };
        let arguments = format!("c={operation},{arguments}");
        let text = format!(
            "*{item_count}\r\n${}\r\n{verb}\r\n${}\r\n{customer}\r\n$16\r\n{:016x}\r\n${}\r\n{arguments}\r\n{body}",
            verb.len(),
            customer.len(),
            self.next_request_id,
            arguments.len()
        );
        self.next_request_id += 1;
        self.client_sends(client, &text)
    }

    /// Sends a command from this client.
    pub fn client_sends(&mut self, client: u64, text: &str) -> &mut Self {
        self.event(command_event(client, text))
    }

    /// Reports that a connection to a backend is established.
    pub fn backend_connected(&mut self, connection: u64) -> &mut Self {
        self.event(Event::Connected(ConnectionId::Backend(connection)))
    }

    /// Delivers a backend's reply with this value.
    pub fn backend_replies(&mut self, connection: u64, value: &str) -> &mut Self {
        self.backend_replies_with(connection, value, false)
    }

    /// Delivers a backend's reply with this value; `more_received` says whether more bytes were received
    /// after it.
    pub fn backend_replies_with(&mut self, connection: u64, value: &str, more_received: bool) -> &mut Self {
        let reply = BackendReply::Value { value: value.into(), billed_units: None, load_report: None };
        self.event(Event::BackendReply { connection, reply, more_received })
    }

    /// Reports that a connection ended which the reducer did not close; `unsent` says whether its write
    /// buffer still held unsent bytes.
    pub fn connection_ended(
        &mut self,
        connection: ConnectionId,
        reason: CloseReason,
        unsent: bool,
    ) -> &mut Self {
        self.event(Event::ConnectionEnded { connection, reason, unsent })
    }

    /// Delivers the counter's response to the oldest pending call on this connection.
    pub fn counter_responds(&mut self, connection: u64, status: u16, body: &str) -> &mut Self {
        self.event(Event::HttpResponse {
            connection: ConnectionId::Counter(connection),
            response: Response { status, body: body.into(), closes_connection: false },
        })
    }

    /// Removes the lines from the trace for which `is_retained` returns false.
    pub fn retain_lines(&mut self, is_retained: impl Fn(&str) -> bool) {
        let lines = std::mem::take(&mut self.trace);
        self.trace =
            lines.lines().filter(|line| is_retained(line)).map(|line| line.to_owned() + "\n").collect();
    }

    /// Compares the trace, without the connections to the list service, with the expected one, and clears it.
    pub fn assert_trace_without_discovery(&mut self, expected: Expect) {
        self.retain_lines(|line| !line.contains("connection list") && !line.contains("connect Discovery"));
        self.assert_trace(expected);
    }

    /// Compares the trace with the expected one, and clears it.
    pub fn assert_trace(&mut self, expected: Expect) {
        expected.assert_eq(&std::mem::take(&mut self.trace));
    }
}

/// Makes an operator's call on a new connection.
pub fn admin_call(bench: &mut Bench, connection: u64, request_line: &str) {
    let call =
        admin::decode_call(format!("{request_line} HTTP/1.1\r\n\r\n").as_bytes()).expect("a complete call");
    bench.event(Event::AdminConnected(connection)).event(Event::AdminCall { connection, call });
}

/// Reports that the change of an operator's call was saved. Since then the backends in `ejected` are ejected,
/// and `drained` says whether the instance is drained.
pub fn shared_state_saved(bench: &mut Bench, call: u64, ejected: &[&str], drained: bool) {
    let shared = SharedState {
        ejected_backends: ejected.iter().map(|name| (name.to_string(), 1000.0)).collect(),
        drained,
        ..SharedState::default()
    };
    bench.event(Event::SharedStateSaved { call: Some(call), shared: Ok(shared) });
}

/// Returns the event for a response of the list service with the complete endpoint list: the name and the
/// port of each backend.
pub fn complete_endpoint_list(backends: &[(&str, u16)]) -> Event {
    let entry = |(name, port): &(&str, u16)| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"z","group":0,"status":"SERVING","weight":1,"since_ms":0}}"#
        )
    };
    let entries: Vec<String> = backends.iter().map(entry).collect();
    let body = format!(r#"{{"index":42,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
    Event::HttpResponse {
        connection: ConnectionId::Discovery(1),
        response: Response { status: 200, body: body.into(), closes_connection: false },
    }
}

pub const PING: &str = "*1\r\n$4\r\nPING\r\n";

/// Loads an operator file with this text.
pub fn reload_operator_file(bench: &mut Bench, text: &str) {
    let loaded = configuration::decode(CONFIGURATION.as_bytes()).expect("a valid configuration");
    let settings =
        quillramp::settings::load(loaded.seed, loaded.settings.get().as_bytes()).expect("valid settings");
    let platform = operator::platform(&settings.instance, 1024);
    let file = quillramp_operator::read(text, Some(&platform)).expect("a valid operator file");
    bench.event(Event::OperatorFileReloaded(Box::new(operator::operator_update(file, &platform))));
}

/// Admission limits with three connections, one of which is reserved for known addresses.
pub const LIMITS: Limits = Limits {
    connections: 3,
    reserve: 1,
    per_address: 3,
    unidentified: 2,
    rate: 100.0,
    burst: 100.0,
    pending_commands: 2,
    first_command_timeout: 1.0,
    known_for: 0.0,
    known_networks: vec![],
};
