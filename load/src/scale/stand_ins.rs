//! Stand-ins for a scale run: one counter, one list service and thousands of backends, served by one event loop.
//! Each counts its connections, calls and bytes.
use super::counts::Counts;
use super::discovery::Discovery;
use super::point::{Point, SERVICE};
use super::process::own_loopback;
use super::servers;
use super::tally::{Role, Tallies};
use crate::sync::lock;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use quillramp_gateway::wire::ProtocolError;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest that the loop sleeps before it looks whether it is to end.
const LOOK: Duration = Duration::from_millis(50);
/// How often counts whose time is over are dropped.
const EXPIRE: Duration = Duration::from_secs(10);
const SCRATCH: usize = 64 * 1024;
const EVENTS: usize = 1024;

/// The port that the first backend has which is only listed.
const FIRST_LISTED: u16 = 1_024;

/// Whether the backends of the list are there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backends {
    Served,
    Listed,
}

/// Changes of the list that were asked for, and when each was written.
#[derive(Default)]
struct Changes {
    wanted: AtomicUsize,
    /// Unix time in seconds, from version 2 on.
    written: Mutex<Vec<f64>>,
}

/// Stand-ins that serve until this is dropped.
pub struct StandIns {
    pub counter: SocketAddr,
    pub list: SocketAddr,
    /// Bytes of the whole list, as the list service writes it.
    pub list_bytes: usize,
    pub tallies: Arc<Tallies>,
    changes: Arc<Changes>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StandIns {
    /// Starts them on free ports of loopback. `front_doors` are there; the rest of the fleet is reckoned by the counter.
    /// Backends that are only listed are served by whoever runs the front doors.
    pub fn start(point: &Point, front_doors: usize, backends: Backends) -> Result<StandIns, String> {
        let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
        let mut listeners = vec![];
        let listening = if backends == Backends::Served { point.backends } else { 0 };
        for n in 0..listening + 2 {
            let role = [Role::Counter, Role::List].get(n).copied().unwrap_or(Role::Backend);
            listeners.push((role, listen(poll.registry(), n)?));
        }
        let mut addresses = vec![];
        for (_, listener) in &listeners {
            addresses.push(listener.local_addr().map_err(|e| format!("a port: {e}"))?);
        }
        if backends == Backends::Listed {
            let named = |n: usize| SocketAddr::from((own_loopback(), FIRST_LISTED + n as u16));
            addresses.extend((0..point.backends).map(named));
        }
        let discovery = Discovery::new(&addresses[2..]);
        let list_bytes = discovery.answer(0).to_string().len();
        let absent = 1.0 - front_doors as f64 / point.front_doors as f64;
        let others = (absent > 0.0 && !point.alone).then_some(absent);
        let (tallies, stop) = (Arc::new(Tallies::default()), Arc::new(AtomicBool::new(false)));
        let first_connection = listeners.len();
        let changes = Arc::new(Changes::default());
        let event_loop = EventLoop {
            poll,
            listeners,
            connections: HashMap::new(),
            next_token: first_connection,
            counts: Counts::new(point.tenants(), others),
            discovery,
            watches: vec![],
            due: BinaryHeap::new(),
            tallies: tallies.clone(),
            scratch: vec![0; SCRATCH],
            changes: changes.clone(),
            change_every: (point.changes > 0.0).then(|| Duration::from_secs_f64(1.0 / point.changes)),
        };
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || event_loop.run(&stopped));
        let (counter, list) = (addresses[0], addresses[1]);
        Ok(StandIns { counter, list, list_bytes, tallies, changes, stop, thread: Some(thread) })
    }
}

impl StandIns {
    /// Changes the list once more, within a moment.
    pub fn change(&self) {
        self.changes.wanted.fetch_add(1, Ordering::Relaxed);
    }

    /// When each version of the list was written, from version 2 on; Unix time in seconds.
    pub fn written(&self) -> Vec<f64> {
        lock(&self.changes.written).clone()
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join(); // its panic was printed
        }
    }
}

fn listen(registry: &Registry, token: usize) -> Result<TcpListener, String> {
    let failed = |e: std::io::Error| format!("a port: {e}");
    let mut listener = TcpListener::bind(SocketAddr::from((own_loopback(), 0))).map_err(failed)?;
    registry.register(&mut listener, Token(token), Interest::READABLE).map_err(failed)?;
    Ok(listener)
}

struct Connection {
    role: Role,
    stream: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// A watch of the list that waits for news.
struct Waiting {
    token: Token,
    since: u64,
    until: Instant,
}

struct EventLoop {
    poll: Poll,
    listeners: Vec<(Role, TcpListener)>,
    connections: HashMap<Token, Connection>,
    next_token: usize,
    counts: Counts,
    discovery: Discovery,
    watches: Vec<Waiting>,
    /// Answers of backends, by when they are given.
    due: BinaryHeap<Reverse<(Instant, Token, Vec<u8>)>>,
    tallies: Arc<Tallies>,
    scratch: Vec<u8>,
    changes: Arc<Changes>,
    change_every: Option<Duration>,
}

impl EventLoop {
    fn run(mut self, stop: &AtomicBool) {
        let mut events = Events::with_capacity(EVENTS);
        let mut expire = Instant::now() + EXPIRE;
        let mut change = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let wait =
                self.due.peek().map_or(LOOK, |next| next.0 .0.saturating_duration_since(Instant::now()));
            if self.poll.poll(&mut events, Some(wait.min(LOOK))).is_err() {
                continue; // a signal
            }
            for event in &events {
                self.ready(event.token());
            }
            let now = Instant::now();
            if let Some(every) = self.change_every.filter(|every| now >= change + *every) {
                change += every;
                self.changes.wanted.fetch_add(1, Ordering::Relaxed);
            }
            self.change();
            self.answer_watches(now);
            self.answer_backends(now);
            if now >= expire {
                expire = now + EXPIRE;
                self.counts.expire(unix_now());
            }
        }
    }

