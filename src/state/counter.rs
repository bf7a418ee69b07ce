//! The shared counter service as this instance meets it.

/// Whether the counter answers, how fast, and how often it may be called.
#[derive(Default)]
pub struct CounterHealth {
    /// Calls past their deadline in a row.
    pub consecutive_misses: u32,
    /// When a miss last lowered the call rate; 0 before the first.
    pub rate_cut_at: f64,
    /// The fraction of admitted requests that the counter was asked about.
    pub consulted_fraction: f64,
    /// When it last answered.
    pub last_answer_at: f64,
    /// Its fastest answer of late, seconds; 0 before the first.
    pub fastest_answer: f64,
    /// It has stopped answering: even shares stand in for leases.
    pub unresponsive: bool,
    /// While it is unresponsive: when it is called again.
    pub next_probe_at: f64,
    /// Seconds after which a call counts as unanswered.
    pub timeout: f64,
    /// Calls a second that this instance allows itself.
    pub call_rate: f64,
    /// Calls saved up.
    pub call_tokens: f64,
    /// When `call_tokens` was last brought up to date.
    pub tokens_updated_at: f64,
}
