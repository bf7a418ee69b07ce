//! Accounting of clients' pending, incomplete and long commands against the limits that all clients share. A
//! command is long if it exceeds `resp::MAX_MESSAGE_BYTES`.
use super::{Connection, READ_BUFFER_BYTES};
use crate::state::memory_budget::MemoryUse;
use crate::wire::resp;
use atomic_refcell::AtomicRefCell;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum number of commands of one client that are decoded in one turn.
const MAX_TURN_COMMANDS: usize = 64;
/// Memory of a pending request beside its message, in bytes: the state of the request and of its attempts.
const REQUEST_STATE_BYTES: usize = 1024;

/// Commands of a client that have no reply yet.
#[derive(Default)]
pub(super) struct PendingCommands {
    /// Number of these commands.
    count: AtomicUsize,
    /// Length of the message of each of these commands in bytes if it is stored, otherwise 0; oldest first.
    lengths: AtomicRefCell<VecDeque<usize>>,
    /// Memory of these commands in bytes.
    bytes: AtomicUsize,
    /// Number of commands that were decoded in the current turn.
    decoded_in_turn: AtomicUsize,
    /// Set while further commands have been read but are not decoded until some of these are answered or the next
    /// turn begins.
    pub postponed: AtomicBool,
}

impl PendingCommands {
    /// Whether any command has no reply yet.
    pub fn is_empty(&self) -> bool {
        self.count.load(Ordering::Relaxed) == 0
    }

    /// Whether as many commands were decoded as one turn allows.
    pub fn is_turn_over(&self) -> bool {
        self.decoded_in_turn.load(Ordering::Relaxed) >= MAX_TURN_COMMANDS
    }

    /// Begins the next turn of the connection.
    pub fn begin_turn(&self) {
        self.decoded_in_turn.store(0, Ordering::Relaxed);
    }
}

impl Connection {
    /// Whether no more commands of this client are decoded for now.
    pub(super) fn has_enough_commands(&self) -> bool {
        let pending = &self.pending_commands;
        pending.count.load(Ordering::Relaxed) >= self.context.max_pending_commands() || pending.is_turn_over()
    }

    /// Whether there is no memory for a reply of this many bytes. A client that has read its earlier replies gets each
    /// one.
    pub fn lacks_memory_for_reply(&self, bytes: usize) -> bool {
        let unread = self.write_buffer.borrow().len();
        unread + bytes > resp::MAX_MESSAGE_BYTES
            && !self.memory.allows(bytes)
            && !self.context.memory.fits(bytes)
    }

    /// Counts a decoded command. `stored_bytes` is the length of its message if it is stored, otherwise 0.
    pub(super) fn count_command(&self, stored_bytes: usize) {
        let pending = &self.pending_commands;
        pending.count.fetch_add(1, Ordering::Relaxed);
        pending.decoded_in_turn.fetch_add(1, Ordering::Relaxed);
        pending.lengths.borrow_mut().push_back(stored_bytes);
        let bytes = pending.bytes.fetch_add(command_memory(stored_bytes), Ordering::Relaxed);
        self.memory.set(MemoryUse::Commands, bytes + command_memory(stored_bytes));
        self.context.long_command_bytes.fetch_add(long_bytes(stored_bytes), Ordering::Relaxed);
    }

    /// Whether there is memory to store a request with a message of this length. A long one has waited for memory
    /// of its own.
    pub(super) fn can_store_request(&self, length: usize) -> bool {
        length > resp::MAX_MESSAGE_BYTES || self.memory.allows(command_memory(length))
    }

    /// Records the reply to the oldest pending command, and schedules a turn for the postponed ones.
    pub fn command_answered(self: &Arc<Connection>) {
        self.pending_commands.count.fetch_sub(1, Ordering::Relaxed);
        if self.pending_commands.postponed.load(Ordering::Relaxed) {
            self.context.defer(self);
        }
        let Some(length) = self.pending_commands.lengths.borrow_mut().pop_front() else { return };
        let bytes = self.pending_commands.bytes.fetch_sub(command_memory(length), Ordering::Relaxed);
        self.memory.set(MemoryUse::Commands, bytes - command_memory(length));
        if long_bytes(length) > 0 {
            self.release_long_bytes(length);
        }
    }

    /// Releases the memory of all pending commands when the connection has ended.
    pub(super) fn release_commands(&self) {
        let released_bytes = self.pending_commands.lengths.borrow_mut().drain(..).map(long_bytes).sum();
        self.pending_commands.bytes.store(0, Ordering::Relaxed);
        self.memory.set(MemoryUse::Commands, 0);
        self.release_long_bytes(released_bytes);
    }

    /// Releases this many bytes of long commands, ends the client's exemption, and wakes the connections that
    /// wait for memory.
    pub(super) fn release_long_bytes(&self, length: usize) {
        self.context.long_command_bytes.fetch_sub(length, Ordering::Relaxed);
        let number = self.client_number();
        let exempt = &self.context.exempt_client;
        let _ = exempt.compare_exchange(number, 0, Ordering::Relaxed, Ordering::Relaxed);
        self.context.long_inputs.wake_waiting();
    }

    /// Whether there is memory for one more read of a long command, or this client is exempt from the limit.
    pub(super) fn has_capacity(&self) -> bool {
        let used_bytes = self.context.long_command_bytes.load(Ordering::Relaxed);
        used_bytes + READ_BUFFER_BYTES <= self.context.max_long_command_bytes
            || self.context.exempt_client.load(Ordering::Relaxed) == self.client_number()
    }

    /// Whether a long command may grow. While memory is short, one client at a time is exempt from the limit
    /// until its command is answered.
    pub(super) fn reserve_capacity(&self) -> bool {
        if self.has_capacity() {
            return true;
        }
        let number = self.client_number();
        let exempt = &self.context.exempt_client;
        let previous = exempt.compare_exchange(0, number, Ordering::Relaxed, Ordering::Relaxed);
        previous.is_ok() || previous == Err(number)
    }

    /// Updates the count of long commands' bytes for an incomplete command whose length has changed from `before` to
    /// `now` bytes.
    pub(super) fn count_partial(&self, before: usize, now: usize) {
        if self.is_client() {
            self.context.long_command_bytes.fetch_add(long_bytes(now), Ordering::Relaxed);
            self.context.long_command_bytes.fetch_sub(long_bytes(before), Ordering::Relaxed);
        }
    }
}

/// Returns the memory of a pending command whose stored message has this length; 0 if nothing is stored.
fn command_memory(length: usize) -> usize {
    if length > 0 {
        length + REQUEST_STATE_BYTES
    } else {
        0
    }
}

/// Returns the length if the message is long, otherwise 0.
fn long_bytes(length: usize) -> usize {
    if length > resp::MAX_MESSAGE_BYTES {
        length
    } else {
        0
    }
}
