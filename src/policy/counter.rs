//! Calls of the shared counter: what is remembered of each, and what its answer, or the lack of one, sets going.
use super::PolicyEngine;
use crate::state::{CallPurpose, PendingCall};
use crate::types::*;

/// A counter is named for a window of this length, seconds. Long, for the edge of a window costs a call that carries the total over.
pub(super) const WINDOW: f64 = 30.0;
/// A counter is kept for so many windows after its last call.
const LIFETIME_WINDOWS: f64 = 1.5;

impl PolicyEngine {
    /// What came of a counter call.
    pub fn counter_answered(&mut self, now: f64, key: CounterKey, result: CounterResult) {
        let Some(account) = self.accounts.get_mut(&key.customer) else { return };
        let Some(position) = account.calls.iter().position(|call| call.series == key.series) else { return };
        let Some(call) = account.calls.remove(position) else { return };
        if super::permits::is_permit_series(key.series) {
            return self.permit_answered(now, key, &call, result);
        }
        match result {
            CounterResult::Total(total) => return self.lease_answered(now, key, &call, total),
            // Added, but nobody knows what came of it: all of it goes back with a later call.
            CounterResult::AppliedTotalUnknown => account.unsettled += call.debt_repaid - call.delta,
            CounterResult::NotApplied => account.unsettled += call.debt_repaid,
            // It may have been added: the debt counts as repaid, so that nothing is added twice.
            CounterResult::Unanswered => {}
        }
        let waiters = std::mem::take(&mut account.lease_waiters);
        self.stop_waiting(now, waiters);
    }

    /// Calls the counter of a customer's series.
    pub(super) fn call_counter(&mut self, now: f64, key: CounterKey, call: CallRequest) {
        let CallRequest { delta, debt_repaid, purpose } = call;
        let account = self.accounts.get_mut(&key.customer).expect("a customer with calls has an account");
        let pending = PendingCall { series: key.series, sent_at: now, delta, debt_repaid, purpose };
        account.calls.push_back(pending);
        self.counter.spend_call();
        let lifetime = LIFETIME_WINDOWS * WINDOW;
        self.effects.counter_calls.push(CounterCall { key, delta, lifetime });
    }

    /// The counter has answered a call.
    pub(super) fn counter_responded(&mut self, now: f64) {
        let recovery = self.counter.record_response(now);
        self.effects.log.extend(recovery);
    }

    /// The counter has not answered a call in time.
    pub(super) fn counter_missed(&mut self, now: f64) {
        let outage = self.counter.record_miss(now);
        self.effects.log.extend(outage);
    }

    /// A call was missed: the requests that wait for it do so no longer.
    pub(super) fn stop_waiting(&mut self, now: f64, waiters: Vec<RequestIndex>) {
        self.counter_missed(now);
        for index in &waiters {
            if let Some(request) = self.requests.get_mut(index) {
                request.counter_deadline = now;
            }
        }
        self.reconsider.extend(waiters);
    }
}

/// A counter call to be made.
pub(super) struct CallRequest {
    /// What it adds.
    pub delta: f64,
    /// The part of `delta` that reports units spent earlier.
    pub debt_repaid: f64,
    /// What the call is for.
    pub purpose: CallPurpose,
}

impl CallRequest {
    /// Gives units back, or reports units spent: all of it is debt.
    pub fn settle(delta: f64) -> CallRequest {
        CallRequest { delta, debt_repaid: delta, purpose: CallPurpose::Settle }
    }

    /// Reads the total, to see whether the counter answers.
    pub fn probe() -> CallRequest {
        CallRequest::settle(0.0)
    }
}
