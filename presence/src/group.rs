//! A group of instances that share a count.

/// Instances of a group: each has a decimal digit of the total, which is exact to seven digits.
pub(crate) const GROUP_SIZE: usize = 6;
const BASE: u64 = 10;
/// In so many consecutive intervals a heartbeat has to be missing before its instance is taken for absent: one call may be lost.
const MISSED_WHEN_ABSENT: u8 = 2;
/// A reading says nothing after so many intervals.
const MAX_READING_AGE: u64 = 3;

/// The group that an instance is in.
pub(crate) fn group_of(instance: usize) -> usize {
    instance / GROUP_SIZE
}

/// What an instance adds to the count of its group as a heartbeat.
pub(crate) fn heartbeat_amount(instance: usize) -> f64 {
    (BASE as f64).powi(digit_of(instance) as i32)
}

fn digit_of(instance: usize) -> usize {
    instance % GROUP_SIZE
}

/// What is known of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    /// The last interval that was read.
    last_read: Option<u64>,
    /// In how many consecutive intervals each instance's heartbeat was missing.
    missed: [u8; GROUP_SIZE],
    /// The group is read until this interval.
    pub wanted_until: u64,
}

impl Group {
    pub fn wanted_until(interval: u64) -> Group {
        Group { wanted_until: interval, ..Group::default() }
    }

    pub fn has_read(&self, interval: u64) -> bool {
        self.last_read.is_some_and(|read| read >= interval)
    }

    /// Takes in the total of an interval.
    pub fn read(&mut self, interval: u64, total: f64) {
        let is_consecutive = self.last_read.is_some_and(|read| read + 1 == interval);
        let mut digits = total.max(0.0).round() as u64;
        for missed in &mut self.missed {
            let is_present = !digits.is_multiple_of(BASE);
            digits /= BASE;
            *missed = if is_present { 0 } else { missed.saturating_add(1) };
        }
        if !is_consecutive {
            // What was missed before a gap says nothing.
            self.missed.iter_mut().for_each(|missed| *missed = (*missed).min(1));
        }
        self.last_read = Some(interval);
    }

    /// Whether an instance's heartbeat was missing from the last reading.
    pub fn is_missing(&self, instance: usize) -> bool {
        self.missed[digit_of(instance)] > 0
    }

    /// Whether an instance is absent, as far as a reading is recent enough to tell.
    pub fn is_absent(&self, interval: u64, instance: usize) -> bool {
        let is_recent = self.last_read.is_some_and(|read| read + MAX_READING_AGE >= interval);
        is_recent && self.missed[digit_of(instance)] >= MISSED_WHEN_ABSENT
    }
}
