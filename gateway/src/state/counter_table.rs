//! Connections to the counter and the calls on them.
use super::timers::TimerKey;
use quillramp::types::*;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The counters whose calls are answered in order: those of one customer and series.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct CounterQueueKey {
    customer: CustomerIndex,
    series: u32,
}

impl From<CounterKey> for CounterQueueKey {
    fn from(key: CounterKey) -> CounterQueueKey {
        CounterQueueKey { customer: key.customer, series: key.series }
    }
}

/// A call that waits until its connection is up.
pub struct QueuedCall {
    /// What is to be sent.
    pub call: CounterCall,
    /// Its number, unique in this process.
    pub number: u64,
    /// Its timeout.
    pub timer: TimerKey,
}

/// Who waits for the response to a call.
pub struct CallWaiter {
    /// The counter that was called.
    pub key: CounterKey,
    /// The call's timeout.
    pub timer: TimerKey,
}

/// A call that has been written to its connection.
pub struct SentCall {
    /// Its number, unique in this process.
    pub number: u64,
    /// None once the call has timed out.
    pub waiter: Option<CallWaiter>,
}

/// A connection to the counter.
#[derive(Default)]
pub struct CounterConnection {
    /// It has been established.
    pub is_established: bool,
    /// In the order of their responses.
    pub sent: VecDeque<SentCall>,
    /// To be sent when it is up.
    pub queued: Vec<QueuedCall>,
    /// A call on it has timed out, and nothing has come since.
    pub is_unresponsive: bool,
    /// The counter's address has changed: nothing new is sent on it.
    pub is_replaced: bool,
    /// When the last call was made on it, in seconds.
    pub last_used: f64,
}

impl CounterConnection {
    /// Whether new calls may be made on it.
    pub fn accepts_calls(&self) -> bool {
        !self.is_unresponsive && !self.is_replaced
    }

    /// No call is on it.
    pub fn is_idle(&self) -> bool {
        self.sent.is_empty() && self.queued.is_empty()
    }

    /// How many calls are on it.
    pub fn load(&self) -> usize {
        self.sent.len() + self.queued.len()
    }
}

/// A call among those on the same counter; it keeps its result until the earlier ones have theirs.
pub struct PendingCall {
    /// Its number, unique in this process.
    pub number: u64,
    /// The connection that it was made on.
    pub connection: u64,
    /// What came of it, once that is known.
    pub result: Option<CounterResult>,
}

/// The connections to the counter, and all calls without a result.
#[derive(Default)]
pub struct CounterTable {
    /// By number.
    pub connections: BTreeMap<u64, CounterConnection>,
    /// In the order in which the calls were made.
    pub queues: HashMap<CounterQueueKey, VecDeque<PendingCall>>,
    /// The number of the last call.
    pub last_call: u64,
}
