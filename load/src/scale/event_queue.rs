//! Events of a simulated or real clock, in order of time.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Events by their times, in seconds; at one time, in the order in which they were added.
pub struct EventQueue<T> {
    /// The time of the event that was taken last.
    pub now: f64,
    last_sequence: u64,
    /// Time, as its bits, and number of each event.
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, T>,
}

impl<T> EventQueue<T> {
    /// A queue without events at a time.
    pub fn new(now: f64) -> EventQueue<T> {
        EventQueue { now, last_sequence: 0, heap: BinaryHeap::new(), events: HashMap::new() }
    }

    /// Adds an event at a time, or now if that is past.
    pub fn push(&mut self, at: f64, event: T) {
        self.last_sequence += 1;
        // Times are positive, so their bits have their order.
        self.heap.push(Reverse((at.max(self.now).to_bits(), self.last_sequence)));
        self.events.insert(self.last_sequence, event);
    }

    /// When the next event is due; none where there is no event.
    pub fn next_at(&self) -> Option<f64> {
        self.heap.peek().map(|Reverse((at, _))| f64::from_bits(*at))
    }

    /// Takes the next event that is due by then; it is its time now.
    pub fn pop_due(&mut self, until: f64) -> Option<T> {
        let at = self.next_at().filter(|at| *at <= until)?;
        let Reverse((_, sequence)) = self.heap.pop()?;
        self.now = at;
        self.events.remove(&sequence)
    }
}
