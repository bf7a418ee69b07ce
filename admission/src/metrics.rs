//! Counters of the verdicts.
use crate::RejectReason;

/// Verdicts, counted from the creation of the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Accepted connections that replaced another connection.
    pub replaced: u64,
    /// Connections rejected with [`RejectReason::Full`].
    pub full: u64,
    /// Connections rejected with [`RejectReason::Address`].
    pub address: u64,
    /// Connections rejected with [`RejectReason::Unidentified`].
    pub unidentified: u64,
    /// Connections rejected with [`RejectReason::Rate`].
    pub rate: u64,
    /// Commands that were deferred.
    pub deferred_commands: u64,
}

impl Metrics {
    /// Counts a rejected connection.
    pub(crate) fn count_rejected(&mut self, reason: RejectReason) {
        let counter = match reason {
            RejectReason::Full => &mut self.full,
            RejectReason::Address => &mut self.address,
            RejectReason::Unidentified => &mut self.unidentified,
            RejectReason::Rate => &mut self.rate,
        };
        *counter += 1;
    }
}
