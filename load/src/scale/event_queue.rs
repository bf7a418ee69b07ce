//! A queue of events in order of time, for a simulated or real clock.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Events in order of their times, in seconds. Events of the same time are returned in the order of insertion.
pub struct EventQueue<T> {
    /// Current time in seconds: that of the last event taken, unless the owner moved it.
    pub now: f64,
    last_sequence: u64,
    /// Bits of the time and sequence number of each event.
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, T>,
}

impl<T> EventQueue<T> {
    /// Creates an empty queue whose current time is `now`.
    pub fn new(now: f64) -> EventQueue<T> {
        EventQueue { now, last_sequence: 0, heap: BinaryHeap::new(), events: HashMap::new() }
    }

    /// Adds an event at `at`, or at the current time if `at` is past.
    pub fn push(&mut self, at: f64, event: T) {
        self.last_sequence += 1;
        // Times are positive, so the order of their bits equals their numeric order.
        self.heap.push(Reverse((at.max(self.now).to_bits(), self.last_sequence)));
        self.events.insert(self.last_sequence, event);
    }

    /// Returns the time of the next event; `None` if the queue is empty.
    pub fn next_at(&self) -> Option<f64> {
        self.heap.peek().map(|Reverse((at, _))| f64::from_bits(*at))
    }

    /// Removes and returns the next event if it is due by `until`, and advances the current time to it.
    pub fn pop_due(&mut self, until: f64) -> Option<T> {
        let at = self.next_at().filter(|at| *at <= until)?;
        let Reverse((_, sequence)) = self.heap.pop()?;
        self.now = at;
        self.events.remove(&sequence)
    }
}
