//! The event queue of the virtual clock. Events are ordered by time, and events at the same time by the order of their scheduling.
use std::collections::BTreeMap;

/// Position of an event in the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    /// Bit pattern of the time in seconds. The bit patterns of non-negative floats sort like the floats.
    at_bits: u64,
    /// Number of the event in the order of scheduling.
    sequence: u64,
}

/// A queue of events that have not happened yet.
pub struct EventQueue<T> {
    events: BTreeMap<EventKey, T>,
    /// Number of events scheduled so far.
    scheduled: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { events: BTreeMap::new(), scheduled: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event at a time in seconds. A negative time is treated as 0.
    pub fn schedule(&mut self, at: f64, event: T) {
        self.scheduled += 1;
        let key = EventKey { at_bits: at.max(0.0).to_bits(), sequence: self.scheduled };
        self.events.insert(key, event);
    }

    /// Removes and returns the next event and its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, T)> {
        self.events.pop_first().map(|(key, event)| (f64::from_bits(key.at_bits), event))
    }
}
