//! Groups of instances that share a count.

/// Instances of a group; each uses one decimal digit of the total, and totals are exact to seven digits.
pub(crate) const GROUP_SIZE: usize = 6;
/// Base of the digits of a total.
const DIGIT_BASE: u64 = 10;
/// Consecutive missed heartbeats after which an instance counts as absent: a single call may be lost.
const MISSED_HEARTBEATS_WHEN_ABSENT: u8 = 2;
/// Age beyond which a reading is ignored, intervals.
const MAX_READING_AGE: u64 = 3;

/// Returns the group of an instance.
pub(crate) fn group_of(instance: usize) -> usize {
    instance / GROUP_SIZE
}

/// Returns the heartbeat of an instance: the amount that it adds to the count of its group.
pub(crate) fn heartbeat_amount(instance: usize) -> f64 {
    (DIGIT_BASE as f64).powi(digit_of(instance) as i32)
}

/// Returns the digit of an instance in the total, counted from the lowest.
fn digit_of(instance: usize) -> usize {
    instance % GROUP_SIZE
}

/// Results of the readings of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    /// The last interval that was read.
    last_read: Option<u64>,
    /// Consecutive missed heartbeats of each instance.
    missed: [u8; GROUP_SIZE],
    /// The last interval in which the group is read.
    pub watched_until: u64,
}

impl Group {
    /// Creates a group without readings that is read until an interval.
    pub fn watched_until(interval: u64) -> Group {
        Group { watched_until: interval, ..Group::default() }
    }

    /// Returns whether an interval or a later one was read.
    pub fn has_read(&self, interval: u64) -> bool {
        self.last_read.is_some_and(|read| read >= interval)
    }

    /// Evaluates the total of an interval. Intervals have to be read in ascending order.
    pub fn read(&mut self, interval: u64, total: f64) {
        let is_consecutive = self.last_read.is_some_and(|read| read + 1 == interval);
        let mut digits = total.max(0.0).round() as u64;
        for missed in &mut self.missed {
            let is_present = !digits.is_multiple_of(DIGIT_BASE);
            digits /= DIGIT_BASE;
            *missed = if is_present { 0 } else { missed.saturating_add(1) };
        }
        if !is_consecutive {
            // Misses before a gap between readings are not consecutive with this one.
            self.missed.iter_mut().for_each(|missed| *missed = (*missed).min(1));
        }
        self.last_read = Some(interval);
    }

    /// Returns whether an instance's heartbeat was missing in the last reading.
    pub fn is_missing(&self, instance: usize) -> bool {
        self.missed[digit_of(instance)] > 0
    }

    /// Returns whether an instance is absent; false without a recent reading.
    pub fn is_absent(&self, interval: u64, instance: usize) -> bool {
        let is_recent = self.last_read.is_some_and(|read| read + MAX_READING_AGE >= interval);
        is_recent && self.missed[digit_of(instance)] >= MISSED_HEARTBEATS_WHEN_ABSENT
    }
}
