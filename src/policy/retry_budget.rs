//! How many requests that may have run already can be sent again: a fraction of all attempts, so that retries and hedges never
//! multiply the load of backends that fail.

/// Tokens that an attempt earns: retries of what may have run are held to this fraction of all attempts.
const EARNED_BY_ATTEMPT: f64 = 0.1;
/// Tokens that such a retry costs.
const RETRY_COST: f64 = 1.0;
/// Tokens that are saved up at most.
const MAX_TOKENS: f64 = 20.0;
/// Tokens at the start.
const INITIAL_TOKENS: f64 = MAX_TOKENS / 2.0;

/// A bucket of retry tokens. Every attempt earns a tenth of a token; a retry or hedge of a request that may have run costs one.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget that is half full.
    pub fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// Whether a request that may have run can be sent again.
    pub fn allows_retry(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    /// An attempt was sent. `may_have_run`: its request may have run before, so that it is paid for.
    pub fn record_attempt(&mut self, may_have_run: bool) {
        let spent = if may_have_run { RETRY_COST } else { 0.0 };
        self.tokens = (self.tokens + EARNED_BY_ATTEMPT - spent).min(MAX_TOKENS);
    }
}
