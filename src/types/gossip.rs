//! Gossip between gateway instances, with the sender's or receiver's own indices. [`crate::gossip`] has its form on the wire.
use super::{BackendIndex, CounterKey, InstanceRange};

/// A message between gateway instances. It may be lost and is never answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GossipMessage {
    /// To all instances: an ejected backend answers again.
    BackendRecovered {
        /// The backend.
        backend: BackendIndex,
    },
    /// To the customer's other instances: the total of one of its counts, read just now.
    CounterTotal {
        /// The count.
        key: CounterKey,
        /// The customer's plan, an index into [`EngineSettings::plans`](super::EngineSettings::plans).
        plan: usize,
        /// The gateway instances that the customer uses.
        instances: InstanceRange,
        /// The total, units.
        total: f64,
    },
}
