//! Which front doors the counter hears of. A counter that is split, or that some front doors can't reach, looks to each of them like one
//! that is well; only who is missing from it tells. So each front door adds itself to a count of its own kind once in each span, and reads
//! what the last span's stood at. Six front doors share a count: one digit each, as totals are exact to seven.
//!
//! No I/O and no clock: the caller asks what is due, makes the calls, and tells what came of them.
use std::collections::{BTreeMap, BTreeSet};

/// Front doors on one count.
const GROUP: usize = 6;
/// So many spans on end a front door must be missing from, before it is taken for absent: one call may be lost.
const MISSED: u8 = 2;
/// The part of a span over which front doors spread what they ask.
const SPREAD: f64 = 0.6;
/// A group is looked at for so many spans after somebody asked about it.
const WANTED: u64 = 30;
/// A count lives for so many spans.
const LIVES: f64 = 4.0;

/// A call that is due: a count's group and span, what to add, and how long a new one lives, seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    pub group: usize,
    pub span: u32,
    pub add: f64,
    pub lives: f64,
}

/// What is known of one group.
#[derive(Clone, Debug, Default)]
struct Group {
    /// The last span that was read, and how many spans on end each of its front doors was missing from by then.
    read: Option<u64>,
    missed: [u8; GROUP],
    wanted: u64,
}

#[derive(Clone, Debug)]
pub struct Roster {
    doors: usize,
    own: usize,
    every: f64,
    /// Where in a span this front door's calls lie.
    phase: f64,
    /// The last span in which it added itself; and asked for the others.
    added: Option<u64>,
    asked: Option<u64>,
    groups: BTreeMap<usize, Group>,
    /// The counter has answered a reading that this front door's own sign must have been in, and was not.
    pub lost: u64,
    /// The first span in which its own sign was taken, on end since then.
    since: Option<u64>,
}

impl Roster {
    /// For one of so many front doors, and spans of `every` seconds (0.5 at least).
    pub fn new(doors: usize, own: usize, every: f64) -> Roster {
        let (doors, every) = (doors.max(1), every.max(0.5));
        let phase = SPREAD * own as f64 / doors as f64;
        let groups = BTreeMap::from([(own / GROUP, Group { wanted: u64::MAX, ..Group::default() })]);
        Roster { doors, own, every, phase, added: None, asked: None, groups, lost: 0, since: None }
    }

    fn span(&self, now: f64) -> u64 {
        (now / self.every) as u64
    }

    // ======== facts

    /// Somebody's units are shared by these front doors: so many from the first, counted round.
    pub fn wants(&mut self, now: f64, first: usize, number: usize) {
        let until = self.span(now) + WANTED;
        for door in (first..first + number.min(self.doors)).map(|d| d % self.doors) {
            let group = self.groups.entry(door / GROUP).or_default();
            group.wanted = group.wanted.max(until);
        }
    }

    /// What came of a call: the total, or nothing that can be read.
    pub fn told(&mut self, now: f64, call: (usize, u32), total: Option<f64>) {
        let ((number, span), current) = (call, self.span(now));
        // Spans come as the lower bits of what they are.
        let span = current.saturating_sub(u64::from((current as u32).wrapping_sub(span)));
        let Some(total) = total else {
            if number == self.own / GROUP && Some(span) == self.added {
                self.since = None;
            }
            return;
        };
        if Some(span) == self.added && span == current {
            self.since = self.since.or(Some(span));
        }
        let Some(group) = self.groups.get_mut(&number) else { return };
        if span + 1 != current || group.read.is_some_and(|read| read >= span) {
            return; // the answer to adding itself, or too late to say something
        }
        let on_end = group.read.is_some_and(|read| read + 1 == span);
        let mut rest = total.max(0.0).round() as u64;
        for missed in &mut group.missed {
            let there = !rest.is_multiple_of(10);
            rest /= 10;
            *missed = if there { 0 } else { missed.saturating_add(1) };
        }
        if !on_end {
            // What was missed before a gap says nothing.
            group.missed.iter_mut().for_each(|m| *m = (*m).min(1));
        }
        group.read = Some(span);
        let own = number == self.own / GROUP && self.since.is_some_and(|since| since <= span);
        if own && group.missed[self.own % GROUP] > 0 {
            self.lost += 1;
            self.since = None;
        }
    }

    // ======== questions

    /// The calls that are due now.
    pub fn due(&mut self, now: f64) -> Vec<Call> {
        let span = self.span(now);
        if now < (span as f64 + self.phase) * self.every {
            return vec![];
        }
        let mut calls = vec![];
        let lives = LIVES * self.every;
        if self.added != Some(span) {
            self.since = self.since.filter(|_| self.added.is_some_and(|added| added + 1 == span));
            self.added = Some(span);
            let add = 10f64.powi((self.own % GROUP) as i32);
            calls.push(Call { group: self.own / GROUP, span: span as u32, add, lives });
        }
        if self.asked != Some(span) {
            self.asked = Some(span);
            self.groups.retain(|_, g| g.wanted >= span);
            let last = (span - 1) as u32;
            calls.extend(self.groups.keys().map(|group| Call { group: *group, span: last, add: 0.0, lives }));
        }
        calls
    }

    /// When the next call is due.
    pub fn next(&self, now: f64) -> f64 {
        let span = self.span(now);
        let here = (span as f64 + self.phase) * self.every;
        if now < here {
            here
        } else {
            (span as f64 + 1.0 + self.phase) * self.every
        }
    }

    /// Whether the counter does not hear of a front door. Of whom nothing was read lately, nothing is said.
    pub fn absent(&self, now: f64, door: usize) -> bool {
        let span = self.span(now);
        let group = self.groups.get(&(door / GROUP)).filter(|_| door != self.own);
        let fresh = |g: &&Group| g.read.is_some_and(|read| read + 3 >= span);
        group.filter(fresh).is_some_and(|g| g.missed[door % GROUP] >= MISSED)
    }

    /// The part of these front doors that the counter hears of, this one included.
    pub fn present(&self, now: f64, first: usize, number: usize) -> f64 {
        let number = number.clamp(1, self.doors);
        let all = (first..first + number).map(|d| d % self.doors);
        let there = all.filter(|d| !self.absent(now, *d)).count().max(1);
        there as f64 / number as f64
    }

    /// All that are absent among those that are looked at.
    pub fn missing(&self, now: f64) -> BTreeSet<usize> {
        let all = self.groups.keys().flat_map(|g| g * GROUP..((g + 1) * GROUP).min(self.doors));
        all.filter(|d| self.absent(now, *d)).collect()
    }
}
