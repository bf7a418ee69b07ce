//! The faults of a backend that are drawn per request.

/// The current faults of a backend: a slowdown factor, and fractions of its requests and replies.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// Factor on the execution time of each request; 1 without a fault.
    pub slowdown: f64,
    /// Fraction of requests that are executed without a reply.
    pub lost_responses: f64,
    /// Fraction of replies that cannot be parsed.
    pub malformed_responses: f64,
    /// Fraction of replies that are followed by an extra reply, which belongs to no request.
    pub surplus_responses: f64,
    /// Fraction of requests that are executed and fail with an error.
    pub errors: f64,
    /// Fraction of requests that are rejected instead of queued.
    pub rejections: f64,
    /// Fraction of writes after which the backend closes the connection.
    pub closes_after_response: f64,
    /// Fraction of long values that are truncated.
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
