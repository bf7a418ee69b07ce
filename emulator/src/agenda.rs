//! The virtual clock: what is to happen, in the order of its time, then of when it was put down.
use std::collections::BTreeMap;

pub struct Agenda<T> {
    items: BTreeMap<(u64, u64), T>,
    put: u64,
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Agenda { items: BTreeMap::new(), put: 0 }
    }
}

impl<T> Agenda<T> {
    /// At that time, in seconds, not negative.
    pub fn put(&mut self, at: f64, item: T) {
        self.put += 1;
        self.items.insert((at.max(0.0).to_bits(), self.put), item);
    }

    pub fn next(&mut self) -> Option<(f64, T)> {
        self.items.pop_first().map(|((at, _), item)| (f64::from_bits(at), item))
    }
}
