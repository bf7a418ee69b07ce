//! Events, which the reducer takes in, and effects, which it wants to be carried out.
use super::log_message::LogMessage;
use crate::wire::admin;
use crate::wire::http::{Request, Response};
use crate::wire::resp::{BackendReply, ClientCommand, ClientReply, RequestCommand};
use quillramp_admission::Limits;
use quillramp_identity::Trust;
use quillramp_operator::broker::BrokerSettings;
use quillramp_operator::routes::Table;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

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

/// What an operator's file declares for an instance.
#[derive(Debug, Default)]
pub struct OperatorUpdate {
    /// The limits of admission, where there are any.
    pub admission: Option<Limits>,
    /// The limits that are declared for requests.
    pub routes: Table,
    /// How often instances look which of them reach the counter, in seconds; none where they don't.
    pub presence_interval: Option<f64>,
    /// Contracts between teams, where there is a broker.
    pub broker: Option<BrokerSettings>,
    /// What tokens are validated against, where callers have to be known.
    pub identity: Option<Trust>,
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

/// A change by an operator, which is saved for the next process too.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminChange {
    /// No new attempts are sent to a backend.
    EjectBackend {
        /// The backend's name.
        name: String,
        /// Since when it is ejected, in seconds.
        since: f64,
    },
    /// Attempts are sent to the backend of this name again.
    RestoreBackend(String),
    /// Whether the instance is drained.
    SetDrained(bool),
}

impl AdminChange {
    /// Makes the change to these parts of the shared state.
    pub fn apply(self, ejected_backends: &mut BTreeMap<String, f64>, drained: &mut bool) {
        match self {
            AdminChange::EjectBackend { name, since } => {
                ejected_backends.entry(name).or_insert(since);
            }
            AdminChange::RestoreBackend(name) => {
                ejected_backends.remove(&name);
            }
            AdminChange::SetDrained(is_drained) => *drained = is_drained,
        }
    }
}

/// What the processes of one instance share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedState {
    /// Backends that operators have ejected, and since when, in seconds.
    pub ejected_backends: BTreeMap<String, f64>,
    /// An operator has drained the instance.
    pub drained: bool,
    /// Another process of this instance is running too.
    pub peer_process_running: bool,
    /// That process started after this one.
    pub peer_process_newer: bool,
    /// That process is stopping, and will hold no more descriptors than these.
    pub peer_descriptor_limit: Option<usize>,
}

/// The shared state could not be saved. Whoever saves it says why; to the reducer that is a text for operators.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SaveError(Box<dyn Error + Send + Sync>);

impl SaveError {
    /// The state could not be saved because of this.
    pub fn new(cause: impl Error + Send + Sync + 'static) -> SaveError {
        SaveError(Box::new(cause))
    }
}

/// What has happened. Numbers are those of connections, unless stated otherwise.
#[derive(Debug)]
pub enum Event {
    /// A client connected.
    ClientAccepted {
        /// The client's connection.
        client: u64,
        /// The address that it connected from.
        address: IpAddr,
    },
    /// An operator connected.
    AdminConnected(u64),
    /// An operator's call.
    AdminCall {
        /// The operator's connection.
        connection: u64,
        /// What the operator asks for.
        call: admin::AdminCall,
    },
    /// The shared state was saved, or could not be: for an operator's call on this connection, or by another process.
    SharedStateSaved {
        /// The operator's connection; `None` where another process saved it.
        call: Option<u64>,
        /// The state as it is now, or why it could not be saved.
        shared: Result<SharedState, SaveError>,
    },
    /// A client's connection was closed after `Effect::CloseIfIdle`.
    IdleClientClosed {
        /// The client's connection.
        client: u64,
        /// The reason that the effect gave.
        reason: CloseReason,
    },
    /// A client's command.
    ClientCommand {
        /// The client's connection.
        client: u64,
        /// The command.
        command: ClientCommand,
    },
    /// A backend's reply.
    BackendReply {
        /// The backend's connection.
        connection: u64,
        /// The reply.
        reply: BackendReply,
        /// More bytes were received right behind it.
        more_received: bool,
    },
    /// The head of a value that is to be streamed has come from a backend.
    StreamStarted(u64),
    /// All of that value is on its way to the client.
    StreamForwarded(u64),
    /// What follows that value.
    StreamTrailer {
        /// The backend's connection.
        connection: u64,
        /// The units that the backend billed, where it reports them.
        billed_units: Option<f64>,
        /// The backend's load report, as it was written.
        load_report: Option<Vec<u8>>,
        /// More bytes were received right behind it.
        more_received: bool,
    },
    /// A response of the counter or of the discovery service.
    HttpResponse {
        /// The connection to the service.
        connection: ConnectionId,
        /// The response.
        response: Response,
    },
    /// The beginning of a message has come, and not the rest yet.
    PartialMessage(ConnectionId),
    /// More of a long body has come from a client.
    BodyProgress {
        /// The client's connection.
        client: u64,
        /// There is memory for the rest.
        has_capacity: bool,
    },
    /// A connection that was opened from here is up.
    Connected(ConnectionId),
    /// An attempt was taken out of the buffer of a backend's connection before any of its bytes was written.
    Withdrawn {
        /// The backend's connection.
        connection: u64,
        /// Its number on that connection.
        attempt: u64,
    },
    /// A connection ended that was not closed from here.
    ConnectionEnded {
        /// Which one.
        connection: ConnectionId,
        /// Why.
        reason: CloseReason,
        /// Some of what was written to it has not left.
        unsent: bool,
    },
    /// A datagram of another instance, or from an unknown peer.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// All of it.
        body: Vec<u8>,
    },
    /// No file descriptor was left to accept one more client.
    DescriptorsExhausted,
    /// The configuration was read again: where the discovery service and the counter are now.
    ConfigurationReloaded {
        /// Address of the list service.
        discovery: SocketAddr,
        /// Address of the counter, if there is one.
        counter: Option<SocketAddr>,
    },
    /// The operator's file was read again, and is valid.
    OperatorFileReloaded(Box<OperatorUpdate>),
    /// The configuration was to be read again, and can't be used.
    ReloadFailed(String),
    /// SIGTERM.
    Shutdown,
}

