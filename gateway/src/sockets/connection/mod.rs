//! One TCP connection of any kind: a coroutine reads and decodes; what is written leaves with the batch.
use super::inbox::Inbox;
use crate::state::backlog::{Backlog, Due};
use crate::state::event::{CloseReason, ConnectionId, Event};
use crate::state::framing::{MessageReader, MessageSink};
use crate::state::write_buffer::WriteBuffer;
use crate::wire::resp::{self, ClientCommand};
use atomic_refcell::AtomicRefCell;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

const READABLE: usize = 0x1 | 0x8 | 0x10 | 0x2000; // in, error, hang-up, the other side's end
const WRITABLE: usize = 0x4;
const IN_PROGRESS: i32 = nix::errno::Errno::EINPROGRESS as i32;
const ERROR: usize = 0x8;
const ENDED: usize = ERROR | 0x10 | 0x2000;
/// Buffers larger than this are not kept.
const KEPT: usize = 16 * 1024;
const SCRATCH: usize = 64 * 1024;
/// By so much the room for a long command grows.
const STEP: usize = 512 * 1024;
/// So much may wait to be written, and so many of a client's commands for their answers, before reading stops.
const UNREAD: usize = 1024 * 1024;
const OWED: usize = 512;
/// So much is read at once from a client whose commands are dropped, before others have their turn.
const READ_AT_ONCE: usize = 1024 * 1024;
/// The part of the memory that clients' unfinished commands may take, and that what passes through may.
const HALF: usize = 8;
const PASSING: usize = 8;
/// So much of a value may wait for its client; so little once all that pass have their part of the memory.
const AHEAD: usize = 64 * 1024;
const LITTLE: usize = 4 * 1024;

/// What all connections share.
pub struct Common {
    pub inbox: Arc<Inbox>,
    scratch: AtomicRefCell<Vec<u8>>,
    /// How many bytes of clients' unfinished commands are kept, and how many may be; and how many may wait to be
    /// written to one connection before it is not read from any more.
    half: AtomicUsize,
    most_half: usize,
    unread: usize,
    /// How many bytes clients' long commands hold, until they are answered, and how many they may; the client that
    /// may go on all the same, and those that wait.
    long: AtomicUsize,
    most_long: usize,
    goes_on: AtomicUsize,
    crowd: AtomicRefCell<Vec<Arc<Link>>>,
    /// Clients that have been read from for long enough, until others have had their turn.
    paused: AtomicRefCell<Vec<Arc<Link>>>,
    /// How many bytes of values on their way through wait for clients, and how many should.
    passing: AtomicUsize,
    most_passing: usize,
    /// Accepting waits for a descriptor.
    pub short: AtomicBool,
    /// Clients' connections that hold a descriptor, and how many of them may.
    clients: AtomicUsize,
    most_clients: usize,
    pub acceptors: AtomicRefCell<Vec<WaitIoWaker>>,
    /// Deliveries that left whole and are not yet counted.
    pub written: AtomicUsize,
}

impl Common {
    pub fn wake_acceptors(&self) {
        self.acceptors.borrow().iter().for_each(WaitIoWaker::wakeup);
    }

    /// Whether a client waits to be read from again.
    pub fn has_paused(&self) -> bool {
        !self.paused.borrow().is_empty()
    }

    /// Others have had their turn.
    pub fn resume_paused(&self) {
        for link in self.paused.borrow_mut().drain(..) {
            link.waker.wakeup();
        }
    }

    /// No more clients are taken in until one of them has let go of its descriptor.
    pub fn clients_full(&self) -> bool {
        self.clients.load(Ordering::Relaxed) >= self.most_clients
    }

