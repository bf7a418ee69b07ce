//! The virtual clock's queue: events in the order of their times, and those of one time in the order in which they were scheduled.
use std::collections::BTreeMap;

/// When an event happens.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    /// Bits of the time: those of non-negative numbers sort as the numbers do.
    at_bits: u64,
    sequence: u64,
}

/// The events that have not happened yet.
pub struct EventQueue<T> {
    events: BTreeMap<EventKey, T>,
    scheduled: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { events: BTreeMap::new(), scheduled: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event at that time, in seconds; a negative time counts as 0.
    pub fn schedule(&mut self, at: f64, event: T) {
        self.scheduled += 1;
        let key = EventKey { at_bits: at.max(0.0).to_bits(), sequence: self.scheduled };
        self.events.insert(key, event);
    }

    /// Takes the next event, with its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, T)> {
        self.events.pop_first().map(|(key, event)| (f64::from_bits(key.at_bits), event))
    }
}
