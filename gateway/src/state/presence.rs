//! The roster on the counter: its calls go where all calls of the counter go, under names that no customer has.
use super::event::Effect;
use super::kept::TimerKind;
use super::reducer::Reducer;
use quillramp::types::*;
use quillramp_presence::{Count, Membership};
use std::collections::{BTreeMap, BTreeSet};

/// Outside numbers of customers lie below it: groups of front doors are named from here on.
const NAMES: u64 = 1 << 40;

pub struct PresenceState {
    membership: Membership,
    every: f64,
    /// The customer's index that stands for a group.
    groups: BTreeMap<CustomerIndex, usize>,
    missing: BTreeSet<usize>,
    /// When its timer is due; another one is left over from an earlier roster.
    at: f64,
}

impl PresenceState {
    /// Whether this count is the roster's.
    pub fn calls(&self, name: CounterKey) -> bool {
        self.groups.contains_key(&name.customer)
    }

    pub fn told(&mut self, now: f64, name: CounterKey, result: CounterResult) {
        let Some(&group) = self.groups.get(&name.customer) else { return };
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        self.membership.call_answered(now, Count { group, interval: name.series }, total);
    }

    /// The part of these front doors that the counter does not hear of. That somebody asks is remembered.
    pub fn absent(&mut self, now: f64, of: InstanceRange) -> f64 {
        self.membership.watch(now, of.first, of.count);
        1.0 - self.membership.present_fraction(now, of.first, of.count)
    }
}

impl Reducer {
    /// Front doors look who of them reaches the counter once in so many seconds, or do no longer.
    pub(super) fn set_presence_interval(&mut self, now: f64, every: Option<f64>) {
        if self.presence.as_ref().map(|r| r.every) == every {
            return;
        }
        let says = every
            .map_or("no roster on the counter".into(), |e| format!("roster on the counter, every {e} s"));
        self.effects.push(Effect::Log(says));
        self.presence = every.map(|every| PresenceState {
            membership: Membership::new(self.instance.instances, self.instance.instance_index, every),
            every,
            groups: BTreeMap::new(),
            missing: BTreeSet::new(),
            at: now,
        });
        if every.is_some() {
            self.schedule(now, TimerKind::PresenceCall);
        }
    }

    /// Its calls that are due; its timer goes on as long as there is a roster.
    pub(super) fn call_presence_counters(&mut self, now: f64) {
        let Some(PresenceState { membership, groups, missing, at, .. }) =
            self.presence.as_mut().filter(|r| now >= r.at)
        else {
            return;
        };
        let mut calls = vec![];
        for call in membership.due_calls(now) {
            let customer = self.customers.intern(&(NAMES + call.count.group as u64));
            groups.insert(customer, call.count.group);
            let name = CounterKey { customer, series: call.count.interval };
            calls.push(CounterCall { key: name, delta: call.amount, lifetime: call.lifetime });
        }
        let gone = membership.absent(now);
        if gone != *missing {
            let names: Vec<String> = gone.iter().map(usize::to_string).collect();
            let says = if names.is_empty() { "none".into() } else { names.join(", ") };
            self.effects.push(Effect::Log(format!("front doors that the counter does not hear of: {says}")));
            *missing = gone;
        }
        let next = membership.next_call(now);
        *at = next;
        for call in calls {
            self.call_counter(now, call);
        }
        self.schedule(next, TimerKind::PresenceCall);
    }
}