    /// With so many bytes of memory, for so many clients at the most.
    pub fn new(inbox: Arc<Inbox>, memory: usize, most_clients: usize) -> Arc<Common> {
        let scratch = AtomicRefCell::new(vec![0; SCRATCH]);
        let (half, most_half, unread) = (AtomicUsize::new(0), memory / HALF, UNREAD.min(memory / HALF / 16));
        let (short, acceptors, written) =
            (AtomicBool::new(false), AtomicRefCell::default(), AtomicUsize::new(0));
        let (long, most_long, goes_on) = (AtomicUsize::new(0), memory / HALF, AtomicUsize::new(0));
        let (passing, most_passing) = (AtomicUsize::new(0), memory / PASSING);
        Arc::new(Common {
            inbox,
            scratch,
            half,
            most_half,
            unread,
            long,
            most_long,
            goes_on,
            crowd: AtomicRefCell::default(),
            paused: AtomicRefCell::default(),
            passing,
            most_passing,
            short,
            clients: AtomicUsize::new(0),
            most_clients,
            acceptors,
            written,
        })
    }
}

pub struct Link {
    conn: ConnectionId,
    /// The other side.
    pub to: SocketAddr,
    stream: CoIo<TcpStream>,
    waker: WaitIoWaker,
    pub out: AtomicRefCell<WriteBuffer>,
    /// A client's commands that have no answer yet; and the lengths of the long ones, 0 for others.
    owed: AtomicUsize,
    long: AtomicRefCell<VecDeque<usize>>,
    /// Commands of it have been read and put by until some before them are answered.
    behind: AtomicBool,
    /// It waits for room for a long body.
    crowded: AtomicBool,
    closed: AtomicBool,
    /// Nothing more is heard; for an operator: its answer is the last that leaves.
    muted: AtomicBool,
    intake: AtomicRefCell<MessageReader>,
    /// A backend's: the client that a value passes to; it was told to go on; when something last passed; it waits
    /// for its client.
    passes_to: AtomicRefCell<Option<Arc<Link>>>,
    resumed: AtomicBool,
    moved: AtomicRefCell<Instant>,
    waits: AtomicBool,
    /// A client's: what passes to it, and how much of that is counted as waiting.
    source: AtomicRefCell<Option<Arc<Link>>>,
    counted: AtomicUsize,
    common: Arc<Common>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if matches!(self.conn, ConnectionId::Client(_)) {
            self.common.clients.fetch_sub(1, Ordering::Relaxed);
        }
        if self.common.short.swap(false, Ordering::Relaxed) {
            self.common.wake_acceptors();
        }
    }
}

impl Link {
    /// Takes up a connection, made or in the making, and starts its coroutine.
    pub fn start(
        (conn, to): (ConnectionId, SocketAddr),
        stream: TcpStream,
        up: bool,
        common: &Arc<Common>,
    ) -> Result<Arc<Link>, std::io::Error> {
        stream.set_nodelay(true)?;
        let stream = CoIo::new(stream).map_err(|e| std::io::Error::other(format!("{e:?}")))?;
        let (waker, common) = (stream.waker(), common.clone());
        let (out, owed, closed) = (AtomicRefCell::default(), AtomicUsize::new(0), AtomicBool::new(false));
        let muted = AtomicBool::new(false);
        let (intake, source) = (AtomicRefCell::new(MessageReader::new(conn)), AtomicRefCell::default());
        let [resumed, waits] = [(); 2].map(|()| AtomicBool::new(false));
        let moved = AtomicRefCell::new(Instant::now());
        let counted = AtomicUsize::new(0);
        let link = Arc::new(Link {
            conn,
            to,
            stream,
            waker,
            out,
            owed,
            long: AtomicRefCell::default(),
            behind: AtomicBool::new(false),
            crowded: AtomicBool::new(false),
            closed,
            muted,
            intake,
            passes_to: AtomicRefCell::default(),
            resumed,
            moved,
            waits,
            source,
            counted,
            common,
        });
        if matches!(conn, ConnectionId::Client(_)) {
            link.common.clients.fetch_add(1, Ordering::Relaxed);
        }
        let own = link.clone();
        may::go!(move || own.serve(up));
        Ok(link)
    }

