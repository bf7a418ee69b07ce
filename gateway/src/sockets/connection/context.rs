//! State that all connections share: the read buffer, and counts of what they use with the limits on it.
use super::lingering::LingeringConnections;
use super::long_input::LongInputs;
use super::{Connection, READ_BUFFER_BYTES};
use crate::sockets::event_queue::EventQueue;
use crate::state::memory_budget::{MemoryBudget, MemoryUse};
use crate::state::stats::BufferedBytes;
use atomic_refcell::AtomicRefCell;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum amount of unwritten output of one connection, in bytes; with more, the connection is not read.
const MAX_UNWRITTEN_BYTES: usize = 1024 * 1024;
/// The memory of the instance divided by this is the limit for clients' long commands.
const COMMAND_MEMORY_DIVISOR: usize = 8;
/// The memory of the instance divided by this is the threshold for streamed values that wait for clients.
const STREAM_MEMORY_DIVISOR: usize = 8;
/// The command memory divided by this limits the unwritten output of one connection, so that this many
/// connections at the limit have as much unwritten output as commands may take.
const UNWRITTEN_DIVISOR: usize = 16;

/// Maximum number of pending commands of one client at which no more of its commands are decoded.
const MAX_PENDING_COMMANDS: usize = 512;
/// The same for a client whose replies are expected to be long.
const MIN_PENDING_COMMANDS: usize = 16;
/// The memory for buffers divided by this is what the pending replies of one client may take.
const PENDING_REPLIES_DIVISOR: usize = 16;
/// With each value, the estimate of the longest values falls by its own amount divided by this.
const VALUE_ESTIMATE_DECAY: usize = 64;

/// State that all connections share.
pub struct ConnectionContext {
    /// The queue of events for the reducer.
    pub events: Arc<EventQueue>,
    /// The memory that connections' buffers may take.
    pub memory: Arc<MemoryBudget>,
    /// The buffer that every connection reads into.
    pub(super) read_buffer: AtomicRefCell<Vec<u8>>,
    /// `MAX_UNWRITTEN_BYTES`, or less if the instance has little memory.
    pub(super) max_unwritten_bytes: usize,
    /// Length of all clients' long commands, complete or not, that have no reply yet, in bytes.
    pub(super) long_command_bytes: AtomicUsize,
    /// Limit of `long_command_bytes`, which only `exempt_client` may exceed.
    pub(super) max_long_command_bytes: usize,
    /// Number of the client that may exceed `max_long_command_bytes`; 0 for none.
    pub(super) exempt_client: AtomicUsize,
    /// Clients' connections that compete for the memory for long commands.
    pub(super) long_inputs: LongInputs,
    /// Connections whose turn has ended before their input. They continue once all connections that are ready
    /// have had a turn.
    deferred: AtomicRefCell<Vec<Arc<Connection>>>,
    /// Connections with a call that failed because the kernel was out of resources. They try again a little later.
    retrying: AtomicRefCell<Vec<Arc<Connection>>>,
    /// Set when accepting has failed in the same way.
    accepting_retries: AtomicBool,
    /// Set when an acceptor's turn has ended before the queue of the kernel.
    accepting_deferred: AtomicBool,
    /// Number of turns that ended before the input since the driver last added them to the statistics.
    pub deferred_turns: AtomicUsize,
    /// Estimate of the longest values that backends reply with, in bytes.
    pub(super) expected_value_bytes: AtomicUsize,
    /// Connections that were shut down and whose output is not acknowledged yet.
    pub(super) lingering: LingeringConnections,
    /// Length of the parts of streamed values that wait for clients, in bytes.
    pub(super) buffered_stream_bytes: AtomicUsize,
    /// Threshold of `buffered_stream_bytes` above which the limit for each value is lowered.
    pub(super) max_buffered_stream_bytes: usize,
    /// Set while accepting is suspended because no descriptor is left.
    pub descriptors_exhausted: AtomicBool,
    /// Number of clients' connections that hold a descriptor.
    pub(super) open_clients: AtomicUsize,
    /// Limit of `open_clients`, at which no clients are accepted unless the process is stopping.
    max_clients: usize,
    /// Wakers of the acceptors' coroutines.
    pub acceptors: AtomicRefCell<Vec<WaitIoWaker>>,
    /// Number of attempts that were written completely since the driver last added them to the statistics.
    pub written_attempts: AtomicUsize,
}

impl ConnectionContext {
    /// Returns the state for an instance with this much memory and this maximum number of clients.
    pub fn new(events: Arc<EventQueue>, memory_bytes: usize, max_clients: usize) -> Arc<ConnectionContext> {
        let command_memory = memory_bytes / COMMAND_MEMORY_DIVISOR;
        Arc::new(ConnectionContext {
            events,
            memory: MemoryBudget::new(memory_bytes),
            read_buffer: AtomicRefCell::new(vec![0; READ_BUFFER_BYTES]),
            max_unwritten_bytes: MAX_UNWRITTEN_BYTES.min(command_memory / UNWRITTEN_DIVISOR),
            long_command_bytes: AtomicUsize::new(0),
            max_long_command_bytes: command_memory,
            exempt_client: AtomicUsize::new(0),
            long_inputs: LongInputs::default(),
            deferred: AtomicRefCell::default(),
            retrying: AtomicRefCell::default(),
            accepting_retries: AtomicBool::new(false),
            accepting_deferred: AtomicBool::new(false),
            deferred_turns: AtomicUsize::new(0),
            expected_value_bytes: AtomicUsize::new(0),
            lingering: LingeringConnections::default(),
            buffered_stream_bytes: AtomicUsize::new(0),
            max_buffered_stream_bytes: memory_bytes / STREAM_MEMORY_DIVISOR,
            descriptors_exhausted: AtomicBool::new(false),
            open_clients: AtomicUsize::new(0),
            max_clients,
            acceptors: AtomicRefCell::default(),
            written_attempts: AtomicUsize::new(0),
        })
    }

