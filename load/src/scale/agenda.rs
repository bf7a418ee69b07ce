//! What is to happen when, in order of time.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Items by their times, in seconds; at one time, in the order in which they were put down.
pub struct Agenda<T> {
    /// The time of what was taken last.
    pub now: f64,
    number: u64,
    next: BinaryHeap<Reverse<(u64, u64)>>,
    items: HashMap<u64, T>,
}

impl<T> Agenda<T> {
    /// Nothing is to happen; it is that time.
    pub fn new(now: f64) -> Agenda<T> {
        Agenda { now, number: 0, next: BinaryHeap::new(), items: HashMap::new() }
    }

    /// Puts an item down for a time, or for now if that is past.
    pub fn put(&mut self, at: f64, item: T) {
        self.number += 1;
        // Times are positive, so their bits have their order.
        self.next.push(Reverse((at.max(self.now).to_bits(), self.number)));
        self.items.insert(self.number, item);
    }

    /// When the next item is due; none where there is no item.
    pub fn next_at(&self) -> Option<f64> {
        self.next.peek().map(|Reverse((at, _))| f64::from_bits(*at))
    }

    /// The next item that is due by then; it is its time now.
    pub fn take(&mut self, until: f64) -> Option<T> {
        let at = self.next_at().filter(|at| *at <= until)?;
        let Reverse((_, number)) = self.next.pop()?;
        self.now = at;
        self.items.remove(&number)
    }
}
