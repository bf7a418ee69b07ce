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
    /// The last attempt on it was not answered by its client's timeout.
    TimedOut,
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
            CloseReason::TimedOut => "timed-out",
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
        }
    }
}

/// The last attempt on a connection that is closed because nobody waits for a response on it.
#[derive(Clone, Debug, PartialEq)]
pub struct AbandonedAttempt {
    /// The ID that the client gave the request.
    pub request: u64,
    /// The number of the attempt within the request, from 1.
    pub number: usize,
    /// Time since the start of the attempt, in seconds.
    pub age: f64,
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
    /// The attempt that was given up, if that is why it ended.
    pub attempt: Option<AbandonedAttempt>,
}

impl fmt::Display for ClosedConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let ClosedConnection { kind, id, name, reason, attempt } = self;
        let code = reason.code();
        match name {
            Some(name) => write!(formatter, "connection {kind} {id} {name} ended: {code}")?,
            None => write!(formatter, "connection {kind} {id} ended: {code}")?,
        }
        let Some(AbandonedAttempt { request, number, age }) = attempt else { return Ok(()) };
        write!(formatter, "; attempt {number} of request {request:016x}, after {age:.3} s")
    }
}
