//! How often the shared counter is called, and when it counts as unresponsive.
//!
//! The instances share a rate of calls. Nothing tells what the counter bears, so that is sought: an answer that comes while calls
//! run short raises the rate, a missed call lowers it.
use super::PolicyEngine;
use crate::state::{CallPurpose, CounterHealth, PendingCall};
use crate::types::*;

/// A counter is named for a window of this length, seconds. Long, for the edge of a window costs a call that carries the total over.
pub(super) const WINDOW: f64 = 30.0;
/// A counter is kept for so many windows after its last call.
const LIFETIME_WINDOWS: f64 = 1.5;
/// Calls a second of all instances together: the least,
const MIN_CALL_RATE: f64 = 20.0;
/// and at the start.
const INITIAL_CALL_RATE: f64 = 400.0;
/// Calls a second by which an answer raises the rate before the first miss,
const RATE_STEP_BEFORE_MISS: f64 = 1.0;
/// and after it.
const RATE_STEP_AFTER_MISS: f64 = 0.25;
/// Calls a second by which a miss lowers the rate at most,
const MAX_RATE_CUT: f64 = 2.5;
/// and the fraction of the rate that it takes off at most.
const MAX_RATE_CUT_FRACTION: f64 = 0.2;
/// A counter that answers again is called at this fraction of the former rate, so that instances do not come back together.
const RECOVERY_RATE_FRACTION: f64 = 0.25;
/// Calls are saved up for so long, seconds,
const CALL_SAVING_SPAN: f64 = 0.2;
/// and so many at least.
const MIN_SAVED_CALLS: f64 = 4.0;
/// So many calls in a row past their deadline make the counter unresponsive.
const MISSES_UNTIL_UNRESPONSIVE: u32 = 4;
/// An unresponsive counter is probed this often, seconds.
const PROBE_INTERVAL: f64 = 0.25;
/// The fraction by which an answer raises the memory of the fastest one, so that it is forgotten in time.
const FASTEST_ANSWER_DECAY: f64 = 0.0002;

impl CounterHealth {
    /// A counter that is called at this instance's part of the initial rate; unresponsive where there is none.
    pub(super) fn new(settings: Option<CounterSettings>, instances: f64) -> CounterHealth {
        let call_rate = INITIAL_CALL_RATE / instances;
        CounterHealth {
            call_rate,
            call_tokens: call_rate * CALL_SAVING_SPAN,
            timeout: settings.map_or(0.0, |counter| counter.timeout),
            unresponsive: settings.is_none(),
            consulted_fraction: 1.0,
            ..CounterHealth::default()
        }
    }

    /// Whether a request is decided without the counter: it is unresponsive, has been waited for (`waited`), or calls are short
    /// while none is in flight that would do. What can do without the counter (`is_optional`) leaves some calls to others.
    pub(super) fn should_skip(&self, waited: bool, call_in_flight: bool, is_optional: bool) -> bool {
        let needed = if is_optional { (self.call_rate * CALL_SAVING_SPAN / 2.0).max(1.0) } else { 1.0 };
        self.unresponsive || waited || !call_in_flight && self.call_tokens < needed
    }

    /// Saves up the calls of the time since the last look.
    pub(super) fn refill_tokens(&mut self, now: f64) {
        let most = (self.call_rate * CALL_SAVING_SPAN).max(MIN_SAVED_CALLS);
        let earned = self.call_rate * (now - self.tokens_updated_at);
        self.call_tokens = (self.call_tokens + earned).min(most);
        self.tokens_updated_at = now;
    }

    /// Learns how fast the counter answers, seconds.
    pub(super) fn record_answer_time(&mut self, seconds: f64) {
        let fastest = self.fastest_answer;
        self.fastest_answer =
            if fastest > 0.0 { (fastest * (1.0 + FASTEST_ANSWER_DECAY)).min(seconds) } else { seconds };
    }

    /// Whether an unresponsive counter is to be probed now.
    pub(super) fn is_probe_due(&self, now: f64) -> bool {
        self.unresponsive && now >= self.next_probe_at && self.timeout > 0.0
    }

    /// A probe has been sent.
    pub(super) fn schedule_next_probe(&mut self, now: f64) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    fn raise_rate(&mut self) {
        let has_missed = self.rate_cut_at > 0.0;
        let step = if has_missed { RATE_STEP_AFTER_MISS } else { RATE_STEP_BEFORE_MISS };
        if self.should_skip(false, false, true) {
            self.call_rate += step;
        }
    }

    fn cut_rate(&mut self, now: f64, least: f64) {
        // Calls missed within one time-out show the same congestion: the rate is cut once.
        if now > self.rate_cut_at + self.timeout {
            let cut = MAX_RATE_CUT.min(self.call_rate * MAX_RATE_CUT_FRACTION);
            self.call_rate = (self.call_rate - cut).max(least);
            self.rate_cut_at = now;
        }
    }
}

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
        self.counter.call_tokens -= 1.0;
        let lifetime = LIFETIME_WINDOWS * WINDOW;
        self.effects.counter_calls.push(CounterCall { key, delta, lifetime });
    }

    pub(super) fn counter_responded(&mut self, now: f64) {
        if self.counter.unresponsive {
            let gap = now - self.counter.last_answer_at;
            self.effects.log.push(PolicyLogMessage::CounterRecovered { gap });
            let reduced = self.counter.call_rate * RECOVERY_RATE_FRACTION;
            self.counter.call_rate = reduced.max(MIN_CALL_RATE / self.instances);
        }
        self.counter.unresponsive = false;
        self.counter.consecutive_misses = 0;
        self.counter.last_answer_at = now;
        self.counter.raise_rate();
    }

    pub(super) fn counter_missed(&mut self, now: f64) {
        let least = MIN_CALL_RATE / self.instances;
        let counter = &mut self.counter;
        counter.consecutive_misses += 1;
        counter.cut_rate(now, least);
        let missed_calls = counter.consecutive_misses;
        let gap = now - counter.last_answer_at;
        if !counter.unresponsive && missed_calls >= MISSES_UNTIL_UNRESPONSIVE && gap > CALL_SAVING_SPAN {
            counter.unresponsive = true;
            counter.schedule_next_probe(now);
            self.effects.log.push(PolicyLogMessage::CounterUnresponsive { missed_calls, gap });
        }
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
        CallRequest { delta, debt_repaid: delta, purpose: CallPurpose::GiveBack }
    }

    /// Reads the total, to see whether the counter answers.
    pub fn probe() -> CallRequest {
        CallRequest::settle(0.0)
    }
}
