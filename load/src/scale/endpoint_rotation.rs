//! The endpoint list of the stand-in list service. Each change sets the next backend to draining and the previous one
//! back to serving.
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Number of zones that the backends are spread over.
const ZONES: usize = 4;
/// Number of backend groups that the backends are spread over.
const GROUPS: usize = 3;

struct Entry {
    address: SocketAddr,
    draining: bool,
    /// Version of the list that last changed this entry.
    changed_version: u64,
}

impl Entry {
    fn to_json(&self, index: usize) -> Value {
        json!({"name": format!("s{index}"), "address": self.address, "zone": format!("z{}", index % ZONES), "type": "m",
               "group": index % GROUPS, "status": if self.draining { "DRAINING" } else { "SERVING" }, "weight": 1.0,
               "since_ms": 0})
    }
}

/// The endpoint list at its current version.
pub struct EndpointRotation {
    version: u64,
    entries: Vec<Entry>,
    /// Index of the entry that the next change sets to draining.
    next_to_drain: usize,
}

impl EndpointRotation {
    /// Creates version 1 of the list, in which all backends serve.
    pub fn new(addresses: &[SocketAddr]) -> EndpointRotation {
        let entry = |address: &SocketAddr| Entry { address: *address, draining: false, changed_version: 1 };
        EndpointRotation { version: 1, entries: addresses.iter().map(entry).collect(), next_to_drain: 0 }
    }

    /// Returns the current version; the first is 1.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the response to a watch: a snapshot for `since_version` 0, otherwise the entries that changed later.
    pub fn response(&self, since_version: u64) -> Value {
        let changed =
            self.entries.iter().enumerate().filter(|(_, entry)| entry.changed_version > since_version);
        let endpoints: Vec<Value> = changed.map(|(index, entry)| entry.to_json(index)).collect();
        json!({"index": self.version, "snapshot": since_version == 0, "endpoints": endpoints})
    }

    /// Advances to the next version: sets one backend to draining and the previous one back to serving.
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
