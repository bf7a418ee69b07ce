//! Faults that a test injects to show that it detects them. They are never set outside of tests.

/// A fault that disables one safeguard of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A shard applies a retransmitted batch again.
    ReapplyRetransmittedBatch,
    /// The buckets of a shard that has just started are full instead of empty.
    StartWithFullBucket,
    /// A shard map takes effect when it is read instead of at its `active_at`.
    ActivateMapImmediately,
    /// An owner that has not been reconciled with the other owner uses the configured fraction of the quota
    /// instead of the floor.
    AssumeConfiguredFraction,
    /// The sender of a transfer deducts it when it is acknowledged instead of before sending it.
    DeductOnAcknowledgement,
}
