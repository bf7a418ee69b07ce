//! Clients' long commands that compete for memory: some wait for it, others hold it while they arrive.
//!
//! The time of a request counts from its last byte, which may wait in the kernel. So a client that may have written its
//! command completely waits only for a part of its own time: a slow sender gives up its memory to it, or its command is
//! rejected. Commands that are given up are dropped as they arrive, and rejected when they are complete.
use super::{Connection, READ_BUFFER_BYTES};
use crate::state::backlog::IncompleteCommand;
use crate::state::event::Event;
use atomic_refcell::AtomicRefCell;
use nix::libc;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of its client's timeout for which a command that may be complete waits for memory. What is rejected later than
/// after half of its time counts as answered late (PROTOCOL.md), and the checks are some time apart.
const MAX_WAIT_FRACTION: f64 = 0.4;
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
    /// Number of bytes that the command lacks.
    missing_bytes: AtomicUsize,
    /// Maximum time in milliseconds for which the command waits once it may be complete.
    max_wait_ms: AtomicU64,
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
            if connection.long_input.has_waited_enough(now) {
                connection.give_up_long_input();
            } else {
                self.evict_slow_sender(now);
            }
        }
    }

    /// Makes the client that has sent a long command for the longest time give up its memory, if it is slow.
    fn evict_slow_sender(&self, now: Instant) {
        let is_slow = |connection: &Arc<Connection>| {
            let held_since = connection.long_input.held_since.borrow();
            held_since.is_some_and(|since| now.duration_since(since) >= SLOW_SENDER_AFTER)
                && connection.queued_input() == Some(0)
        };
        let slow = self.holding.borrow().iter().find(|connection| is_slow(connection)).cloned();
        if let Some(connection) = &slow {
            connection.give_up_long_input();
        }
    }
}

impl LongInput {
    /// Whether the command has waited for memory as long as it may, if it has been complete since it may be. Starts its
    /// time if that has not begun.
    fn has_waited_enough(&self, now: Instant) -> bool {
        let since = *self.ready_since.borrow_mut().get_or_insert(now);
        let earlier = Duration::from_millis(self.waited_ms.load(Ordering::Relaxed));
        let max_wait = Duration::from_millis(self.max_wait_ms.load(Ordering::Relaxed));
        earlier + now.duration_since(since) >= max_wait
    }
}

impl Connection {
    /// Registers the connection to be woken when memory for long commands is released.
    pub(super) fn wait_for_capacity(self: &Arc<Connection>, command: IncompleteCommand) {
        // A command without a valid timeout will be rejected anyway.
        let max_wait_ms = command.timeout_ms.unwrap_or(0.0) * MAX_WAIT_FRACTION;
        self.long_input.max_wait_ms.store(max_wait_ms as u64, Ordering::Relaxed);
        self.long_input.missing_bytes.store(command.missing_bytes, Ordering::Relaxed);
        if self.has_ready_input() {
            self.long_input.ready_since.borrow_mut().get_or_insert_with(Instant::now);
        }
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
        self.long_input.waited_ms.store(0, Ordering::Relaxed);
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

    /// Whether so much input waits in the kernel that the client may have written the whole command: all that it lacks, or
    /// as much as makes the kernel hold the client back.
    fn has_ready_input(&self) -> bool {
        let missing = self.long_input.missing_bytes.load(Ordering::Relaxed);
        self.queued_input().is_none_or(|length| length >= missing.min(READ_BUFFER_BYTES))
    }

    /// Returns the number of bytes that can be read, if the kernel tells.
    fn queued_input(&self) -> Option<usize> {
        let mut length = 0;
        // SAFETY: the descriptor is open, and the kernel writes one integer to `length`.
        let result = unsafe { read_receive_queue_length(self.stream.inner().as_raw_fd(), &mut length) };
        result.ok().and_then(|_| usize::try_from(length).ok())
    }
}
