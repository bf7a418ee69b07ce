//! Codes of the records on the wire.

/// What an event record reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventCode {
    /// The records that follow are of this instance.
    Instance,
    /// A timer rings.
    Timer,
    /// A client is gone.
    Aborted,
    /// Another instance has sent a message.
    PeerMessage,
    /// An instance ends.
    Stopped,
    /// An instance starts.
    Started,
    /// A probe has ended.
    Probed,
    /// A delivery has ended.
    Completed,
    /// A list of backends.
    Listed,
    /// A counter call has ended.
    Counted,
    /// A backend's answer is passed on as it comes.
    Streaming,
    /// A client has sent a request.
    Submitted,
}

impl EventCode {
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

/// What an action record asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ActionCode {
    /// Set a timer.
    SetTimer = 10,
    /// Answer a client with an error.
    Error = 30,
    /// Ask for the list of backends.
    FetchList = 60,
    /// Call the counter.
    CounterCall = 70,
    /// Answer a client that it is throttled.
    Throttle = 80,
    /// Send a message to another instance.
    PeerMessage = 90,
    /// The records that follow are of this instance.
    Instance = 100,
    /// Cancel a delivery.
    Cancel = 110,
    /// Write a log line.
    Log = 120,
    /// A frame could not be read.
    Malformed = 130,
    /// Deliver a request to a backend.
    Deliver = 140,
}
