//! How much may be said to other instances.

/// A token bucket of gossip messages to one instance.
#[derive(Default)]
pub struct GossipBudget {
    /// Messages a second that one instance takes in; 0 where instances cannot talk.
    pub intake_rate: f64,
    tokens: f64,
    updated_at: f64,
}

impl GossipBudget {
    /// A budget for instances that take in so many messages a second.
    pub fn new(intake_rate: f64) -> GossipBudget {
        GossipBudget { intake_rate, ..GossipBudget::default() }
    }

    /// Whether a message may go to so many instances now; if so it is paid for. `fraction` of the intake rate is saved up, at
    /// most `limit` messages or one second of the intake rate.
    pub fn try_spend(&mut self, now: f64, recipients: f64, fraction: f64, limit: f64) -> bool {
        let elapsed = now - std::mem::replace(&mut self.updated_at, now);
        let earned = fraction * self.intake_rate * elapsed;
        self.tokens = (self.tokens + earned).min(limit.max(self.intake_rate));
        let is_allowed = self.tokens >= recipients;
        if is_allowed {
            self.tokens -= recipients;
        }
        is_allowed
    }
}
