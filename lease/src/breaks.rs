//! Guards that a test may switch off to show that it would notice; never set outside of tests.

/// A guard that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// A batch that comes again is applied again.
    ForgetSequence,
    /// A bucket begins full at a shard that has just started.
    StartFull,
    /// A map is used as soon as it is read.
    IgnoreActiveAt,
    /// An owner that does not know its share uses the configured one.
    IgnoreFloor,
    /// A transfer is deducted when it is acknowledged.
    DeductLate,
}
