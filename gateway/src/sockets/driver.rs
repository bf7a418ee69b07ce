//! Runs the reducer on batches of events, carries out its effects, and flushes each connection once per
//! batch.
use super::clock::Clock;
use super::connection::{Connection, ConnectionContext};
use super::gossip_socket::GossipSocket;
use crate::process::{handover::SharedStateStore, logger};
use crate::state::connection::ConnectionId;
use crate::state::event::Event;
use crate::state::reducer::{Reducer, ReducerOutput};
use atomic_refcell::AtomicRefCell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The open connections, by id.
#[derive(Default)]
pub struct Connections(AtomicRefCell<HashMap<ConnectionId, Arc<Connection>>>);

impl Connections {
    /// Adds a connection.
    pub fn insert(&self, id: ConnectionId, connection: Arc<Connection>) {
        self.0.borrow_mut().insert(id, connection);
    }

    /// Removes a connection, if it is open.
    pub(super) fn remove(&self, id: ConnectionId) -> Option<Arc<Connection>> {
        self.0.borrow_mut().remove(&id)
    }

    /// Calls `action` with the connection; returns `None` if it is not open.
    pub(super) fn with<T>(&self, id: ConnectionId, action: impl FnOnce(&Arc<Connection>) -> T) -> Option<T> {
        self.0.borrow().get(&id).map(action)
    }

    /// Returns the backend's connection whose streamed value has not moved for the longest time.
    pub(super) fn most_silent_stream(&self) -> Option<(ConnectionId, Arc<Connection>)> {
        let connections = self.0.borrow();
        let streams = connections
            .iter()
            .filter_map(|(id, connection)| Some((connection.stream_silence()?, *id, connection)));
        let longest = streams.max_by(|(silence, id, _), (other_silence, other, _)| {
            silence.total_cmp(other_silence).then(other.cmp(id))
        });
        longest.map(|(_, id, connection)| (id, connection.clone()))
    }

    /// Whether a client has not taken all of its output from this process.
    fn has_unwritten_output(&self) -> bool {
        let connections = self.0.borrow();
        let mut clients = connections.iter().filter(|(id, _)| matches!(id, ConnectionId::Client(_)));
        clients.any(|(_, connection)| !connection.is_flushed())
    }
}

/// Interval at which a process that is shutting down checks whether all output has been written, in seconds.
const EXIT_CHECK_INTERVAL: f64 = 0.005;
/// Interval at which clients are checked whose long commands wait for memory, in seconds.
const WAITING_CHECK_INTERVAL: f64 = 0.05;
/// Time after which a socket call is tried again that failed because the kernel was out of resources, in seconds.
const RETRY_INTERVAL: f64 = 0.01;
/// Interval at which connections that were shut down are checked for unacknowledged output, in seconds.
const LINGER_CHECK_INTERVAL: f64 = 0.02;

/// The work that is left after the effects of a batch.
#[derive(Default)]
pub(super) struct Batch {
    /// Connections with new output to flush.
    pub written: Vec<ConnectionId>,
    /// Clients' connections that were closed by this process and still have output to send.
    pub closing: Vec<Arc<Connection>>,
    /// Earliest time of the process's exit, in seconds since 1970; the exit also waits for `closing`.
    pub exit_at: Option<f64>,
    /// Whether the process exits as soon as all output is written.
    pub exits_after_flush: bool,
}

/// The coroutine that runs the reducer and carries out its effects.
pub struct Driver {
    /// The clock of the process.
    pub clock: Clock,
    /// State that all connections share.
    pub context: Arc<ConnectionContext>,
    /// The open connections.
    pub connections: Arc<Connections>,
    /// The socket for gossip; `None` if no address for it is configured.
    pub gossip: Option<Arc<GossipSocket>>,
    /// Set when clients are no longer accepted.
    pub stop_accepting: Arc<AtomicBool>,
    /// Saves the state that the processes of this instance share; `None` if that is not saved.
    pub store: Option<SharedStateStore>,
}

