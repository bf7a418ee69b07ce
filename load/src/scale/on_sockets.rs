//! Hollow front doors with real sockets towards a counter and a list service, many to one thread. Their clients and
//! backends are in this process.
use super::agenda::Agenda;
use super::hollow::{Action, HollowFrontDoor, Parts};
use super::point::{Point, SERVICE};
use super::servers;
use super::traffic::{Answered, Arrivals, Population};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use quillramp_gateway::state::event::{CloseReason, ConnectionId};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Seconds from a front door to a backend in the same process, one way.
const LATENCY: f64 = 0.000_25;
/// The longest sleep.
const LOOK: Duration = Duration::from_millis(20);
const EVENTS: usize = 256;
const SCRATCH: usize = 64 * 1024;

/// Unix time in seconds.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

enum Item {
    Step(usize),
    Arrive(usize),
    Up(Port),
    Receive(Port, Vec<u8>),
    Stop(usize),
    Start(usize),
}

/// A connection to a backend, of one process of a front door.
#[derive(Clone, Copy)]
struct Port {
    slot: usize,
    start: u64,
    conn: ConnectionId,
}

/// A front door that is to be killed, and when; it starts again after `RESTART`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restart {
    /// Unix time in seconds.
    pub at: f64,
    pub front_door: usize,
}

/// A front door first asked for what comes after a version of the list: it has all until then in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InForce {
    pub front_door: usize,
    pub version: u64,
    /// Unix time in seconds.
    pub at: f64,
}

/// Seconds that a front door is away for a restart.
pub const RESTART: f64 = 1.0;

struct Slot {
    /// None while it restarts.
    front_door: Option<HollowFrontDoor>,
    /// Counts its processes: what is on its way to an earlier one is lost.
    starts: u64,
    /// What earlier processes answered and used.
    before: Reading,
    /// The newest version of the list that it has had in force.
    version: u64,
    arrivals: Arrivals,
    step_at: f64,
}

struct Socket {
    slot: usize,
    conn: ConnectionId,
    stream: TcpStream,
    output: Vec<u8>,
    up: bool,
}

/// Front doors of one thread.
pub struct Group {
    poll: Poll,
    agenda: Agenda<Item>,
    slots: Vec<Slot>,
    sockets: HashMap<Token, Socket>,
    tokens: HashMap<(usize, ConnectionId), Token>,
    next_token: usize,
    scratch: Vec<u8>,
    point: Point,
    parts: Parts,
    first: usize,
    /// When its front doors had which version of the list in force.
    pub in_force: Vec<InForce>,
}

/// What a group had answered and used at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    pub answered: Answered,
    pub processor: Duration,
}

impl Reading {
    fn of(front_door: &HollowFrontDoor) -> Reading {
        Reading { answered: front_door.answered, processor: front_door.processor }
    }

    fn add(&mut self, more: &Reading) {
        self.answered = self.answered.plus(&more.answered);
        self.processor += more.processor;
    }
}

impl Group {
    /// Starts the front doors of these numbers.
    pub fn start(
        point: &Point,
        population: &Arc<Population>,
        front_doors: Range<usize>,
        parts: Parts,
    ) -> Result<Group, String> {
        let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
        let (now, first, mut slots) = (unix_now(), front_doors.start, vec![]);
        for front_door in front_doors {
            let arrivals = Arrivals::new(point, population, front_door)?;
            let front_door = HollowFrontDoor::new(now, point, front_door, parts)?;
            slots.push(Slot {
                front_door: Some(front_door),
                starts: 0,
                before: Reading::default(),
                version: 0,
                arrivals,
                step_at: now,
            });
        }
        let mut group = Group {
            poll,
            agenda: Agenda::new(now),
            slots,
            sockets: HashMap::new(),
            tokens: HashMap::new(),
            next_token: 0,
            scratch: vec![0; SCRATCH],
            point: point.clone(),
            parts,
            first,
            in_force: vec![],
        };
        for slot in 0..group.slots.len() {
            group.agenda.put(now, Item::Step(slot));
            if point.requests > 0.0 {
                group.next_arrival(slot, now);
            }
        }
        Ok(group)
    }

