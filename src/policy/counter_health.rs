//! Health of the shared counter: how often it may be called, and when it counts as unresponsive.
//!
//! All instances together share a rate of calls. The capacity of the counter is unknown, so each instance
//! adapts its rate: an answer raises the rate while call tokens are short, and a missed call lowers the rate.
use crate::state::update_fraction;
use crate::types::{CounterSettings, PolicyLogMessage};

/// Minimum call rate of all instances together, in calls per second.
const MIN_CALL_RATE: f64 = 20.0;
/// Initial call rate of all instances together, in calls per second.
const INITIAL_CALL_RATE: f64 = 400.0;
/// Increase of the call rate per answer before the first missed call, in calls per second.
const RATE_STEP_BEFORE_MISS: f64 = 1.0;
/// Increase of the call rate per answer after the first missed call, in calls per second.
const RATE_STEP_AFTER_MISS: f64 = 0.25;
/// Maximum decrease of the call rate after missed calls, in calls per second.
const MAX_RATE_CUT: f64 = 2.5;
/// Maximum decrease of the call rate after missed calls, as a fraction of the rate.
const MAX_RATE_CUT_FRACTION: f64 = 0.2;
/// Fraction of the call rate that remains once an unresponsive counter answers again, so that the instances
/// do not all return at once.
const RECOVERY_RATE_FRACTION: f64 = 0.25;
/// Capacity of the call token bucket, in seconds of the call rate. A counter that has answered within this
/// time does not count as unresponsive.
const CALL_BURST_SPAN: f64 = 0.2;
/// Minimum capacity of the call token bucket, in calls.
const MIN_CALL_CAPACITY: f64 = 4.0;
/// Number of consecutive missed calls after which the counter counts as unresponsive.
const MISSES_UNTIL_UNRESPONSIVE: u32 = 4;
/// Interval between probes of an unresponsive counter, in seconds.
const PROBE_INTERVAL: f64 = 0.25;
/// Relative increase of the fastest answer time per answer, so that an old minimum expires.
const FASTEST_ANSWER_DECAY: f64 = 0.0002;
/// Lower bound of the consulted fraction, since estimates divide by it.
const MIN_CONSULTED_FRACTION: f64 = 0.1;
/// Weight of one request in the consulted fraction.
const CONSULTED_STEP: f64 = 0.05;

/// Health of the counter as this instance observes it, and how often it may be called.
#[derive(Default)]
pub(super) struct CounterHealth {
    /// Number of consecutive missed calls.
    consecutive_misses: u32,
    /// Time when a missed call last lowered the call rate, in seconds; 0 before the first.
    rate_cut_at: f64,
    /// Fraction of admitted requests that the counter was called for, 0 to 1.
    consulted_fraction: f64,
    /// Time of the last answer, in seconds.
    last_answer_at: f64,
    /// Fastest recent answer time, in seconds; 0 before the first answer.
    fastest_answer: f64,
    /// Whether the counter has stopped answering, or there is none. Even shares then replace leases.
    unresponsive: bool,
    /// Time of the next probe while the counter is unresponsive, in seconds.
    next_probe_at: f64,
    /// Time after which a call counts as missed, in seconds.
    timeout: f64,
    /// Minimum call rate of this instance, in calls per second.
    min_call_rate: f64,
    /// Current call rate of this instance, in calls per second.
    call_rate: f64,
    /// Tokens in the call token bucket. Each call spends one.
    call_tokens: f64,
    /// Time when `call_tokens` was last refilled, in seconds.
    tokens_updated_at: f64,
}

impl CounterHealth {
    /// Creates the state of a counter that is called at this instance's part of the initial rate. Without
    /// settings there is no counter, and it counts as unresponsive.
    pub fn new(settings: Option<CounterSettings>, instances: f64) -> CounterHealth {
        let call_rate = INITIAL_CALL_RATE / instances;
        CounterHealth {
            min_call_rate: MIN_CALL_RATE / instances,
            call_rate,
            call_tokens: call_rate * CALL_BURST_SPAN,
            timeout: settings.map_or(0.0, |counter| counter.timeout),
            unresponsive: settings.is_none(),
            consulted_fraction: 1.0,
            ..CounterHealth::default()
        }
    }

