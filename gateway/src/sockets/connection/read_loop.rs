//! The coroutine of a connection: waits, reads and decodes until the connection ends.
use super::readiness::{ENDED, ERROR, READABLE, WRITABLE};
use super::{Connection, SCRATCH_BYTES};
use crate::state::backlog::Backlog;
use crate::state::connection::{CloseReason, ConnectionId};
use crate::state::event::Event;
use crate::wire::resp;
use may::io::WaitIo;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;

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
    pub(super) connection: &'a Arc<Connection>,
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
    /// The coroutine's state at its start. `established`: the connection need not be waited for.
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
        if (self.backlog.is_dropping() || self.discards()) && total >= MAX_READ_TURN_BYTES {
            connection.context.paused.borrow_mut().push(connection.clone());
            connection.context.events.wake();
            return None;
        }
        let long = self.backlog.len() > resp::MAX_MESSAGE_BYTES;
        if long && !self.backlog.is_dropping() && !self.discards() && !connection.reserve_capacity() {
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
            self.push(Event::BodyProgress { client: connection.client_number() as u64, has_capacity: false });
        }
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
        if !connection.is_client() || connection.commands.is_empty() || self.backlog.is_dropping() {
            return false;
        }
        let stored = self.backlog.len();
        let too_much = connection.commands.is_full() && stored > connection.context.max_unwritten_bytes;
        too_much || stored > resp::MAX_MESSAGE_BYTES && !connection.has_capacity()
    }

    pub(super) fn push(&self, event: Event) {
        self.connection.context.events.push(event);
    }
}
