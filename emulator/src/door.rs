//! A front door's process: the real reducer with the real decisions in it, the real codecs, and in place of sockets the
//! emulated network. What the socket layer does with events and effects is done here in the same order.
use crate::net::{Ctx, Item, Party, WireId};
use quillramp::settings;
use quillramp::types::Idempotency as Repeats;
use quillramp_gateway::state::event::{
    AdminChange, CloseReason, ConnectionId, Effect, Event, OperatorUpdate, SharedState,
};
use quillramp_gateway::state::framing::{MessageReader, MessageSink};
use quillramp_gateway::state::reducer::{Reducer, ReducerConfig};
use quillramp_gateway::state::write_buffer::WriteBuffer;
use quillramp_gateway::wire::endpoints::EndpointList;
use quillramp_gateway::wire::resp::{ClientReply, RequestCommand};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// How a front door is broken on purpose, so that each check is seen to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Sabotage {
    /// One answer in fifty is never written.
    SwallowsAnswers,
    /// One answer in fifty is written twice.
    AnswersTwice,
    /// Deliveries that may not be repeated are, now and then.
    RepeatsOrders,
    /// What may have run is throttled instead of errored.
    ThrottlesAnyway,
    /// Drains and deletions are not heard.
    IgnoresDrains,
    /// Every backend counts as warm.
    ForgetsCold,
    /// Quotas and ceilings are taken for fifty times what they are.
    BustsCeilings,
}

/// Who listens where.
#[derive(Default)]
pub struct Places {
    pub parties: HashMap<SocketAddr, Party>,
    pub words: HashMap<SocketAddr, usize>,
    pub words_all: Option<SocketAddr>,
}

/// What a process asks of those outside the network.
pub enum Outside {
    Keep { call: u64, change: AdminChange },
    Holds(usize),
    Exit,
}

struct Open {
    wire: WireId,
    up: bool,
    intake: MessageReader,
    got: Vec<u8>,
    out: WriteBuffer,
    /// A backend's: the client that a value passes to.
    passes_to: Option<ConnectionId>,
    muted: bool,
    /// When something of a value last passed.
    moved: f64,
    /// The other side has ended it, and that lies behind what has not been read.
    ends: bool,
}

impl Open {
    fn new(wire: WireId, conn: ConnectionId, up: bool) -> Open {
        let (got, out) = (vec![], WriteBuffer::default());
        Open {
            wire,
            up,
            intake: MessageReader::new(conn),
            got,
            out,
            passes_to: None,
            muted: false,
            moved: f64::NEG_INFINITY,
            ends: false,
        }
    }
}

pub struct Process {
    pub index: usize,
    pub door: usize,
    own: SocketAddr,
    reducer: Reducer,
    conns: BTreeMap<ConnectionId, Open>,
    inbox: Vec<Event>,
    /// Connections that wait to be accepted.
    backlog: VecDeque<WireId>,
    /// What has come on them meanwhile.
    early: HashMap<WireId, Vec<u8>>,
    accepted: u64,
    pub alive: bool,
    pub accepts: bool,
    sockets: usize,
    step_at: f64,
    still: f64,
    exits: bool,
    broken: Option<Sabotage>,
    /// By operation's name.
    effects: HashMap<Vec<u8>, Repeats>,
}

#[derive(Default)]
struct Heard {
    events: Vec<Event>,
    pieces: Vec<u8>,
    whole: bool,
}

impl MessageSink for Heard {
    fn event(&mut self, event: Event, _long: usize) {
        self.events.push(event);
    }
    fn body_chunk(&mut self, bytes: &[u8], end: bool) {
        self.pieces.extend_from_slice(bytes);
        if end {
            self.pieces.extend_from_slice(b"\r\n");
        }
        self.whole |= end;
    }
}

/// Descriptors that are no connections.
pub const OTHERS: usize = 8;

