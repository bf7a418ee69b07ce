//! Connections to the counter, and the calls on them.
use super::timers::TimerKey;
use quillramp::types::*;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Identifies the counters whose results are delivered in the order of the calls: those of one customer and series.
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

/// A call that waits until its connection is established.
pub struct QueuedCall {
    /// The call to send.
    pub call: CounterCall,
    /// The number of the call, unique in this process.
    pub number: u64,
    /// The timeout of the call.
    pub timer: TimerKey,
}

/// Where the result of a sent call is delivered.
pub struct CallWaiter {
    /// The counter that was called.
    pub key: CounterKey,
    /// The timeout of the call.
    pub timer: TimerKey,
}

/// A call that has been written to its connection.
pub struct SentCall {
    /// The number of the call, unique in this process.
    pub number: u64,
    /// Where its result is delivered; `None` once the call has timed out.
    pub waiter: Option<CallWaiter>,
}

/// A connection to the counter.
#[derive(Default)]
pub struct CounterConnection {
    /// Whether it has been established.
    pub is_established: bool,
    /// Sent calls without a response, in the order of their responses.
    pub sent: VecDeque<SentCall>,
    /// Calls to send once it is established.
    pub queued: Vec<QueuedCall>,
    /// Whether a call on it has timed out and no response has arrived since.
    pub is_unresponsive: bool,
    /// Whether the counter's address has changed, so that it accepts no new calls.
    pub is_replaced: bool,
    /// Time of the last call on it, in seconds.
    pub last_used: f64,
}

impl CounterConnection {
    /// Returns whether new calls may be made on it.
    pub fn accepts_calls(&self) -> bool {
        !self.is_unresponsive && !self.is_replaced
    }

    /// Returns whether no call is queued or sent on it.
    pub fn is_idle(&self) -> bool {
        self.sent.is_empty() && self.queued.is_empty()
    }

    /// Returns the number of calls that are queued or sent on it.
    pub fn load(&self) -> usize {
        self.sent.len() + self.queued.len()
    }
}

/// A call whose result is not delivered yet. The result is kept until the earlier calls on the same counter have
/// theirs.
pub struct PendingCall {
    /// The number of the call, unique in this process.
    pub number: u64,
    /// The connection on which the call was made.
    pub connection: u64,
    /// Its result, once known.
    pub result: Option<CounterResult>,
}

/// The connections to the counter, and all calls whose results are not delivered yet.
#[derive(Default)]
pub struct CounterTable {
    /// The connections, by connection ID.
    pub connections: BTreeMap<u64, CounterConnection>,
    /// The calls of each customer and series, in the order in which they were made.
    pub queues: HashMap<CounterQueueKey, VecDeque<PendingCall>>,
    /// The number of the last call.
    pub last_call: u64,
}