    /// Records the length of a value, in bytes. The estimate rises at once and falls slowly.
    pub(super) fn record_value(&self, bytes: usize) {
        let previous = self.expected_value_bytes.load(Ordering::Relaxed);
        let lowered = previous - previous / VALUE_ESTIMATE_DECAY;
        self.expected_value_bytes.store(lowered.max(bytes), Ordering::Relaxed);
    }

    /// Returns the number of pending commands of one client at which no more of its commands are decoded: their
    /// replies are expected to take a part of the memory.
    pub(super) fn max_pending_commands(&self) -> usize {
        let expected = self.expected_value_bytes.load(Ordering::Relaxed).max(1);
        let fitting = self.memory.max_bytes() / PENDING_REPLIES_DIVISOR / expected;
        fitting.clamp(MIN_PENDING_COMMANDS, MAX_PENDING_COMMANDS)
    }

    /// Returns what connections' buffers hold.
    pub fn buffered_bytes(&self) -> BufferedBytes {
        BufferedBytes {
            input: self.memory.used_for(MemoryUse::Input),
            commands: self.memory.used_for(MemoryUse::Commands),
            output: self.memory.used_for(MemoryUse::Output),
            limit: self.memory.max_bytes(),
        }
    }

    /// Wakes all acceptors.
    pub fn wake_acceptors(&self) {
        self.acceptors.borrow().iter().for_each(WaitIoWaker::wakeup);
    }

    /// Ends the turn of a connection whose input is not handled completely.
    ///
    /// It must not be woken directly: the runtime looks for ready sockets only when no coroutine is left to run,
    /// so a connection that is woken again and again would keep all others waiting.
    pub(super) fn defer(&self, connection: &Arc<Connection>) {
        if !connection.is_deferred.swap(true, Ordering::Relaxed) {
            self.deferred_turns.fetch_add(1, Ordering::Relaxed);
            self.deferred.borrow_mut().push(connection.clone());
            self.events.wake();
        }
    }

    /// Ends the turn of an acceptor that may have more connections to accept.
    pub fn defer_accepting(&self) {
        self.accepting_deferred.store(true, Ordering::Relaxed);
        self.events.wake();
    }

    /// Gives a connection another turn a little later.
    pub(super) fn retry_later(&self, connection: &Arc<Connection>) {
        self.retrying.borrow_mut().push(connection.clone());
        self.events.wake();
    }

    /// Lets the acceptors try again a little later.
    pub fn retry_accepting_later(&self) {
        self.accepting_retries.store(true, Ordering::Relaxed);
        self.events.wake();
    }

    /// Whether any call is to be tried again.
    pub fn has_retries(&self) -> bool {
        self.accepting_retries.load(Ordering::Relaxed) || !self.retrying.borrow().is_empty()
    }

    /// Tries again the calls that have failed because the kernel was out of resources.
    pub fn retry_failed_calls(&self) {
        if self.accepting_retries.swap(false, Ordering::Relaxed) {
            self.wake_acceptors();
        }
        for connection in self.retrying.borrow_mut().drain(..) {
            connection.waker.wakeup();
        }
    }

    /// Whether the turn of any connection has ended before its input, or that of an acceptor.
    pub fn has_deferred(&self) -> bool {
        self.accepting_deferred.load(Ordering::Relaxed) || !self.deferred.borrow().is_empty()
    }

    /// Begins the next turn of all deferred connections and acceptors.
    pub fn resume_deferred(&self) {
        if self.accepting_deferred.swap(false, Ordering::Relaxed) {
            self.wake_acceptors();
        }
        for connection in self.deferred.borrow_mut().drain(..) {
            connection.is_deferred.store(false, Ordering::Relaxed);
            connection.waker.wakeup();
        }
    }

    /// Whether the output of a connection that was shut down is not acknowledged yet.
    pub fn has_lingering(&self) -> bool {
        !self.lingering.is_empty()
    }

    /// Closes the connections that were shut down and whose output is acknowledged.
    pub fn close_lingering(&self) {
        let is_accepting_suspended = self.descriptors_exhausted.load(Ordering::Relaxed);
        self.lingering.close_finished(is_accepting_suspended, self.max_clients);
    }

    /// Whether any client waits for memory for a long command.
    pub fn has_waiting_input(&self) -> bool {
        self.long_inputs.has_waiting()
    }

    /// Lets no long command wait for memory for too long.
    pub fn check_waiting_input(&self) {
        self.long_inputs.check_waiting();
    }

    /// Whether the maximum number of clients is connected.
    pub fn client_limit_reached(&self) -> bool {
        self.open_clients.load(Ordering::Relaxed) >= self.max_clients
    }
}
