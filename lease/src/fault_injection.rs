//! Faults that a test may inject, to show that it would detect them; never set outside of tests.

/// A fault: one safeguard of the protocol does not work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A shard applies a batch again when it is retransmitted.
    ReapplyRetransmittedBatch,
    /// A bucket is full at a shard that has just started.
    StartWithFullBucket,
    /// A shard map is used as soon as it has been read.
    ActivateMapImmediately,
    /// An owner that does not know its fraction of the quota uses the configured one.
    AssumeConfiguredFraction,
    /// A transfer is deducted only when it is acknowledged.
    DeductOnAcknowledgement,
}