/// What is to be done. Numbers are those of connections, unless stated otherwise.
#[derive(Debug)]
pub enum Effect {
    /// Sends a reply to a client.
    Reply {
        /// The client's connection.
        client: u64,
        /// The reply.
        reply: ClientReply,
    },
    /// Tells a client why it is not accepted.
    Reject {
        /// The client's connection.
        client: u64,
        /// Why, as the client reads it.
        reason: &'static str,
    },
    /// Responds to an operator's call; that side of the connection ends with it.
    AdminRespond {
        /// The operator's connection.
        connection: u64,
        /// The response.
        response: admin::AdminResponse,
    },
    /// Saves a change by an operator for the next process, and notifies the other one of this instance.
    SaveChange {
        /// The operator's connection, on which the result is awaited.
        call: u64,
        /// The change.
        change: AdminChange,
    },
    /// From now on this process holds no more descriptors than these: the other one may use the rest.
    AnnounceDescriptorLimit(usize),
    /// Closes a client's connection unless something unread has come on it.
    CloseIfIdle {
        /// The client's connection.
        client: u64,
        /// Why it is closed.
        reason: CloseReason,
    },
    /// Reads no more of this client's commands; only the end of its connection is reported.
    StopReading(u64),
    /// Writes a request to a backend's connection, with the time in which its response is awaited, in milliseconds.
    SendAttempt {
        /// The backend's connection.
        connection: u64,
        /// Its number, unique on this connection.
        attempt: u64,
        /// What is written.
        request: Arc<RequestCommand>,
        /// The time in which its response is awaited, milliseconds.
        timeout_ms: u64,
    },
    /// Takes an attempt out of its connection's buffer, if none of its bytes has been written yet.
    Withdraw {
        /// The backend's connection.
        connection: u64,
        /// Its number on that connection.
        attempt: u64,
    },
    /// Forwards the value that has begun on a backend's connection to a client, or drops it.
    Stream {
        /// The backend's connection.
        connection: u64,
        /// The client's connection; `None` where the value is dropped.
        client: Option<u64>,
    },
    /// Closes a backend's connection on which a value is being streamed, if that does not move.
    CloseIfStalled {
        /// The backend's connection.
        connection: u64,
        /// It is closed if the backend has been silent for so many seconds while its client took all that came.
        unresponsive_for: f64,
        /// It is closed if nothing has moved for so many seconds, for whatever reason.
        stalled_for: f64,
    },
    /// Sends a request to the counter or to the discovery service.
    HttpRequest {
        /// The connection to the service.
        connection: ConnectionId,
        /// The request.
        request: Request,
    },
    /// Opens a connection.
    Connect {
        /// The new connection.
        connection: ConnectionId,
        /// The address that it is opened to.
        address: SocketAddr,
    },
    /// Closes a connection; what was written to it before leaves first.
    Close(ConnectionId),
    /// Sends a datagram to another instance, or to all.
    SendDatagram {
        /// The instance's address, or the one that reaches all.
        to: SocketAddr,
        /// All of it.
        body: Vec<u8>,
    },
    /// Writes a message to the log.
    Log(LogMessage),
    /// Logs the end of a connection.
    LogClosed(ClosedConnection),
    /// Closes the listening socket.
    StopAccepting,
    /// Exits once all that was written has left.
    Exit,
    /// Exits at once: there is no more time.
    ExitImmediately,
}
