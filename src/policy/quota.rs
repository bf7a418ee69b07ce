//! Whether a customer's quota admits a request: units are spent from a lease; without one the counter is asked for a lease, or
//! the customer's even share of the quota stands in.
use super::counter::{CallRequest, WINDOW};
use super::{leases, PolicyEngine};
use crate::state::{CallPurpose, CustomerAccount};
use crate::types::*;

/// The fraction of the burst that is leased at once while more than half of the token bucket is there.
const LEASE_BATCH_FRACTION: f64 = 1.0 / 16.0;
/// The fraction of what a ceiling leaves above the quota that may be admitted without a lease.
const CEILING_FRACTION: f64 = 0.5;
/// The fraction of the burst that may be spent in debt before it is reported to the counter.
pub(super) const MAX_DEBT_FRACTION: f64 = 0.25;
/// No debt is allowed for so long, seconds, after the limit on all attempts in flight was reached.
const DEBT_PAUSE: f64 = 1.0;
/// The part of what other instances are estimated to have admitted without a call that a call adds for them.
const PEER_ESTIMATE_FRACTION: f64 = 0.5;
/// A customer that was not seen for so long is forgotten, seconds.
pub(super) const IDLE_TIMEOUT: f64 = 12.0;

/// This process's even share of a plan.
#[derive(Clone, Copy)]
struct EvenShare {
    /// Units a second.
    rate: f64,
    /// Units at most.
    burst: f64,
    /// Units a second that may be admitted without a lease under the ceiling.
    ceiling_rate: f64,
    /// Of these, units at most.
    ceiling_burst: f64,
}

impl EvenShare {
    /// The plan divided among so many processes.
    fn new(plan: &Plan, processes: f64) -> EvenShare {
        let above_quota = |amount: f64| CEILING_FRACTION * amount / processes;
        EvenShare {
            rate: plan.rate / processes,
            burst: plan.burst / processes,
            ceiling_rate: above_quota(plan.ceiling_rate - plan.rate),
            ceiling_burst: above_quota(plan.ceiling_burst - plan.burst),
        }
    }
}

/// A request whose units are to be taken.
struct Admission {
    index: RequestIndex,
    customer: CustomerIndex,
    units: f64,
    /// The request has waited for the counter as long as it may.
    waited: bool,
    share: EvenShare,
    /// The customer was seen within the lifetime of a lease.
    seen_recently: bool,
    /// What the token bucket has refilled since the window began, units.
    refilled: f64,
}

/// What is known of the customer's quota while no lease covers the request.
struct QuotaState {
    /// Units that have not been reported to the counter.
    owed: f64,
    /// Units that a lease has to bring.
    need: f64,
    /// More than half of the token bucket was there when it was last observed.
    is_rich: bool,
    /// The even share covers the request.
    share_suffices: bool,
}

impl CustomerAccount {
    /// Lets the even share refill up to now. Returns whether the customer was seen within the lifetime of a lease.
    fn refill(&mut self, now: f64, share: &EvenShare) -> bool {
        let elapsed = now - self.last_used_at;
        self.even_share = (self.even_share + share.rate * elapsed).min(share.burst);
        // A restart grants nothing under a ceiling: its share starts empty.
        let ceiling_refill = share.ceiling_rate * elapsed;
        self.ceiling_tokens = (self.ceiling_tokens + ceiling_refill).min(share.ceiling_burst);
        self.last_used_at = now;
        elapsed < leases::LIFETIME
    }

    /// Whether what may be admitted without a lease under the plan's ceiling does not cover the units.
    fn reaches_ceiling(&self, plan: &Plan, units: f64) -> bool {
        plan.ceiling_rate > 0.0 && self.ceiling_tokens < units
    }

    /// Units that the token bucket held when last observed, plus `refilled` since the window began, less what is owed.
    fn available(&self, burst: f64, refilled: f64, owed: f64) -> f64 {
        self.observed_total.map_or(burst, |total| burst + refilled - (total + owed).max(refilled))
    }