impl Process {
    pub fn boot(
        ctx: &mut Ctx,
        (index, door, own): (usize, usize, SocketAddr),
        (start, effects): (settings::Loaded, HashMap<Vec<u8>, Repeats>),
        (parties, known, shared, declares): (ReducerConfig, &EndpointList, SharedState, OperatorUpdate),
        broken: Option<Sabotage>,
    ) -> Process {
        let known = doctored(known, broken);
        let sockets = parties.max_descriptors;
        let mut reducer = Reducer::new(ctx.now, start, parties, &known);
        reducer.update_shared_state(ctx.now, shared);
        reducer.apply_operator_update(ctx.now, declares);
        ctx.rules.booted(index);
        ctx.rules.told(ctx.now, index, &known);
        let process = Process {
            index,
            door,
            own,
            reducer,
            conns: BTreeMap::new(),
            inbox: vec![],
            backlog: VecDeque::new(),
            early: HashMap::new(),
            accepted: 0,
            alive: true,
            accepts: true,
            sockets,
            step_at: ctx.now,
            still: 0.0,
            exits: false,
            broken,
            effects,
        };
        ctx.later(0.0, Item::Step(index));
        process
    }

    /// Looks at what has come in a moment, or at that time.
    fn wake(&mut self, ctx: &mut Ctx, at: f64) {
        let at = at.max(self.still).max(ctx.now);
        if self.alive && (at < self.step_at || self.step_at < ctx.now) {
            self.step_at = at;
            ctx.agenda.put(at, Item::Step(self.index));
        }
    }

    pub fn tell(&mut self, ctx: &mut Ctx, event: Event) {
        self.inbox.push(event);
        // What comes in the same moment is one batch.
        self.wake(ctx, ctx.now + 50e-6);
    }

    pub fn stand_still(&mut self, ctx: &mut Ctx, seconds: f64) {
        self.still = ctx.now + seconds;
        ctx.rules.stands_still(self.still, self.index);
    }

    // ======== what the network brings

    /// How many connections it holds.
    pub fn held(&self) -> usize {
        self.conns.len()
    }

    /// A client, or an operator, connects.
    pub fn connects(&mut self, ctx: &mut Ctx, wire: WireId) {
        if !self.alive || !self.accepts {
            return ctx.end(wire, true, true);
        }
        if ctx.wires.get(&wire).is_some_and(|w| w.party == Party::Client && !w.rude) {
            ctx.rules.client(ctx.now, wire, self.index, false);
        }
        self.backlog.push_back(wire);
        self.accept(ctx);
    }

    fn accept(&mut self, ctx: &mut Ctx) {
        while let Some(&wire) = self.backlog.front() {
            let Some(w) = ctx.wires.get(&wire) else {
                self.backlog.pop_front();
                continue;
            };
            let (operator, rude, from) = (w.party == Party::Operator, w.rude, w.from);
            if !operator && self.conns.len() + OTHERS >= self.sockets {
                if !self.inbox.iter().any(|e| matches!(e, Event::DescriptorsExhausted)) {
                    self.tell(ctx, Event::DescriptorsExhausted);
                }
                return;
            }
            self.backlog.pop_front();
            self.accepted += 1;
            if rude {
                ctx.rules.client(ctx.now, wire, self.index, true);
            }
            let (conn, event) = if operator {
                (ConnectionId::Admin(self.accepted), Event::AdminConnected(self.accepted))
            } else {
                (ConnectionId::Client(self.accepted), Event::ClientAccepted(self.accepted, from))
            };
            if let Some(w) = ctx.wires.get_mut(&wire) {
                w.conn = conn;
            }
            let mut open = Open::new(wire, conn, true);
            open.got = self.early.remove(&wire).unwrap_or_default();
            self.conns.insert(conn, open);
            self.tell(ctx, event);
            self.decode(ctx, conn);
        }
    }

    fn conn_of(&self, ctx: &Ctx, wire: WireId) -> Option<ConnectionId> {
        let conn = ctx.wires.get(&wire)?.conn;
        self.conns.get(&conn).filter(|o| o.wire == wire).map(|_| conn)
    }

