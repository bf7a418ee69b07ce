//! Clients' long commands that compete for memory: some wait for it, others hold it while they arrive.
//!
//! The time of a request counts from its last byte, which may wait in the kernel. So a client that has written much
//! waits only briefly: a slow sender gives up its memory to it, or its command is rejected. Commands that are given up
//! are dropped as they arrive, and rejected when they are complete.
use super::{Connection, READ_BUFFER_BYTES};
use crate::state::event::Event;
use atomic_refcell::AtomicRefCell;
use nix::libc;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time for which input that may be a complete command waits for memory: less than half of usual timeouts.
const MAX_WAIT: Duration = Duration::from_millis(600);
/// Time from which on a command that still arrives counts as sent slowly.
const SLOW_SENDER_AFTER: Duration = Duration::from_millis(250);

nix::ioctl_read_bad!(
    /// Reads the number of bytes that can be read from a socket.
    read_receive_queue_length,
    libc::FIONREAD,
    libc::c_int
);

/// The state of a client's long command that is incomplete.
#[derive(Default)]
pub(super) struct LongInput {
    /// Set while the connection waits for memory.
    waits: AtomicBool,
    /// Time since which input that may be a complete command waits.
    ready_since: AtomicRefCell<Option<Instant>>,
    /// Time for which input that may be the complete command has waited, in milliseconds.
    waited_ms: AtomicU64,
    /// Time since which the connection holds memory; `None` if it holds none.
    held_since: AtomicRefCell<Option<Instant>>,
    /// Set when the command is to be dropped.
    is_given_up: AtomicBool,
}

/// The connections that compete for memory.
#[derive(Default)]
pub(super) struct LongInputs {
    waiting: AtomicRefCell<Vec<Arc<Connection>>>,
    holding: AtomicRefCell<Vec<Arc<Connection>>>,
}

impl LongInputs {
    /// Returns whether any connection waits for memory.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.borrow().is_empty()
    }

    /// Wakes all connections that wait for memory.
    pub fn wake_waiting(&self) {
        for connection in self.waiting.borrow_mut().drain(..) {
            connection.long_input.waits.store(false, Ordering::Relaxed);
            connection.waker.wakeup();
        }
    }

    /// Lets slow senders give up their memory to connections with input that waits, and rejects what has waited for too
    /// long.
    pub fn check_waiting(&self) {
        let now = Instant::now();
        let ready: Vec<Arc<Connection>> =
            self.waiting.borrow().iter().filter(|connection| connection.has_ready_input()).cloned().collect();
        for connection in ready {
            let since = *connection.long_input.ready_since.borrow_mut().get_or_insert(now);
            if !self.evict_slow_sender(now) && now.duration_since(since) >= MAX_WAIT {
                connection.give_up_long_input();
            }
        }
    }

    /// Makes the client that has sent a long command for the longest time give up its memory, if it is slow; returns
    /// whether there is one.
    fn evict_slow_sender(&self, now: Instant) -> bool {
        let is_slow = |connection: &Arc<Connection>| {
            let held_since = connection.long_input.held_since.borrow();
            held_since.is_some_and(|since| now.duration_since(since) >= SLOW_SENDER_AFTER)
                && connection.queued_input() == Some(0)
        };
        let slow = self.holding.borrow().iter().find(|connection| is_slow(connection)).cloned();
        if let Some(connection) = &slow {
            connection.give_up_long_input();
        }
        slow.is_some()
    }
}

impl Connection {
    /// Registers the connection to be woken when memory for long commands is released.
    pub(super) fn wait_for_capacity(self: &Arc<Connection>) {
        if !self.long_input.waits.swap(true, Ordering::Relaxed) {
            self.context.long_inputs.waiting.borrow_mut().push(self.clone());
            let client = self.client_number() as u64;
            self.context.events.push(Event::BodyProgress { client, has_capacity: false });
        }
    }

    /// Records that memory was reserved for a long command that is incomplete.
    pub(super) fn hold_long_input(self: &Arc<Connection>) {
        if let Some(since) = self.long_input.ready_since.borrow_mut().take() {
            let waited_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.long_input.waited_ms.fetch_add(waited_ms, Ordering::Relaxed);
        }
        let mut held_since = self.long_input.held_since.borrow_mut();
        if held_since.is_none() {
            *held_since = Some(Instant::now());
            self.context.long_inputs.holding.borrow_mut().push(self.clone());
        }
    }

    /// Returns the part of the client's time that a long command has spent waiting, in milliseconds; once.
    pub(super) fn take_waited_ms(&self) -> u64 {
        self.long_input.waited_ms.swap(0, Ordering::Relaxed)
    }

    /// Records that no long command is incomplete any more, and forgets the connection.
    pub(super) fn release_long_input(&self) {
        *self.long_input.ready_since.borrow_mut() = None;
        if self.long_input.held_since.borrow_mut().take().is_some() {
            let mut holding = self.context.long_inputs.holding.borrow_mut();
            holding.retain(|connection| !std::ptr::eq(&**connection, self));
        }
    }

    /// Makes the connection drop its long command.
    fn give_up_long_input(&self) {
        self.release_long_input();
        self.long_input.is_given_up.store(true, Ordering::Relaxed);
        self.waker.wakeup();
    }

    /// Returns whether the long command is to be dropped, once.
    pub(super) fn takes_long_input_back(&self) -> bool {
        self.long_input.is_given_up.swap(false, Ordering::Relaxed)
    }

    /// Whether so much input waits in the kernel that the client may have written the whole command.
    fn has_ready_input(&self) -> bool {
        self.queued_input().is_none_or(|length| length >= READ_BUFFER_BYTES)
    }

    /// Returns the number of bytes that can be read, if the kernel tells.
    fn queued_input(&self) -> Option<usize> {
        let mut length = 0;
        // SAFETY: the descriptor is open, and the kernel writes one integer to `length`.
        let result = unsafe { read_receive_queue_length(self.stream.inner().as_raw_fd(), &mut length) };
        result.ok().and_then(|_| usize::try_from(length).ok())
    }
}
