//! What crossed the connections of the stand-ins, by who was asked. Bytes are TCP payload: no headers, no acknowledgements.
use std::sync::atomic::{AtomicU64, Ordering};

/// Who a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Counter,
    List,
    Backend,
}

/// All roles, in the order of `Tallies`.
pub const ROLES: [Role; 3] = [Role::Counter, Role::List, Role::Backend];

impl Role {
    /// The name of the role, as the rows have it.
    pub fn name(self) -> &'static str {
        match self {
            Role::Counter => "counter",
            Role::List => "list",
            Role::Backend => "backends",
        }
    }
}

/// Counts of one role since the start.
#[derive(Default)]
pub struct Tally {
    connections: AtomicU64,
    calls: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
}

/// The counts at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counted {
    /// Connections that were made.
    pub connections: u64,
    /// Requests that were understood.
    pub calls: u64,
    /// Bytes from front doors, and to them.
    pub received: u64,
    pub sent: u64,
}

impl Tally {
    pub fn connected(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }
    pub fn called(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }
    pub fn received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
    pub fn sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The counts now.
    pub fn read(&self) -> Counted {
        let now = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counted {
            connections: now(&self.connections),
            calls: now(&self.calls),
            received: now(&self.received),
            sent: now(&self.sent),
        }
    }
}

impl Counted {
    /// What came since then.
    pub fn since(&self, then: &Counted) -> Counted {
        Counted {
            connections: self.connections - then.connections,
            calls: self.calls - then.calls,
            received: self.received - then.received,
            sent: self.sent - then.sent,
        }
    }
}

/// A tally for each role.
#[derive(Default)]
pub struct Tallies([Tally; ROLES.len()]);

impl Tallies {
    /// The tally of a role.
    pub fn of(&self, role: Role) -> &Tally {
        &self.0[role as usize]
    }

    /// All counts now, in the order of `ROLES`.
    pub fn read(&self) -> [Counted; ROLES.len()] {
        ROLES.map(|role| self.of(role).read())
    }
}