impl Driver {
    /// Runs until the process exits.
    pub fn run(self, mut reducer: Reducer) {
        let mut events = Vec::new();
        let mut timer_at = f64::INFINITY;
        let mut batch = Batch::default();
        loop {
            let wake_at = self.step(&mut reducer, &mut events, &mut batch);
            batch.closing.retain(|connection| !connection.is_flushed());
            self.context.close_lingering();
            self.context.check_waiting_input();
            let now = self.clock.now();
            let wake_at = self.next_wake(now, wake_at, &reducer, &mut batch);
            if let Some(wake_at) = wake_at.filter(|wake_at| *wake_at < timer_at || timer_at <= now) {
                timer_at = wake_at;
                self.context.events.set_timer(wake_at - now);
            }
            if self.context.events.wait(&mut events) {
                timer_at = f64::INFINITY;
                self.context.resume_deferred();
                self.context.retry_failed_calls();
            }
        }
    }

    /// Returns when to continue without an event, in seconds since 1970. Exits if the exit is due.
    fn next_wake(
        &self,
        now: f64,
        reducer_wake: Option<f64>,
        reducer: &Reducer,
        batch: &mut Batch,
    ) -> Option<f64> {
        // A client that was accepted just now is an event of the next batch: the exit is cancelled until it
        // is served.
        batch.exit_at = batch.exit_at.filter(|_| reducer.is_done());
        let output_check_at = batch.exits_after_flush.then_some(now + EXIT_CHECK_INTERVAL);
        let wake_at = match batch.exit_at {
            Some(exit_at) if now >= exit_at && !self.has_undelivered_output(batch) => exit(),
            Some(_) => Some(now + EXIT_CHECK_INTERVAL),
            None => reducer_wake,
        };
        // The timer expires at once, after the sockets that are ready by then.
        let resume_at = self.context.has_deferred().then_some(now);
        let linger_check_at = self.context.has_lingering().then_some(now + LINGER_CHECK_INTERVAL);
        let waiting_check_at = self.context.has_waiting_input().then_some(now + WAITING_CHECK_INTERVAL);
        let retry_at = self.context.has_retries().then_some(now + RETRY_INTERVAL);
        let wakes = [wake_at, resume_at, linger_check_at, waiting_check_at, output_check_at, retry_at];
        wakes.into_iter().flatten().reduce(f64::min)
    }

    /// Whether clients of closed connections have not received all of their output yet.
    fn has_undelivered_output(&self, batch: &Batch) -> bool {
        !batch.closing.is_empty() || self.context.has_lingering()
    }

    /// Handles a batch of events; returns when the reducer is to be polled next, in seconds since 1970.
    fn step(&self, reducer: &mut Reducer, events: &mut Vec<Event>, batch: &mut Batch) -> Option<f64> {
        let now = self.clock.now();
        reducer.stats.attempts_written += self.context.written_attempts.swap(0, Ordering::Relaxed) as u64;
        reducer.stats.deferred_turns += self.context.deferred_turns.swap(0, Ordering::Relaxed) as u64;
        reducer.stats.buffered_bytes = self.context.buffered_bytes();
        for event in events.iter() {
            if let Event::ConnectionEnded { connection, .. } = event {
                self.connections.remove(*connection);
            }
        }
        reducer.handle_batch(now, events);
        let ReducerOutput { next_poll_at, effects } = reducer.poll(now);
        self.context.memory.set_waiting_values(reducer.waiting_value_bytes());
        for effect in effects {
            self.carry_out(effect, batch);
        }
        batch.written.sort_unstable();
        batch.written.dedup();
        for id in batch.written.drain(..) {
            self.connections.with(id, |connection| connection.flush());
        }
        if batch.exits_after_flush && batch.closing.is_empty() && !self.connections.has_unwritten_output() {
            exit();
        }
        next_poll_at
    }

    /// Schedules the exit of the process, for after all output is written.
    pub(super) fn exit_after_flush(&self, batch: &mut Batch) {
        batch.exit_at = Some(self.clock.now() + 2.0 * EXIT_CHECK_INTERVAL);
    }
}

/// Flushes the log and exits the process.
fn exit() -> ! {
    tracing::info!("gateway stopped");
    logger::flush();
    std::process::exit(0)
}
