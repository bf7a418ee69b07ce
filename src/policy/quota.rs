//! Decides whether a customer's quota admits a request. Units are spent from a lease. Without a lease that
//! covers the request, the engine requests one from the counter or falls back to the process's even share of
//! the quota.
use super::counter::{CallRequest, COUNTER_WINDOW};
use super::{leases, PolicyEngine};
use crate::state::{CallPurpose, CustomerAccount};
use crate::types::*;

/// Minimum size of a lease, as a fraction of the burst, for a customer that was seen recently and whose token
/// bucket is more than half full.
const LEASE_BATCH_FRACTION: f64 = 1.0 / 16.0;
/// Fraction of the difference between ceiling and quota that may be admitted without a lease.
const CEILING_FRACTION: f64 = 0.5;
/// Maximum debt of an even share that is not reported to the counter yet, as a fraction of the burst.
pub(super) const MAX_DEBT_FRACTION: f64 = 0.25;
/// Time after the concurrency limit was last reached during which no debt is allowed, in seconds.
const DEBT_PAUSE: f64 = 1.0;
/// Of the units that other instances are estimated to have admitted without a call, the fraction that a call
/// of this instance adds to the total.
const PEER_ESTIMATE_FRACTION: f64 = 0.5;
/// Time without a request after which a customer's state is dropped, in seconds.
pub(super) const IDLE_TIMEOUT: f64 = 12.0;

/// Even share of one process in a plan's quota and ceiling.
#[derive(Clone, Copy)]
struct EvenShare {
    /// Units per second.
    rate: f64,
    /// Maximum number of units.
    burst: f64,
    /// Units per second that may be admitted without a lease under the ceiling.
    ceiling_rate: f64,
    /// Maximum number of units that accumulate at `ceiling_rate`.
    ceiling_burst: f64,
}

impl EvenShare {
    /// Divides a plan evenly among the given number of processes.
    fn new(plan: &Plan, processes: f64) -> EvenShare {
        let share_above_quota = |amount: f64| CEILING_FRACTION * amount / processes;
        EvenShare {
            rate: plan.rate / processes,
            burst: plan.burst / processes,
            ceiling_rate: share_above_quota(plan.ceiling_rate - plan.rate),
            ceiling_burst: share_above_quota(plan.ceiling_burst - plan.burst),
        }
    }
}

/// A request that needs units, and the inputs to the decision on it.
struct Admission {
    index: RequestIndex,
    customer: CustomerIndex,
    units: f64,
    /// Whether the request's wait for the counter has ended.
    wait_ended: bool,
    share: EvenShare,
    /// Whether the customer's previous request was less than the lifetime of a lease ago.
    seen_recently: bool,
    /// Units that the token bucket has regained since the counter's window began.
    refilled: f64,
}

/// State of a customer's quota for a request that no lease covers.
struct QuotaState {
    /// Units not yet reported to the counter; negative if units are to be returned.
    debt: f64,
    /// Units that the request needs beyond the unspent lease.
    units_needed: f64,
    /// Whether the token bucket was more than half full when it was last observed.
    over_half_full: bool,
    /// Whether the even share covers the request.
    share_suffices: bool,
}

impl CustomerAccount {
    /// Refills the even share up to `now`. Returns whether the customer's previous request was less than the
    /// lifetime of a lease ago.
    fn refill(&mut self, now: f64, share: &EvenShare) -> bool {
        let elapsed = now - self.last_used_at;
        self.even_share = (self.even_share + share.rate * elapsed).min(share.burst);
        // The share of the ceiling does not start full, so that a restart does not grant the burst of the
        // ceiling again.
        let ceiling_refill = share.ceiling_rate * elapsed;
        self.ceiling_tokens = (self.ceiling_tokens + ceiling_refill).min(share.ceiling_burst);
        self.last_used_at = now;
        elapsed < leases::LIFETIME
    }

    /// Whether the units exceed those that may be admitted without a lease under the plan's ceiling, if the
    /// plan has one.
    fn exceeds_ceiling(&self, plan: &Plan, units: f64) -> bool {
        plan.ceiling_rate > 0.0 && self.ceiling_tokens < units
    }

    /// Returns the units in the token bucket, estimated from the last observed total, the units refilled
    /// since the window began and the debt. The token bucket counts as full if no total was observed.
    fn available(&self, burst: f64, refilled: f64, debt: f64) -> f64 {
        self.observed_total.map_or(burst, |total| burst + refilled - (total + debt).max(refilled))
    }

