//! The verdicts of the controller.
use crate::ConnectionId;

/// The verdict on a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionVerdict {
    /// Accept the connection.
    Accept,
    /// Accept the connection, and close the one with this id, which has no pending commands.
    Replace(ConnectionId),
    /// Reject the connection.
    Reject(RejectReason),
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectReason {
    /// All connections except those reserved for known addresses are in use.
    Full,
    /// The client's address has reached its limit of connections.
    Address,
    /// The client's address has reached its limit of connections before their first command.
    Unidentified,
    /// The client's address opens connections faster than its rate limit.
    Rate,
}

impl RejectReason {
    /// Returns the text that is sent to the client.
    pub fn message(self) -> &'static str {
        match self {
            RejectReason::Full => "full",
            RejectReason::Address => "too many connections of this address",
            RejectReason::Unidentified => "too many connections of this address on which nothing was asked",
            RejectReason::Rate => "too many new connections of this address",
        }
    }
}

/// The verdict on a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandVerdict {
    /// Accept the command.
    Accept,
    /// Defer the command; the client may retry after this time, seconds.
    RetryAfter(f64),
}
