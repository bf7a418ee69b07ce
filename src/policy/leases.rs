//! Handles the totals that the shared counter returns for a customer's quota. A total that lags behind the
//! refill is corrected, and the part of a lease that exceeds the quota is returned. Expired leases are also
//! returned, and the units of requests that were never forwarded are refunded.
use super::counter::{CallRequest, COUNTER_WINDOW};
use super::quota::{IDLE_TIMEOUT, MAX_DEBT_FRACTION};
use super::{gossip, PolicyEngine};
use crate::state::{CallPurpose, CustomerAccount, PendingCall, TimerKind};
use crate::types::*;

/// Lifetime of a lease, in seconds. Its unspent units are returned afterwards.
pub(super) const LIFETIME: f64 = 1.0;
/// Minimum number of units that justifies a call to the counter; fewer units wait for the next call.
pub(super) const MIN_CALL_UNITS: f64 = 0.5;
/// Fraction of the burst by which a total may lag behind without a correction.
const TOLERATED_LAG_FRACTION: f64 = 1.0 / 8.0;
/// Fraction of the burst. If fewer units are left, the total is gossiped to the customer's other instances.
const NEARLY_EXHAUSTED_FRACTION: f64 = 0.1;

/// A total returned by the counter, and the total that was expected. Amounts are units.
struct ObservedTotal {
    /// Total after the call.
    total: f64,
    /// Total before the call.
    before: f64,
    /// Units that the token bucket has regained since the counter's window began.
    refilled: f64,
    /// Whether the counter was new or had lost its value: its total was close to 0.
    was_empty: bool,
    /// Lowest total that the counter should have had before the call.
    expected: f64,
    /// Units by which the total lags behind `expected`, apart from those that the call itself reported.
    lag: f64,
}

/// Adjustments to the counter after a call.
struct Settlement {
    /// Units to return to the counter.
    returned: f64,
    /// Units to add to a total that lags behind.
    correction: f64,
}

impl PolicyEngine {
    /// Handles the total that a call to a quota counter returned.
    pub(super) fn quota_call_answered(&mut self, now: f64, key: CounterKey, call: &PendingCall, total: f64) {
        self.counter_responded(now);
        self.counter.record_answer_time(now - call.sent_at);
        let account = self.accounts.get_mut(&key.customer).expect("the customer must have an account");
        let burst = self.plans[account.plan].burst;
        // The even share regains the units that have now been reported to the counter.
        account.even_share += call.debt_repaid.max(0.0);
        self.reconsider.extend(account.lease_waiters.drain(..));
        let is_current = account.series == call.series;
        let observed = observe(now, account, call, total);
        let settlement = settle(now, account, call, &observed, burst);
        if settlement.returned <= MIN_CALL_UNITS {
            account.unsettled -= settlement.returned;
        }
        // Two instances may have made the same correction. The total then exceeds the burst and the allowed
        // debt until one of them returns its correction. Without this limit the customer was throttled
        // meanwhile.
        let max_plausible_total = burst * (1.0 + MAX_DEBT_FRACTION) + observed.refilled;
        let corrected_total = (total + settlement.correction - settlement.returned).min(max_plausible_total);
        if is_current {
            account.observed_total = Some(corrected_total);
            account.observed_at = now;
            let units_left = burst + observed.refilled - corrected_total;
            self.gossip_if_nearly_exhausted(now, key, corrected_total, units_left);
        }
        let Settlement { returned, correction } = settlement;
        if correction > burst * TOLERATED_LAG_FRACTION || correction > MIN_CALL_UNITS && observed.was_empty {
            let purpose = CallPurpose::Correct { target: observed.expected + call.delta };
            self.call_counter(now, key, CallRequest { delta: correction, debt_repaid: 0.0, purpose });
        }
        if returned > MIN_CALL_UNITS {
            self.call_counter(now, key, CallRequest::settle(-returned));
        }
        self.schedule_customer(key.customer, now + LIFETIME);
    }

    /// Gossips a total to the customer's other instances if few units are left.
    fn gossip_if_nearly_exhausted(&mut self, now: f64, key: CounterKey, total: f64, units_left: f64) {
        let Some(account) = self.accounts.get_mut(&key.customer) else { return };
        let threshold = NEARLY_EXHAUSTED_FRACTION * self.plans[account.plan].burst;
        if units_left >= threshold || !gossip::may_repeat(now, account.gossiped_at) {
            return;
        }
        account.gossiped_at = now;
        let recipients = account.instance_count;
        let plan = account.plan;
        let instances = account.instances;
        let message = GossipMessage::CounterTotal { key, plan, instances, total };
        self.send_gossip(now, message, recipients);
    }

