//! What a client's commands hold, against the limits that all clients share.
use super::{Connection, SCRATCH_BYTES};
use crate::wire::resp;
use atomic_refcell::AtomicRefCell;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// How many of a client's commands may be pending before reading stops.
const MAX_PENDING_COMMANDS: usize = 512;

/// A client's commands that have no reply yet.
#[derive(Default)]
pub(super) struct PendingCommands {
    /// How many they are.
    count: AtomicUsize,
    /// The lengths of the long ones in bytes, 0 for others, in their order.
    long_lengths: AtomicRefCell<VecDeque<usize>>,
    /// More commands have been read and are postponed until some of these are answered.
    pub postponed: AtomicBool,
    /// The connection waits for the capacity for a long command.
    pub waits_for_capacity: AtomicBool,
}

impl PendingCommands {
    /// Whether any command has no reply yet.
    pub fn is_empty(&self) -> bool {
        self.count.load(Ordering::Relaxed) == 0
    }

    /// Whether as many commands as may be are pending.
    pub fn is_full(&self) -> bool {
        self.count.load(Ordering::Relaxed) >= MAX_PENDING_COMMANDS
    }
}

impl Connection {
    /// A command has been decoded; `long_bytes`: its length if it is a long one, else 0.
    pub(super) fn count_command(&self, long_bytes: usize) {
        self.commands.count.fetch_add(1, Ordering::Relaxed);
        self.commands.long_lengths.borrow_mut().push_back(long_bytes);
        self.context.long_command_bytes.fetch_add(long_bytes, Ordering::Relaxed);
    }

    /// A client's command has its reply: reading goes on if that was what it waited for.
    pub fn replied(&self) {
        if self.commands.count.fetch_sub(1, Ordering::Relaxed) == MAX_PENDING_COMMANDS {
            self.waker.wakeup();
        }
        let length = self.commands.long_lengths.borrow_mut().pop_front();
        if let Some(length) = length.filter(|length| *length > 0) {
            self.release_long_bytes(length);
        }
    }

    /// The connection has ended: its commands hold nothing any more.
    pub(super) fn release_commands(&self) {
        let held: usize = self.commands.long_lengths.borrow_mut().drain(..).sum();
        self.release_long_bytes(held);
    }

    /// A long command releases this many bytes.
    pub(super) fn release_long_bytes(&self, length: usize) {
        self.context.long_command_bytes.fetch_sub(length, Ordering::Relaxed);
        let number = self.client_number();
        let exempt = &self.context.exempt_client;
        let _ = exempt.compare_exchange(number, 0, Ordering::Relaxed, Ordering::Relaxed);
        self.wake_waiting_for_capacity();
    }

    /// Has those that wait for capacity look again.
    pub(super) fn wake_waiting_for_capacity(&self) {
        for connection in self.context.waiting_for_capacity.borrow_mut().drain(..) {
            connection.commands.waits_for_capacity.store(false, Ordering::Relaxed);
            connection.waker.wakeup();
        }
    }

    /// Whether there is capacity for more of a long command now.
    pub(super) fn has_capacity(&self) -> bool {
        let held = self.context.long_command_bytes.load(Ordering::Relaxed);
        held + SCRATCH_BYTES <= self.context.max_long_command_bytes
            || self.context.exempt_client.load(Ordering::Relaxed) == self.client_number()
    }

    /// Whether a long command may grow: one client may always go on, until it is answered.
    pub(super) fn reserve_capacity(&self) -> bool {
        if self.has_capacity() {
            return true;
        }
        let number = self.client_number();
        let exempt = &self.context.exempt_client;
        let before = exempt.compare_exchange(0, number, Ordering::Relaxed, Ordering::Relaxed);
        before.is_ok() || before == Err(number)
    }

    /// Counts the bytes of an incomplete command, before and now; false if that is too much for all clients together.
    pub(super) fn count_partial(&self, before: usize, now: usize) -> bool {
        if !self.is_client() {
            return true;
        }
        let context = &self.context;
        let partial = context.partial_bytes.load(Ordering::Relaxed) + short_bytes(now) - short_bytes(before);
        context.partial_bytes.store(partial, Ordering::Relaxed);
        context.long_command_bytes.fetch_add(long_bytes(now), Ordering::Relaxed);
        context.long_command_bytes.fetch_sub(long_bytes(before), Ordering::Relaxed);
        short_bytes(now) <= short_bytes(before) || partial <= context.max_partial_bytes
    }
}

/// The length of a long message; 0 for others.
fn long_bytes(length: usize) -> usize {
    if length > resp::MAX_MESSAGE_BYTES {
        length
    } else {
        0
    }
}

/// The length of a message that is not long; 0 for others.
fn short_bytes(length: usize) -> usize {
    length - long_bytes(length)
}