    /// A connection that was asked for is up, or was refused.
    pub fn up(&mut self, ctx: &mut Ctx, wire: WireId, taken: bool) {
        let Some(conn) = self.conn_of(ctx, wire) else { return };
        if taken {
            self.conns.get_mut(&conn).expect("just found").up = true;
            return self.tell(ctx, Event::Connected(conn));
        }
        self.over(ctx, conn, CloseReason::Refused, true);
    }

    pub fn bytes(&mut self, ctx: &mut Ctx, wire: WireId, bytes: &[u8]) {
        if !self.alive {
            return;
        }
        // What a client wrote counts as taken as soon as the machine has it, read or not; but a connection that is read
        // from no more may be ended across what lies there, and the client asks again elsewhere.
        let unread = self.conn_of(ctx, wire).is_some_and(|c| self.conns[&c].muted);
        if !unread && ctx.wires.get(&wire).is_some_and(|w| w.party == Party::Client) {
            ctx.rules.taken(ctx.now, wire, bytes);
        }
        if self.backlog.contains(&wire) {
            return self.early.entry(wire).or_default().extend_from_slice(bytes);
        }
        let Some(conn) = self.conn_of(ctx, wire) else { return };
        match conn {
            ConnectionId::Backend(_) => ctx.rules.replied(ctx.now, wire, bytes),
            ConnectionId::Discovery(_) => ctx.rules.list_says(ctx.now, wire, bytes),
            _ => {}
        }
        self.conns.get_mut(&conn).expect("just found").got.extend_from_slice(bytes);
        self.decode(ctx, conn);
    }

    fn decode(&mut self, ctx: &mut Ctx, conn: ConnectionId) {
        let Some(open) = self.conns.get_mut(&conn).filter(|o| !o.muted) else { return };
        let mut heard = Heard::default();
        let done =
            if open.intake.discard { Ok(open.got.len()) } else { open.intake.decode(&open.got, &mut heard) };
        let mut unsent = false;
        if let Ok(done) = done {
            open.got.drain(..done);
        } else {
            unsent = !open.out.is_empty();
        }
        let begun = heard.events.iter().any(|e| matches!(e, Event::StreamStarted(_)));
        if begun || !heard.pieces.is_empty() {
            open.moved = ctx.now;
        }
        let to = open.passes_to;
        if heard.whole {
            open.passes_to = None;
        }
        if let Some(to) = to.filter(|_| !heard.pieces.is_empty()) {
            if let Some(client) = self.conns.get_mut(&to) {
                client.out.buffer().append(&mut heard.pieces);
                self.flush(ctx, to);
            }
        }
        for event in heard.events {
            let event = self.doctored(event);
            self.tell(ctx, event);
        }
        if let Err(why) = done {
            self.over(ctx, conn, why, unsent);
        }
    }

    /// The other side ended it, or it broke.
    pub fn ended(&mut self, ctx: &mut Ctx, wire: WireId, reset: bool) {
        self.backlog.retain(|w| *w != wire);
        let conn = self.conn_of(ctx, wire);
        let waits = |conn: &ConnectionId| {
            let open = &self.conns[conn];
            !reset && open.intake.is_stream_pending() && !open.got.is_empty()
        };
        if let Some(conn) = conn.filter(waits) {
            // What it wrote before its end passes first.
            self.conns.get_mut(&conn).expect("just found").ends = true;
        } else if let Some(conn) = conn {
            let open = &self.conns[&conn];
            let why = match (open.up, reset) {
                (false, _) => CloseReason::Refused,
                (true, true) => CloseReason::Reset,
                (true, false) => CloseReason::Closed,
            };
            let unsent = !open.out.is_empty();
            self.over(ctx, conn, why, unsent);
        }
        ctx.ended(wire, true);
    }

    /// A connection is over, and the reducer is to hear of it.
    fn over(&mut self, ctx: &mut Ctx, conn: ConnectionId, why: CloseReason, unsent: bool) {
        let Some(open) = self.conns.remove(&conn) else { return };
        self.tap_end(ctx, conn, open.wire, false);
        ctx.end(open.wire, true, false);
        self.tell(ctx, Event::ConnectionEnded { connection: conn, reason: why, unsent });
    }

