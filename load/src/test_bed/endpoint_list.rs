//! The endpoint list that the list service serves, as a snapshot or as watch events.
use crate::sync::lock;
use quillramp_emulator::scenario::World;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum time that a watch waits for a change.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(60);

/// The status of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The endpoint takes requests.
    Serving,
    /// The endpoint takes no new requests and is about to stop.
    Draining,
    /// The endpoint has been removed.
    Deleted,
}

impl Status {
    /// The name in the list.
    fn name(self) -> &'static str {
        match self {
            Status::Serving => "SERVING",
            Status::Draining => "DRAINING",
            Status::Deleted => "DELETED",
        }
    }
}

/// An endpoint in the list.
#[derive(Clone)]
struct Entry {
    name: String,
    /// Index of the stand-in backend that listens at the address.
    backend: usize,
    address: SocketAddr,
    zone: String,
    group: usize,
    status: Status,
    /// Unix time of the start of the process, milliseconds; 0 if it started before the run.
    since_ms: u64,
    /// Index of the list at the last change of this entry.
    changed_at_index: u64,
}

impl Entry {
    fn to_json(&self) -> Value {
        json!({"name": self.name, "address": self.address, "zone": self.zone, "type": "m", "group": self.group,
               "status": self.status.name(), "weight": 1.0, "since_ms": self.since_ms})
    }
}

/// The entries, and the state of the list service.
#[derive(Default)]
struct State {
    /// Version of the list, which grows with each change.
    index: u64,
    entries: Vec<Entry>,
    /// Number of names assigned so far; each new process gets a new name.
    assigned_names: usize,
    /// Whether the list service is down.
    down: bool,
}

/// The endpoint list, which watches wait on.
pub struct EndpointList {
    state: Mutex<State>,
    changed: Condvar,
}

impl EndpointList {
    /// Creates a list in which all backends are serving.
    pub fn new(world: &World, backends: &[SocketAddr]) -> EndpointList {
        let entry = |(backend, address): (usize, &SocketAddr)| Entry {
            name: format!("s{backend}"),
            backend,
            address: *address,
            zone: format!("z{}", backend % world.zones.max(1)),
            group: backend % world.cells.max(1),
            status: Status::Serving,
            since_ms: 0,
            changed_at_index: 1,
        };
        let entries = backends.iter().enumerate().map(entry).collect();
        let state = State { index: 1, entries, assigned_names: backends.len(), down: false };
        EndpointList { state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Returns a snapshot of the list, or `None` while the list service is down.
    pub fn snapshot(&self) -> Option<Value> {
        let state = lock(&self.state);
        let live = state.entries.iter().filter(|e| e.status != Status::Deleted);
        let endpoints: Vec<Value> = live.map(Entry::to_json).collect();
        (!state.down).then(|| json!({"index": state.index, "snapshot": true, "endpoints": endpoints}))
    }

    /// Waits for changes after an index and returns the changed entries; the list is empty if the wait is over before a change. Returns
    /// `None` while the list service is down.
    pub fn watch(&self, since: u64, wait: Duration) -> Option<Value> {
        let deadline = Instant::now() + wait.min(MAX_WATCH_DURATION);
        let mut state = lock(&self.state);
        loop {
            if state.down {
                return None;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if state.index > since || remaining.is_zero() {
                let changed = state.entries.iter().filter(|e| e.changed_at_index > since);
                let endpoints: Vec<Value> = changed.map(Entry::to_json).collect();
                return Some(json!({"index": state.index, "snapshot": false, "endpoints": endpoints}));
            }
            state = self.changed.wait_timeout(state, remaining).unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    /// Stops or starts the list service.
    pub fn set_down(&self, down: bool) {
        self.update(|state| state.down = down);
    }

    /// Applies a change under the next index, and wakes the watches.
    fn update(&self, change: impl FnOnce(&mut State)) {
        let mut state = lock(&self.state);
        state.index += 1;
        change(&mut state);
        drop(state);
        self.changed.notify_all();
    }

    /// Sets the status of a backend's endpoint; `restarted` also sets its start time to now.
    pub fn set_status(&self, backend: usize, status: Status, restarted: bool) {
        let since_ms = unix_ms();
        self.update(|state| {
            let index = state.index;
            let Some(entry) = state.live_entry(backend) else { return };
            entry.status = status;
            entry.changed_at_index = index;
            if restarted {
                entry.since_ms = since_ms;
            }
        });
    }

    /// Deletes a backend's endpoint and adds one with a new name at the same address, as for a new process.
    pub fn replace(&self, backend: usize, status: Status) {
        let since_ms = unix_ms();
        self.update(|state| {
            let index = state.index;
            let name = format!("s{}", state.assigned_names);
            let Some(old) = state.live_entry(backend) else { return };
            old.status = Status::Deleted;
            old.changed_at_index = index;
            let new = Entry { name, status, since_ms, ..old.clone() };
            state.assigned_names += 1;
            state.entries.push(new);
        });
    }
}

impl State {
    /// Returns the entry of a backend that has not been deleted.
    fn live_entry(&mut self, backend: usize) -> Option<&mut Entry> {
        self.entries.iter_mut().find(|e| e.backend == backend && e.status != Status::Deleted)
    }
}

/// Returns the current Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