    /// Starts counting the time without an answer: no call was made before.
    pub fn start(&mut self, now: f64) {
        self.last_answer_at = now;
        self.tokens_updated_at = now;
    }

    /// Whether the counter has stopped answering, or there is none. Even shares then replace leases.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Returns the time after which a call counts as missed, in seconds.
    pub fn timeout(&self) -> f64 {
        self.timeout
    }

    /// Returns the fastest recent answer time, in seconds; 0 before the first answer.
    pub fn fastest_answer(&self) -> f64 {
        self.fastest_answer
    }

    /// Returns the fraction of admitted requests that the counter was called for, bounded so that estimates
    /// can divide by it.
    pub fn consulted_fraction(&self) -> f64 {
        self.consulted_fraction.max(MIN_CONSULTED_FRACTION)
    }

    /// Whether a request is decided without a call: the counter is unresponsive, the request's wait for it
    /// has ended, or no suitable call is in flight and too few call tokens are left. A request that can do
    /// without the counter (`is_optional`) leaves some of the tokens to others.
    pub fn should_skip(&self, wait_ended: bool, call_in_flight: bool, is_optional: bool) -> bool {
        let required_tokens =
            if is_optional { (self.call_rate * CALL_BURST_SPAN / 2.0).max(1.0) } else { 1.0 };
        self.unresponsive || wait_ended || !call_in_flight && self.call_tokens < required_tokens
    }

    /// Whether a call may be made now for a purpose that can do without it.
    pub fn allows_optional_call(&self) -> bool {
        !self.should_skip(false, false, true)
    }

    /// Records a call to the counter.
    pub fn spend_call(&mut self) {
        self.call_tokens -= 1.0;
    }

    /// Adds the call tokens earned since the last refill.
    pub fn refill_tokens(&mut self, now: f64) {
        let max_tokens = (self.call_rate * CALL_BURST_SPAN).max(MIN_CALL_CAPACITY);
        let earned = self.call_rate * (now - self.tokens_updated_at);
        self.call_tokens = (self.call_tokens + earned).min(max_tokens);
        self.tokens_updated_at = now;
    }

    /// Records an admitted request, and whether the counter was called for it.
    pub fn record_admission(&mut self, was_consulted: bool) {
        update_fraction(&mut self.consulted_fraction, was_consulted, CONSULTED_STEP);
    }

    /// Records the answer time of a call, in seconds.
    pub fn record_answer_time(&mut self, seconds: f64) {
        let fastest = self.fastest_answer;
        self.fastest_answer =
            if fastest > 0.0 { (fastest * (1.0 + FASTEST_ANSWER_DECAY)).min(seconds) } else { seconds };
    }

    /// Whether a probe of an unresponsive counter is due.
    pub fn is_probe_due(&self, now: f64) -> bool {
        self.unresponsive && now >= self.next_probe_at && self.timeout > 0.0
    }

    /// Schedules the next probe after one was sent.
    pub fn schedule_next_probe(&mut self, now: f64) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Records an answer. Returns the message to log if the counter was unresponsive.
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

    /// Records a missed call. Returns the message to log if the counter counts as unresponsive from now on.
    pub fn record_miss(&mut self, now: f64) -> Option<PolicyLogMessage> {
        self.consecutive_misses += 1;
        self.cut_rate(now);
        let missed_calls = self.consecutive_misses;
        let gap = now - self.last_answer_at;
        if self.unresponsive || missed_calls < MISSES_UNTIL_UNRESPONSIVE || gap <= CALL_BURST_SPAN {
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
        // Calls missed within one timeout result from the same congestion, so the rate is lowered once.
        if now > self.rate_cut_at + self.timeout {
            let cut = MAX_RATE_CUT.min(self.call_rate * MAX_RATE_CUT_FRACTION);
            self.call_rate = (self.call_rate - cut).max(self.min_call_rate);
            self.rate_cut_at = now;
        }
    }
}
