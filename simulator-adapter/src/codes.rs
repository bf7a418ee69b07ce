//! Codes of the records on the wire, with the names of the wire protocol.

/// Kind of an event record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventCode {
    /// Selects the instance of the records that follow.
    Instance,
    /// A timer fired.
    Timer,
    /// A client aborted its request.
    Aborted,
    /// A peer sent a message.
    PeerMessage,
    /// An instance stops.
    Stopped,
    /// An instance starts.
    Started,
    /// A health check ended.
    Probed,
    /// An attempt ended (a delivery, in the wire protocol).
    Completed,
    /// An endpoint list arrived, or could not be fetched.
    Listed,
    /// A counter call ended.
    Counted,
    /// A backend started to stream its response.
    Streaming,
    /// A client submitted a request.
    Submitted,
}

impl EventCode {
    /// Decodes an event code; returns `None` if it is unknown.
    pub fn decode(code: u8) -> Option<EventCode> {
        match code {
            10 => Some(EventCode::Instance),
            20 => Some(EventCode::Timer),
            30 => Some(EventCode::Aborted),
            40 => Some(EventCode::PeerMessage),
            50 => Some(EventCode::Stopped),
            60 => Some(EventCode::Started),
            70 => Some(EventCode::Probed),
            80 => Some(EventCode::Completed),
            90 => Some(EventCode::Listed),
            100 => Some(EventCode::Counted),
            110 => Some(EventCode::Streaming),
            120 => Some(EventCode::Submitted),
            _ => None,
        }
    }
}

/// Kind of an action record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ActionCode {
    /// Set a timer.
    SetTimer = 10,
    /// Answer a request with an error.
    Error = 30,
    /// Fetch the endpoint list.
    FetchList = 60,
    /// Call the counter.
    CounterCall = 70,
    /// Answer that a request is throttled.
    Throttle = 80,
    /// Send a message to a peer.
    PeerMessage = 90,
    /// Select the instance of the records that follow.
    Instance = 100,
    /// Cancel an attempt.
    Cancel = 110,
    /// Write a log line.
    Log = 120,
    /// Report a malformed frame.
    Malformed = 130,
    /// Forward a request to a backend.
    Deliver = 140,
}