    /// Restarts those of these front doors that are its own.
    pub fn restart(&mut self, restarts: &[Restart]) {
        let own = self.first..self.first + self.slots.len();
        for restart in restarts.iter().filter(|r| own.contains(&r.front_door)) {
            self.agenda.put(restart.at, Item::Stop(restart.front_door - self.first));
        }
    }

    /// Serves until that Unix time.
    pub fn run(&mut self, until: f64) {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let now = unix_now();
            if now >= until {
                return;
            }
            while let Some(item) = self.agenda.take(now) {
                self.happen(item);
            }
            let wait = self.agenda.next_at().map_or(LOOK, |at| Duration::from_secs_f64((at - now).max(0.0)));
            if self.poll.poll(&mut events, Some(wait.min(LOOK))).is_ok() {
                let ready: Vec<Token> = events.iter().map(|event| event.token()).collect();
                ready.into_iter().for_each(|token| self.ready(token));
            }
        }
    }

    /// What all of them have answered and used until now.
    pub fn read(&self) -> Reading {
        let mut all = Reading::default();
        for slot in &self.slots {
            all.add(&slot.before);
            slot.front_door.iter().for_each(|front_door| all.add(&Reading::of(front_door)));
        }
        all
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Step(slot) => self.step(slot),
            Item::Arrive(slot) => {
                let request = self.slots[slot].arrivals.request();
                self.reach(slot, |front_door| front_door.request(&request));
                self.next_arrival(slot, self.agenda.now);
            }
            Item::Up(port) if self.is_there(port) => {
                self.reach(port.slot, |front_door| front_door.connected(port.conn));
            }
            Item::Receive(port, bytes) if self.is_there(port) => {
                self.reach(port.slot, |front_door| front_door.received(port.conn, &bytes));
            }
            Item::Up(_) | Item::Receive(..) => {}
            Item::Stop(slot) => self.stop(slot),
            Item::Start(slot) => self.start_again(slot),
        }
    }

    fn is_there(&self, port: Port) -> bool {
        self.slots[port.slot].starts == port.start
    }

    /// Tells a front door something, if it is there.
    fn reach(&mut self, slot: usize, what: impl FnOnce(&mut HollowFrontDoor)) {
        if let Some(front_door) = &mut self.slots[slot].front_door {
            what(front_door);
        }
        self.wake(slot, self.agenda.now);
    }

    fn stop(&mut self, slot: usize) {
        let gone = &mut self.slots[slot];
        gone.starts += 1;
        if let Some(front_door) = gone.front_door.take() {
            gone.before.add(&Reading::of(&front_door));
        }
        let own: Vec<(usize, ConnectionId)> =
            self.tokens.keys().filter(|key| key.0 == slot).copied().collect();
        own.into_iter().for_each(|(slot, conn)| self.close(slot, conn));
        self.agenda.put(self.agenda.now + RESTART, Item::Start(slot));
    }

    fn start_again(&mut self, slot: usize) {
        let started = HollowFrontDoor::new(unix_now(), &self.point, self.first + slot, self.parts);
        self.slots[slot].front_door = started.ok(); // the same settings were read at its first start
        self.wake(slot, self.agenda.now);
    }

    fn close(&mut self, slot: usize, conn: ConnectionId) {
        let token = self.tokens.remove(&(slot, conn));
        if let Some(mut socket) = token.and_then(|token| self.sockets.remove(&token)) {
            let _ = self.poll.registry().deregister(&mut socket.stream); // it ends now in any case
        }
    }

    /// Who asks for what comes after a version has it in force.
    fn note_in_force(&mut self, slot: usize, bytes: &[u8]) {
        let Ok(Some((watch, _))) = servers::watch(bytes) else { return };
        let (first, own) = (self.first, &mut self.slots[slot]);
        if watch.since > own.version {
            let at = unix_now();
            let new = own.version + 1..=watch.since;
            self.in_force.extend(new.map(|version| InForce { front_door: first + slot, version, at }));
            own.version = watch.since;
        }
    }

    fn next_arrival(&mut self, slot: usize, now: f64) {
        let gap = self.slots[slot].arrivals.gap();
        self.agenda.put(now + gap, Item::Arrive(slot));
    }

    fn wake(&mut self, slot: usize, at: f64) {
        if at < self.slots[slot].step_at {
            self.slots[slot].step_at = at;
            self.agenda.put(at, Item::Step(slot));
        }
    }

    fn step(&mut self, slot: usize) {
        let now = unix_now();
        if self.slots[slot].step_at > now {
            return; // it was put off since
        }
        self.slots[slot].step_at = f64::INFINITY;
        let Some(front_door) = &mut self.slots[slot].front_door else { return };
        let (next, actions) = front_door.step(now);
        for action in actions {
            self.carry_out(slot, action);
        }
        if let Some(next) = next {
            self.wake(slot, next);
        }
    }

    fn carry_out(&mut self, slot: usize, action: Action) {
        let (now, start) = (self.agenda.now, self.slots[slot].starts);
        match action {
            Action::Dial(conn @ ConnectionId::Backend(_), _) => {
                self.agenda.put(now + 2.0 * LATENCY, Item::Up(Port { slot, start, conn }));
            }
            Action::Dial(conn, to) => {
                if self.dial(slot, conn, to).is_err() {
                    self.reach(slot, |front_door| front_door.ended(conn, CloseReason::Refused));
                }
            }
            Action::Send(conn @ ConnectionId::Backend(_), bytes) => {
                // A front door writes whole commands, one or more.
                let mut rest = &bytes[..];
                while let Ok(Some((reply, n))) = servers::invoke(rest) {
                    let item = Item::Receive(Port { slot, start, conn }, reply);
                    self.agenda.put(now + 2.0 * LATENCY + SERVICE, item);
                    rest = &rest[n..];
                }
            }
            Action::Send(conn, bytes) => {
                if matches!(conn, ConnectionId::Discovery(_)) {
                    self.note_in_force(slot, &bytes);
                }
                self.send(slot, conn, &bytes);
            }
            Action::Close(conn) => self.close(slot, conn),
        }
    }

    fn send(&mut self, slot: usize, conn: ConnectionId, bytes: &[u8]) {
        let Some(token) = self.tokens.get(&(slot, conn)).copied() else { return };
        if let Some(socket) = self.sockets.get_mut(&token) {
            socket.output.extend_from_slice(bytes);
        }
        if self.flush(token).is_err() {
            self.end(token, CloseReason::Reset);
        }
    }

    // ======== sockets

    fn dial(&mut self, slot: usize, conn: ConnectionId, to: std::net::SocketAddr) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        let token = Token(self.next_token);
        self.next_token += 1;
        self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        self.sockets.insert(token, Socket { slot, conn, stream, output: vec![], up: false });
        self.tokens.insert((slot, conn), token);
        Ok(())
    }

    fn ready(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(&token) else { return };
        let slot = socket.slot;
        if !socket.up {
            match (socket.stream.take_error(), socket.stream.peer_addr()) {
                (Ok(None), Ok(_)) => {
                    socket.up = true;
                    let conn = socket.conn;
                    self.reach(slot, |front_door| front_door.connected(conn));
                }
                (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => return,
                _ => return self.end(token, CloseReason::Refused),
            }
        }
        let why = match self.read_all(token).and_then(|()| self.flush(token)) {
            Ok(()) => None,
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => Some(CloseReason::Closed),
            Err(_) => Some(CloseReason::Reset),
        };
        if let Some(why) = why {
            self.end(token, why);
        }
        self.wake(slot, self.agenda.now);
    }

    fn read_all(&mut self, token: Token) -> std::io::Result<()> {
        while let Some(socket) = self.sockets.get_mut(&token) {
            match socket.stream.read(&mut self.scratch) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    let front_door = &mut self.slots[socket.slot].front_door;
                    front_door.iter_mut().for_each(|f| f.received(socket.conn, &self.scratch[..n]));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn flush(&mut self, token: Token) -> std::io::Result<()> {
        let Some(socket) = self.sockets.get_mut(&token).filter(|s| s.up) else { return Ok(()) };
        let mut done = 0;
        while done < socket.output.len() {
            match socket.stream.write(&socket.output[done..]) {
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        socket.output.drain(..done);
        Ok(())
    }

    /// A connection ended, and the front door hears of it.
    fn end(&mut self, token: Token, why: CloseReason) {
        let Some(mut socket) = self.sockets.remove(&token) else { return };
        let _ = self.poll.registry().deregister(&mut socket.stream); // it ends now in any case
        self.tokens.remove(&(socket.slot, socket.conn));
        self.reach(socket.slot, |front_door| front_door.ended(socket.conn, why));
    }
}
