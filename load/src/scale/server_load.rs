//! What crossed the connections of the stand-ins, by the server's role. Bytes are TCP payload: no headers, no acknowledgements.
use std::sync::atomic::{AtomicU64, Ordering};

/// The server that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The counter.
    Counter,
    /// The list service.
    Discovery,
    /// A backend.
    Backend,
}

impl Role {
    /// All roles, in the order of `Loads`.
    pub const ALL: [Role; 3] = [Role::Counter, Role::Discovery, Role::Backend];

    /// The name of the role, as the rows have it.
    pub fn name(self) -> &'static str {
        match self {
            Role::Counter => "counter",
            Role::Discovery => "list",
            Role::Backend => "backends",
        }
    }
}

/// Counts of one role since the start.
#[derive(Default)]
pub struct ServerLoad {
    connections: AtomicU64,
    calls: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
}

/// The counts of one role at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReading {
    /// Connections that were made.
    pub connections: u64,
    /// Requests that were understood.
    pub calls: u64,
    /// Bytes from instances.
    pub received: u64,
    /// Bytes to instances.
    pub sent: u64,
}

impl ServerLoad {
    /// Counts a connection.
    pub fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request.
    pub fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes from an instance.
    pub fn count_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes to an instance.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The counts now.
    pub fn read(&self) -> LoadReading {
        let now = |count: &AtomicU64| count.load(Ordering::Relaxed);
        LoadReading {
            connections: now(&self.connections),
            calls: now(&self.calls),
            received: now(&self.received),
            sent: now(&self.sent),
        }
    }
}

impl LoadReading {
    /// The difference from an earlier reading.
    pub fn since(&self, earlier: &LoadReading) -> LoadReading {
        LoadReading {
            connections: self.connections - earlier.connections,
            calls: self.calls - earlier.calls,
            received: self.received - earlier.received,
            sent: self.sent - earlier.sent,
        }
    }
}

/// The load of each role.
#[derive(Default)]
pub struct ServerLoads([ServerLoad; Role::ALL.len()]);

/// The counts of all roles at one time, in the order of `Role::ALL`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReadings(pub [LoadReading; Role::ALL.len()]);

impl ServerLoads {
    /// The load of a role.
    pub fn of(&self, role: Role) -> &ServerLoad {
        &self.0[role as usize]
    }

    /// All counts now.
    pub fn read(&self) -> LoadReadings {
        LoadReadings(Role::ALL.map(|role| self.of(role).read()))
    }
}

impl LoadReadings {
    /// The counts of a role.
    pub fn of(&self, role: Role) -> &LoadReading {
        &self.0[role as usize]
    }

    /// The difference from an earlier reading.
    pub fn since(&self, earlier: &LoadReadings) -> LoadReadings {
        LoadReadings(std::array::from_fn(|role| self.0[role].since(&earlier.0[role])))
    }
}
