//! Identifiers of connections, and the reasons why connections end.
use std::fmt;

/// Identifies a connection by its purpose and an ID that is unique among connections of that purpose.
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
    /// An operator's connection, which carries one call.
    Admin(u64),
}

/// Why a connection ended; the log line of its end shows the code of the reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// The remote side closed it.
    Closed,
    /// The remote side reset it.
    Reset,
    /// The remote side refused it.
    Refused,
    /// The bytes received on it violate the protocol.
    BadFraming,
    /// It was not established in time.
    DialTimeout,
    /// It was idle for too long.
    Idle,
    /// All attempts on it were cancelled.
    Abandoned,
    /// Its backend accepts no new attempts (draining, removed from the endpoint list or ejected by an
    /// operator), or this process hands over to the next one.
    Delisted,
    /// No response arrived on it in time.
    Unresponsive,
    /// Data arrived on it that belongs to no request.
    UnexpectedData,
    /// File descriptors were running out.
    DescriptorPressure,
    /// Admission rejected it.
    Rejected,
    /// The configuration names a new address for the service.
    AddressChanged,
    /// The process is stopping.
    Stopping,
    /// The instance is draining.
    Draining,
    /// The operator's call was answered, or not completed in time.
    AdminCallEnded,
    /// The backend's connection ended before a streamed value was complete.
    StreamAborted,
    /// A streamed value made no progress for too long.
    StreamStalled,
}

impl CloseReason {
    /// Returns the code of this reason in the log.
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

/// The log line for the end of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct ClosedConnection {
    /// The purpose of the connection, as the log names it.
    pub kind: &'static str,
    /// The ID of the connection.
    pub id: u64,
    /// The name of the backend, for a backend's connection.
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
