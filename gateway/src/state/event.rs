//! What happens to a front door, and what it asks to be done.
use crate::wire::admin;
use crate::wire::http::{Request, Response};
use crate::wire::resp::{BackendReply, ClientCommand, ClientReply, RequestCommand};
use quillramp_admission::Limits;
use quillramp_identity::Trust;
use quillramp_operator::broker::BrokerSettings;
use quillramp_operator::routes::Table;
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// A connection, by what it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionId {
    Client(u64),
    Backend(u64),
    Counter(u64),
    Discovery(u64),
    /// An operator's call.
    Admin(u64),
}

/// Why a connection ended, as its log line says it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// The other side closed it.
    Closed,
    Reset,
    Refused,
    BadFraming,
    /// It never came up in time.
    DialTimeout,
    Idle,
    /// A delivery on it was given up.
    Abandoned,
    /// Its backend drains or is gone.
    Delisted,
    /// It said nothing for too long.
    Unresponsive,
    /// It brought what nobody asked for.
    UnexpectedData,
    /// Descriptors ran short.
    DescriptorPressure,
    /// It was not taken in.
    Rejected,
    /// The configuration names another address now.
    AddressChanged,
    Stopping,
    /// The front door drains.
    Draining,
    /// An operator's call was answered, or not finished in time.
    AdminCallEnded,
    /// A value broke off on its way through.
    StreamAborted,
    /// A value on its way through stood still.
    StreamStalled,
}

impl CloseReason {
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

/// What an operator's file says to the front door.
#[derive(Debug, Default)]
pub struct OperatorUpdate {
    /// The limits of admission, where there are any.
    pub admission: Option<Limits>,
    /// What is declared for which invocations.
    pub routes: Table,
    /// The span in which front doors look who of them reaches the counter, seconds; none where they don't.
    pub presence_interval: Option<f64>,
    /// Contracts between teams, where there is a broker.
    pub broker: Option<BrokerSettings>,
    /// What tokens are checked against, where callers have to be known.
    pub identity: Option<Trust>,
}

/// The end of a connection, as the log has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClosedConnection {
    pub kind: &'static str,
    pub id: u64,
    /// A backend's name.
    pub name: Option<String>,
    pub reason: CloseReason,
}

impl fmt::Display for ClosedConnection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (space, name) = self.name.as_ref().map_or(("", ""), |n| (" ", n));
        write!(f, "connection {} {}{space}{name} ended: {}", self.kind, self.id, self.reason.code())
    }
}

/// What operators change for good: it is kept for the next version too.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminChange {
    /// Since when.
    EjectBackend(String, f64),
    RestoreBackend(String),
    SetDrained(bool),
}

impl AdminChange {
    pub fn apply(self, out: &mut BTreeMap<String, f64>, drained: &mut bool) {
        match self {
            AdminChange::EjectBackend(name, since) => drop(out.entry(name).or_insert(since)),
            AdminChange::RestoreBackend(name) => drop(out.remove(&name)),
            AdminChange::SetDrained(now) => *drained = now,
        }
    }
}

/// What the processes of one front door share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedState {
    /// Backends out by hand, and since when.
    pub ejected_backends: BTreeMap<String, f64>,
    pub drained: bool,
    /// Another process of this front door is there too; and it started after this one.
    pub peer_process_running: bool,
    pub peer_process_newer: bool,
    /// It leaves, and will hold no more descriptors than these.
    pub peer_descriptor_limit: Option<usize>,
}

#[derive(Debug)]
pub enum Event {
    /// A client connected, from there.
    ClientAccepted(u64, IpAddr),
    /// An operator connected.
    AdminConnected(u64),
    AdminCall(u64, admin::AdminCall),
    /// What is shared has changed: by a call from here, or by another process.
    SharedStateSaved {
        call: Option<u64>,
        shared: Result<SharedState, String>,
    },
    /// A client's connection that was to end between invocations has.
    IdleClientClosed(u64, CloseReason),
    ClientCommand(u64, ClientCommand),
    /// A reply, and whether more came right behind it.
    BackendReply(u64, BackendReply, bool),
    /// The head of a value that is to pass through; then that it has; and what stands behind.
    StreamStarted(u64),
    StreamForwarded(u64),
    StreamTrailer(u64, Option<f64>, Option<Vec<u8>>, bool),
    HttpResponse(ConnectionId, Response),
    /// The beginning of a message has come, and not yet the rest.
    PartialMessage(ConnectionId),
    /// More of a long body has come, or there is no room for more.
    BodyProgress(u64, bool),
    /// A connection that was asked for is up.
    Connected(ConnectionId),
    /// This delivery was taken out of the buffer of a backend's connection before any of its bytes was written.
    Withdrawn {
        connection: u64,
        attempt: u64,
    },
    /// A connection ended that nobody here closed; `unsent`: not all that was written to it has left.
    ConnectionEnded {
        connection: ConnectionId,
        reason: CloseReason,
        unsent: bool,
    },
    Datagram {
        from: SocketAddr,
        body: Vec<u8>,
    },
    /// Accepting found no descriptor left for one more client.
    DescriptorsExhausted,
    /// The configuration was read again: where the list service and the counter are now.
    ConfigurationReloaded {
        discovery: SocketAddr,
        counter: Option<SocketAddr>,
    },
    /// The operator's file was read again, all of it well.
    OperatorFileReloaded(Box<OperatorUpdate>),
    /// The configuration was to be read again, and can't be.
    ReloadFailed(String),
    Shutdown,
}

#[derive(Debug)]
pub enum Effect {
    Reply(u64, ClientReply),
    /// The last word to a client that is not taken in.
    Reject(u64, &'static str),
    /// To an operator; that side of the connection ends with it.
    AdminRespond(u64, admin::AdminResponse),
    /// To be kept for the next version, and told to this one's other process.
    SaveChange(u64, AdminChange),
    /// From now on this process holds no more descriptors than these: the other one may have the rest.
    AnnounceDescriptorLimit(usize),
    /// Ends a client's connection unless something has come on it that nobody has read.
    CloseIfIdle(u64, CloseReason),
    /// Nothing more is heard of this client but its end.
    StopReading(u64),
    /// Writes a call to a backend's connection, with the milliseconds that we shall wait for its answer.
    SendAttempt {
        connection: u64,
        /// Its number, unique on this connection.
        delivery: u64,
        call: Arc<RequestCommand>,
        timeout_ms: u64,
    },
    /// Takes a delivery back out of its connection's buffer, if none of its bytes has been written yet.
    Withdraw {
        connection: u64,
        delivery: u64,
    },
    /// What has begun on this backend's connection passes to that client, or to nobody.
    Stream(u64, Option<u64>),
    /// Ends a backend's connection on which a value is on its way through, if its backend has been silent for so many
    /// seconds while its client took all there was, or if nothing has moved for so many, for whatever reason.
    CloseIfStalled {
        connection: u64,
        unresponsive_for: f64,
        stalled_for: f64,
    },
    HttpRequest(ConnectionId, Request),
    Connect(ConnectionId, SocketAddr),
    /// What was written before it leaves first.
    Close(ConnectionId),
    SendDatagram(SocketAddr, Vec<u8>),
    Log(String),
    LogClosed(ClosedConnection),
    StopAccepting,
    /// Once all that was written has left.
    Exit,
    /// At once: there is no more time.
    ExitImmediately,
}
