//! The answers of the controller.
use crate::ConnectionId;

/// What to do with a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionVerdict {
    /// Keep it.
    Accept,
    /// Keep it, and close that one, which is owed no answer.
    Replace(ConnectionId),
    /// Close it.
    Reject(RejectReason),
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectReason {
    /// All connections but those reserved for known addresses are taken.
    Full,
    /// Its address has as many connections as one may.
    Address,
    /// Its address has too many connections without a command.
    Strangers,
    /// Its address opens connections too fast.
    Rate,
}

impl RejectReason {
    /// What the client reads.
    pub fn message(self) -> &'static str {
        match self {
            RejectReason::Full => "full",
            RejectReason::Address => "too many connections of this address",
            RejectReason::Strangers => "too many connections of this address on which nothing was asked",
            RejectReason::Rate => "too many new connections of this address",
        }
    }
}

/// What to do with a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandVerdict {
    /// Take it.
    Accept,
    /// Not now; it may be sent again after so many seconds.
    RetryAfter(f64),
}
