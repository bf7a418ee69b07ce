//! The backends of the endpoint list, and the connections to them.
use super::requests::AttemptId;
use super::stream_progress::InterruptedStream;
use quillramp::interner::Interner;
use quillramp::types::*;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// An attempt on a backend's connection, from its start until its response is complete.
pub struct QueuedAttempt {
    /// The number of the attempt, unique on the connection.
    pub number: u64,
    /// The attempt; `None` once its response is no longer wanted.
    pub id: Option<AttemptId>,
}

/// A connection to a backend.
pub struct BackendConnection {
    /// The backend that it leads to.
    pub backend: BackendIndex,
    /// Whether it has been established.
    pub is_established: bool,
    /// Whether the current batch of events reports its end, so that no attempt may be sent on it.
    pub ends_in_batch: bool,
    /// Whether the response that is arriving on it has a streamed value, behind which others may wait without end.
    pub carries_stream: bool,
    /// The attempts on it, in the order in which their responses arrive.
    pub queue: VecDeque<QueuedAttempt>,
    /// The number of the next attempt on it.
    pub next_number: u64,
    /// Time when it was opened or last became idle, in seconds.
    pub idle_since: f64,
    /// How far the value has come that can't be completed, as the connection is about to end.
    pub interrupted_stream: Option<InterruptedStream>,
}

impl BackendConnection {
    /// Creates the entry for a connection that is about to be opened.
    pub fn new(backend: BackendIndex, now: f64) -> BackendConnection {
        BackendConnection {
            backend,
            is_established: false,
            ends_in_batch: false,
            carries_stream: false,
            queue: VecDeque::new(),
            next_number: 0,
            idle_since: now,
            interrupted_stream: None,
        }
    }

    /// Appends an attempt to the queue; returns its number.
    pub fn enqueue(&mut self, id: AttemptId) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.queue.push_back(QueuedAttempt { number, id: Some(id) });
        number
    }

    /// Returns the attempt whose response is next, if that is still wanted.
    pub fn front(&self) -> Option<AttemptId> {
        self.queue.front().and_then(|queued| queued.id)
    }

    /// Returns whether there are attempts on it and none of their responses is wanted any more.
    pub fn is_abandoned(&self) -> bool {
        !self.queue.is_empty() && self.queue.iter().all(|queued| queued.id.is_none())
    }
}

/// A backend. An entry without an address belongs to a free index.
#[derive(Default)]
pub struct BackendEntry {
    /// The address it listens on.
    pub address: Option<SocketAddr>,
    /// Its status in the endpoint list.
    pub status: EndpointStatus,
    /// Whether an operator has ejected it.
    pub is_manually_ejected: bool,
    /// The idle connections to it; the last one became idle most recently.
    pub idle_connections: Vec<u64>,
}

impl BackendEntry {
    /// Returns whether new attempts may be sent to it.
    pub fn accepts_attempts(&self) -> bool {
        self.status == EndpointStatus::Ready && !self.is_manually_ejected
    }

    /// Returns whether it was removed from the list and its index is not free yet.
    pub fn is_removed(&self) -> bool {
        self.status == EndpointStatus::Removed && self.address.is_some()
    }

    /// Removes a connection from the idle ones, so that no attempt reuses it.
    pub fn remove_idle(&mut self, connection: u64) {
        self.idle_connections.retain(|idle| *idle != connection);
    }
}

/// All backends and the connections to them.
#[derive(Default)]
pub struct BackendTable {
    /// Maps names of backends to indices.
    pub names: Interner<String>,
    /// The backends, by index.
    pub entries: Vec<BackendEntry>,
    /// The connections to backends, by connection ID.
    pub connections: HashMap<u64, BackendConnection>,
}