    /// What the even share has refilled, a rich token bucket has too, or one that nothing else spends from: then it need not be
    /// reported. It is reported soon or never.
    fn forgive_unreported(&mut self, is_rich: bool, seen_recently: bool, unresponsive: bool, burst: f64) {
        if is_rich || unresponsive {
            self.unreported = self.unreported.min(burst - self.even_share);
        }
        if !seen_recently && !unresponsive {
            self.unreported = 0.0;
        }
    }
}

impl PolicyEngine {
    /// The customer's account, created if need be, in the window of now.
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
        let account = self.accounts.get_mut(&customer).expect("just inserted");
        account.enter_window((now / WINDOW) as u32, WINDOW);
        self.schedule_customer(customer, now + IDLE_TIMEOUT);
        self.accounts.get_mut(&customer).expect("just inserted")
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

    /// Takes the request's units from the quota: from the lease, from a new one, or from the even share. `None` if they are
    /// taken; else the request waits or is refused.
    pub(super) fn take_units(&mut self, now: f64, index: RequestIndex) -> Option<Decision> {
        let request = &self.requests[&index];
        if request.units_granted {
            return None;
        }
        let waited = now >= request.counter_deadline;
        let RequestAttributes { customer, plan, units, instances, absent_fraction, .. } = request.attributes;
        self.account(now, customer, plan, instances);
        let account = self.accounts.get_mut(&customer).expect("just created");
        let plan = &self.plans[account.plan];
        let share = EvenShare::new(plan, account.instance_count * self.local_processes);
        // Instances that do not reach the counter have their even shares of the rate.
        account.refill_rate = plan.rate * (1.0 - absent_fraction);
        let seen_recently = account.refill(now, &share);
        let refilled = account.refill_rate * (now - f64::from(account.series) * WINDOW);
        let admission = Admission { index, customer, units, waited, share, seen_recently, refilled };
        let is_unlimited = plan.rate <= 0.0;
        if is_unlimited || now < account.lease_expires_at && account.leased >= units {
            return self.spend_lease(&admission);
        }
        self.take_without_lease(now, &admission)
    }

    /// The lease covers the units, or the plan has no quota.
    fn spend_lease(&mut self, admission: &Admission) -> Option<Decision> {
        let Admission { units, share, .. } = *admission;
        let account = self.accounts.get_mut(&admission.customer).expect("the customer is being admitted");
        let plan = &self.plans[account.plan];
        // A young counter grants the burst once more, though the last one's may just be spent: it does not cover the ceiling.
        let counter_covers = plan.ceiling_rate <= 0.0 || plan.rate > 0.0 && admission.refilled >= plan.burst;
        if !counter_covers && account.reaches_ceiling(plan, units) {
            let seconds_short = (units - account.ceiling_tokens) / share.ceiling_rate;
            return Some(self.throttle(seconds_short));
        }
        if plan.rate > 0.0 {
            account.leased -= units;
        }
        if !counter_covers {
            account.ceiling_tokens -= units;
        }
        None
    }

