//! Membership: heartbeats on counters, by which instances find out which instances reach the counter. The calls use the
//! same connections as all calls to the counter, with numbers that no customer has.
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::TimerKind;
use quillramp::settings::InstanceSettings;
use quillramp::types::*;
use quillramp_membership::{Count, Membership};
use std::collections::{BTreeMap, BTreeSet};

/// Lowest number of a group of instances in counter keys; the numbers of customers are lower.
const FIRST_GROUP_NUMBER: u64 = 1 << 40;

/// State of membership: which instances reach the counter.
pub struct MembershipState {
    heartbeats: Membership,
    /// Interval between heartbeats, in seconds.
    interval: f64,
    /// Groups of instances, by the customer index of their counter.
    groups: BTreeMap<CustomerIndex, usize>,
    /// The instances that were last logged as not reaching the counter.
    absent: BTreeSet<usize>,
    /// Time of the next heartbeat, in seconds; a timer that fires earlier belongs to earlier settings.
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

    /// Returns whether this counter is that of a group of instances.
    pub fn owns_counter(&self, key: CounterKey) -> bool {
        self.groups.contains_key(&key.customer)
    }

    /// Handles the result of a call to the counter.
    pub fn counter_answered(&mut self, now: f64, key: CounterKey, result: CounterResult) {
        let Some(&group) = self.groups.get(&key.customer) else { return };
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        self.heartbeats.call_answered(now, Count { group, interval: key.series }, total);
    }

    /// Returns the fraction of these instances that do not reach the counter, and watches these instances from now on.
    pub fn absent_fraction(&mut self, now: f64, instances: InstanceRange) -> f64 {
        self.heartbeats.watch(now, instances.first, instances.count);
        1.0 - self.heartbeats.present_fraction(now, instances.first, instances.count)
    }
}

impl Reducer {
    /// Enables membership with this interval between heartbeats, in seconds, or disables it.
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

    /// Makes the heartbeat calls that are due, and schedules the next ones while membership is enabled.
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