    /// Reduces the debt of the even share by what need not be reported to the counter. What the even share
    /// has regained need not be reported while the token bucket has regained it as well: while it is more
    /// than half full, or nothing else spends from it because the counter is unresponsive. If the counter is
    /// responsive and the customer's previous request was the lifetime of a lease ago or longer, the
    /// remaining debt is not reported either.
    fn reduce_debt(&mut self, over_half_full: bool, seen_recently: bool, unresponsive: bool, burst: f64) {
        if over_half_full || unresponsive {
            self.unreported = self.unreported.min(burst - self.even_share);
        }
        if !seen_recently && !unresponsive {
            self.unreported = 0.0;
        }
    }
}

impl PolicyEngine {
    /// Returns the customer's account, created if necessary and moved to the current window.
    pub(super) fn account(
        &mut self,
        now: f64,
        customer: CustomerIndex,
        plan: usize,
        instances: InstanceRange,
    ) -> &mut CustomerAccount {
        if !self.accounts.contains_key(&customer) {
            self.accounts.insert(customer, self.new_account(now, plan, instances));
        }
        let account = self.accounts.get_mut(&customer).expect("the customer's account was created above");
        account.enter_window((now / COUNTER_WINDOW) as u32, COUNTER_WINDOW);
        self.schedule_customer(customer, now + IDLE_TIMEOUT);
        self.accounts.get_mut(&customer).expect("the customer's account was created above")
    }

    fn new_account(&self, now: f64, plan_index: usize, instances: InstanceRange) -> CustomerAccount {
        let plan = &self.plans[plan_index];
        let instance_count = instances.count.max(1) as f64;
        CustomerAccount {
            plan: plan_index,
            instance_count,
            instances,
            refill_rate: plan.rate,
            even_share: plan.burst / instance_count / self.local_processes,
            ceiling_tokens: plan.ceiling_slack / instance_count / 2.0 / self.local_processes,
            last_used_at: now,
            observed_at: now,
            timer_at: f64::INFINITY,
            ..CustomerAccount::default()
        }
    }

    /// Takes the request's units from the lease, from a new lease or from the even share. Returns `None` once
    /// they are taken, else the decision to wait or to throttle.
    pub(super) fn take_units(&mut self, now: f64, index: RequestIndex) -> Option<Decision> {
        let request = &self.requests[&index];
        if request.units_granted {
            return None;
        }
        let wait_ended = now >= request.counter_deadline;
        let RequestAttributes { customer, plan, units, instances, absent_fraction, .. } = request.attributes;
        self.account(now, customer, plan, instances);
        let account = self.accounts.get_mut(&customer).expect("the customer's account was created above");
        let plan = &self.plans[account.plan];
        let share = EvenShare::new(plan, account.instance_count * self.local_processes);
        // The shared token bucket refills more slowly, since instances that cannot reach the counter spend
        // their even shares of the rate.
        account.refill_rate = plan.rate * (1.0 - absent_fraction);
        let seen_recently = account.refill(now, &share);
        let refilled = account.refill_rate * (now - f64::from(account.series) * COUNTER_WINDOW);
        let admission = Admission { index, customer, units, wait_ended, share, seen_recently, refilled };
        let is_unlimited = plan.rate <= 0.0;
        if is_unlimited || now < account.lease_expires_at && account.leased >= units {
            return self.spend_lease(&admission);
        }
        self.take_without_lease(now, &admission)
    }

    /// Admits a request that the lease covers or whose plan has no quota. Throttles it if it exceeds the
    /// ceiling.
    fn spend_lease(&mut self, admission: &Admission) -> Option<Decision> {
        let Admission { units, share, .. } = *admission;
        let account = self.accounts.get_mut(&admission.customer).expect("the customer must have an account");
        let plan = &self.plans[account.plan];
        // A new counter grants the burst again, although the burst of the previous one may just have been
        // spent. Until the refill since the window began reaches the burst, a lease does not imply that the
        // ceiling is kept.
        let lease_implies_ceiling =
            plan.ceiling_rate <= 0.0 || plan.rate > 0.0 && admission.refilled >= plan.burst;
        if !lease_implies_ceiling && account.exceeds_ceiling(plan, units) {
            let retry_after = (units - account.ceiling_tokens) / share.ceiling_rate;
            return Some(self.throttle(retry_after));
        }
        if plan.rate > 0.0 {
            account.leased -= units;
        }
        if !lease_implies_ceiling {
            account.ceiling_tokens -= units;
        }
        None
    }

