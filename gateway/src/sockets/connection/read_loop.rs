//! The coroutine of a connection: waits, reads and decodes until the connection ends.
use super::readiness::{ENDED, ERROR, READABLE, WRITABLE};
use super::sink::EventSink;
use super::{Connection, MAX_KEPT_BUFFER_BYTES, SCRATCH_BYTES};
use crate::state::backlog::{Backlog, Due};
use crate::state::event::{CloseReason, ConnectionId, Event};
use crate::wire::resp::{self, ClientCommand};
use may::io::WaitIo;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// By how much the buffer of a long command grows, in bytes.
const LONG_COMMAND_STEP: usize = 512 * 1024;
/// How much is read at once from a client whose commands are dropped, before others have their turn, in bytes.
const MAX_READ_TURN_BYTES: usize = 1024 * 1024;

/// How a connection ends.
enum End {
    /// We closed it, and all has left.
    Closed,
    /// The other side ended it, or it can't be used any more.
    Lost(CloseReason),
}

impl From<CloseReason> for End {
    fn from(reason: CloseReason) -> End {
        End::Lost(reason)
    }
}

/// What a read leaves on the socket.
#[derive(Clone, Copy, PartialEq)]
enum ReadOutcome {
    /// Nothing.
    Drained,
    /// There may be more.
    MoreToRead,
}

/// The state of the coroutine.
pub(super) struct ReadLoop<'a> {
    connection: &'a Arc<Connection>,
    /// What has been read and not been decoded yet.
    pub backlog: Backlog,
    /// The connection has been made.
    established: bool,
    /// Readiness that has been reported and not been handled.
    unread: usize,
    /// The socket has been left unread for a while.
    was_paused: bool,
}

