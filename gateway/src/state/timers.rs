//! Timers of the reducer, ordered by due time.
use quillramp::types::RequestIndex;
use std::collections::BTreeMap;

/// The action that is due when a timer fires. Integers are connection IDs unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub enum TimerKind {
    /// This connection to a backend must be established.
    ConnectTimeout(u64),
    /// The attempts of this request that are still in flight time out.
    RequestTimeout(RequestIndex),
    /// The incomplete command of this client must be complete.
    PartialCommand(u64),
    /// This call on a connection to the counter must be answered.
    CounterTimeout { connection: u64, call: u64 },
    /// The request on this connection to the list service must be answered.
    WatchTimeout(u64),
    /// The list service is polled again.
    RetryWatch,
    /// Idle connections are closed.
    IdleCheck,
    /// The call on this operator's connection must have ended.
    AdminTimeout(u64),
    /// The drain starts to close clients' connections.
    BeginDrain,
    /// Requests of busy clients are rejected from now on, as the instance drains.
    RejectBusyClients,
    /// The connections of clients that keep sending commands to a drained instance end.
    EndBusyClients,
    /// The membership heartbeats that are due are sent.
    MembershipCall,
    /// All pending requests are answered, as the process will be killed soon.
    AnswerBeforeExit,
    /// The process exits, unless values are being forwarded.
    Exit,
}

/// Identifies a timer. Keys are ordered by due time, then by the order of scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// The bits of the due time in seconds. Times are positive, so the bits have the same order as the times.
    time_bits: u64,
    number: u64,
}

impl TimerKey {
    /// Returns the due time in seconds.
    fn time(self) -> f64 {
        f64::from_bits(self.time_bits)
    }
}

/// The pending timers: those that have neither fired nor been cancelled.
#[derive(Default)]
pub struct Timers {
    pending: BTreeMap<TimerKey, TimerKind>,
    last_number: u64,
}

impl Timers {
    /// Schedules a timer for `time`, in seconds; returns its key.
    pub fn schedule(&mut self, time: f64, kind: TimerKind) -> TimerKey {
        self.last_number += 1;
        let key = TimerKey { time_bits: time.to_bits(), number: self.last_number };
        self.pending.insert(key, kind);
        key
    }

    /// Cancels a timer; does nothing if it has already fired.
    pub fn cancel(&mut self, key: TimerKey) {
        self.pending.remove(&key);
    }

    /// Removes the first timer if it is due, and returns its kind.
    pub fn pop_due(&mut self, now: f64) -> Option<TimerKind> {
        let first = self.pending.first_entry().filter(|entry| entry.key().time() <= now)?;
        Some(first.remove())
    }

    /// Returns the due time of the first timer, in seconds.
    pub fn next_time(&self) -> Option<f64> {
        self.pending.keys().next().map(|key| key.time())
    }
}
