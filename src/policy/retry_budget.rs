//! Retry budget: limits the attempts of requests that may already have run to a fraction of all attempts, so
//! that retries and hedged requests never multiply the load of failing backends.

/// Tokens earned by each attempt. Attempts of requests that may already have run are limited to this fraction
/// of all attempts.
const TOKENS_PER_ATTEMPT: f64 = 0.1;
/// Tokens spent by an attempt of a request that may already have run.
const RETRY_COST: f64 = 1.0;
/// Maximum number of tokens.
const MAX_TOKENS: f64 = 20.0;
/// Initial number of tokens.
const INITIAL_TOKENS: f64 = MAX_TOKENS / 2.0;

/// Token bucket for retries and hedged requests. Each attempt earns a tenth of a token; an attempt of a
/// request that may already have run costs one.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that is half full.
    pub fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// Whether a request that may already have run may be sent again.
    pub fn allows_retry(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    /// Records an attempt. It costs a token if the request may already have run (`may_have_run`).
    pub fn record_attempt(&mut self, may_have_run: bool) {
        let spent = if may_have_run { RETRY_COST } else { 0.0 };
        self.tokens = (self.tokens + TOKENS_PER_ATTEMPT - spent).min(MAX_TOKENS);
    }
}
