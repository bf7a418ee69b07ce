//! What all connections share: buffers, limits and the counts that are held against them.
use super::{Connection, SCRATCH_BYTES};
use crate::sockets::event_queue::EventQueue;
use atomic_refcell::AtomicRefCell;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The largest amount that may wait to be written to one connection before it is not read from any more, in bytes.
const MAX_UNWRITTEN_BYTES: usize = 1024 * 1024;
/// The fraction of the memory that clients' incomplete commands may take, and their long ones: one in so many bytes.
const COMMAND_MEMORY_DIVISOR: usize = 8;
/// The fraction of the memory that streamed values may take: one in so many bytes.
const STREAM_MEMORY_DIVISOR: usize = 8;
/// How many connections must have reached their limit of unwritten bytes to use up the clients' memory.
const UNWRITTEN_DIVISOR: usize = 16;

/// What all connections share.
pub struct ConnectionContext {
    /// Where events go.
    pub events: Arc<EventQueue>,
    /// The buffer that every connection reads into.
    pub(super) scratch: AtomicRefCell<Vec<u8>>,
    /// The bytes of clients' incomplete commands, and how many there may be.
    pub(super) partial_bytes: AtomicUsize,
    pub(super) max_partial_bytes: usize,
    /// The bytes that may wait to be written to one connection before it is not read from any more.
    pub(super) max_unwritten_bytes: usize,
    /// The bytes of clients' long commands, until they are answered, and how many there may be.
    pub(super) long_command_bytes: AtomicUsize,
    pub(super) max_long_command_bytes: usize,
    /// The client that may exceed the limit, by number; 0 for none.
    pub(super) exempt_client: AtomicUsize,
    /// The clients that wait for the capacity for a long command.
    pub(super) waiting_for_capacity: AtomicRefCell<Vec<Arc<Connection>>>,
    /// Clients that have been read from for long enough, until others have had their turn.
    pub(super) paused: AtomicRefCell<Vec<Arc<Connection>>>,
    /// The bytes of streamed values that wait for clients, and how many there should be.
    pub(super) streamed_bytes: AtomicUsize,
    pub(super) max_streamed_bytes: usize,
    /// Accepting waits for a descriptor.
    pub descriptors_exhausted: AtomicBool,
    /// Clients' connections that hold a descriptor, and how many of them may.
    pub(super) clients: AtomicUsize,
    max_clients: usize,
    /// Wakes the coroutines that accept.
    pub acceptors: AtomicRefCell<Vec<WaitIoWaker>>,
    /// Attempts that have been written completely and are not yet counted.
    pub written_attempts: AtomicUsize,
}

impl ConnectionContext {
    /// With this much memory, in bytes, for this many clients at the most.
    pub fn new(events: Arc<EventQueue>, memory_bytes: usize, max_clients: usize) -> Arc<ConnectionContext> {
        let command_memory = memory_bytes / COMMAND_MEMORY_DIVISOR;
        Arc::new(ConnectionContext {
            events,
            scratch: AtomicRefCell::new(vec![0; SCRATCH_BYTES]),
            partial_bytes: AtomicUsize::new(0),
            max_partial_bytes: command_memory,
            max_unwritten_bytes: MAX_UNWRITTEN_BYTES.min(command_memory / UNWRITTEN_DIVISOR),
            long_command_bytes: AtomicUsize::new(0),
            max_long_command_bytes: command_memory,
            exempt_client: AtomicUsize::new(0),
            waiting_for_capacity: AtomicRefCell::default(),
            paused: AtomicRefCell::default(),
            streamed_bytes: AtomicUsize::new(0),
            max_streamed_bytes: memory_bytes / STREAM_MEMORY_DIVISOR,
            descriptors_exhausted: AtomicBool::new(false),
            clients: AtomicUsize::new(0),
            max_clients,
            acceptors: AtomicRefCell::default(),
            written_attempts: AtomicUsize::new(0),
        })
    }

    /// Has all acceptors look again.
    pub fn wake_acceptors(&self) {
        self.acceptors.borrow().iter().for_each(WaitIoWaker::wakeup);
    }

    /// Whether a client waits to be read from again.
    pub fn has_paused(&self) -> bool {
        !self.paused.borrow().is_empty()
    }

    /// Reads from paused clients again: others have had their turn.
    pub fn resume_paused(&self) {
        for connection in self.paused.borrow_mut().drain(..) {
            connection.waker.wakeup();
        }
    }

    /// No more clients are accepted until one of them has released its descriptor.
    pub fn clients_full(&self) -> bool {
        self.clients.load(Ordering::Relaxed) >= self.max_clients
    }
}
