//! The coroutine of a connection: waits for readiness, reads and decodes until the connection ends.
use super::readiness::{ENDED, ERROR, READABLE, WRITABLE};
use super::{Connection, READ_BUFFER_BYTES};
use crate::sockets::failure::SocketFailure;
use crate::state::backlog::Backlog;
use crate::state::connection::{CloseReason, ConnectionId};
use crate::state::event::Event;
use crate::state::memory_budget::MemoryUse;
use crate::wire::resp;
use may::io::WaitIo;
use std::io::Read;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Amount of input from which on a connection's turn ends, in bytes; other connections are served before the next one.
const MAX_TURN_BYTES: usize = 64 * 1024;
/// The same for a client's long command, which is only stored.
const MAX_LONG_COMMAND_TURN_BYTES: usize = 1024 * 1024;

/// The same after reading was paused: the longest command, and what a client may send behind it.
const MAX_RESUMED_TURN_BYTES: usize = resp::MAX_VALUE_BYTES + 1024 * 1024;

/// The end of a connection.
enum ConnectionEnd {
    /// This process has closed the connection, and no more output can or must be written.
    Closed,
    /// The peer has closed the connection, or the connection has failed.
    Lost(CloseReason),
}

impl From<CloseReason> for ConnectionEnd {
    fn from(reason: CloseReason) -> ConnectionEnd {
        ConnectionEnd::Lost(reason)
    }
}

/// The state of the socket's input after a read.
#[derive(Clone, Copy, PartialEq)]
enum ReadOutcome {
    /// All input has been read.
    Drained,
    /// There may be more input.
    MoreToRead,
}

/// The state of a connection's coroutine.
pub(super) struct ReadLoop<'a> {
    pub(super) connection: &'a Arc<Connection>,
    /// Input that has been read and is not decoded yet.
    pub backlog: Backlog,
    /// Whether the connection is established.
    established: bool,
    /// Readiness flags reported since the socket's input was last drained.
    unread_flags: usize,
    /// Whether reading stopped before the input was drained, for another reason than the end of a turn, so that the
    /// peer may have closed the connection unnoticed.
    was_paused: bool,
    /// Whether reading stopped because the turn has ended.
    was_deferred: bool,
}

