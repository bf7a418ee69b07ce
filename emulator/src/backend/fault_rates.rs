//! How a backend is faulty.

/// What is wrong with a backend: a factor of its speed, and fractions of its replies.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// How many times slower it is.
    pub slowdown: f64,
    /// Executed, and never replied to.
    pub lost_responses: f64,
    /// Can't be parsed.
    pub malformed_responses: f64,
    /// Followed by a reply that belongs to nothing.
    pub surplus_responses: f64,
    /// Fail.
    pub errors: f64,
    /// Rejected in place of being queued.
    pub rejections: f64,
    /// Followed by the end of the connection.
    pub closes_after_response: f64,
    /// Of long values: truncated.
    pub truncated_values: f64,
}

impl Default for FaultRates {
    fn default() -> FaultRates {
        FaultRates {
            slowdown: 1.0,
            lost_responses: 0.0,
            malformed_responses: 0.0,
            surplus_responses: 0.0,
            errors: 0.0,
            rejections: 0.0,
            closes_after_response: 0.0,
            truncated_values: 0.0,
        }
    }
}
