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
pub struct TrafficCounters {
    connections: AtomicU64,
    calls: AtomicU64,
    bytes_received: AtomicU64,
    bytes_sent: AtomicU64,
}

/// The counts of one role at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficCounts {
    /// Connections that were made.
    pub connections: u64,
    /// Requests that were understood.
    pub calls: u64,
    /// Bytes from instances.
    pub bytes_received: u64,
    /// Bytes to instances.
    pub bytes_sent: u64,
}

impl TrafficCounters {
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
        self.bytes_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes to an instance.
    pub fn count_sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The counts now.
    pub fn read(&self) -> TrafficCounts {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        TrafficCounts {
            connections: load(&self.connections),
            calls: load(&self.calls),
            bytes_received: load(&self.bytes_received),
            bytes_sent: load(&self.bytes_sent),
        }
    }
}

impl TrafficCounts {
    /// The difference from an earlier reading.
    pub fn since(&self, earlier: &TrafficCounts) -> TrafficCounts {
        TrafficCounts {
            connections: self.connections - earlier.connections,
            calls: self.calls - earlier.calls,
            bytes_received: self.bytes_received - earlier.bytes_received,
            bytes_sent: self.bytes_sent - earlier.bytes_sent,
        }
    }
}

/// The load of each role.
#[derive(Default)]
pub struct ServerTraffic([TrafficCounters; Role::ALL.len()]);

/// The counts of all roles at one time, in the order of `Role::ALL`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerTrafficCounts(pub [TrafficCounts; Role::ALL.len()]);

impl ServerTraffic {
    /// The load of a role.
    pub fn of(&self, role: Role) -> &TrafficCounters {
        &self.0[role as usize]
    }

    /// All counts now.
    pub fn read(&self) -> ServerTrafficCounts {
        ServerTrafficCounts(Role::ALL.map(|role| self.of(role).read()))
    }
}

impl ServerTrafficCounts {
    /// The counts of a role.
    pub fn of(&self, role: Role) -> &TrafficCounts {
        &self.0[role as usize]
    }

    /// The difference from an earlier reading.
    pub fn since(&self, earlier: &ServerTrafficCounts) -> ServerTrafficCounts {
        ServerTrafficCounts(std::array::from_fn(|role| self.0[role].since(&earlier.0[role])))
    }
}
