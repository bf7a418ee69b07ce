//! Counters of what was decided.
use crate::RejectReason;

/// Decisions, counted from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Of these, in the place of another one.
    pub replaced: u64,
    /// Rejected with [`RejectReason::Full`].
    pub full: u64,
    /// Rejected with [`RejectReason::Address`].
    pub address: u64,
    /// Rejected with [`RejectReason::Strangers`].
    pub strangers: u64,
    /// Rejected with [`RejectReason::Rate`].
    pub rate: u64,
    /// Commands that were to be sent again later.
    pub deferred_commands: u64,
}

impl Metrics {
    pub(crate) fn count_rejected(&mut self, reason: RejectReason) {
        let counter = match reason {
            RejectReason::Full => &mut self.full,
            RejectReason::Address => &mut self.address,
            RejectReason::Strangers => &mut self.strangers,
            RejectReason::Rate => &mut self.rate,
        };
        *counter += 1;
    }
}
