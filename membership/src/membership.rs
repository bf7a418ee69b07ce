//! The membership from the view of one instance.
use crate::group::{group_of, heartbeat_amount, Group, GROUP_SIZE};
use crate::{Count, CounterCall};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval, seconds: in a shorter interval the calls would take a notable fraction of the time.
const MIN_INTERVAL: f64 = 0.5;
/// Fraction of an interval over which the calls of all instances are spread.
const SPREAD: f64 = 0.6;
/// Number of intervals for which a group is read after it was last watched.
const WATCH_INTERVALS: u64 = 30;
/// Lifetime of a count, in intervals: a count is read in the interval after its own.
const LIFETIME_INTERVALS: f64 = 4.0;

/// One instance's view of the other instances.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Number of all instances.
    instances: usize,
    /// Index of this instance.
    local: usize,
    /// Length of an interval, seconds.
    interval: f64,
    /// Position of this instance's calls within an interval, from 0 to 1.
    phase: f64,
    /// The last interval in which this instance sent a heartbeat.
    last_heartbeat: Option<u64>,
    /// The last interval in which this instance read the groups.
    last_reading: Option<u64>,
    /// The groups that are read, by index.
    groups: BTreeMap<usize, Group>,
    /// Number of readings that lacked this instance's heartbeat although the counter had accepted it: the counter lost data.
    pub lost_heartbeats: u64,
    /// The first of the latest consecutive intervals in which the counter accepted this instance's heartbeat.
    accepted_since: Option<u64>,
}

impl Membership {
    /// Creates the view of instance `local` of `instances`; `interval` is in seconds, at least 0.5.
    pub fn new(instances: usize, local: usize, interval: f64) -> Membership {
        let instances = instances.max(1);
        Membership {
            instances,
            local,
            interval: interval.max(MIN_INTERVAL),
            phase: SPREAD * local as f64 / instances as f64,
            last_heartbeat: None,
            last_reading: None,
            groups: BTreeMap::from([(group_of(local), Group::watched_until(u64::MAX))]),
            lost_heartbeats: 0,
            accepted_since: None,
        }
    }

    /// Watches `number` consecutive instances from `first` on, wrapping around: their groups are read for the next 30 intervals.
    pub fn watch(&mut self, now: f64, first: usize, number: usize) {
        let until = self.interval_at(now) + WATCH_INTERVALS;
        for instance in self.instances_from(first, number.min(self.instances)) {
            let group = self.groups.entry(group_of(instance)).or_default();
            group.watched_until = group.watched_until.max(until);
        }
    }

    /// Handles the total that a call returned; `None` if the call failed.
    pub fn call_answered(&mut self, now: f64, count: Count, total: Option<f64>) {
        let current = self.interval_at(now);
        let interval = full_interval_index(count.interval, current);
        let is_heartbeat = Some(interval) == self.last_heartbeat;
        let Some(total) = total else {
            if is_heartbeat && count.group == group_of(self.local) {
                self.accepted_since = None;
            }
            return;
        };
        if is_heartbeat && interval == current {
            self.accepted_since = self.accepted_since.or(Some(interval));
        }
        // Only the previous interval is both complete and recent.
        if interval + 1 == current {
            self.read(count.group, interval, total);
        }
    }

    /// Returns the calls that are due, each call once.
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

    /// Returns the time at which the next call is due, seconds on the clock of `now`.
    pub fn next_call(&self, now: f64) -> f64 {
        let interval = self.interval_at(now);
        let in_this_interval = self.calls_at(interval);
        if now < in_this_interval {
            in_this_interval
        } else {
            self.calls_at(interval + 1)
        }
    }

    /// Returns whether an instance is absent from the counter. Without a recent reading no instance counts as absent.
    pub fn is_absent(&self, now: f64, instance: usize) -> bool {
        let group = self.groups.get(&group_of(instance));
        instance != self.local && group.is_some_and(|group| group.is_absent(self.interval_at(now), instance))
    }

    /// Returns the fraction, from 0 to 1, of `number` consecutive instances from `first` on that are present; this instance counts
    /// as present.
    pub fn present_fraction(&self, now: f64, first: usize, number: usize) -> f64 {
        let number = number.clamp(1, self.instances);
        let present = self.instances_from(first, number).filter(|instance| !self.is_absent(now, *instance));
        present.count().max(1) as f64 / number as f64
    }

    /// Returns the absent instances among the groups that are read.
    pub fn absent(&self, now: f64) -> BTreeSet<usize> {
        let members = |group: &usize| group * GROUP_SIZE..((group + 1) * GROUP_SIZE).min(self.instances);
        let all = self.groups.keys().flat_map(members);
        all.filter(|instance| self.is_absent(now, *instance)).collect()
    }

    fn heartbeat(&mut self, interval: u64) -> CounterCall {
        let is_consecutive = self.last_heartbeat.is_some_and(|last| last + 1 == interval);
        self.accepted_since = self.accepted_since.filter(|_| is_consecutive);
        self.last_heartbeat = Some(interval);
        self.call(group_of(self.local), interval, heartbeat_amount(self.local))
    }

    /// Returns the calls that read the previous interval of each group that is still watched.
    fn readings(&mut self, interval: u64) -> Vec<CounterCall> {
        self.groups.retain(|_, group| group.watched_until >= interval);
        self.groups.keys().map(|group| self.call(*group, interval - 1, 0.0)).collect()
    }

    fn call(&self, group: usize, interval: u64, amount: f64) -> CounterCall {
        let count = Count { group, interval: interval as u32 };
        CounterCall { count, amount, lifetime: LIFETIME_INTERVALS * self.interval }
    }

    fn read(&mut self, group_index: usize, interval: u64, total: f64) {
        let Some(group) = self.groups.get_mut(&group_index) else { return };
        if group.has_read(interval) {
            return;
        }
        group.read(interval, total);
        let was_accepted = self.accepted_since.is_some_and(|since| since <= interval);
        if group_index == group_of(self.local) && was_accepted && group.is_missing(self.local) {
            self.lost_heartbeats += 1;
            self.accepted_since = None;
        }
    }

    /// Returns the index of the interval at a time.
    fn interval_at(&self, now: f64) -> u64 {
        (now / self.interval) as u64
    }

    /// Returns the time of this instance's calls in an interval, seconds.
    fn calls_at(&self, interval: u64) -> f64 {
        (interval as f64 + self.phase) * self.interval
    }

    fn instances_from(&self, first: usize, number: usize) -> impl Iterator<Item = usize> {
        let instances = self.instances;
        (first..first + number).map(move |instance| instance % instances)
    }
}

/// Returns the index of an interval from its low 32 bits; the interval is not after the current one.
fn full_interval_index(lower: u32, current: u64) -> u64 {
    let age = (current as u32).wrapping_sub(lower);
    current.saturating_sub(u64::from(age))
}
