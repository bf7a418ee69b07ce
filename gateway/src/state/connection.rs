//! Connections as the reducer names them, and why they end.
use std::fmt;

/// A connection, by what it is for. Its number is unique among those for the same purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionId {
    /// A client's connection.
    Client(u64),
    /// A connection to a backend.
    Backend(u64),
    /// A connection to the counter.
    Counter(u64),
    /// A connection to the list service.
    Discovery(u64),
    /// An operator's connection, with one call.
    Admin(u64),
}

/// Why a connection ended, as its log line reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// The other side closed it.
    Closed,
    /// The other side reset it.
    Reset,
    /// The other side did not accept it.
    Refused,
    /// What came on it breaks the protocol.
    BadFraming,
    /// It never came up in time.
    DialTimeout,
    /// It stood idle for too long.
    Idle,
    /// An attempt on it was cancelled.
    Abandoned,
    /// Its backend is draining or was removed from the endpoint list.
    Delisted,
    /// Nothing came on it for too long.
    Unresponsive,
    /// Something came on it that answers no request.
    UnexpectedData,
    /// File descriptors were short.
    DescriptorPressure,
    /// It was not accepted.
    Rejected,
    /// The configuration names another address now.
    AddressChanged,
    /// The process is stopping.
    Stopping,
    /// The instance is draining.
    Draining,
    /// An operator's call was answered, or not finished in time.
    AdminCallEnded,
    /// The backend's connection ended before a streamed value was complete.
    StreamAborted,
    /// A streamed value did not move for too long.
    StreamStalled,
}

impl CloseReason {
    /// Its code in the log.
    pub fn code(self) -> &'static str {
        match self {
            CloseReason::Closed => "closed",
            CloseReason::Reset => "reset",
            CloseReason::Refused => "refused",
            CloseReason::BadFraming => "bad-framing",
            CloseReason::DialTimeout => "dial-timeout",
            CloseReason::Idle => "idle",
            CloseReason::Abandoned => "gave-up",
            CloseReason::Delisted => "delisted",
            CloseReason::Unresponsive => "silent",
            CloseReason::UnexpectedData => "surplus",
            CloseReason::DescriptorPressure => "crowded",
            CloseReason::Rejected => "turned-away",
            CloseReason::AddressChanged => "moved",
            CloseReason::Stopping => "stopping",
            CloseReason::Draining => "draining",
            CloseReason::AdminCallEnded => "called",
            CloseReason::StreamAborted => "cut-off",
            CloseReason::StreamStalled => "stalled",
        }
    }
}

/// The end of a connection, as it is logged.
#[derive(Clone, Debug, PartialEq)]
pub struct ClosedConnection {
    /// What the connection was for, as the log names it.
    pub kind: &'static str,
    /// Its number.
    pub id: u64,
    /// The backend's name, if it was a backend's.
    pub name: Option<String>,
    /// Why it ended.
    pub reason: CloseReason,
}

impl fmt::Display for ClosedConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let ClosedConnection { kind, id, name, reason } = self;
        let code = reason.code();
        match name {
            Some(name) => write!(formatter, "connection {kind} {id} {name} ended: {code}"),
            None => write!(formatter, "connection {kind} {id} ended: {code}"),
        }
    }
}