    fn tap_end(&self, ctx: &mut Ctx, conn: ConnectionId, wire: WireId, by_door: bool) {
        match conn {
            ConnectionId::Client(_) => ctx.rules.client_ended(ctx.now, wire, by_door),
            ConnectionId::Backend(_) => ctx.rules.backend_ended(ctx.now, wire),
            _ => {}
        }
    }

    // ======== what the reducer asks for

    pub fn step(&mut self, ctx: &mut Ctx, places: &Places) -> Vec<Outside> {
        if !self.alive || ctx.now < self.step_at {
            return vec![];
        }
        if ctx.now < self.still {
            let at = self.still;
            self.step_at = f64::INFINITY;
            self.wake(ctx, at);
            return vec![];
        }
        self.step_at = f64::INFINITY;
        let now = ctx.now;
        let mut events = std::mem::take(&mut self.inbox);
        self.reducer.handle_batch(now, &mut events);
        let (next, effects) = self.reducer.poll(now);
        let mut outside = vec![];
        for effect in effects {
            self.carry_out(ctx, places, effect, &mut outside);
        }
        let dirty: Vec<ConnectionId> =
            self.conns.iter().filter(|(_, o)| !o.out.is_empty()).map(|(c, _)| *c).collect();
        for conn in dirty {
            self.flush(ctx, conn);
        }
        self.accept(ctx);
        if self.exits && self.reducer.is_done() && self.inbox.is_empty() {
            outside.push(Outside::Exit);
        }
        if let Some(next) = next {
            self.wake(ctx, next);
        }
        outside
    }

    fn carry_out(&mut self, ctx: &mut Ctx, places: &Places, effect: Effect, outside: &mut Vec<Outside>) {
        match effect {
            Effect::Reply(id, answer) => self.answer(ctx, ConnectionId::Client(id), answer),
            Effect::Reject(id, why) => {
                let conn = ConnectionId::Client(id);
                let Some(open) = self.conns.get_mut(&conn) else { return };
                let known = ctx.wires.get(&open.wire).is_some_and(|w| w.known);
                ctx.rules.turned_away(ctx.now, open.wire, known, why);
                ClientReply::Error(why.into()).encode(open.out.buffer());
            }
            Effect::SendAttempt { connection, delivery, call, timeout_ms: wait_ms } => {
                self.deliver(ctx, (ConnectionId::Backend(connection), delivery), &call, wait_ms)
            }
            Effect::Withdraw { connection, delivery } => {
                let open = self.conns.get_mut(&ConnectionId::Backend(connection));
                if open.is_some_and(|o| o.out.withdraw(delivery)) {
                    self.tell(ctx, Event::Withdrawn { connection, attempt: delivery });
                }
            }
            Effect::AdminRespond(id, response) => {
                if let Some(open) = self.conns.get_mut(&ConnectionId::Admin(id)) {
                    response.encode(open.out.buffer());
                }
            }
            Effect::SaveChange(call, change) => outside.push(Outside::Keep { call, change }),
            Effect::AnnounceDescriptorLimit(most) => outside.push(Outside::Holds(most)),
            Effect::CloseIfIdle(id, why) => {
                let conn = ConnectionId::Client(id);
                let quiet = self.conns.get(&conn).is_some_and(|o| o.got.is_empty());
                if quiet && !self.inbox.iter().any(|e| matches!(e, Event::ClientCommand(c, _) if *c == id)) {
                    self.close(ctx, conn);
                    self.tell(ctx, Event::IdleClientClosed(id, why));
                }
            }
            Effect::StopReading(id) => {
                if let Some(open) = self.conns.get_mut(&ConnectionId::Client(id)) {
                    open.muted = true;
                }
            }
            Effect::Stream(id, to) => self.pass(ctx, ConnectionId::Backend(id), to.map(ConnectionId::Client)),
            Effect::CloseIfStalled { connection, unresponsive_for: silent_for, stalled_for: still_for } => {
                let conn = ConnectionId::Backend(connection);
                let stalled = |open: &Open| {
                    let still = ctx.now - open.moved;
                    still >= still_for || still >= silent_for && open.intake.is_streaming()
                };
                if self.conns.get(&conn).is_some_and(stalled) {
                    self.over(ctx, conn, CloseReason::StreamStalled, false);
                }
            }
            Effect::HttpRequest(conn, request) => {
                if let Some(open) = self.conns.get_mut(&conn) {
                    request.encode(self.own, open.out.buffer());
                }
            }
            Effect::Connect(conn, to) => {
                let party = places.parties.get(&to).copied().unwrap_or(Party::Nobody);
                let wire = ctx.open(self.index, conn, party);
                match (conn, party) {
                    (ConnectionId::Backend(_), Party::Backend(b)) => ctx.rules.backend(wire, b),
                    (ConnectionId::Discovery(_), _) => ctx.rules.list_wire(wire, self.index),
                    _ => {}
                }
                self.conns.insert(conn, Open::new(wire, conn, false));
                let delay = ctx.delay();
                ctx.later(delay, Item::Dial(wire));
            }
            Effect::Close(conn) => self.close(ctx, conn),
            Effect::SendDatagram(to, body) => {
                let all = places.words_all == Some(to);
                let doors: BTreeSet<usize> =
                    places.words.iter().filter(|(at, _)| all || **at == to).map(|(_, d)| *d).collect();
                for door in doors.into_iter().filter(|d| *d != self.door) {
                    if !ctx.chance(ctx.peers_lost) {
                        let delay = ctx.delay();
                        ctx.later(delay, Item::Word { door, from: self.own, body: body.clone() });
                    }
                }
            }
            Effect::Log(line) => self.says(ctx, &line),
            Effect::LogClosed(end) => self.says(ctx, &end.to_string()),
            Effect::StopAccepting => self.accepts = false,
            Effect::Exit => {
                self.exits = true;
                self.wake(ctx, ctx.now + 0.01);
            }
            Effect::ExitImmediately => outside.push(Outside::Exit),
        }
    }