    /// The lease does not cover the units: the customer is refused by what was last observed of its total, or admitted from its
    /// even share, or a lease is asked for.
    fn take_without_lease(&mut self, now: f64, admission: &Admission) -> Option<Decision> {
        let Admission { units, share, .. } = *admission;
        let unresponsive = self.counter.is_unresponsive();
        let account = self.accounts.get_mut(&admission.customer).expect("the customer is being admitted");
        let plan = &self.plans[account.plan];
        let owed = account.unsettled + account.unreported;
        let refilled_until_observed = admission.refilled - account.refill_rate * (now - account.observed_at);
        let is_rich = account.available(plan.burst, refilled_until_observed, owed) > plan.burst / 2.0;
        let available = account.available(plan.burst, admission.refilled, owed);
        account.forgive_unreported(is_rich, admission.seen_recently, unresponsive, share.burst);
        // A full even share that is smaller than the request goes into debt for it where units are there: small quotas.
        let required_share = if is_rich || unresponsive { units.min(share.burst) } else { units };
        let share_suffices = account.even_share >= required_share;
        self.counter.refill_tokens(now);
        let need = units - account.unspent(now);
        let is_leasing = account.is_leasing();
        if need > available && !is_leasing && !unresponsive {
            let seconds_short = (need - available) / plan.rate;
            return Some(self.throttle(seconds_short));
        }
        let quota = QuotaState { owed, need, is_rich, share_suffices };
        if self.counter.should_skip(admission.waited, is_leasing, share_suffices) {
            return self.admit_from_even_share(now, admission, &quota);
        }
        // One call in flight serves all requests that wait for it.
        account.lease_waiters.push(admission.index);
        if !is_leasing {
            self.request_lease(now, admission, &quota);
        }
        Some(Decision::Pending)
    }

    /// The counter is not asked: the even share decides.
    fn admit_from_even_share(
        &mut self,
        now: f64,
        admission: &Admission,
        quota: &QuotaState,
    ) -> Option<Decision> {
        let Admission { customer, units, share, .. } = *admission;
        let account = self.accounts.get_mut(&customer).expect("the customer is being admitted");
        account.lease_waiters.retain(|waiter| *waiter != admission.index);
        let has_calls = !account.calls.is_empty();
        let series = account.series;
        let seconds_short = (units.min(share.burst) - account.even_share) / share.rate;
        let plan = &self.plans[account.plan];
        // A customer for whom an overloaded counter cannot be called goes into debt, while the backends keep up.
        let debt_allowed = !self.counter.is_unresponsive()
            && quota.is_rich
            && now - self.concurrency.reached_at > DEBT_PAUSE
            && account.even_share > -MAX_DEBT_FRACTION * plan.burst;
        let ceiling_reached = account.reaches_ceiling(plan, units);
        let is_admitted = (quota.share_suffices || debt_allowed) && !ceiling_reached;
        if is_admitted {
            // An unresponsive counter is not overloaded: it counts as consulted.
            let counts_as_consulted = self.counter.is_unresponsive();
            self.counter.record_admission(counts_as_consulted);
            account.even_share -= units;
            account.unreported += units;
            account.ceiling_tokens -= units;
            self.schedule_customer(customer, now + leases::LIFETIME);
        }
        if self.counter.is_probe_due(now) && !has_calls {
            self.counter.schedule_next_probe(now);
            self.call_counter(now, CounterKey { customer, series }, CallRequest::probe());
        } else if admission.waited && !self.counter.is_unresponsive() && has_calls {
            self.counter_missed(now);
        }
        (!is_admitted).then(|| self.throttle(seconds_short))
    }

    /// Requests a lease from the counter, and reports the debt.
    fn request_lease(&mut self, now: f64, admission: &Admission, quota: &QuotaState) {
        let QuotaState { need, owed, .. } = *quota;
        let customer = admission.customer;
        let account = self.accounts.get_mut(&customer).expect("the customer is being admitted");
        let burst = self.plans[account.plan].burst;
        let takes_batch = quota.is_rich && admission.seen_recently;
        let units = need.max(if takes_batch { burst * LEASE_BATCH_FRACTION } else { 0.0 });
        let consulted = self.counter.consulted_fraction();
        let admitted_by_peers = PEER_ESTIMATE_FRACTION * need * (1.0 / consulted - 1.0);
        let peer_estimate = if owed < leases::MIN_CALL_UNITS { admitted_by_peers } else { 0.0 };
        self.counter.record_admission(true);
        account.unsettled = 0.0;
        account.unreported = 0.0;
        let key = CounterKey { customer, series: account.series };
        let call = CallRequest {
            delta: units + owed + peer_estimate,
            debt_repaid: owed,
            purpose: CallPurpose::Lease { units, required_units: need, peer_estimate },
        };
        self.call_counter(now, key, call);
    }
}
