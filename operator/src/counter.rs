//! The section on the counter.
use crate::document::Section;
use std::ops::RangeInclusive;

/// Intervals of the membership, seconds: below, calls would take a notable part of one; above, absence would be noticed too late.
const INTERVALS: RangeInclusive<f64> = 0.5..=10.0;
/// How long a counter may let a name live, seconds: no shorter than the platform's.
const LIFETIMES: RangeInclusive<f64> = 60.0..=1e9;

/// What the file says of the counter.
#[derive(Default)]
pub(crate) struct CounterSettings {
    /// The interval of the membership, seconds.
    pub membership_interval: Option<f64>,
    /// How long the counter lets a name live, seconds.
    pub lifetime: Option<f64>,
}

pub(crate) fn read(section: Section) -> CounterSettings {
    let membership_interval = section.number("presence", INTERVALS).map(|n| n.value);
    let lifetime = section.number("longest_life", LIFETIMES).map(|n| n.value);
    section.finish();
    CounterSettings { membership_interval, lifetime }
}
