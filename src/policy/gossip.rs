//! Gossip between gateway instances, and its budget: each instance accepts so many messages a second, and all others send to it.
use super::PolicyEngine;
use crate::state::Ejection;
use crate::types::*;

/// The least interval between two messages about one customer, or about one backend's recovery, seconds.
const INTERVAL: f64 = 0.5;
/// The fraction of what an instance takes in of gossip that each may send.
const SEND_FRACTION: f64 = 0.5;

/// Whether a message may be sent again that was last sent, or received, at that time.
pub(super) fn may_repeat(now: f64, gossiped_at: f64) -> bool {
    now > gossiped_at + INTERVAL
}

/// A token bucket that gossip is paid from: a token for each message and each instance that it goes to.
pub(super) struct GossipBudget {
    /// Messages a second that one instance takes in; 0 where instances cannot talk.
    intake_rate: f64,
    tokens: f64,
    max_tokens: f64,
    updated_at: f64,
}

impl GossipBudget {
    /// An empty budget where so many instances each take in so many messages a second. A message to all of them, or what one
    /// takes in within a second, can be saved up.
    pub fn new(intake_rate: f64, instances: f64) -> GossipBudget {
        GossipBudget { intake_rate, tokens: 0.0, max_tokens: instances.max(intake_rate), updated_at: 0.0 }
    }

    /// Whether a message may go to so many instances now; if so it is paid for.
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
    /// Another instance has had an answer of a backend that it had ejected, or has seen a customer's total.
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

    /// An ejected backend has answered another instance: it is tried here too.
    fn recovery_reported(&mut self, now: f64, backend: BackendIndex) {
        let Some(backend) = self.backends.get_mut(backend) else { return };
        backend.recovery_gossiped_at = now;
        // The message may be older than the ejection: half of its duration passes first.
        if let Some(ejection) =
            backend.ejection.filter(|ejection| ejection.until - now < ejection.duration / 2.0)
        {
            backend.ejection = Some(Ejection { until: now, ..ejection });
        }
    }

    /// Sends a message to so many instances, as far as they can take it in.
    pub(super) fn send_gossip(&mut self, now: f64, message: GossipMessage, recipients: f64) {
        if self.gossip_budget.try_spend(now, recipients) {
            self.effects.gossip.push(message);
        }
    }
}
