//! Decodes a connection's input, and stores what can't be decoded yet in its backlog.
use super::read_loop::ReadLoop;
use super::sink::EventSink;
use super::MAX_RETAINED_BUFFER_BYTES;
use crate::state::backlog::Rejection;
use crate::state::connection::CloseReason;
use crate::state::event::Event;
use crate::state::memory_budget::MemoryUse;
use crate::wire::resp::{self, ClientCommand};
use std::sync::atomic::Ordering;

/// Growth of the buffer of a long command, in bytes.
const LONG_COMMAND_STEP: usize = 128 * 1024;

impl ReadLoop<'_> {
    /// Decodes the backlog, if commands were postponed or a stream was pending and decoding may continue now.
    pub(super) fn decode_postponed(&mut self) -> Result<(), CloseReason> {
        let connection = self.connection;
        let postponed = connection.pending_commands.postponed.load(Ordering::Relaxed)
            && !connection.has_enough_commands();
        let resumed = connection.stream_source.resumed.swap(false, Ordering::Relaxed);
        if (resumed || postponed) && !self.backlog.is_empty() {
            let before = self.backlog.len();
            self.decode_backlog()?;
            connection.count_partial(before, self.backlog.len());
            self.backlog.shrink(MAX_RETAINED_BUFFER_BYTES);
        }
        Ok(())
    }

    /// Decodes input that has just been read, and stores the rest in the backlog.
    pub(super) fn process_input(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        let connection = self.connection;
        let before = self.backlog.len();
        if self.backlog.is_empty() {
            let decoded = self.decode(bytes)?;
            self.backlog.extend(&bytes[decoded..], LONG_COMMAND_STEP);
        } else {
            self.backlog.extend(bytes, LONG_COMMAND_STEP);
            self.decode_backlog()?;
        }
        if self.backlog.is_dropping() {
            // Dropped commands count as progress too: the client is still sending.
            self.push(Event::BodyProgress { client: connection.client_number() as u64, has_capacity: true });
        }
        connection.count_partial(before, self.backlog.len());
        if connection.is_client() && !self.may_hold_input() {
            self.drop_input();
        }
        if self.discards_input() {
            connection.count_partial(self.backlog.len(), 0);
            connection.release_long_bytes(0);
            self.backlog.clear(MAX_RETAINED_BUFFER_BYTES);
        }
        self.backlog.shrink(MAX_RETAINED_BUFFER_BYTES);
        Ok(())
    }

    /// Whether there is memory for the backlog. What a long command holds has a limit of its own, which is checked
    /// before each read.
    fn may_hold_input(&self) -> bool {
        let connection = self.connection;
        connection.memory.set(MemoryUse::Input, self.backlog.capacity());
        self.backlog.is_empty()
            || self.backlog.is_dropping()
            || self.backlog.len() > resp::MAX_MESSAGE_BYTES
            || connection.memory.is_allowed()
            || self.backlog.holds_long_command() && connection.reserve_capacity()
    }

    /// Drops the incomplete command in the backlog, which is rejected once its last byte has arrived. If its length is
    /// not known yet, the connection ends.
    pub(super) fn drop_input(&mut self) {
        let before = self.backlog.len();
        self.backlog.start_dropping();
        self.backlog.shrink(MAX_RETAINED_BUFFER_BYTES);
        let connection = self.connection;
        connection.count_partial(before, self.backlog.len());
        connection.memory.set(MemoryUse::Input, self.backlog.capacity());
        connection.context.long_inputs.wake_waiting();
        if !connection.memory.is_allowed() {
            self.protocol_error("too much unfinished");
        }
    }

    /// Reports each complete message in `bytes`; returns the length of the decoded part.
    fn decode(&self, bytes: &[u8]) -> Result<usize, CloseReason> {
        let connection = self.connection;
        let decoded = connection.reader.borrow_mut().decode(bytes, &mut EventSink(connection))?;
        self.postpone(decoded < bytes.len());
        Ok(decoded)
    }

    /// Records whether the rest of the input is decoded later. If only the turn is over, the next one is scheduled.
    fn postpone(&self, has_rest: bool) {
        let connection = self.connection;
        let postponed = has_rest && connection.has_enough_commands();
        connection.pending_commands.postponed.store(postponed, Ordering::Relaxed);
        if postponed && connection.pending_commands.is_turn_over() {
            connection.context.defer(connection);
        }
    }

    /// Reports each complete message in the backlog, and then rejects the dropped commands that followed
    /// them.
    fn decode_backlog(&mut self) -> Result<(), CloseReason> {
        let connection = self.connection;
        loop {
            let decodable = self.backlog.decodable();
            let decoded = connection.reader.borrow_mut().decode(decodable, &mut EventSink(connection))?;
            self.backlog.consume(decoded);
            self.reject_dropped();
            if !self.backlog.try_stop_dropping() {
                break;
            }
        }
        self.postpone(!self.backlog.is_empty());
        Ok(())
    }

    /// Rejects dropped commands whose predecessors are all decoded, up to the maximum of pending commands.
    fn reject_dropped(&mut self) {
        let connection = self.connection;
        while !connection.has_enough_commands() {
            match self.backlog.next_rejection() {
                Some(Rejection::Command) => {
                    let client = connection.client_number() as u64;
                    connection.count_command(0);
                    self.push(Event::ClientCommand { client, command: ClientCommand::Dropped });
                }
                Some(Rejection::Overflow) => {
                    self.backlog.clear(MAX_RETAINED_BUFFER_BYTES);
                    self.protocol_error("too many commands at once");
                }
                None => break,
            }
        }
    }

    /// Reports a protocol error of the client, after which its input is discarded.
    fn protocol_error(&self, text: &'static str) {
        let connection = self.connection;
        connection.reader.borrow_mut().protocol_error(text, &mut EventSink(connection));
    }

    /// Whether input is read but discarded.
    pub(super) fn discards_input(&self) -> bool {
        self.connection.reader.borrow().discard
    }
}