    /// Starts connecting; whether it comes up is told later.
    pub fn connect(
        conn: ConnectionId,
        to: SocketAddr,
        common: &Arc<Common>,
    ) -> Result<Arc<Link>, std::io::Error> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(to), socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(IN_PROGRESS) => Err(e),
            _ => Link::start((conn, to), socket.into(), false, common),
        }
    }

    /// Writes what is waiting, as far as it goes; the rest when the socket takes more.
    pub fn flush(&self) {
        let mut out = self.out.borrow_mut();
        let mut done = 0;
        while done < out.len() {
            match self.stream.inner().write(&out.bytes()[done..]) {
                Ok(n) if n > 0 => done += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => break, // no room yet; or the reader finds out that it broke
            }
        }
        self.common.written.fetch_add(out.consume(done), Ordering::Relaxed);
        let answered = matches!(self.conn, ConnectionId::Admin(_)) && self.muted.load(Ordering::Relaxed);
        if answered && out.is_empty() {
            let _ = self.stream.inner().shutdown(Shutdown::Write); // it may have gone
        }
        out.shrink(KEPT);
        let left = out.len();
        drop(out);
        if let Some(source) = &*self.source.borrow() {
            self.count(left);
            if left == 0 && source.waits.swap(false, Ordering::Relaxed) {
                source.waker.wakeup();
            }
        }
    }

    /// How much of what passes to this client waits.
    fn count(&self, now: usize) {
        let before = self.counted.swap(now, Ordering::Relaxed);
        let all = self.common.passing.load(Ordering::Relaxed) + now - before;
        self.common.passing.store(all, Ordering::Relaxed);
    }

    /// What has begun here passes to this client from now on, or to nobody.
    pub fn pass(self: &Arc<Link>, to: Option<Arc<Link>>) {
        let Some(left) = self.intake.borrow_mut().start_streaming() else { return };
        if let Some(to) = &to {
            to.out.borrow_mut().buffer().extend_from_slice(format!("${left}\r\n").as_bytes());
            *to.source.borrow_mut() = Some(self.clone());
        }
        *self.passes_to.borrow_mut() = to;
        *self.moved.borrow_mut() = Instant::now();
        self.resumed.store(true, Ordering::Relaxed);
        self.waker.wakeup();
    }

    /// For how many seconds nothing has passed.
    pub fn still_for(&self) -> f64 {
        self.moved.borrow().elapsed().as_secs_f64()
    }

    /// A value is on its way through, all that has come of it has left for its client, and more would be read.
    pub fn is_silent(&self) -> bool {
        let to = self.passes_to.borrow();
        let flushed = to.as_ref().is_some_and(|to| to.flushed());
        flushed && self.intake.borrow().is_streaming() && !self.waits.load(Ordering::Relaxed)
    }

    /// How much of a value may be read now; all of it where nobody waits for it.
    fn ahead(&self) -> usize {
        let intake = self.intake.borrow();
        if intake.is_stream_pending() {
            return 0;
        }
        match &*self.passes_to.borrow() {
            Some(to) if intake.is_streaming() && !to.closed.load(Ordering::Relaxed) => {
                let crowded = self.common.passing.load(Ordering::Relaxed) > self.common.most_passing;
                match to.out.borrow().len() {
                    0 if crowded => LITTLE,
                    waiting if crowded || waiting >= AHEAD => 0,
                    waiting => AHEAD - waiting,
                }
            }
            _ => SCRATCH,
        }
    }

    /// An operator has had its answer. Of what a client says from now on nothing is heard but its end: left unread, its
    /// bytes would hide that, and make the close a reset that can take our answers with it.
    pub fn mute(&self) {
        self.muted.store(true, Ordering::Relaxed);
        if matches!(self.conn, ConnectionId::Client(_)) {
            self.intake.borrow_mut().discard = true;
            self.waker.wakeup();
        }
    }

    /// Something has come that nobody has read or decoded, its end included.
    pub fn unread(&self) -> bool {
        let mut one = [0];
        self.behind.load(Ordering::Relaxed)
            || !matches!(self.stream.inner().peek(&mut one), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether all that was written has left.
    pub fn flushed(&self) -> bool {
        self.out.borrow().is_empty()
    }

    /// A client's command has its answer: reading goes on if that was what it waited for.
    pub fn answered(&self) {
        if self.owed.fetch_sub(1, Ordering::Relaxed) == OWED {
            self.waker.wakeup();
        }
        let long = self.long.borrow_mut().pop_front();
        if let Some(length) = long.filter(|n| *n > 0) {
            self.has_room(length);
        }
    }

    /// So much of a long command is held no more.
    fn has_room(&self, length: usize) {
        self.common.long.fetch_sub(length, Ordering::Relaxed);
        let own = self.number();
        let _ = self.common.goes_on.compare_exchange(own, 0, Ordering::Relaxed, Ordering::Relaxed);
        self.wake_crowd();
    }

    /// Those that wait for room look again.
    fn wake_crowd(&self) {
        for link in self.common.crowd.borrow_mut().drain(..) {
            link.crowded.store(false, Ordering::Relaxed);
            link.waker.wakeup();
        }
    }

    fn number(&self) -> usize {
        if let ConnectionId::Client(id) = self.conn {
            id as usize
        } else {
            0
        }
    }

    /// Whether there is room for more of a long body now.
    fn has_spare_room(&self) -> bool {
        self.common.long.load(Ordering::Relaxed) + SCRATCH <= self.common.most_long
            || self.common.goes_on.load(Ordering::Relaxed) == self.number()
    }

    /// Whether there is room for more of a long body: one client may always go on, until it is answered.
    fn may_grow(&self) -> bool {
        if self.has_spare_room() {
            return true;
        }
        let own = self.number();
        let before = self.common.goes_on.compare_exchange(0, own, Ordering::Relaxed, Ordering::Relaxed);
        before.is_ok() || before == Err(own)
    }

    /// A client that reads no answers is not read from either. If it leaves, it leaves answers unread, and the machine
    /// tells of that at once, by a reset.
    fn full(&self) -> bool {
        match self.conn {
            ConnectionId::Backend(_) => self.ahead() == 0,
            _ => self.out.borrow().len() > self.common.unread,
        }
    }

    /// Any other client that waits for something is read from, for its end may lie behind what it wrote: where there is
    /// no room for that, it is dropped.
    fn is_to_drop(&self, got: &Backlog) -> bool {
        if !matches!(self.conn, ConnectionId::Client(_))
            || self.owed.load(Ordering::Relaxed) == 0
            || got.drops()
        {
            return false;
        }
        let too_much = self.asks_ahead() && got.len() > self.common.unread;
        too_much || got.len() > resp::MAX_MESSAGE_BYTES && !self.has_spare_room()
    }

    /// As many of a client's commands as may wait for their answers do.
    fn asks_ahead(&self) -> bool {
        self.owed.load(Ordering::Relaxed) >= OWED
    }

    /// Ends it from our side; what was written before leaves first.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        // But nothing of a delivery that was given up in the same batch: the backend would take it for one that is wanted.
        if matches!(self.conn, ConnectionId::Backend(_)) && !self.flushed() {
            self.out.borrow_mut().clear();
        }
        self.flush();
        self.waker.wakeup();
        if let Some(source) = &*self.source.borrow() {
            source.waker.wakeup(); // it has nobody to wait for now
        }
    }

    fn serve(self: &Arc<Link>, up: bool) {
        let mut got = Backlog::default();
        self.read_on(up, &mut got);
        self.keep(got.len(), 0);
        // Nothing passes here any more, in either direction.
        self.closed.store(true, Ordering::Relaxed);
        self.count(0);
        let long: usize = self.long.borrow_mut().drain(..).sum();
        self.has_room(long);
        if let Some(source) = self.source.borrow_mut().take() {
            source.waker.wakeup();
        }
        if let Some(to) = self.passes_to.borrow_mut().take() {
            to.count(0);
            *to.source.borrow_mut() = None;
        }
    }

    /// Counts what is kept of an unfinished command; false if that is too much for all clients together.
    fn keep(&self, before: usize, now: usize) -> bool {
        if !matches!(self.conn, ConnectionId::Client(_)) {
            return true;
        }
        let long = |n: usize| if n > resp::MAX_MESSAGE_BYTES { n } else { 0 };
        let short = |n: usize| n - long(n);
        let kept = self.common.half.load(Ordering::Relaxed) + short(now) - short(before);
        self.common.half.store(kept, Ordering::Relaxed);
        self.common.long.fetch_add(long(now), Ordering::Relaxed);
        self.common.long.fetch_sub(long(before), Ordering::Relaxed);
        short(now) <= short(before) || kept <= self.common.most_half
    }

    fn read_on(self: &Arc<Link>, mut up: bool, got: &mut Backlog) {
        let mut unread = 0;
        // It has been left unread for a while.
        let mut rested = false;
        loop {
            let flags = self.stream.wait_io();
            if !up && !self.closed.load(Ordering::Relaxed) {
                if flags & (WRITABLE | ENDED) == 0 {
                    continue;
                }
                if !matches!(self.stream.inner().take_error(), Ok(None)) || flags & WRITABLE == 0 {
                    return self.ended(CloseReason::Refused);
                }
                up = true;
                self.common.inbox.push(Event::Connected(self.conn));
            }
            if flags & WRITABLE != 0 && !self.flushed() {
                self.flush();
            }
            if self.closed.load(Ordering::Relaxed) {
                let speaks = matches!(self.conn, ConnectionId::Client(_) | ConnectionId::Admin(_));
                if self.flushed() || !speaks || flags & ENDED != 0 {
                    let _ = self.stream.inner().shutdown(Shutdown::Both);
                    return self.out.borrow_mut().clear(); // nothing more leaves
                }
                self.intake.borrow_mut().discard = true;
            }
            unread |= flags & READABLE;
            let (ended, passes) = (unread & ENDED != 0, matches!(self.conn, ConnectionId::Backend(_)));
            // A client that has left: whatever it said before that nobody has read, nobody waits for it.
            if ended && matches!(self.conn, ConnectionId::Client(_)) && !self.closed.load(Ordering::Relaxed) {
                return self.ended(if unread & ERROR != 0 {
                    CloseReason::Reset
                } else {
                    CloseReason::Closed
                });
            }
            let behind = self.behind.load(Ordering::Relaxed) && !self.asks_ahead();
            if (self.resumed.swap(false, Ordering::Relaxed) || behind) && !got.is_empty() {
                let before = got.len();
                if let Err(why) = self.decode(got) {
                    return self.ended(why);
                }
                self.keep(before, got.len());
            }
            // What a backend wrote before its end passes only as fast as the client takes it.
            if unread != 0 && (!self.full() || ended && !passes) {
                match self.read((ended, rested), got) {
                    Ok(all) => {
                        unread = if all { 0 } else { unread };
                        rested = !all && !passes;
                    }
                    Err(why) => return self.ended(why),
                }
            } else if unread != 0 {
                self.waits.store(true, Ordering::Relaxed);
                rested = !passes;
            }
        }
    }

    fn ended(&self, why: CloseReason) {
        if !self.closed.load(Ordering::Relaxed) {
            let unsent = !self.flushed();
            self.common.inbox.push(Event::ConnectionEnded { connection: self.conn, reason: why, unsent });
        }
        self.out.borrow_mut().clear(); // nothing more leaves
    }

    /// Reads all there is, or until it is full; true if that was all. A short read is the last one, unless the
    /// other side has ended, or may have while nothing was read here (`rested`): its end is to be met together with
    /// the commands before it.
    fn read(self: &Arc<Link>, (ended, rested): (bool, bool), got: &mut Backlog) -> Result<bool, CloseReason> {
        let mut scratch = self.common.scratch.borrow_mut();
        let mut read = 0;
        loop {
            if self.is_to_drop(got) {
                let before = got.len();
                got.start_dropping();
                self.keep(before, got.len());
                self.wake_crowd();
            }
            if (got.drops() || self.deaf()) && read >= READ_AT_ONCE {
                self.common.paused.borrow_mut().push(self.clone());
                self.common.inbox.wake();
                return Ok(false);
            }
            if got.len() > resp::MAX_MESSAGE_BYTES && !got.drops() && !self.deaf() && !self.may_grow() {
                if !self.crowded.swap(true, Ordering::Relaxed) {
                    self.common.crowd.borrow_mut().push(self.clone());
                    self.tell(Event::BodyProgress(self.number() as u64, false));
                }
                return Ok(false);
            }
            let room = if matches!(self.conn, ConnectionId::Backend(_)) { self.ahead() } else { SCRATCH };
            if room == 0 {
                self.waits.store(true, Ordering::Relaxed);
                return Ok(false);
            }
            match self.stream.inner().read(&mut scratch[..room]) {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(n) if self.deaf() => read += n,
                Ok(n) => {
                    let before = got.len();
                    read += n;
                    if got.is_empty() {
                        let done = self.decode_all(&scratch[..n])?;
                        got.extend(&scratch[done..n], STEP);
                    } else {
                        got.extend(&scratch[..n], STEP);
                        self.decode(got)?;
                    }
                    if got.drops() {
                        self.tell(Event::BodyProgress(self.number() as u64, true));
                        // it is at a command, kept or not
                    }
                    if !self.keep(before, got.len()) {
                        self.intake.borrow_mut().protocol_error("too much unfinished", &mut Told(self));
                    }
                    if self.deaf() {
                        self.keep(got.len(), 0);
                        self.has_room(0);
                        got.clear(KEPT);
                    }
                    got.shrink(KEPT);
                    if !ended && self.full() {
                        self.waits.store(true, Ordering::Relaxed);
                        return Ok(n < room && !rested);
                    }
                    if !ended && !rested && n < room {
                        self.waits.store(false, Ordering::Relaxed);
                        return Ok(true);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(true),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Tells of each whole message; how many bytes they took.
    fn decode_all(&self, bytes: &[u8]) -> Result<usize, CloseReason> {
        let done = self.intake.borrow_mut().decode(bytes, &mut Told(self))?;
        self.behind.store(self.asks_ahead() && done < bytes.len(), Ordering::Relaxed);
        Ok(done)
    }

    /// The same of what is kept; what was dropped behind it is refused in its turn.
    fn decode(&self, got: &mut Backlog) -> Result<(), CloseReason> {
        loop {
            let done = self.intake.borrow_mut().decode(got.decodable(), &mut Told(self))?;
            got.decoded(done);
            while !self.asks_ahead() {
                match got.next_due() {
                    Some(Due::Refusal) => self.tell_command(ClientCommand::Dropped),
                    Some(Due::TooMany) => {
                        got.clear(KEPT);
                        self.intake.borrow_mut().protocol_error("too many commands at once", &mut Told(self));
                    }
                    None => break,
                }
            }
            if !got.stops_dropping() {
                break;
            }
        }
        self.behind.store(self.asks_ahead() && !got.is_empty(), Ordering::Relaxed);
        Ok(())
    }

    fn tell_command(&self, command: ClientCommand) {
        Told(self).event(Event::ClientCommand(self.number() as u64, command), 0);
    }

    fn deaf(&self) -> bool {
        self.intake.borrow().discard
    }

    fn tell(&self, event: Event) {
        self.common.inbox.push(event);
    }
}

/// What came on a connection goes to the inbox, and on to the client that it passes to.
struct Told<'a>(&'a Link);

impl MessageSink for Told<'_> {
    fn event(&mut self, event: Event, long: usize) {
        let link = self.0;
        if matches!(event, Event::StreamStarted(_)) {
            *link.moved.borrow_mut() = Instant::now();
        }
        if matches!(event, Event::ClientCommand(..)) {
            link.owed.fetch_add(1, Ordering::Relaxed);
            link.long.borrow_mut().push_back(long);
            link.common.long.fetch_add(long, Ordering::Relaxed);
        }
        link.common.inbox.push(event);
    }
    fn is_full(&self) -> bool {
        self.0.asks_ahead()
    }
    fn body_chunk(&mut self, bytes: &[u8], end: bool) {
        let link = self.0;
        *link.moved.borrow_mut() = Instant::now();
        let to = link.passes_to.borrow().clone();
        if let Some(to) = to.as_ref().filter(|to| !to.closed.load(Ordering::Relaxed)) {
            let mut out = to.out.borrow_mut();
            out.buffer().extend_from_slice(bytes);
            out.buffer().extend_from_slice(if end { b"\r\n" } else { b"" });
            drop(out);
            to.flush();
        }
        if let Some(to) = to.filter(|_| end) {
            to.count(0);
            *to.source.borrow_mut() = None;
            *link.passes_to.borrow_mut() = None;
        }
    }
}
