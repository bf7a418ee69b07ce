//! The reducer's timers, in the order in which they are due.
use quillramp::types::RequestIndex;
use std::collections::BTreeMap;

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub enum TimerKind {
    /// This connection to a backend must be up.
    ConnectTimeout(u64),
    /// The attempts of this request that are still in flight have timed out.
    RequestTimeout(RequestIndex),
    /// The client's timeout of this streamed request has passed: the stream ends if it does not move.
    StreamStalled(RequestIndex),
    /// The command that this client has begun must be complete.
    PartialCommand(u64),
    /// This call on a connection to the counter must be answered.
    CounterTimeout { connection: u64, call: u64 },
    /// The watch on this connection to the discovery service must be answered.
    WatchTimeout(u64),
    /// The discovery service is polled again.
    RetryWatch,
    /// Idle connections are looked for.
    IdleCheck,
    /// The call on this connection of an operator must be over.
    AdminTimeout(u64),
    /// Clients' connections start to be closed.
    BeginDrain,
    /// Clients that keep sending commands to a draining instance are read no more.
    StopReading,
    /// The membership counters that are due are called.
    MembershipCall,
    /// Everything is answered, as the process is killed soon.
    AnswerBeforeExit,
    /// The process exits, whatever is left.
    Exit,
}

/// Identifies a timer. Keys are ordered by time, those of the same time by when they were scheduled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// The bits of its time in seconds. Times are positive, so the bits have their order.
    time_bits: u64,
    number: u64,
}

impl TimerKey {
    /// When it is due, in seconds.
    fn time(self) -> f64 {
        f64::from_bits(self.time_bits)
    }
}

/// All timers that have not fired and are not cancelled.
#[derive(Default)]
pub struct Timers {
    pending: BTreeMap<TimerKey, TimerKind>,
    last_number: u64,
}

impl Timers {
    /// Sets a timer for a time in seconds.
    pub fn schedule(&mut self, time: f64, kind: TimerKind) -> TimerKey {
        self.last_number += 1;
        let key = TimerKey { time_bits: time.to_bits(), number: self.last_number };
        self.pending.insert(key, kind);
        key
    }

    /// Drops a timer; nothing happens if it has fired already.
    pub fn cancel(&mut self, key: TimerKey) {
        self.pending.remove(&key);
    }

    /// Removes the first timer, if it is due.
    pub fn pop_due(&mut self, now: f64) -> Option<TimerKind> {
        let first = self.pending.first_entry().filter(|entry| entry.key().time() <= now)?;
        Some(first.remove())
    }

    /// When the first timer is due, in seconds.
    pub fn next_time(&self) -> Option<f64> {
        self.pending.keys().next().map(|key| key.time())
    }
}
