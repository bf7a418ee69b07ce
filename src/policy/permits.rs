//! Caps on a customer's requests in flight. A permit is leased with a call that adds one to a separate
//! counter; it is returned if the total exceeds the cap. When the counter cannot be called, the process's
//! even share of the cap applies.
use super::counter::CallRequest;
use super::PolicyEngine;
use crate::state::{CallPurpose, PendingCall};
use crate::types::*;

/// First series of permit counters; lower series are windows of quota counters.
const FIRST_PERMIT_SERIES: u32 = 1 << 30;
/// Length of the window of a permit counter, in seconds. The permits of a crashed instance expire with it.
const PERMIT_WINDOW: f64 = 10.0;
/// Series that marks a permit of the even share, which belongs to no counter.
const LOCAL_PERMIT: u32 = 0;
/// Time for which a permit of the even share counts as taken, as a multiple of the median latency.
const LOCAL_PERMIT_MEDIANS: f64 = 4.0;

/// Whether a series belongs to a permit counter.
pub(super) fn is_permit_series(series: u32) -> bool {
    series >= FIRST_PERMIT_SERIES
}

/// A plan's cap on requests in flight, and the number of processes that share it.
#[derive(Clone, Copy)]
struct PermitCap {
    permits: f64,
    processes: f64,
}

impl PermitCap {
    /// Returns the number of permits of one process, at least 1. A share below 1 is one permit for part of
    /// the time.
    fn even_share(self) -> f64 {
        (self.permits / self.processes).ceil()
    }

    /// Returns the pause before a process takes its only permit again, as a multiple of the time for which a
    /// permit counts as taken; 0 if the share is at least one permit.
    fn pause_factor(self) -> f64 {
        (self.processes / self.permits - 1.0).max(0.0)
    }
}

impl PolicyEngine {
    /// Takes a permit for a request whose units are granted. Returns `None` if the request has one or its
    /// plan has no cap, else the decision to wait or to throttle.
    pub(super) fn acquire_permit(&mut self, now: f64, index: RequestIndex) -> Option<Decision> {
        let request = self.requests.get_mut(&index).expect("a request that is decided on must be pending");
        request.units_granted = true;
        let customer = request.attributes.customer;
        let wait_ended = now >= request.counter_deadline;
        let account = self.accounts.get_mut(&customer).expect("the customer must have an account");
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
        let local_permit_available =
            now >= account.next_local_permit_at && (account.permits_held as f64) < cap.even_share();
        let requested = account.permits_requested();
        let is_exhausted = now < account.permits_exhausted_until;
        if is_exhausted || self.counter.should_skip(wait_ended, requested > 0, local_permit_available) {
            return self.acquire_local_permit(now, index, cap, local_permit_available && !is_exhausted);
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

    /// Takes a permit of the even share if one is available, else throttles the request.
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
        let account = self.accounts.get_mut(&customer).expect("the customer must have an account");
        account.next_local_permit_at = now + LOCAL_PERMIT_MEDIANS * median * cap.pause_factor();
        account.permits_held += 1;
        self.request(index).permit = Some(LOCAL_PERMIT);
        None
    }

    /// Handles the result of a call to a permit counter.
    pub(super) fn permit_call_ended(
        &mut self,
        now: f64,
        key: CounterKey,
        call: &PendingCall,
        result: CounterResult,
    ) {
        let total = if let CounterResult::Total(total) = result { Some(total) } else { None };
        let account = self.accounts.get_mut(&key.customer).expect("the customer must have an account");
        let waiters = account.permit_waiters.clone();
        let may_have_been_added = result != CounterResult::NotApplied;
        if matches!(call.purpose, CallPurpose::AcquirePermit) && may_have_been_added {
            self.permit_added(now, key, total, waiters.len());
        }
        if total.is_none() {
            return self.stop_waiting(now, waiters);
        }
        self.counter_responded(now);
        self.reconsider.extend(waiters);
    }

    /// Handles a permit that was added to the counter. It is kept if the total is within the cap and a
    /// request waits for it, else returned.
    fn permit_added(&mut self, now: f64, key: CounterKey, total: Option<f64>, waiters: usize) {
        let account = self.accounts.get_mut(&key.customer).expect("the customer must have an account");
        let cap = self.plans[account.plan].max_in_flight as f64;
        account.permits_held += 1;
        let is_within_cap = total.is_some_and(|total| total <= cap);
        if total.is_some() && !is_within_cap {
            // One of the requests in flight is expected to have ended by then.
            account.permits_exhausted_until = now + self.latencies.shortest_median() / cap;
        }
        if is_within_cap && account.free_permits.len() < waiters {
            account.free_permits.push(key.series);
        } else {
            self.release_permit(now, key.customer, Some(key.series));
        }
    }

    /// Releases a permit. It is returned to its counter unless the counter is unresponsive.
    pub(super) fn release_permit(&mut self, now: f64, customer: CustomerIndex, permit: Option<u32>) {
        let Some(series) = permit else { return };
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.permits_held = account.permits_held.saturating_sub(1);
        if series != LOCAL_PERMIT && !self.counter.is_unresponsive() {
            self.call_counter(now, CounterKey { customer, series }, CallRequest::settle(-1.0));
        }
    }
}
