//! Drives the reducer: hands it a batch of events, carries out the effects, and writes once a batch.
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

/// The open connections.
#[derive(Default)]
pub struct Connections(AtomicRefCell<HashMap<ConnectionId, Arc<Connection>>>);

impl Connections {
    /// Adds a connection.
    pub fn insert(&self, id: ConnectionId, connection: Arc<Connection>) {
        self.0.borrow_mut().insert(id, connection);
    }

    pub(super) fn remove(&self, id: ConnectionId) -> Option<Arc<Connection>> {
        self.0.borrow_mut().remove(&id)
    }

    /// Gives the connection to `use_it`, if it is open.
    pub(super) fn with<T>(&self, id: ConnectionId, use_it: impl FnOnce(&Arc<Connection>) -> T) -> Option<T> {
        self.0.borrow().get(&id).map(use_it)
    }
}

/// While shutting down: how often it is checked whether all has been written, in seconds.
const EXIT_CHECK_INTERVAL: f64 = 0.005;
/// How long a client whose commands are dropped is not read from, in seconds. It may have left behind what its machine
/// and ours hold for it, some 10 MiB (the largest `tcp_wmem` and `tcp_rmem`): all of it is to be read well within 0.1 s.
const READ_PAUSE: f64 = 0.002;

/// What a batch leaves to do.
#[derive(Default)]
pub(super) struct Batch {
    /// Connections that were written to.
    pub written: Vec<ConnectionId>,
    /// Clients' connections that we closed and that still have something to send.
    pub closing: Vec<Arc<Connection>>,
    /// When the process is to exit, in seconds since 1970, once all is written.
    pub exit_at: Option<f64>,
}

/// The coroutine that decides.
pub struct Driver {
    /// The time.
    pub clock: Clock,
    /// What all connections share.
    pub context: Arc<ConnectionContext>,
    /// The open connections.
    pub connections: Arc<Connections>,
    /// The socket for gossip, if there are peers.
    pub gossip: Option<Arc<GossipSocket>>,
    /// Set once no more clients are to be accepted.
    pub stop_accepting: Arc<AtomicBool>,
    /// Keeps what the processes of this instance share.
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
            let now = self.clock.now();
            let wake_at = self.next_wake(now, wake_at, &reducer, &mut batch);
            if let Some(wake_at) = wake_at.filter(|wake_at| *wake_at < timer_at || timer_at <= now) {
                timer_at = wake_at;
                self.context.events.set_timer(wake_at - now);
            }
            if self.context.events.wait(&mut events) {
                timer_at = f64::INFINITY;
                self.context.resume_paused();
            }
        }
    }

    /// When to go on without an event, in seconds since 1970. Exits once that is due.
    fn next_wake(
        &self,
        now: f64,
        reducer_wake: Option<f64>,
        reducer: &Reducer,
        batch: &mut Batch,
    ) -> Option<f64> {
        // Who was accepted just before is an event of the next batch, and then it is not the end yet.
        batch.exit_at = batch.exit_at.filter(|_| reducer.is_done());
        let wake_at = match batch.exit_at {
            Some(exit_at) if now >= exit_at && batch.closing.is_empty() => exit(),
            Some(_) => Some(now + EXIT_CHECK_INTERVAL),
            None => reducer_wake,
        };
        let resume_at = self.context.has_paused().then_some(now + READ_PAUSE);
        wake_at.into_iter().chain(resume_at).reduce(f64::min)
    }

    /// Handles a batch of events; when the reducer wants to go on, in seconds since 1970.
    fn step(&self, reducer: &mut Reducer, events: &mut Vec<Event>, batch: &mut Batch) -> Option<f64> {
        let now = self.clock.now();
        reducer.stats.written += self.context.written_attempts.swap(0, Ordering::Relaxed) as u64;
        for event in events.iter() {
            if let Event::ConnectionEnded { connection, .. } = event {
                self.connections.remove(*connection);
            }
        }
        reducer.handle_batch(now, events);
        let ReducerOutput { next_poll_at, effects } = reducer.poll(now);
        for effect in effects {
            self.carry_out(effect, batch);
        }
        batch.written.sort_unstable();
        batch.written.dedup();
        for id in batch.written.drain(..) {
            self.connections.with(id, |connection| connection.flush());
        }
        next_poll_at
    }

    pub(super) fn exit_after_flush(&self, batch: &mut Batch) {
        batch.exit_at = Some(self.clock.now() + 2.0 * EXIT_CHECK_INTERVAL);
    }
}

/// Ends the process once its log is written.
pub(super) fn exit() -> ! {
    tracing::info!("stopped");
    logger::flush();
    std::process::exit(0)
}
