//! Traffic between instances and stand-in servers, by server role. Bytes are TCP payload, without headers and
//! acknowledgements.
use std::sync::atomic::{AtomicU64, Ordering};

/// Role of the server at the other end of an instance's connection.
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
    /// All roles, in the order of `ServerTraffic`.
    pub const ALL: [Role; 3] = [Role::Counter, Role::Discovery, Role::Backend];

    /// Returns the name of the role in the rows.
    pub fn name(self) -> &'static str {
        match self {
            Role::Counter => "counter",
            Role::Discovery => "list",
            Role::Backend => "backends",
        }
    }
}

/// Traffic counters of one role since the start, shared between threads.
#[derive(Default)]
pub struct TrafficCounters {
    connections: AtomicU64,
    calls: AtomicU64,
    bytes_received: AtomicU64,
    bytes_sent: AtomicU64,
}

/// Values of `TrafficCounters` at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficCounts {
    /// Connections established.
    pub connections: u64,
    /// Requests decoded.
    pub calls: u64,
    /// Bytes received from instances.
    pub bytes_received: u64,
    /// Bytes sent to instances.
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

    /// Counts bytes received from an instance.
    pub fn count_received(&self, bytes: usize) {
        self.bytes_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes sent to an instance.
    pub fn count_sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the current values.
    pub fn read(&self) -> TrafficCounts {
        let value = |count: &AtomicU64| count.load(Ordering::Relaxed);
        TrafficCounts {
            connections: value(&self.connections),
            calls: value(&self.calls),
            bytes_received: value(&self.bytes_received),
            bytes_sent: value(&self.bytes_sent),
        }
    }
}

impl TrafficCounts {
    /// Returns the increase since an earlier reading.
    pub fn since(&self, earlier: &TrafficCounts) -> TrafficCounts {
        TrafficCounts {
            connections: self.connections - earlier.connections,
            calls: self.calls - earlier.calls,
            bytes_received: self.bytes_received - earlier.bytes_received,
            bytes_sent: self.bytes_sent - earlier.bytes_sent,
        }
    }
}

/// Traffic counters of all roles, in the order of `Role::ALL`.
#[derive(Default)]
pub struct ServerTraffic([TrafficCounters; Role::ALL.len()]);

/// Values of `ServerTraffic` at one time, in the order of `Role::ALL`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerTrafficCounts(pub [TrafficCounts; Role::ALL.len()]);

impl ServerTraffic {
    /// Returns the counters of a role.
    pub fn of(&self, role: Role) -> &TrafficCounters {
        &self.0[role as usize]
    }

    /// Returns the current values of all roles.
    pub fn read(&self) -> ServerTrafficCounts {
        ServerTrafficCounts(Role::ALL.map(|role| self.of(role).read()))
    }
}

impl ServerTrafficCounts {
    /// Returns the values of a role.
    pub fn of(&self, role: Role) -> &TrafficCounts {
        &self.0[role as usize]
    }

    /// Returns the increase since an earlier reading.
    pub fn since(&self, earlier: &ServerTrafficCounts) -> ServerTrafficCounts {
        ServerTrafficCounts(std::array::from_fn(|role| self.0[role].since(&earlier.0[role])))
    }
}
