//! The instances that the counter hears of, as one instance sees them.
use crate::group::{group_of, heartbeat_amount, Group, GROUP_SIZE};
use crate::{Count, CounterCall};
use std::collections::{BTreeMap, BTreeSet};

/// The shortest interval, seconds: below it calls would take a notable part of an interval.
const MIN_INTERVAL: f64 = 0.5;
/// The part of an interval over which the instances spread their calls.
const SPREAD: f64 = 0.6;
/// A group is read for so many intervals after somebody asked about it.
const WANTED_INTERVALS: u64 = 30;
/// A count lives for so many intervals: it is read in the one after its own.
const LIFETIME_INTERVALS: f64 = 4.0;

/// What one instance knows of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Number of all instances.
    instances: usize,
    /// This instance.
    own: usize,
    /// Length of an interval, seconds.
    interval: f64,
    /// Where in an interval this instance's calls lie, from 0 to 1.
    phase: f64,
    /// The last interval with a heartbeat of this instance.
    last_heartbeat: Option<u64>,
    /// The last interval in which it read the groups.
    last_reading: Option<u64>,
    groups: BTreeMap<usize, Group>,
    /// Readings in which this instance's own heartbeat was missing although the counter had taken it.
    pub lost_heartbeats: u64,
    /// The first of the consecutive intervals in which the counter took this instance's heartbeat.
    taken_since: Option<u64>,
}

impl Membership {
    /// For instance `own` of `instances`, and intervals of so many seconds (0.5 at least).
    pub fn new(instances: usize, own: usize, interval: f64) -> Membership {
        let instances = instances.max(1);
        Membership {
            instances,
            own,
            interval: interval.max(MIN_INTERVAL),
            phase: SPREAD * own as f64 / instances as f64,
            last_heartbeat: None,
            last_reading: None,
            groups: BTreeMap::from([(group_of(own), Group::wanted_until(u64::MAX))]),
            lost_heartbeats: 0,
            taken_since: None,
        }
    }

    /// Somebody shares units between `number` instances from `first` on, counted round: their groups are read for a while.
    pub fn watch(&mut self, now: f64, first: usize, number: usize) {
        let until = self.interval_at(now) + WANTED_INTERVALS;
        for instance in self.instances_from(first, number.min(self.instances)) {
            let group = self.groups.entry(group_of(instance)).or_default();
            group.wanted_until = group.wanted_until.max(until);
        }
    }

    /// A call was answered with a total, or not with one.
    pub fn call_answered(&mut self, now: f64, count: Count, total: Option<f64>) {
        let current = self.interval_at(now);
        let interval = whole_interval(count.interval, current);
        let is_heartbeat = Some(interval) == self.last_heartbeat;
        let Some(total) = total else {
            if is_heartbeat && count.group == group_of(self.own) {
                self.taken_since = None;
            }
            return;
        };
        if is_heartbeat && interval == current {
            self.taken_since = self.taken_since.or(Some(interval));
        }
        // Only the interval before the current one is complete and recent.
        if interval + 1 == current {
            self.read(count.group, interval, total);
        }
    }

    /// The calls that are due now.
    pub fn due_calls(&mut self, now: f64) -> Vec<CounterCall> {
        let interval = self.interval_at(now);
        if now < self.calls_at(interval) {
            return vec![];
        }
        let mut calls = vec![];
        if self.last_heartbeat != Some(interval) {
            calls.push(self.heartbeat(interval));
        }
        if self.last_reading != Some(interval) {
            self.last_reading = Some(interval);
            calls.extend(self.readings(interval));
        }
        calls
    }

    /// When the next call is due, seconds on the clock of `now`.
    pub fn next_call(&self, now: f64) -> f64 {
        let interval = self.interval_at(now);
        let here = self.calls_at(interval);
        if now < here {
            here
        } else {
            self.calls_at(interval + 1)
        }
    }

    /// Whether the counter does not hear of an instance. Without a recent reading none is taken for absent.
    pub fn is_absent(&self, now: f64, instance: usize) -> bool {
        let group = self.groups.get(&group_of(instance));
        instance != self.own && group.is_some_and(|group| group.is_absent(self.interval_at(now), instance))
    }

    /// The part, from 0 to 1, of `number` instances from `first` on that the counter hears of; this one is taken for heard of.
    pub fn present_fraction(&self, now: f64, first: usize, number: usize) -> f64 {
        let number = number.clamp(1, self.instances);
        let present = self.instances_from(first, number).filter(|instance| !self.is_absent(now, *instance));
        present.count().max(1) as f64 / number as f64
    }

    /// The absent instances of the groups that are read.
    pub fn absent(&self, now: f64) -> BTreeSet<usize> {
        let members = |group: &usize| group * GROUP_SIZE..((group + 1) * GROUP_SIZE).min(self.instances);
        let all = self.groups.keys().flat_map(members);
        all.filter(|instance| self.is_absent(now, *instance)).collect()
    }

    fn heartbeat(&mut self, interval: u64) -> CounterCall {
        let is_consecutive = self.last_heartbeat.is_some_and(|last| last + 1 == interval);
        self.taken_since = self.taken_since.filter(|_| is_consecutive);
        self.last_heartbeat = Some(interval);
        self.call(group_of(self.own), interval, heartbeat_amount(self.own))
    }

    fn readings(&mut self, interval: u64) -> Vec<CounterCall> {
        self.groups.retain(|_, group| group.wanted_until >= interval);
        self.groups.keys().map(|group| self.call(*group, interval - 1, 0.0)).collect()
    }

    fn call(&self, group: usize, interval: u64, amount: f64) -> CounterCall {
        let count = Count { group, interval: interval as u32 };
        CounterCall { count, amount, lifetime: LIFETIME_INTERVALS * self.interval }
    }

    fn read(&mut self, number: usize, interval: u64, total: f64) {
        let Some(group) = self.groups.get_mut(&number) else { return };
        if group.has_read(interval) {
            return;
        }
        group.read(interval, total);
        let was_taken = self.taken_since.is_some_and(|since| since <= interval);
        if number == group_of(self.own) && was_taken && group.is_missing(self.own) {
            self.lost_heartbeats += 1;
            self.taken_since = None;
        }
    }

    fn interval_at(&self, now: f64) -> u64 {
        (now / self.interval) as u64
    }

    fn calls_at(&self, interval: u64) -> f64 {
        (interval as f64 + self.phase) * self.interval
    }

    fn instances_from(&self, first: usize, number: usize) -> impl Iterator<Item = usize> {
        let instances = self.instances;
        (first..first + number).map(move |instance| instance % instances)
    }
}

/// The number of an interval that is not after the current one, from its lower 32 bits.
fn whole_interval(lower: u32, current: u64) -> u64 {
    let age = (current as u32).wrapping_sub(lower);
    current.saturating_sub(u64::from(age))
}