    fn says(&self, ctx: &mut Ctx, line: &str) {
        let says = format!("door {} [{}]: {line}", self.door, self.index);
        ctx.trace.line(ctx.now, &says);
    }

    fn answer(&mut self, ctx: &mut Ctx, conn: ConnectionId, answer: ClientReply) {
        let (swallows, twice) = (
            self.broken == Some(Sabotage::SwallowsAnswers) && ctx.chance(0.02),
            self.broken == Some(Sabotage::AnswersTwice) && ctx.chance(0.02),
        );
        let answer = match answer {
            ClientReply::Error(why) if why == "failed" && self.broken == Some(Sabotage::ThrottlesAnyway) => {
                ClientReply::Busy { retry_after_ms: None }
            }
            answer => answer,
        };
        let Some(open) = self.conns.get_mut(&conn).filter(|_| !swallows) else { return };
        answer.encode(open.out.buffer());
        if twice {
            answer.encode(open.out.buffer());
        }
    }

    fn deliver(
        &mut self,
        ctx: &mut Ctx,
        (conn, number): (ConnectionId, u64),
        call: &RequestCommand,
        wait_ms: u64,
    ) {
        let once = self.effects.get(call.operation()) == Some(&Repeats::NonIdempotent);
        let twice = once && self.broken == Some(Sabotage::RepeatsOrders) && ctx.chance(0.05);
        let Some(open) = self.conns.get_mut(&conn) else { return };
        open.out.append(number, |buffer| {
            call.encode(wait_ms, buffer);
            if twice {
                call.encode(wait_ms, buffer);
            }
        });
    }

