//! Gossip between gateway instances and its budget. Each instance accepts a limited rate of messages from all
//! others together.
use super::PolicyEngine;
use crate::state::Ejection;
use crate::types::*;

/// Minimum interval between two messages about the same customer, or about the recovery of the same backend,
/// in seconds.
const MIN_REPEAT_INTERVAL: f64 = 0.5;
/// Rate at which each instance may send, as a fraction of the rate that one instance accepts.
const SEND_FRACTION: f64 = 0.5;

/// Whether a message that was last sent or received at `gossiped_at` may be sent again.
pub(super) fn may_repeat(now: f64, gossiped_at: f64) -> bool {
    now > gossiped_at + MIN_REPEAT_INTERVAL
}

/// Token bucket for sent gossip. A message costs one token per recipient.
pub(super) struct GossipBudget {
    /// Messages per second that one instance accepts; 0 where instances cannot exchange gossip.
    intake_rate: f64,
    tokens: f64,
    max_tokens: f64,
    /// Time of the last refill, in seconds.
    updated_at: f64,
}

impl GossipBudget {
    /// Creates an empty budget. It holds at most the tokens for a message to all `instances`, or for what one
    /// instance accepts within a second, whichever is more.
    pub fn new(intake_rate: f64, instances: f64) -> GossipBudget {
        GossipBudget { intake_rate, tokens: 0.0, max_tokens: instances.max(intake_rate), updated_at: 0.0 }
    }

    /// Spends the tokens for a message to the given number of instances. Returns whether the budget allows
    /// it.
    fn try_spend(&mut self, now: f64, recipients: f64) -> bool {
        let elapsed = now - std::mem::replace(&mut self.updated_at, now);
        let earned = SEND_FRACTION * self.intake_rate * elapsed;
        self.tokens = (self.tokens + earned).min(self.max_tokens);
        let is_allowed = self.tokens >= recipients;
        if is_allowed {
            self.tokens -= recipients;
        }
        is_allowed
    }
}

impl PolicyEngine {
    /// Handles a message from another instance: an ejected backend has recovered, or a customer's counter
    /// total was read.
    pub fn gossip_received(&mut self, now: f64, message: GossipMessage) {
        match message {
            GossipMessage::BackendRecovered { backend } => self.recovery_reported(now, backend),
            GossipMessage::CounterTotal { key, plan, instances, total } => {
                let account = self.account(now, key.customer, plan, instances);
                if key.series == account.series {
                    account.observed_total = Some(total);
                    account.gossiped_at = now;
                    account.observed_at = now;
                }
            }
        }
    }

    /// Makes an ejected backend that has answered another instance available for a trial by this instance.
    fn recovery_reported(&mut self, now: f64, backend: BackendIndex) {
        let Some(backend) = self.backends.get_mut(backend) else { return };
        backend.recovery_gossiped_at = now;
        // The message may be older than the ejection, so half of the ejection must have passed.
        if let Some(ejection) =
            backend.ejection.filter(|ejection| ejection.until - now < ejection.duration / 2.0)
        {
            backend.ejection = Some(Ejection { until: now, ..ejection });
        }
    }

    /// Sends a message to the given number of instances if the budget allows it.
    pub(super) fn send_gossip(&mut self, now: f64, message: GossipMessage, recipients: f64) {
        if self.gossip_budget.try_spend(now, recipients) {
            self.effects.gossip.push(message);
        }
    }
}
