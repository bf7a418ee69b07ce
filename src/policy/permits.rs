//! Caps on a customer's requests in flight. A permit is leased on a counter of its own, by a call that adds one; over the cap it
//! goes back. Where the counter cannot be asked, the even share of the cap stands in.
use super::counter::CallRequest;
use super::PolicyEngine;
use crate::state::{CallPurpose, PendingCall};
use crate::types::*;

/// The series of permits' counters begin here; lower ones are windows of quotas.
const FIRST_PERMIT_SERIES: u32 = 1 << 30;
/// A permits' counter is used for so long, seconds: what a crashed instance held is forgotten with it.
const PERMIT_WINDOW: f64 = 10.0;
/// Stands for the series of a permit of the even share, which no counter knows of.
const LOCAL_PERMIT: u32 = 0;
/// A permit of the even share counts as taken for so many medians of answer times.
const LOCAL_PERMIT_MEDIANS: f64 = 4.0;

/// Whether a counter's series is that of permits.
pub(super) fn is_permit_series(series: u32) -> bool {
    series >= FIRST_PERMIT_SERIES
}

/// A plan's cap on requests in flight, and how many processes share it.
#[derive(Clone, Copy)]
struct PermitCap {
    permits: f64,
    processes: f64,
}

impl PermitCap {
    /// Permits of one process, at least one: a smaller share is one permit for part of the time.
    fn even_share(self) -> f64 {
        (self.permits / self.processes).ceil()
    }

    /// How long a process waits before it takes its one permit again, as a multiple of the time that a permit counts as taken; 0
    /// where its share is a permit or more.
    fn pause_factor(self) -> f64 {
        (self.processes / self.permits - 1.0).max(0.0)
    }
}

impl PolicyEngine {
    /// Takes a permit for a request whose units are granted. `None` if it has one or its plan has no cap; else the request waits
    /// or is refused.
    pub(super) fn acquire_permit(&mut self, now: f64, index: RequestIndex) -> Option<Decision> {
        let request = self.requests.get_mut(&index).expect("a request that is decided on must be pending");
        request.units_granted = true;
        let customer = request.attributes.customer;
        let waited = now >= request.counter_deadline;
        let account = self.accounts.get_mut(&customer).expect("its units were granted");
        let permits = self.plans[account.plan].max_in_flight as f64;
        if permits <= 0.0 {
            return None;
        }
        let cap = PermitCap { permits, processes: account.instance_count * self.local_processes };
        account.permit_waiters.retain(|waiter| *waiter != index);
        request.permit = account.free_permits.pop();
        if request.permit.is_some() {
            return None;
        }
        let share_has_permit =
            now >= account.next_local_permit_at && (account.permits_held as f64) < cap.even_share();
        let requested = account.permits_requested();
        let is_exhausted = now < account.permits_exhausted_until;
        if is_exhausted || self.counter.should_skip(waited, requested > 0, share_has_permit) {
            return self.acquire_local_permit(now, index, cap, share_has_permit && !is_exhausted);
        }
        account.permit_waiters.push(index);
        if requested < account.permit_waiters.len() {
            let series = FIRST_PERMIT_SERIES + (now / PERMIT_WINDOW) as u32;
            let purpose = CallPurpose::AcquirePermit;
            let call = CallRequest { delta: 1.0, debt_repaid: 0.0, purpose };
            self.call_counter(now, CounterKey { customer, series }, call);
        }
        Some(Decision::Pending)
    }

    /// Takes a permit of the even share, if one is available; else the request is refused.
    fn acquire_local_permit(
        &mut self,
        now: f64,
        index: RequestIndex,
        cap: PermitCap,
        is_available: bool,
    ) -> Option<Decision> {
        let RequestAttributes { customer, operation, .. } = self.request(index).attributes;
        let median = self.latencies.median(operation);
        if !is_available {
            self.refund_units(now, index);
            return Some(self.throttle(median / cap.permits));
        }
        let account = self.accounts.get_mut(&customer).expect("its units were granted");
        account.next_local_permit_at = now + LOCAL_PERMIT_MEDIANS * median * cap.pause_factor();
        account.permits_held += 1;
        self.request(index).permit = Some(LOCAL_PERMIT);
        None
    }

    /// What came of a call for a permit, or of one that gave it back.
    pub(super) fn permit_answered(
        &mut self,
        now: f64,
        key: CounterKey,
        call: &PendingCall,
        result: CounterResult,
    ) {
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        let account = self.accounts.get_mut(&key.customer).expect("a customer with calls has an account");
        let waiters = account.permit_waiters.clone();
        let may_be_added = result != CounterResult::NotApplied;
        if matches!(call.purpose, CallPurpose::AcquirePermit) && may_be_added {
            self.permit_added(now, key, total, waiters.len());
        }
        if total.is_none() {
            return self.stop_waiting(now, waiters);
        }
        self.counter_responded(now);
        self.reconsider.extend(waiters);
    }

    /// A permit was added to the counter: kept if the total is under the cap and some request waits, else given back.
    fn permit_added(&mut self, now: f64, key: CounterKey, total: Option<f64>, waiters: usize) {
        let account = self.accounts.get_mut(&key.customer).expect("a customer with calls has an account");
        let cap = self.plans[account.plan].max_in_flight as f64;
        account.permits_held += 1;
        let fits = total.is_some_and(|total| total <= cap);
        if total.is_some() && !fits {
            // By then one of the requests in flight will have ended.
            account.permits_exhausted_until = now + self.latencies.shortest_median() / cap;
        }
        if fits && account.free_permits.len() < waiters {
            account.free_permits.push(key.series);
        } else {
            self.release_permit(now, key.customer, Some(key.series));
        }
    }

    /// Gives a permit back, by a call of the counter unless that is unresponsive.
    pub(super) fn release_permit(&mut self, now: f64, customer: CustomerIndex, permit: Option<u32>) {
        let Some(series) = permit else { return };
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.permits_held = account.permits_held.saturating_sub(1);
        if series != LOCAL_PERMIT && !self.counter.is_unresponsive() {
            self.call_counter(now, CounterKey { customer, series }, CallRequest::settle(-1.0));
        }
    }
}
