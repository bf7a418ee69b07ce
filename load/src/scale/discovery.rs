//! The list of backends that a stand-in list service has, and its changes.
use serde_json::{json, Value};
use std::net::SocketAddr;

const ZONES: usize = 4;

struct Entry {
    address: SocketAddr,
    draining: bool,
    /// The version that last changed it.
    changed: u64,
}

/// The list at one version.
pub struct Discovery {
    version: u64,
    entries: Vec<Entry>,
    /// Which entry changes next.
    next: usize,
}

impl Discovery {
    /// All serve, at version 1.
    pub fn new(addresses: &[SocketAddr]) -> Discovery {
        let entry = |address: &SocketAddr| Entry { address: *address, draining: false, changed: 1 };
        Discovery { version: 1, entries: addresses.iter().map(entry).collect(), next: 0 }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// The answer to a call that knows that version: the whole list for 0, else what has changed.
    pub fn answer(&self, since: u64) -> Value {
        let new = self.entries.iter().enumerate().filter(|(_, e)| e.changed > since);
        let endpoints: Vec<Value> = new.map(|(i, e)| written(i, e)).collect();
        json!({"index": self.version, "snapshot": since == 0, "endpoints": endpoints})
    }

    /// One backend drains; the one that did before serves again.
    pub fn change(&mut self) {
        self.version += 1;
        let count = self.entries.len();
        for (i, draining) in [(self.next, true), ((self.next + count - 1) % count, false)] {
            let entry = &mut self.entries[i];
            if entry.draining != draining {
                (entry.draining, entry.changed) = (draining, self.version);
            }
        }
        self.next = (self.next + 1) % count;
    }
}

fn written(index: usize, entry: &Entry) -> Value {
    json!({"name": format!("s{index}"), "address": entry.address, "zone": format!("z{}", index % ZONES), "type": "m",
           "group": index % 3, "status": if entry.draining { "DRAINING" } else { "SERVING" }, "weight": 1.0,
           "since_ms": 0})
}