impl<'a> ReadLoop<'a> {
    pub fn new(connection: &'a Arc<Connection>, established: bool) -> ReadLoop<'a> {
        ReadLoop { connection, backlog: Backlog::default(), established, unread: 0, was_paused: false }
    }

    /// Runs until the connection ends.
    pub fn run(&mut self) {
        loop {
            let flags = self.connection.stream.wait_io();
            if let Err(end) = self.handle_readiness(flags) {
                return self.finish(end);
            }
        }
    }

    /// Reports the end. Nothing more leaves.
    fn finish(&self, end: End) {
        let connection = self.connection;
        match end {
            End::Lost(reason) if !connection.closed.load(Ordering::Relaxed) => {
                let unsent = !connection.is_flushed();
                self.push(Event::ConnectionEnded { connection: connection.id, reason, unsent });
            }
            _ => {}
        }
        connection.out.borrow_mut().clear();
    }

    fn handle_readiness(&mut self, flags: usize) -> Result<(), End> {
        let connection = self.connection;
        if !self.established && !connection.closed.load(Ordering::Relaxed) {
            if flags & (WRITABLE | ENDED) == 0 {
                return Ok(());
            }
            self.establish(flags)?;
        }
        if flags & WRITABLE != 0 && !connection.is_flushed() {
            connection.flush();
        }
        if connection.closed.load(Ordering::Relaxed) {
            self.finish_closing(flags)?;
        }
        self.unread |= flags & READABLE;
        let ended = self.unread & ENDED != 0;
        // A client that has left: nobody waits for what it wrote before that and nobody has read.
        if ended && connection.is_client() && !connection.closed.load(Ordering::Relaxed) {
            let reset = self.unread & ERROR != 0;
            return Err(End::Lost(if reset { CloseReason::Reset } else { CloseReason::Closed }));
        }
        self.decode_postponed()?;
        self.read_unread(ended)?;
        Ok(())
    }

    /// The connection has been made, or can't be.
    fn establish(&mut self, flags: usize) -> Result<(), CloseReason> {
        let connection = self.connection;
        if !matches!(connection.stream.inner().take_error(), Ok(None)) || flags & WRITABLE == 0 {
            return Err(CloseReason::Refused);
        }
        self.established = true;
        self.push(Event::Connected(connection.id));
        Ok(())
    }

    /// We have closed it: it ends once all has left, and until then its input is discarded.
    fn finish_closing(&mut self, flags: usize) -> Result<(), End> {
        let connection = self.connection;
        let flushes = matches!(connection.id, ConnectionId::Client(_) | ConnectionId::Admin(_));
        if connection.is_flushed() || !flushes || flags & ENDED != 0 {
            let _ = connection.stream.inner().shutdown(Shutdown::Both);
            return Err(End::Closed);
        }
        connection.reader.borrow_mut().discard = true;
        Ok(())
    }

    /// Decodes what has been read before, if it may go on now.
    fn decode_postponed(&mut self) -> Result<(), CloseReason> {
        let connection = self.connection;
        let postponed =
            connection.commands.postponed.load(Ordering::Relaxed) && !connection.commands.is_full();
        let resumed = connection.stream_source.resumed.swap(false, Ordering::Relaxed);
        if (resumed || postponed) && !self.backlog.is_empty() {
            let before = self.backlog.len();
            self.decode_backlog()?;
            connection.count_partial(before, self.backlog.len());
        }
        Ok(())
    }

    /// Reads what waits on the socket, unless its reader is held back.
    fn read_unread(&mut self, ended: bool) -> Result<(), CloseReason> {
        if self.unread == 0 {
            return Ok(());
        }
        let backend = self.connection.is_backend();
        // What a backend wrote before its end is streamed only as fast as the client takes it.
        if self.is_held_back() && (!ended || backend) {
            self.connection.stream_source.waits_for_client.store(true, Ordering::Relaxed);
            self.was_paused = !backend;
            return Ok(());
        }
        let outcome = self.read(ended)?;
        if outcome == ReadOutcome::Drained {
            self.unread = 0;
        }
        self.was_paused = outcome == ReadOutcome::MoreToRead && !backend;
        Ok(())
    }

    /// Reads all there is, or until it is held back. A short read is the last one, unless the other side has ended, or may
    /// have while nothing was read here (`was_paused`): its end is to be met together with the commands before it.
    fn read(&mut self, ended: bool) -> Result<ReadOutcome, CloseReason> {
        let connection = self.connection;
        let mut scratch = connection.context.scratch.borrow_mut();
        let mut total = 0;
        loop {
            let Some(window) = self.read_window(total) else { return Ok(ReadOutcome::MoreToRead) };
            match connection.stream.inner().read(&mut scratch[..window]) {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(length) => {
                    total += length;
                    if self.discards() {
                        continue;
                    }
                    self.take_in(&scratch[..length])?;
                    if let Some(outcome) = self.outcome_after(length < window, ended) {
                        return Ok(outcome);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadOutcome::Drained),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(CloseReason::Reset),
            }
        }
    }

    /// How much may be read next, in bytes, after `total` bytes in this turn; none if reading stops here.
    fn read_window(&mut self, total: usize) -> Option<usize> {
        let connection = self.connection;
        if self.must_drop() {
            let before = self.backlog.len();
            self.backlog.start_dropping();
            connection.count_partial(before, self.backlog.len());
            connection.wake_waiting_for_capacity();
        }
        if (self.backlog.drops() || self.discards()) && total >= MAX_READ_TURN_BYTES {
            connection.context.paused.borrow_mut().push(connection.clone());
            connection.context.events.wake();
            return None;
        }
        let long = self.backlog.len() > resp::MAX_MESSAGE_BYTES;
        if long && !self.backlog.drops() && !self.discards() && !connection.reserve_capacity() {
            self.wait_for_capacity();
            return None;
        }
        let window = if connection.is_backend() { connection.stream_window() } else { SCRATCH_BYTES };
        if window == 0 {
            connection.stream_source.waits_for_client.store(true, Ordering::Relaxed);
            return None;
        }
        Some(window)
    }

    fn wait_for_capacity(&self) {
        let connection = self.connection;
        if !connection.commands.waits_for_capacity.swap(true, Ordering::Relaxed) {
            connection.context.waiting_for_capacity.borrow_mut().push(connection.clone());
            self.push(Event::BodyProgress(connection.client_number() as u64, false));
        }
    }

    /// Decodes what has been read, and stores what is incomplete.
    fn take_in(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        let connection = self.connection;
        let before = self.backlog.len();
        if self.backlog.is_empty() {
            let decoded = self.decode(bytes)?;
            self.backlog.extend(&bytes[decoded..], LONG_COMMAND_STEP);
        } else {
            self.backlog.extend(bytes, LONG_COMMAND_STEP);
            self.decode_backlog()?;
        }
        if self.backlog.drops() {
            // It is sending a command, stored or not.
            self.push(Event::BodyProgress(connection.client_number() as u64, true));
        }
        if !connection.count_partial(before, self.backlog.len()) {
            self.protocol_error("too much unfinished");
        }
        if self.discards() {
            connection.count_partial(self.backlog.len(), 0);
            connection.release_long_bytes(0);
            self.backlog.clear(MAX_KEPT_BUFFER_BYTES);
        }
        self.backlog.shrink(MAX_KEPT_BUFFER_BYTES);
        Ok(())
    }

    /// Whether reading stops after a read, and what that leaves; none to go on. `short`: the read gave less than it might.
    fn outcome_after(&self, short: bool, ended: bool) -> Option<ReadOutcome> {
        let waits_for_client = &self.connection.stream_source.waits_for_client;
        let last = short && !self.was_paused;
        if !ended && self.is_held_back() {
            waits_for_client.store(true, Ordering::Relaxed);
            return Some(if last { ReadOutcome::Drained } else { ReadOutcome::MoreToRead });
        }
        if !ended && last {
            waits_for_client.store(false, Ordering::Relaxed);
            return Some(ReadOutcome::Drained);
        }
        None
    }

    /// A client that reads no replies is not read from either. If it leaves, it leaves replies unread, and the machine
    /// reports that at once, by a reset.
    fn is_held_back(&self) -> bool {
        let connection = self.connection;
        match connection.id {
            ConnectionId::Backend(_) => connection.stream_window() == 0,
            _ => connection.out.borrow().len() > connection.context.max_unwritten_bytes,
        }
    }

    /// Any other client with pending commands is read from, for its end may lie behind what it wrote: where there is no
    /// capacity for that, it is dropped.
    fn must_drop(&self) -> bool {
        let connection = self.connection;
        if !connection.is_client() || connection.commands.is_empty() || self.backlog.drops() {
            return false;
        }
        let stored = self.backlog.len();
        let too_much = connection.commands.is_full() && stored > connection.context.max_unwritten_bytes;
        too_much || stored > resp::MAX_MESSAGE_BYTES && !connection.has_capacity()
    }

    /// Reports each complete message; how many bytes they took.
    fn decode(&self, bytes: &[u8]) -> Result<usize, CloseReason> {
        let connection = self.connection;
        let decoded = connection.reader.borrow_mut().decode(bytes, &mut EventSink(connection))?;
        let postponed = connection.commands.is_full() && decoded < bytes.len();
        connection.commands.postponed.store(postponed, Ordering::Relaxed);
        Ok(decoded)
    }

    /// The same of what is stored; what was dropped behind it is rejected in its turn.
    fn decode_backlog(&mut self) -> Result<(), CloseReason> {
        let connection = self.connection;
        loop {
            let decodable = self.backlog.decodable();
            let decoded = connection.reader.borrow_mut().decode(decodable, &mut EventSink(connection))?;
            self.backlog.decoded(decoded);
            self.reject_dropped();
            if !self.backlog.stops_dropping() {
                break;
            }
        }
        let postponed = connection.commands.is_full() && !self.backlog.is_empty();
        connection.commands.postponed.store(postponed, Ordering::Relaxed);
        Ok(())
    }

    /// Rejects the dropped commands whose turn it is.
    fn reject_dropped(&mut self) {
        let connection = self.connection;
        while !connection.commands.is_full() {
            match self.backlog.next_due() {
                Some(Due::Refusal) => {
                    let client = connection.client_number() as u64;
                    connection.count_command(0);
                    self.push(Event::ClientCommand(client, ClientCommand::Dropped));
                }
                Some(Due::TooMany) => {
                    self.backlog.clear(MAX_KEPT_BUFFER_BYTES);
                    self.protocol_error("too many commands at once");
                }
                None => break,
            }
        }
    }

    fn protocol_error(&self, text: &'static str) {
        let connection = self.connection;
        connection.reader.borrow_mut().protocol_error(text, &mut EventSink(connection));
    }

    /// Whether input is read and discarded.
    fn discards(&self) -> bool {
        self.connection.reader.borrow().discard
    }

    fn push(&self, event: Event) {
        self.connection.context.events.push(event);
    }
}
