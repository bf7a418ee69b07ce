//! Events, which the reducer takes in.
use super::connection::{CloseReason, ConnectionId};
use super::shared_state::{SaveError, SharedState};
use crate::wire::admin;
use crate::wire::http::Response;
use crate::wire::resp::{BackendReply, ClientCommand};
use quillramp_admission::Limits;
use quillramp_identity::Trust;
use quillramp_operator::broker::BrokerSettings;
use quillramp_operator::routes::Table;
use std::net::{IpAddr, SocketAddr};

/// What an operator's file declares for an instance.
#[derive(Debug, Default)]
pub struct OperatorUpdate {
    /// The limits of admission, where there are any.
    pub admission: Option<Limits>,
    /// The limits that are declared for requests.
    pub routes: Table,
    /// How often instances look which of them reach the counter, in seconds; none where they don't.
    pub membership_interval: Option<f64>,
    /// Contracts between teams, where there is a broker.
    pub broker: Option<BrokerSettings>,
    /// What tokens are validated against, where callers have to be known.
    pub identity: Option<Trust>,
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
