//! Gossip between gateway instances, with the indices of this process. [`crate::gossip`] defines the wire format.
use super::{BackendIndex, CounterKey, InstanceRange};

/// A message between gateway instances. Messages may be lost and are never answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GossipMessage {
    /// An ejected backend answers again. Sent to all instances.
    BackendRecovered {
        /// The backend.
        backend: BackendIndex,
    },
    /// The total of a customer's counter, just read. Sent to the other instances that the customer uses.
    CounterTotal {
        /// The counter.
        key: CounterKey,
        /// The customer's plan, as an index into [`EngineSettings::plans`](super::EngineSettings::plans).
        plan: usize,
        /// The gateway instances that the customer uses.
        instances: InstanceRange,
        /// The total, in units.
        total: f64,
    },
}
