//! The backends as the endpoint list has them, and the connections to them.
use super::requests::AttemptId;
use quillramp::interner::Interner;
use quillramp::types::*;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// An attempt on a backend's connection.
pub struct QueuedAttempt {
    /// Its number, unique on the connection.
    pub number: u64,
    /// Which attempt it is; none where its response is no longer wanted.
    pub id: Option<AttemptId>,
}

/// A connection to a backend.
pub struct BackendConnection {
    /// Where it leads to.
    pub backend: BackendIndex,
    /// It has been established.
    pub is_established: bool,
    /// Its end stands further back in the batch: nothing new is sent on it.
    pub ends_in_batch: bool,
    /// The attempts on it, in the order of their responses.
    pub queue: VecDeque<QueuedAttempt>,
    /// The number of the next attempt on it.
    pub next_number: u64,
    /// When it was opened or last became idle, in seconds.
    pub idle_since: f64,
}

impl BackendConnection {
    /// One that is about to be opened.
    pub fn new(backend: BackendIndex, now: f64) -> BackendConnection {
        BackendConnection {
            backend,
            is_established: false,
            ends_in_batch: false,
            queue: VecDeque::new(),
            next_number: 0,
            idle_since: now,
        }
    }

    /// Puts an attempt behind the others on it; returns its number.
    pub fn enqueue(&mut self, id: AttemptId) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.queue.push_back(QueuedAttempt { number, id: Some(id) });
        number
    }

    /// The attempt whose response comes next, if that is still wanted.
    pub fn front(&self) -> Option<AttemptId> {
        self.queue.front().and_then(|queued| queued.id)
    }

    /// There are attempts on it, and nobody waits for any of them.
    pub fn is_abandoned(&self) -> bool {
        !self.queue.is_empty() && self.queue.iter().all(|queued| queued.id.is_none())
    }
}

/// A backend. Without an address its index is free.
#[derive(Default)]
pub struct BackendEntry {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its status on the endpoint list.
    pub status: EndpointStatus,
    /// An operator has ejected it.
    pub is_manually_ejected: bool,
    /// Its idle connections, the newest last.
    pub idle_connections: Vec<u64>,
}

impl BackendEntry {
    /// Whether new attempts may be sent to it.
    pub fn accepts_requests(&self) -> bool {
        self.status == EndpointStatus::Ready && !self.is_manually_ejected
    }

    /// It was removed from the list, and its index is not free yet.
    pub fn is_removed(&self) -> bool {
        self.status == EndpointStatus::Removed && self.address.is_some()
    }

    /// Keeps a connection from being picked for the next attempt.
    pub fn remove_idle(&mut self, connection: u64) {
        self.idle_connections.retain(|idle| *idle != connection);
    }
}

/// All backends and the connections to them.
#[derive(Default)]
pub struct BackendTable {
    /// Names to indices.
    pub names: Interner<String>,
    /// By index, like the names.
    pub entries: Vec<BackendEntry>,
    /// By number.
    pub connections: HashMap<u64, BackendConnection>,
}