    /// Returns the units of a request that was never forwarded to the customer's lease, so that the next
    /// request can use them.
    pub(super) fn refund_units(&mut self, now: f64, index: RequestIndex) {
        let request = self.request(index);
        let was_granted = std::mem::take(&mut request.units_granted);
        let was_forwarded = !request.attempts.is_empty();
        let RequestAttributes { customer, plan, units, .. } = request.attributes;
        let has_quota = self.plans[plan].rate > 0.0;
        if !was_granted || was_forwarded || !has_quota {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.extend_lease(now, units, LIFETIME);
            self.schedule_customer(customer, now + LIFETIME);
        }
    }

    /// Sets the customer's timer, unless it already fires earlier.
    pub(super) fn schedule_customer(&mut self, customer: CustomerIndex, at: f64) {
        if let Some(account) = self.accounts.get_mut(&customer).filter(|account| at < account.timer_at) {
            account.timer_at = at;
            self.timers.schedule(at, TimerKind::Customer(customer));
        }
    }

    /// Returns an expired lease to the counter, or drops the state of a customer without requests for a long
    /// time.
    pub(super) fn customer_timer_fired(&mut self, now: f64, customer: CustomerIndex) {
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        if now < account.timer_at {
            return;
        }
        account.timer_at = f64::INFINITY;
        let has_expired = now >= account.lease_expires_at;
        let idle_timeout_at = account.last_used_at + IDLE_TIMEOUT;
        let next_timer_at =
            if has_expired { idle_timeout_at.max(now + LIFETIME) } else { account.lease_expires_at };
        if has_expired {
            account.unsettled -= std::mem::take(&mut account.leased);
        }
        let has_calls_in_flight = !account.calls.is_empty();
        let debt = account.unsettled + account.unreported;
        let key = CounterKey { customer, series: account.series };
        let may_call = !has_calls_in_flight && self.counter.allows_optional_call();
        if has_expired && debt.abs() > MIN_CALL_UNITS && may_call {
            account.unsettled = 0.0;
            account.unreported = 0.0;
            self.call_counter(now, key, CallRequest::settle(debt));
        } else if now >= idle_timeout_at && !has_calls_in_flight && !self.has_requests(customer) {
            self.accounts.remove(&customer);
            self.evicted_customers.push(customer);
        }
        self.schedule_customer(customer, next_timer_at);
    }

    fn has_requests(&self, customer: CustomerIndex) -> bool {
        self.requests.values().any(|request| request.attributes.customer == customer)
    }
}

/// Compares the total that a call returned with the expected one.
fn observe(now: f64, account: &CustomerAccount, call: &PendingCall, total: f64) -> ObservedTotal {
    let is_current = account.series == call.series;
    let refilled = account.refill_rate * (now - f64::from(call.series) * COUNTER_WINDOW).max(0.0);
    let before = total - call.delta;
    let was_empty = before < MIN_CALL_UNITS;
    // The total should be at least the refill. If the counter is new or has lost its value, the total should
    // also be at least the one that was last observed.
    let last_observed = account.observed_total.filter(|_| is_current && was_empty);
    let expected = refilled.max(last_observed.unwrap_or(0.0));
    let lag = (expected - before - call.debt_repaid - call.peer_estimate()).max(0.0);
    ObservedTotal { total, before, refilled, was_empty, expected, lag }
}

/// Applies the result of a call to the lease. Returns the adjustments to the counter.
fn settle(
    now: f64,
    account: &mut CustomerAccount,
    call: &PendingCall,
    observed: &ObservedTotal,
    burst: f64,
) -> Settlement {
    match call.purpose {
        CallPurpose::Lease { units, required_units, peer_estimate } => {
            let excess = (observed.total + observed.lag - burst - observed.refilled).max(0.0);
            let covered_units = units - (excess - peer_estimate).max(0.0);
            let is_sufficient = covered_units >= required_units;
            account.extend_lease(now, if is_sufficient { covered_units } else { 0.0 }, LIFETIME);
            let returned = if is_sufficient {
                units - covered_units + peer_estimate.min(excess)
            } else {
                // A lease too small for the request is of no use, so all of it is returned. Debt beyond an
                // empty token bucket is written off.
                (units + peer_estimate).max(excess).min(call.delta)
            };
            Settlement { returned, correction: observed.lag }
        }
        CallPurpose::Correct { target } => {
            // Another instance may have corrected the same total, so the units that were not needed are
            // returned.
            let needed = (target - observed.before).clamp(0.0, call.delta);
            Settlement { returned: call.delta - needed, correction: 0.0 }
        }
        CallPurpose::Settle | CallPurpose::AcquirePermit => Settlement { returned: 0.0, correction: 0.0 },
    }
}