    /// Decides on a request that the lease does not cover. It is throttled if the last observed total leaves
    /// too few units, admitted from the even share, or waits for a new lease.
    fn take_without_lease(&mut self, now: f64, admission: &Admission) -> Option<Decision> {
        let Admission { units, share, .. } = *admission;
        let unresponsive = self.counter.is_unresponsive();
        let account = self.accounts.get_mut(&admission.customer).expect("the customer must have an account");
        let plan = &self.plans[account.plan];
        let debt = account.unsettled + account.unreported;
        let refilled_until_observed = admission.refilled - account.refill_rate * (now - account.observed_at);
        let over_half_full = account.available(plan.burst, refilled_until_observed, debt) > plan.burst / 2.0;
        let available = account.available(plan.burst, admission.refilled, debt);
        account.reduce_debt(over_half_full, admission.seen_recently, unresponsive, share.burst);
        // With a small quota, a full even share may be smaller than the request. It then goes into debt if
        // the token bucket has the units.
        let required_share = if over_half_full || unresponsive { units.min(share.burst) } else { units };
        let share_suffices = account.even_share >= required_share;
        self.counter.refill_tokens(now);
        let units_needed = units - account.unspent(now);
        let is_leasing = account.is_leasing();
        if units_needed > available && !is_leasing && !unresponsive {
            let retry_after = (units_needed - available) / plan.rate;
            return Some(self.throttle(retry_after));
        }
        let quota = QuotaState { debt, units_needed, over_half_full, share_suffices };
        if self.counter.should_skip(admission.wait_ended, is_leasing, share_suffices) {
            return self.admit_from_even_share(now, admission, &quota);
        }
        // One call in flight serves all requests that wait for it.
        account.lease_waiters.push(admission.index);
        if !is_leasing {
            self.request_lease(now, admission, &quota);
        }
        Some(Decision::Pending)
    }

    /// Admits a request from the even share or throttles it, without a lease from the counter. Probes an
    /// unresponsive counter if a probe is due.
    fn admit_from_even_share(
        &mut self,
        now: f64,
        admission: &Admission,
        quota: &QuotaState,
    ) -> Option<Decision> {
        let Admission { customer, units, share, .. } = *admission;
        let account = self.accounts.get_mut(&customer).expect("the customer must have an account");
        account.lease_waiters.retain(|waiter| *waiter != admission.index);
        let has_calls_in_flight = !account.calls.is_empty();
        let series = account.series;
        let retry_after = (units.min(share.burst) - account.even_share) / share.rate;
        let plan = &self.plans[account.plan];
        // If the counter is overloaded and cannot be called for the customer, its even share goes into debt
        // while the backends keep up.
        let debt_allowed = !self.counter.is_unresponsive()
            && quota.over_half_full
            && now - self.concurrency.reached_at > DEBT_PAUSE
            && account.even_share > -MAX_DEBT_FRACTION * plan.burst;
        let ceiling_reached = account.exceeds_ceiling(plan, units);
        let is_admitted = (quota.share_suffices || debt_allowed) && !ceiling_reached;
        if is_admitted {
            // An unresponsive counter is not overloaded, so the request counts as one that the counter was
            // consulted for.
            let counts_as_consulted = self.counter.is_unresponsive();
            self.counter.record_admission(counts_as_consulted);
            account.even_share -= units;
            account.unreported += units;
            account.ceiling_tokens -= units;
            self.schedule_customer(customer, now + leases::LIFETIME);
        }
        if self.counter.is_probe_due(now) && !has_calls_in_flight {
            self.counter.schedule_next_probe(now);
            self.call_counter(now, CounterKey { customer, series }, CallRequest::probe());
        } else if admission.wait_ended && !self.counter.is_unresponsive() && has_calls_in_flight {
            self.counter_call_missed(now);
        }
        (!is_admitted).then(|| self.throttle(retry_after))
    }

    /// Requests a lease from the counter. The same call reports the debt.
    fn request_lease(&mut self, now: f64, admission: &Admission, quota: &QuotaState) {
        let QuotaState { units_needed, debt, .. } = *quota;
        let customer = admission.customer;
        let account = self.accounts.get_mut(&customer).expect("the customer must have an account");
        let burst = self.plans[account.plan].burst;
        let leases_batch = quota.over_half_full && admission.seen_recently;
        let units = units_needed.max(if leases_batch { burst * LEASE_BATCH_FRACTION } else { 0.0 });
        let consulted = self.counter.consulted_fraction();
        let admitted_by_peers = PEER_ESTIMATE_FRACTION * units_needed * (1.0 / consulted - 1.0);
        let peer_estimate = if debt < leases::MIN_CALL_UNITS { admitted_by_peers } else { 0.0 };
        self.counter.record_admission(true);
        account.unsettled = 0.0;
        account.unreported = 0.0;
        let key = CounterKey { customer, series: account.series };
        let call = CallRequest {
            delta: units + debt + peer_estimate,
            debt_repaid: debt,
            purpose: CallPurpose::Lease { units, required_units: units_needed, peer_estimate },
        };
        self.call_counter(now, key, call);
    }
}