    fn pass(&mut self, ctx: &mut Ctx, conn: ConnectionId, to: Option<ConnectionId>) {
        let Some(left) = self.conns.get_mut(&conn).and_then(|o| o.intake.start_streaming()) else { return };
        let to = to.filter(|to| self.conns.contains_key(to));
        if let Some(client) = to.and_then(|to| self.conns.get_mut(&to)) {
            client.out.buffer().extend_from_slice(format!("${left}\r\n").as_bytes());
        }
        let open = self.conns.get_mut(&conn).expect("just found");
        (open.passes_to, open.moved) = (to, ctx.now);
        self.decode(ctx, conn);
        if self.conns.get(&conn).is_some_and(|o| o.ends && !o.intake.is_stream_pending()) {
            self.over(ctx, conn, CloseReason::Closed, false);
        }
    }

    /// Writes as far as the network takes it.
    fn flush(&mut self, ctx: &mut Ctx, conn: ConnectionId) {
        let Some(open) = self.conns.get_mut(&conn) else { return };
        let Some(wire) = ctx.wires.get(&open.wire) else { return };
        let choked = wire.choked > ctx.now && matches!(conn, ConnectionId::Backend(_));
        let length = if choked { open.out.len() / 2 } else { open.out.len() };
        let out = open.out.bytes()[..length].to_vec();
        open.out.consume(length);
        if choked {
            let at = wire.choked;
            self.wake(ctx, at);
        }
        let wire = self.conns[&conn].wire;
        if out.is_empty() {
            return;
        }
        ctx.trace.bytes(&out);
        match conn {
            ConnectionId::Client(_) => ctx.rules.answers(ctx.now, wire, &out),
            ConnectionId::Backend(_) => ctx.rules.written(ctx.now, wire, self.index, &out),
            _ => {}
        }
        ctx.send(wire, false, &out);
    }

    /// Ended from this side; what was written before leaves first, as far as the network takes it.
    fn close(&mut self, ctx: &mut Ctx, conn: ConnectionId) {
        // Nothing of a delivery that was given up leaves with the close, as on sockets.
        if let (ConnectionId::Backend(_), Some(open)) = (conn, self.conns.get_mut(&conn)) {
            open.out.clear();
        }
        self.flush(ctx, conn);
        let Some(open) = self.conns.remove(&conn) else { return };
        self.tap_end(ctx, conn, open.wire, true);
        ctx.end(open.wire, true, false);
    }

    /// The process is no more: killed, or ended by itself.
    pub fn dies(&mut self, ctx: &mut Ctx, killed: bool) {
        if !std::mem::replace(&mut self.alive, false) {
            return;
        }
        if killed {
            ctx.rules.killed(self.index);
        } else {
            for conn in self.conns.keys().copied().collect::<Vec<_>>() {
                self.flush(ctx, conn);
            }
            ctx.rules.exited(ctx.now, self.index);
        }
        for (conn, open) in std::mem::take(&mut self.conns) {
            self.tap_end(ctx, conn, open.wire, false);
            ctx.end(open.wire, true, killed);
        }
        for wire in std::mem::take(&mut self.backlog) {
            ctx.end(wire, true, true);
        }
    }

    // ======== broken on purpose

    fn doctored(&self, event: Event) -> Event {
        match event {
            Event::HttpResponse(conn @ ConnectionId::Discovery(_), mut response) => {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                let text = match self.broken {
                    Some(Sabotage::IgnoresDrains) => {
                        text.replace("DRAINING", "SERVING").replace("DELETED", "SERVING")
                    }
                    Some(Sabotage::ForgetsCold) => text.split("\"since_ms\":").enumerate().fold(
                        String::new(),
                        |all, (i, part)| match i {
                            0 => part.to_owned(),
                            _ => {
                                let rest = part.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
                                all + "\"since_ms\":0" + rest
                            }
                        },
                    ),
                    _ => return Event::HttpResponse(conn, response),
                };
                response.body = text.into_bytes();
                Event::HttpResponse(conn, response)
            }
            event => event,
        }
    }
}

fn doctored(known: &EndpointList, broken: Option<Sabotage>) -> EndpointList {
    let mut known = known.clone();
    if broken == Some(Sabotage::ForgetsCold) {
        known.endpoints.iter_mut().for_each(|e| e.since_ms = 0.0);
    }
    known
}
