//! Membership: counters by which instances learn which of them reach the counter. Calls on these go where all calls to the
//! counter go, under numbers that no customer has.
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::TimerKind;
use quillramp::settings::InstanceSettings;
use quillramp::types::*;
use quillramp_membership::{Count, Membership};
use std::collections::{BTreeMap, BTreeSet};

/// The lowest number that stands for a group of instances, where customers' numbers lie below.
const FIRST_GROUP_NUMBER: u64 = 1 << 40;

/// Which instances reach the counter.
pub struct MembershipState {
    heartbeats: Membership,
    /// The time between two calls, in seconds.
    interval: f64,
    /// Groups of instances, by the customer index that stands for them.
    groups: BTreeMap<CustomerIndex, usize>,
    /// The instances that were logged as absent.
    absent: BTreeSet<usize>,
    /// When its timer is due, in seconds; an earlier one is left over from other settings.
    next_call_at: f64,
}

impl MembershipState {
    fn new(now: f64, interval: f64, settings: &InstanceSettings) -> MembershipState {
        MembershipState {
            heartbeats: Membership::new(settings.instances, settings.instance_index, interval),
            interval,
            groups: BTreeMap::new(),
            absent: BTreeSet::new(),
            next_call_at: now,
        }
    }

    /// Whether this counter is a group's.
    pub fn owns_counter(&self, key: CounterKey) -> bool {
        self.groups.contains_key(&key.customer)
    }

    /// Takes the result of a call.
    pub fn counter_answered(&mut self, now: f64, key: CounterKey, result: CounterResult) {
        let Some(&group) = self.groups.get(&key.customer) else { return };
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        self.heartbeats.call_answered(now, Count { group, interval: key.series }, total);
    }

    /// The fraction of these instances that do not reach the counter. They are watched from now on.
    pub fn absent_fraction(&mut self, now: f64, instances: InstanceRange) -> f64 {
        self.heartbeats.watch(now, instances.first, instances.count);
        1.0 - self.heartbeats.present_fraction(now, instances.first, instances.count)
    }
}

impl Reducer {
    /// Instances look which of them reach the counter, once in so many seconds, or do no longer.
    pub(super) fn set_membership_interval(&mut self, now: f64, interval: Option<f64>) {
        if self.membership.as_ref().map(|membership| membership.interval) == interval {
            return;
        }
        self.log(match interval {
            None => LogMessage::MembershipDisabled,
            Some(interval) => LogMessage::MembershipEnabled { interval },
        });
        let settings = &self.instance;
        self.membership = interval.map(|interval| MembershipState::new(now, interval, settings));
        if interval.is_some() {
            self.timers.schedule(now, TimerKind::MembershipCall);
        }
    }

    /// Makes the calls that are due; the timer is repeated for as long as there is an interval.
    pub(super) fn call_membership_counters(&mut self, now: f64) {
        let Some(membership) = &mut self.membership else { return };
        if now < membership.next_call_at {
            return;
        }
        let mut calls = vec![];
        for call in membership.heartbeats.due_calls(now) {
            let group = call.count.group;
            let customer = self.customers.intern(&(FIRST_GROUP_NUMBER + group as u64));
            membership.groups.insert(customer, group);
            let key = CounterKey { customer, series: call.count.interval };
            calls.push(CounterCall { key, delta: call.amount, lifetime: call.lifetime });
        }
        let absent = membership.heartbeats.absent(now);
        if absent != membership.absent {
            let message = LogMessage::InstancesAbsent { instances: absent.clone() };
            self.effects.push(Effect::Log(message));
            membership.absent = absent;
        }
        let next_call_at = membership.heartbeats.next_call(now);
        membership.next_call_at = next_call_at;
        for call in calls {
            self.call_counter(now, call);
        }
        self.timers.schedule(next_call_at, TimerKind::MembershipCall);
    }
}
