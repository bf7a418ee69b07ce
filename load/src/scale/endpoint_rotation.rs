//! The endpoint list of the scale runs' list service: with each change the next backend drains and the one before serves again.
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Zones and groups that the backends are spread over.
const ZONES: usize = 4;
const GROUPS: usize = 3;

struct Entry {
    address: SocketAddr,
    draining: bool,
    /// The version that last changed it.
    changed_version: u64,
}

impl Entry {
    fn to_json(&self, index: usize) -> Value {
        json!({"name": format!("s{index}"), "address": self.address, "zone": format!("z{}", index % ZONES), "type": "m",
               "group": index % GROUPS, "status": if self.draining { "DRAINING" } else { "SERVING" }, "weight": 1.0,
               "since_ms": 0})
    }
}

/// The list at one version.
pub struct EndpointRotation {
    version: u64,
    entries: Vec<Entry>,
    /// Which entry drains next.
    next_to_drain: usize,
}

impl EndpointRotation {
    /// All serve, at version 1.
    pub fn new(addresses: &[SocketAddr]) -> EndpointRotation {
        let entry = |address: &SocketAddr| Entry { address: *address, draining: false, changed_version: 1 };
        EndpointRotation { version: 1, entries: addresses.iter().map(entry).collect(), next_to_drain: 0 }
    }

    /// The version, from 1 on.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The answer to a caller that knows a version: a snapshot for 0, else what has changed.
    pub fn response(&self, since_version: u64) -> Value {
        let changed =
            self.entries.iter().enumerate().filter(|(_, entry)| entry.changed_version > since_version);
        let endpoints: Vec<Value> = changed.map(|(index, entry)| entry.to_json(index)).collect();
        json!({"index": self.version, "snapshot": since_version == 0, "endpoints": endpoints})
    }

    /// Makes the next version: one backend drains; the one that did before serves again.
    pub fn advance(&mut self) {
        self.version += 1;
        let count = self.entries.len();
        let previous = (self.next_to_drain + count - 1) % count;
        for (index, draining) in [(self.next_to_drain, true), (previous, false)] {
            let entry = &mut self.entries[index];
            if entry.draining != draining {
                entry.draining = draining;
                entry.changed_version = self.version;
            }
        }
        self.next_to_drain = (self.next_to_drain + 1) % count;
    }
}
