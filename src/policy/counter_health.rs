//! How often the shared counter is called, and when it counts as unresponsive.
//!
//! The instances share a rate of calls. The capacity of the counter is not known, so it is searched for: an answer that comes while calls
//! run short raises the rate, a missed call lowers it.
use crate::state::update_fraction;
use crate::types::{CounterSettings, PolicyLogMessage};

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
/// The fraction of requests that the counter was called for counts for this at least.
const MIN_CONSULTED_FRACTION: f64 = 0.1;
/// The weight of one request in that fraction.
const CONSULTED_STEP: f64 = 0.05;

/// Whether the counter answers, how fast, and how often it may be called.
#[derive(Default)]
pub(super) struct CounterHealth {
    /// Calls past their deadline in a row.
    consecutive_misses: u32,
    /// When a miss last lowered the call rate; 0 before the first.
    rate_cut_at: f64,
    /// The fraction of admitted requests that the counter was called for, from 0 to 1.
    consulted_fraction: f64,
    /// When it last answered.
    last_answer_at: f64,
    /// Its fastest answer of late, seconds; 0 before the first.
    fastest_answer: f64,
    /// It has stopped answering: even shares stand in for leases.
    unresponsive: bool,
    /// While it is unresponsive: when it is called again.
    next_probe_at: f64,
    /// Seconds after which a call counts as unanswered.
    timeout: f64,
    /// Calls a second that this instance allows itself at least.
    min_call_rate: f64,
    /// Calls a second that it allows itself now.
    call_rate: f64,
    /// Calls saved up.
    call_tokens: f64,
    /// When `call_tokens` was last brought up to date.
    tokens_updated_at: f64,
}

impl CounterHealth {
    /// A counter that is called at this instance's part of the initial rate; unresponsive where there is none.
    pub fn new(settings: Option<CounterSettings>, instances: f64) -> CounterHealth {
        let call_rate = INITIAL_CALL_RATE / instances;
        CounterHealth {
            min_call_rate: MIN_CALL_RATE / instances,
            call_rate,
            call_tokens: call_rate * CALL_SAVING_SPAN,
            timeout: settings.map_or(0.0, |counter| counter.timeout),
            unresponsive: settings.is_none(),
            consulted_fraction: 1.0,
            ..CounterHealth::default()
        }
    }

    /// From now on silence counts: no call was made to the counter before.
    pub fn start(&mut self, now: f64) {
        self.last_answer_at = now;
        self.tokens_updated_at = now;
    }

    /// Whether it has stopped answering, or there is none: even shares stand in for leases.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Seconds after which a call counts as unanswered.
    pub fn timeout(&self) -> f64 {
        self.timeout
    }

    /// Its fastest answer of late, seconds; 0 before the first.
    pub fn fastest_answer(&self) -> f64 {
        self.fastest_answer
    }

    /// The fraction of admitted requests that it was called for, for estimates that divide by it.
    pub fn consulted_fraction(&self) -> f64 {
        self.consulted_fraction.max(MIN_CONSULTED_FRACTION)
    }

    /// Whether a request is decided without the counter: it is unresponsive, has been waited for (`waited`), or calls are short
    /// while none is in flight that would do. What can do without the counter (`is_optional`) leaves some calls to others.
    pub fn should_skip(&self, waited: bool, call_in_flight: bool, is_optional: bool) -> bool {
        let needed = if is_optional { (self.call_rate * CALL_SAVING_SPAN / 2.0).max(1.0) } else { 1.0 };
        self.unresponsive || waited || !call_in_flight && self.call_tokens < needed
    }

    /// Whether a call may be made that can also do without the counter.
    pub fn allows_optional_call(&self) -> bool {
        !self.should_skip(false, false, true)
    }

    /// A call has been made.
    pub fn spend_call(&mut self) {
        self.call_tokens -= 1.0;
    }

    /// Saves up the calls of the time since the last look.
    pub fn refill_tokens(&mut self, now: f64) {
        let most = (self.call_rate * CALL_SAVING_SPAN).max(MIN_SAVED_CALLS);
        let earned = self.call_rate * (now - self.tokens_updated_at);
        self.call_tokens = (self.call_tokens + earned).min(most);
        self.tokens_updated_at = now;
    }

    /// A request was admitted, with or without a call for it.
    pub fn record_admission(&mut self, was_consulted: bool) {
        update_fraction(&mut self.consulted_fraction, was_consulted, CONSULTED_STEP);
    }

    /// Learns how fast the counter answers, seconds.
    pub fn record_answer_time(&mut self, seconds: f64) {
        let fastest = self.fastest_answer;
        self.fastest_answer =
            if fastest > 0.0 { (fastest * (1.0 + FASTEST_ANSWER_DECAY)).min(seconds) } else { seconds };
    }

    /// Whether an unresponsive counter is to be probed now.
    pub fn is_probe_due(&self, now: f64) -> bool {
        self.unresponsive && now >= self.next_probe_at && self.timeout > 0.0
    }

    /// A probe has been sent.
    pub fn schedule_next_probe(&mut self, now: f64) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// It has answered a call. Returns what to log if it had been unresponsive.
    pub fn record_response(&mut self, now: f64) -> Option<PolicyLogMessage> {
        let gap = now - self.last_answer_at;
        let has_recovered = std::mem::take(&mut self.unresponsive);
        if has_recovered {
            let reduced = self.call_rate * RECOVERY_RATE_FRACTION;
            self.call_rate = reduced.max(self.min_call_rate);
        }
        self.consecutive_misses = 0;
        self.last_answer_at = now;
        self.raise_rate();
        has_recovered.then_some(PolicyLogMessage::CounterRecovered { gap })
    }

    /// A call was not answered in time. Returns what to log if the counter counts as unresponsive from now on.
    pub fn record_miss(&mut self, now: f64) -> Option<PolicyLogMessage> {
        self.consecutive_misses += 1;
        self.cut_rate(now);
        let missed_calls = self.consecutive_misses;
        let gap = now - self.last_answer_at;
        if self.unresponsive || missed_calls < MISSES_UNTIL_UNRESPONSIVE || gap <= CALL_SAVING_SPAN {
            return None;
        }
        self.unresponsive = true;
        self.schedule_next_probe(now);
        Some(PolicyLogMessage::CounterUnresponsive { missed_calls, gap })
    }

    fn raise_rate(&mut self) {
        let has_missed = self.rate_cut_at > 0.0;
        let step = if has_missed { RATE_STEP_AFTER_MISS } else { RATE_STEP_BEFORE_MISS };
        if !self.allows_optional_call() {
            self.call_rate += step;
        }
    }

    fn cut_rate(&mut self, now: f64) {
        // Calls missed within one time-out show the same congestion: the rate is cut once.
        if now > self.rate_cut_at + self.timeout {
            let cut = MAX_RATE_CUT.min(self.call_rate * MAX_RATE_CUT_FRACTION);
            self.call_rate = (self.call_rate - cut).max(self.min_call_rate);
            self.rate_cut_at = now;
        }
    }
}
