//! Calls to the counter service and the handling of their results.
use super::PolicyEngine;
use crate::state::{CallPurpose, PendingCall};
use crate::types::*;

/// Length of the window of a quota counter, in seconds. Windows are long because each new one costs a call
/// that carries the total over.
pub(super) const COUNTER_WINDOW: f64 = 30.0;
/// Time for which a counter is kept after its last call, in windows.
const COUNTER_LIFETIME_WINDOWS: f64 = 1.5;

impl PolicyEngine {
    /// Handles the result of a call to the counter service, also when no answer came.
    pub fn counter_answered(&mut self, now: f64, key: CounterKey, result: CounterResult) {
        let Some(account) = self.accounts.get_mut(&key.customer) else { return };
        let Some(position) = account.calls.iter().position(|call| call.series == key.series) else { return };
        let Some(call) = account.calls.remove(position) else { return };
        if super::permits::is_permit_series(key.series) {
            return self.permit_call_ended(now, key, &call, result);
        }
        match result {
            CounterResult::Total(total) => return self.quota_call_answered(now, key, &call, total),
            // The delta was added, but without the total no lease can be granted: a later call returns all
            // but the debt.
            CounterResult::AppliedTotalUnknown => account.unsettled += call.debt_repaid - call.delta,
            CounterResult::NotApplied => account.unsettled += call.debt_repaid,
            // The delta may have been added. The debt counts as repaid, so that it is never added twice.
            CounterResult::Unanswered => {}
        }
        let waiters = std::mem::take(&mut account.lease_waiters);
        self.stop_waiting(now, waiters);
    }

    /// Adds a counter call to the effects and records it as in flight.
    pub(super) fn call_counter(&mut self, now: f64, key: CounterKey, call: CallRequest) {
        let CallRequest { delta, debt_repaid, purpose } = call;
        let account = self.accounts.get_mut(&key.customer).expect("the customer must have an account");
        let pending = PendingCall { series: key.series, sent_at: now, delta, debt_repaid, purpose };
        account.calls.push_back(pending);
        self.counter.spend_call();
        let lifetime = COUNTER_LIFETIME_WINDOWS * COUNTER_WINDOW;
        self.effects.counter_calls.push(CounterCall { key, delta, lifetime });
    }

    /// Records that the counter answered a call.
    pub(super) fn counter_responded(&mut self, now: f64) {
        let recovery = self.counter.record_response(now);
        self.effects.log.extend(recovery);
    }

    /// Records that the counter did not answer a call in time.
    pub(super) fn counter_call_missed(&mut self, now: f64) {
        let outage = self.counter.record_miss(now);
        self.effects.log.extend(outage);
    }

    /// Records a missed call. The requests that wait for it are decided on again without waiting for the
    /// counter.
    pub(super) fn stop_waiting(&mut self, now: f64, waiters: Vec<RequestIndex>) {
        self.counter_call_missed(now);
        for index in &waiters {
            if let Some(request) = self.requests.get_mut(index) {
                request.counter_deadline = now;
            }
        }
        self.reconsider.extend(waiters);
    }
}

/// A call to a counter that is to be made.
pub(super) struct CallRequest {
    /// Amount to add, in units or permits.
    pub delta: f64,
    /// Part of `delta` that reports debt: units spent earlier, less units returned.
    pub debt_repaid: f64,
    /// Purpose of the call.
    pub purpose: CallPurpose,
}

impl CallRequest {
    /// Creates a call that returns units or a permit, or reports spent units. All of `delta` counts as debt.
    pub fn settle(delta: f64) -> CallRequest {
        CallRequest { delta, debt_repaid: delta, purpose: CallPurpose::Settle }
    }

    /// Creates a call that only reads the total, to check whether the counter answers.
    pub fn probe() -> CallRequest {
        CallRequest::settle(0.0)
    }
}
