//! What an answer of the shared counter means for a lease: totals that lag behind are corrected, what fits is kept, the rest goes
//! back. Leases expire, and units of requests that were never forwarded are refunded.
use super::counter::{CallRequest, WINDOW};
use super::quota::{IDLE_TIMEOUT, MAX_DEBT_FRACTION};
use super::{gossip, PolicyEngine};
use crate::state::{CallPurpose, CustomerAccount, PendingCall, TimerKind};
use crate::types::*;

/// A lease expires after so long, seconds; what is unspent then goes back.
pub(super) const LIFETIME: f64 = 1.0;
/// Fewer units than this wait for the next call.
pub(super) const MIN_CALL_UNITS: f64 = 0.5;
/// The fraction of the burst by which a total may lag behind before it is corrected.
const TOLERATED_LAG_FRACTION: f64 = 1.0 / 8.0;
/// With less than this fraction of the burst left, the total is sent to the customer's other instances.
const NEARLY_EXHAUSTED_FRACTION: f64 = 0.1;

/// A counter's total as an answer shows it.
struct ObservedTotal {
    /// With what the call added.
    total: f64,
    /// Before the call.
    before: f64,
    /// What the token bucket has refilled since the window began.
    refilled: f64,
    /// The counter is new or was lost: it held next to nothing.
    is_lost: bool,
    /// What it must have stood at.
    expected: f64,
    /// By how much it lagged behind that.
    lag: f64,
}

/// What is done about an answer.
struct Settlement {
    /// Units that go back to the counter.
    give_back: f64,
    /// Units that the total is corrected upwards by.
    correction: f64,
}

impl PolicyEngine {
    /// A call for units was answered with the total.
    pub(super) fn lease_answered(&mut self, now: f64, key: CounterKey, call: &PendingCall, total: f64) {
        self.counter_responded(now);
        self.counter.record_answer_time(now - call.sent_at);
        let account = self.accounts.get_mut(&key.customer).expect("a customer with calls has an account");
        let burst = self.plans[account.plan].burst;
        // Units that have been reported to the counter are credited to the even share.
        account.even_share += call.debt_repaid.max(0.0);
        self.reconsider.extend(account.lease_waiters.drain(..));
        let is_current = account.series == call.series;
        let observed = observe(now, account, call, total);
        let settlement = settle(now, account, call, &observed, burst);
        if settlement.give_back <= MIN_CALL_UNITS {
            account.unsettled -= settlement.give_back;
        }
        // More than the burst and the allowed debt is another instance's double correction, soon taken back. Taken at its word it
        // shut a customer out.
        let most = burst * (1.0 + MAX_DEBT_FRACTION) + observed.refilled;
        let corrected = (total + settlement.correction - settlement.give_back).min(most);
        if is_current {
            account.observed_total = Some(corrected);
            account.observed_at = now;
            let left = burst + observed.refilled - corrected;
            self.gossip_if_nearly_exhausted(now, key, corrected, left);
        }
        let Settlement { give_back, correction } = settlement;
        if correction > burst * TOLERATED_LAG_FRACTION || correction > MIN_CALL_UNITS && observed.is_lost {
            let purpose = CallPurpose::Correct { target: observed.expected + call.delta };
            self.call_counter(now, key, CallRequest { delta: correction, debt_repaid: 0.0, purpose });
        }
        if give_back > MIN_CALL_UNITS {
            self.call_counter(now, key, CallRequest::settle(-give_back));
        }
        self.schedule_customer(key.customer, now + LIFETIME);
    }

    /// Sends a total with little left to the customer's other instances.
    fn gossip_if_nearly_exhausted(&mut self, now: f64, key: CounterKey, total: f64, left: f64) {
        let Some(account) = self.accounts.get_mut(&key.customer) else { return };
        let threshold = NEARLY_EXHAUSTED_FRACTION * self.plans[account.plan].burst;
        if left >= threshold || !gossip::may_repeat(now, account.gossiped_at) {
            return;
        }
        account.gossiped_at = now;
        let recipients = account.instance_count;
        let plan = account.plan;
        let instances = account.instances;
        let message = GossipMessage::CounterTotal { key, plan, instances, total };
        self.send_gossip(now, message, recipients);
    }

    /// Units of a request that was never forwarded serve the customer's next one.
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

    /// One timer for a customer, at the earliest time asked for.
    pub(super) fn schedule_customer(&mut self, customer: CustomerIndex, at: f64) {
        if let Some(account) = self.accounts.get_mut(&customer).filter(|account| at < account.timer_at) {
            account.timer_at = at;
            self.timers.schedule(at, TimerKind::Customer(customer));
        }
    }

    /// A lease that has expired goes back to the counter; a customer not seen for long is forgotten.
    pub(super) fn customer_timer_fired(&mut self, now: f64, customer: CustomerIndex) {
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        if now < account.timer_at {
            return;
        }
        account.timer_at = f64::INFINITY;
        let has_expired = now >= account.lease_expires_at;
        let idle_at = account.last_used_at + IDLE_TIMEOUT;
        let next = if has_expired { idle_at.max(now + LIFETIME) } else { account.lease_expires_at };
        if has_expired {
            account.unsettled -= std::mem::take(&mut account.leased);
        }
        let has_calls = !account.calls.is_empty();
        let owed = account.unsettled + account.unreported;
        let key = CounterKey { customer, series: account.series };
        let may_call = !has_calls && self.counter.allows_optional_call();
        if has_expired && owed.abs() > MIN_CALL_UNITS && may_call {
            account.unsettled = 0.0;
            account.unreported = 0.0;
            self.call_counter(now, key, CallRequest::settle(owed));
        } else if now >= idle_at && !has_calls && !self.has_requests(customer) {
            self.accounts.remove(&customer);
            self.evicted_customers.push(customer);
        }
        self.schedule_customer(customer, next);
    }

    fn has_requests(&self, customer: CustomerIndex) -> bool {
        self.requests.values().any(|request| request.attributes.customer == customer)
    }
}

fn observe(now: f64, account: &CustomerAccount, call: &PendingCall, total: f64) -> ObservedTotal {
    let is_current = account.series == call.series;
    let refilled = account.refill_rate * (now - f64::from(call.series) * WINDOW).max(0.0);
    let before = total - call.delta;
    let is_lost = before < MIN_CALL_UNITS;
    // It must have stood at the refill at least; a new or lost one, at what was last observed.
    let last_observed = account.observed_total.filter(|_| is_current && is_lost);
    let expected = refilled.max(last_observed.unwrap_or(0.0));
    let lag = (expected - before - call.debt_repaid - call.peer_estimate()).max(0.0);
    ObservedTotal { total, before, refilled, is_lost, expected, lag }
}

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
            let fitting = units - (excess - peer_estimate).max(0.0);
            let is_enough = fitting >= required_units;
            account.extend_lease(now, if is_enough { fitting } else { 0.0 }, LIFETIME);
            let give_back = if is_enough {
                units - fitting + peer_estimate.min(excess)
            } else {
                // A part too small for the request would be of use to nobody, and what is beyond full is past.
                (units + peer_estimate).max(excess).min(call.delta)
            };
            Settlement { give_back, correction: observed.lag }
        }
        CallPurpose::Correct { target } => {
            // Another instance may have corrected the same total: the part that was not needed goes back.
            let needed = (target - observed.before).clamp(0.0, call.delta);
            Settlement { give_back: call.delta - needed, correction: 0.0 }
        }
        CallPurpose::Settle | CallPurpose::AcquirePermit => Settlement { give_back: 0.0, correction: 0.0 },
    }
}