impl<'a> ReadLoop<'a> {
    /// Returns the initial state. `established` is false if the connect has not completed yet.
    pub fn new(connection: &'a Arc<Connection>, established: bool) -> ReadLoop<'a> {
        ReadLoop {
            connection,
            backlog: Backlog::default(),
            established,
            unread_flags: 0,
            was_paused: false,
            was_deferred: false,
        }
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

    /// Reports the end of the connection, unless this process closed it, and drops its unwritten output.
    fn finish(&self, end: ConnectionEnd) {
        let connection = self.connection;
        match end {
            ConnectionEnd::Lost(reason) if !connection.closed.load(Ordering::Relaxed) => {
                let unsent = !connection.is_flushed();
                if let Some(stream) = connection.interrupted_stream() {
                    self.push(Event::StreamInterrupted { connection: connection.id, stream });
                }
                self.push(Event::ConnectionEnded { connection: connection.id, reason, unsent });
            }
            _ => {}
        }
        connection.write_buffer.borrow_mut().clear();
    }

    /// Handles readiness of the socket: completes the connect, writes, reads and decodes. An error ends the
    /// connection.
    fn handle_readiness(&mut self, flags: usize) -> Result<(), ConnectionEnd> {
        let connection = self.connection;
        if !self.established && !connection.closed.load(Ordering::Relaxed) {
            if flags & (WRITABLE | ENDED) == 0 {
                return Ok(());
            }
            self.establish(flags)?;
        }
        let retries_write = connection.retries_write.swap(false, Ordering::Relaxed);
        if (flags & WRITABLE != 0 || retries_write) && !connection.is_flushed() {
            connection.flush();
        }
        if connection.write_failed.load(Ordering::Relaxed) {
            return Err(ConnectionEnd::Lost(CloseReason::Reset));
        }
        if connection.closed.load(Ordering::Relaxed) {
            self.finish_closing(flags)?;
        }
        self.unread_flags |= flags & READABLE;
        let ended = self.unread_flags & ENDED != 0;
        // Nobody waits for the replies to a client that has left, so its unread input is not processed.
        if ended && connection.is_client() && !connection.closed.load(Ordering::Relaxed) {
            let reset = self.unread_flags & ERROR != 0;
            return Err(ConnectionEnd::Lost(if reset { CloseReason::Reset } else { CloseReason::Closed }));
        }
        connection.pending_commands.begin_turn();
        if connection.takes_long_input_back() && self.stores_long_command() {
            self.drop_input();
        }
        let result = self.decode_postponed().and_then(|()| self.read_unread(ended));
        connection.memory.set(MemoryUse::Input, self.backlog.capacity());
        if !self.stores_long_command() {
            connection.release_long_input();
        }
        Ok(result?)
    }

    /// Completes the connect, successfully or with an error.
    fn establish(&mut self, flags: usize) -> Result<(), CloseReason> {
        let connection = self.connection;
        if !matches!(connection.stream.inner().take_error(), Ok(None)) || flags & WRITABLE == 0 {
            return Err(CloseReason::Refused);
        }
        self.established = true;
        self.push(Event::Connected(connection.id));
        Ok(())
    }

    /// Ends a connection that this process has closed, once its output is written; until then, its input is
    /// discarded.
    fn finish_closing(&mut self, flags: usize) -> Result<(), ConnectionEnd> {
        let connection = self.connection;
        let flushes = matches!(connection.id, ConnectionId::Client(_) | ConnectionId::Admin(_));
        if connection.is_flushed() || !flushes || flags & ENDED != 0 {
            self.shut_down(flushes && flags & ENDED == 0);
            return Err(ConnectionEnd::Closed);
        }
        connection.reader.borrow_mut().discard = true;
        Ok(())
    }

    /// Shuts the connection down. `delivers_output`: whether the descriptor is kept until the peer has received all
    /// output; nothing more is read meanwhile.
    fn shut_down(&self, delivers_output: bool) {
        let connection = self.connection;
        let delivers_output = delivers_output && !connection.discards_output.load(Ordering::Relaxed);
        let lingers = delivers_output && connection.unacknowledged_bytes() > 0;
        // A shutdown would end the connection in order, and hide from the client that something was not read.
        if !connection.reading_stopped.load(Ordering::Relaxed) {
            let direction = if lingers { Shutdown::Write } else { Shutdown::Both };
            let _ = connection.stream.inner().shutdown(direction);
        }
        if lingers {
            connection.context.lingering.add(connection);
            connection.context.events.wake();
        }
    }

    /// Reads the input that is ready, unless reading is paused.
    fn read_unread(&mut self, ended: bool) -> Result<(), CloseReason> {
        let reading_stopped = self.connection.reading_stopped.load(Ordering::Relaxed);
        if self.unread_flags == 0 || reading_stopped {
            return Ok(());
        }
        let from_backend = self.connection.is_backend();
        // A backend may close its connection right after a value; the value is still read only as fast as the
        // client reads it.
        if self.must_pause_reading() && (!ended || from_backend) {
            self.connection.stream_source.waits_for_client.store(true, Ordering::Relaxed);
            self.was_paused = !from_backend;
            return Ok(());
        }
        self.was_deferred = false;
        let outcome = self.read(ended)?;
        if outcome == ReadOutcome::Drained {
            self.unread_flags = 0;
        }
        self.was_paused = outcome == ReadOutcome::MoreToRead && !from_backend && !self.was_deferred;
        Ok(())
    }

    /// Reads until the input is drained or reading is paused. Only a read that would block shows that it is drained: a
    /// shorter read than asked for may leave input, and readiness is reported once.
    fn read(&mut self, ended: bool) -> Result<ReadOutcome, CloseReason> {
        let connection = self.connection;
        let mut read_buffer = connection.context.read_buffer.borrow_mut();
        let mut read_bytes = 0;
        loop {
            let Some(window) = self.read_window(read_bytes) else { return Ok(ReadOutcome::MoreToRead) };
            match connection.stream.inner().read(&mut read_buffer[..window]) {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(length) => {
                    read_bytes += length;
                    if self.discards_input() {
                        continue;
                    }
                    self.process_input(&read_buffer[..length])?;
                    if !ended && self.must_pause_reading() {
                        connection.stream_source.waits_for_client.store(true, Ordering::Relaxed);
                        return Ok(ReadOutcome::MoreToRead);
                    }
                }
                Err(error) => match SocketFailure::of(&error) {
                    SocketFailure::WouldBlock => {
                        connection.stream_source.waits_for_client.store(false, Ordering::Relaxed);
                        return Ok(ReadOutcome::Drained);
                    }
                    SocketFailure::Interrupted => {}
                    SocketFailure::OutOfResources => {
                        connection.context.retry_later(connection);
                        return Ok(ReadOutcome::MoreToRead);
                    }
                    SocketFailure::Broken => return Err(CloseReason::Reset),
                },
            }
        }
    }

    /// Returns the maximum length of the next read, in bytes, or `None` if reading stops. `read_bytes` is the
    /// amount that was read in this turn.
    fn read_window(&mut self, read_bytes: usize) -> Option<usize> {
        let connection = self.connection;
        if self.must_start_dropping() {
            self.drop_input();
        }
        let mut stores_long_command = self.stores_long_command();
        if stores_long_command && !connection.reserve_capacity() {
            if connection.memory.is_allowed() || connection.context.memory.fits(0) {
                connection.wait_for_capacity(self.backlog.incomplete_command());
                return None;
            }
            self.drop_input();
            stores_long_command = false;
        }
        if stores_long_command {
            connection.hold_long_input();
        } else {
            connection.release_long_input();
        }
        if read_bytes >= self.max_turn_bytes(stores_long_command) {
            connection.context.defer(connection);
            self.was_deferred = true;
            return None;
        }
        let window = if connection.is_backend() { connection.stream_window() } else { READ_BUFFER_BYTES };
        if window == 0 {
            connection.stream_source.waits_for_client.store(true, Ordering::Relaxed);
            return None;
        }
        Some(window)
    }

    /// Returns the amount of input from which on the turn ends, in bytes. After a pause, the input is read to its end:
    /// the client may have disconnected behind the command that is now complete.
    fn max_turn_bytes(&self, stores_long_command: bool) -> usize {
        match (self.was_paused, stores_long_command) {
            (true, _) => MAX_RESUMED_TURN_BYTES,
            (false, true) => MAX_LONG_COMMAND_TURN_BYTES,
            (false, false) => MAX_TURN_BYTES,
        }
    }

    /// Whether the input is part of a long command that is stored.
    fn stores_long_command(&self) -> bool {
        self.connection.is_client()
            && !self.backlog.is_dropping()
            && !self.discards_input()
            && self.backlog.holds_long_command()
    }

    /// Whether backpressure stops reading: from a backend until the client has room for more of the streamed
    /// value, from any other peer until it has read more of this connection's output. A client that leaves
    /// without reading its replies is noticed all the same, because its kernel sends a reset at once.
    fn must_pause_reading(&self) -> bool {
        let connection = self.connection;
        match connection.id {
            ConnectionId::Backend(_) => connection.stream_window() == 0,
            _ => connection.write_buffer.borrow().len() > connection.context.max_unwritten_bytes,
        }
    }

    /// Whether to start dropping this client's commands. Unless backpressure stops reading, a client with
    /// pending commands is always read, because the end of its connection may follow what it has sent;
    /// commands for which there is no memory are dropped.
    fn must_start_dropping(&self) -> bool {
        let connection = self.connection;
        if !connection.is_client() || connection.pending_commands.is_empty() || self.backlog.is_dropping() {
            return false;
        }
        let stored_bytes = self.backlog.len();
        let exceeds_limits =
            connection.has_enough_commands() && stored_bytes > connection.context.max_unwritten_bytes;
        exceeds_limits || stored_bytes > resp::MAX_MESSAGE_BYTES && !connection.has_capacity()
    }

    /// Adds an event to the reducer's queue.
    pub(super) fn push(&self, event: Event) {
        self.connection.context.events.push(event);
    }
}