    fn ready(&mut self, token: Token) {
        if token.0 < self.listeners.len() {
            return self.accept(token.0);
        }
        if self.read(token).is_err() || self.flush(token).is_err() {
            self.close(token);
        }
    }

    fn accept(&mut self, listener: usize) {
        while let Ok((mut stream, _)) = self.listeners[listener].1.accept() {
            let (role, token) = (self.listeners[listener].0, Token(self.next_token));
            let interest = Interest::READABLE | Interest::WRITABLE;
            let _ = stream.set_nodelay(true); // answers come in one write; a delay would only be seen as slowness
            if self.poll.registry().register(&mut stream, token, interest).is_err() {
                continue; // no descriptor is left: the connection ends
            }
            self.next_token += 1;
            self.tallies.of(role).connected();
            self.connections.insert(token, Connection { role, stream, input: vec![], output: vec![] });
        }
    }

    fn close(&mut self, token: Token) {
        if let Some(mut connection) = self.connections.remove(&token) {
            let _ = self.poll.registry().deregister(&mut connection.stream); // it ends now in any case
        }
        self.watches.retain(|watch| watch.token != token);
    }

    /// Reads all that has come and answers it; an error where the connection is over.
    fn read(&mut self, token: Token) -> std::io::Result<()> {
        loop {
            let Some(connection) = self.connections.get_mut(&token) else { return Ok(()) };
            match connection.stream.read(&mut self.scratch) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.tallies.of(connection.role).received(n);
                    connection.input.extend_from_slice(&self.scratch[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let Some(connection) = self.connections.get_mut(&token) else { return Ok(()) };
        let (role, input) = (connection.role, std::mem::take(&mut connection.input));
        let mut used = 0;
        while let Some(n) = self.serve(token, role, &input[used..])? {
            self.tallies.of(role).called();
            used += n;
        }
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.input = input[used..].to_vec();
        }
        Ok(())
    }

    /// Serves the first request of these bytes: how many it took, none where it is not whole.
    fn serve(&mut self, token: Token, role: Role, bytes: &[u8]) -> std::io::Result<Option<usize>> {
        if bytes.is_empty() {
            return Ok(None);
        }
        let used = match role {
            Role::Backend => servers::invoke(bytes).map_err(broken)?.map(|(reply, n)| {
                let due = Instant::now() + Duration::from_secs_f64(SERVICE);
                self.due.push(Reverse((due, token, reply)));
                n
            }),
            Role::List => servers::watch(bytes).map_err(broken)?.map(|(watch, n)| {
                let until = Instant::now() + watch.wait;
                self.watches.push(Waiting { token, since: watch.since, until });
                n
            }),
            Role::Counter => {
                let answer = servers::count(unix_now(), &mut self.counts, bytes).map_err(broken)?;
                answer.map(|(answer, n)| {
                    self.respond(token, &answer);
                    n
                })
            }
        };
        Ok(used)
    }

    /// Writes the changes that were asked for since it last looked.
    fn change(&mut self) {
        let mut written = lock(&self.changes.written);
        while written.len() < self.changes.wanted.load(Ordering::Relaxed) {
            self.discovery.change();
            written.push(unix_now());
        }
    }

    /// Answers watches for which there is news, or whose time is over.
    fn answer_watches(&mut self, now: Instant) {
        let version = self.discovery.version();
        let (ready, waiting) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.since < version || now >= watch.until);
        self.watches = waiting;
        let ready: Vec<Waiting> = ready;
        for watch in ready {
            let answer = servers::listing(&self.discovery, watch.since);
            self.respond(watch.token, &answer);
            if self.flush(watch.token).is_err() {
                self.close(watch.token);
            }
        }
    }

    fn answer_backends(&mut self, now: Instant) {
        while self.due.peek().is_some_and(|next| next.0 .0 <= now) {
            let Some(Reverse((_, token, reply))) = self.due.pop() else { return };
            self.respond(token, &reply);
            if self.flush(token).is_err() {
                self.close(token);
            }
        }
    }

    fn respond(&mut self, token: Token, answer: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.output.extend_from_slice(answer);
        }
    }

    /// Writes what waits, as far as the socket takes it.
    fn flush(&mut self, token: Token) -> std::io::Result<()> {
        let Some(connection) = self.connections.get_mut(&token) else { return Ok(()) };
        let mut done = 0;
        while done < connection.output.len() {
            match connection.stream.write(&connection.output[done..]) {
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.tallies.of(connection.role).sent(done);
        connection.output.drain(..done);
        Ok(())
    }
}

fn broken(why: ProtocolError) -> std::io::Error {
    std::io::Error::other(why.0)
}

fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
