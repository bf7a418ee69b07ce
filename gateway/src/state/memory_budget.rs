//! The memory that the buffers of all connections may take together, derived from the memory of the process. It does no
//! I/O.
//!
//! Each connection has a share that it always gets; the rest goes to whoever needs it first. So a client that fills
//! the memory is limited before it limits others.
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Memory of a process without connections, in bytes: its code, the endpoint list and the policy engine's state.
const PROCESS_BYTES: usize = 8 * 1024 * 1024;
/// Memory of a connection without buffers, in bytes: mainly the used part of its coroutine's stack.
const CONNECTION_BYTES: usize = 16 * 1024;
/// The parts of the process's memory that are used at most, and that buffers get at least. The rest covers what the
/// allocator can't return.
const USABLE_FRACTION: Fraction = Fraction { numerator: 3, denominator: 4 };
const MIN_BUFFER_FRACTION: Fraction = Fraction { numerator: 1, denominator: 4 };
/// The part of the buffers' memory that goes to whoever needs it first.
const COMMON_FRACTION: Fraction = Fraction { numerator: 1, denominator: 4 };
/// The part of the buffers' memory that is divided into the connections' own shares.
const SHARED_OUT_FRACTION: Fraction = Fraction { numerator: 1, denominator: 2 };
/// Minimum share of a connection, in bytes: some usual commands.
const MIN_SHARE_BYTES: usize = 4 * 1024;

struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    fn of(&self, amount: usize) -> usize {
        amount / self.denominator * self.numerator
    }
}

/// What a connection's memory is used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemoryUse {
    /// Input that is not decoded yet.
    Input,
    /// Commands that have no reply yet.
    Commands,
    /// Output that is not written to the socket yet.
    Output,
}

/// Number of kinds of use.
const USES: usize = 3;

/// The budget of all connections.
pub struct MemoryBudget {
    process_bytes: usize,
    /// Number of open connections.
    connections: AtomicUsize,
    /// Number of open connections with a share: those of clients.
    shares: AtomicUsize,
    /// Bytes in use by connections, by kind.
    used: [AtomicUsize; USES],
    /// Bytes of values that wait for earlier replies to their clients.
    waiting_values: AtomicUsize,
}

impl MemoryBudget {
    /// Returns the budget of a process with this much memory.
    pub fn new(process_bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            process_bytes,
            connections: AtomicUsize::new(0),
            shares: AtomicUsize::new(0),
            used: Default::default(),
            waiting_values: AtomicUsize::new(0),
        })
    }

    /// Returns how many bytes all buffers may take together.
    pub fn max_bytes(&self) -> usize {
        let others = PROCESS_BYTES + CONNECTION_BYTES * self.connections.load(Ordering::Relaxed);
        let rest = USABLE_FRACTION.of(self.process_bytes).saturating_sub(others);
        rest.max(MIN_BUFFER_FRACTION.of(self.process_bytes))
    }

    /// Returns the bytes that are in use.
    pub fn used_bytes(&self) -> usize {
        let used_by_connections: usize = self.used.iter().map(|bytes| bytes.load(Ordering::Relaxed)).sum();
        used_by_connections + self.waiting_values.load(Ordering::Relaxed)
    }

    /// Records how many bytes the values take that wait for earlier replies to their clients.
    pub fn set_waiting_values(&self, bytes: usize) {
        self.waiting_values.store(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes that are in use for this purpose.
    pub fn used_for(&self, memory_use: MemoryUse) -> usize {
        self.used[memory_use as usize].load(Ordering::Relaxed)
    }

    /// Whether a connection that holds `held` bytes may hold this many more: they fit its share, or memory that no
    /// connection needs yet.
    pub fn allows(&self, held: usize, more: usize) -> bool {
        held + more <= self.share_bytes() || self.used_bytes() + more <= COMMON_FRACTION.of(self.max_bytes())
    }

    /// Whether the limit leaves this many bytes.
    pub fn fits(&self, more: usize) -> bool {
        self.used_bytes() + more <= self.max_bytes()
    }

    /// Returns the bytes that each connection may hold, however much others hold.
    fn share_bytes(&self) -> usize {
        let shares = self.shares.load(Ordering::Relaxed).max(1);
        (SHARED_OUT_FRACTION.of(self.max_bytes()) / shares).max(MIN_SHARE_BYTES)
    }
}

/// The memory that one connection holds; returned to the budget when it is dropped.
pub struct HeldMemory {
    budget: Arc<MemoryBudget>,
    has_share: bool,
    bytes: [AtomicUsize; USES],
}

impl HeldMemory {
    /// Registers a connection that holds nothing yet. `has_share`: whether it is a client's, which gets a share.
    pub fn new(budget: Arc<MemoryBudget>, has_share: bool) -> HeldMemory {
        budget.connections.fetch_add(1, Ordering::Relaxed);
        budget.shares.fetch_add(usize::from(has_share), Ordering::Relaxed);
        HeldMemory { budget, has_share, bytes: Default::default() }
    }

    /// Records that the connection holds this many bytes for this purpose.
    pub fn set(&self, memory_use: MemoryUse, bytes: usize) {
        let previous = self.bytes[memory_use as usize].swap(bytes, Ordering::Relaxed);
        let used = &self.budget.used[memory_use as usize];
        used.fetch_add(bytes, Ordering::Relaxed);
        used.fetch_sub(previous, Ordering::Relaxed);
    }

    /// Returns the bytes that the connection holds.
    pub fn total(&self) -> usize {
        self.bytes.iter().map(|bytes| bytes.load(Ordering::Relaxed)).sum()
    }

    /// Whether the connection may hold what it holds.
    pub fn is_allowed(&self) -> bool {
        self.allows(0)
    }

    /// Whether the connection may hold this many bytes more.
    pub fn allows(&self, more: usize) -> bool {
        self.budget.allows(self.total(), more)
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        for memory_use in [MemoryUse::Input, MemoryUse::Commands, MemoryUse::Output] {
            self.set(memory_use, 0);
        }
        self.budget.shares.fetch_sub(usize::from(self.has_share), Ordering::Relaxed);
        self.budget.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
