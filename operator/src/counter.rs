//! The section `[counter]`.
use crate::document::Section;
use std::ops::RangeInclusive;

/// Accepted membership intervals, seconds: shorter intervals spend a notable fraction on calls, longer ones detect an absent
/// instance too late.
const INTERVALS: RangeInclusive<f64> = 0.5..=10.0;
/// Accepted maximum lifetimes of a name on the counter, seconds: at least that of the platform's counter.
const LIFETIMES: RangeInclusive<f64> = 60.0..=1e9;

/// Settings of the counter.
#[derive(Default)]
pub(crate) struct CounterSettings {
    /// Heartbeat interval of the membership, seconds; `None` without membership.
    pub membership_interval: Option<f64>,
    /// Maximum lifetime of a name on the counter, seconds; `None` for that of the platform's counter.
    pub lifetime: Option<f64>,
}

/// Reads the settings and reports errors to the section's document.
pub(crate) fn read(section: Section) -> CounterSettings {
    let membership_interval = section.number("presence", INTERVALS).map(|interval| interval.value);
    let lifetime = section.number("longest_life", LIFETIMES).map(|lifetime| lifetime.value);
    section.finish();
    CounterSettings { membership_interval, lifetime }
}
