//! Events that the reducer handles.
use super::connection::{CloseReason, ConnectionId};
use super::shared_state::{SaveError, SharedState};
use super::stream_progress::InterruptedStream;
use crate::wire::admin;
use crate::wire::http::Response;
use crate::wire::resp::{BackendReply, ClientCommand};
use quillramp_admission::Limits;
use quillramp_identity::Trust;
use quillramp_operator::broker::BrokerSettings;
use quillramp_operator::routes::Table;
use std::net::{IpAddr, SocketAddr};

/// The declarations of an operator's file for an instance.
#[derive(Debug, Default)]
pub struct OperatorUpdate {
    /// Admission limits; `None` if there are none.
    pub admission: Option<Limits>,
    /// Limits of requests.
    pub routes: Table,
    /// Interval between membership heartbeats on the counter, in seconds; `None` if membership is disabled.
    pub membership_interval: Option<f64>,
    /// Settings of the broker with the contracts between teams; `None` without a broker.
    pub broker: Option<BrokerSettings>,
    /// Keys and revocations that tokens are validated against; `None` without authentication.
    pub identity: Option<Trust>,
}

/// An input to the reducer. Integers are connection IDs unless stated otherwise.
#[derive(Debug)]
pub enum Event {
    /// A client's connection was accepted by the socket.
    ClientAccepted {
        /// The client's connection.
        client: u64,
        /// The client's address.
        address: IpAddr,
    },
    /// An operator's connection was accepted.
    AdminConnected(u64),
    /// An operator's call arrived.
    AdminCall {
        /// The operator's connection.
        connection: u64,
        /// The call.
        call: admin::AdminCall,
    },
    /// The shared state was saved by this or another process, or could not be saved.
    SharedStateSaved {
        /// The operator's connection whose call made the change; `None` if another process saved it.
        call: Option<u64>,
        /// The shared state after the change, or why it could not be saved.
        shared: Result<SharedState, SaveError>,
    },
    /// A client's connection was closed for an `Effect::CloseIfIdle`.
    IdleClientClosed {
        /// The client's connection.
        client: u64,
        /// The reason in that effect.
        reason: CloseReason,
    },
    /// All output to this client has been written, which an `Effect::CloseIfIdle` had found unwritten.
    ClientOutputWritten(u64),
    /// A client's command arrived.
    ClientCommand {
        /// The client's connection.
        client: u64,
        /// The command.
        command: ClientCommand,
    },
    /// A backend's complete reply arrived.
    BackendReply {
        /// The backend's connection.
        connection: u64,
        /// The reply.
        reply: BackendReply,
        /// Whether more bytes were received after it.
        more_received: bool,
    },
    /// The head of a value that is to be streamed arrived on this backend connection.
    StreamStarted(u64),
    /// The whole streamed value on this backend connection was forwarded to the client.
    StreamForwarded(u64),
    /// The trailer after a streamed value arrived.
    StreamTrailer {
        /// The backend's connection.
        connection: u64,
        /// Units that the backend billed, if it reported them.
        billed_units: Option<f64>,
        /// The backend's load report, undecoded.
        load_report: Option<Vec<u8>>,
        /// Whether more bytes were received after it.
        more_received: bool,
    },
    /// A response of the counter or of the list service arrived.
    HttpResponse {
        /// The connection to that service.
        connection: ConnectionId,
        /// The response.
        response: Response,
    },
    /// A message on this connection is incomplete so far.
    PartialMessage(ConnectionId),
    /// More bytes of the body of a client's command arrived.
    BodyProgress {
        /// The client's connection.
        client: u64,
        /// Whether there is memory for the rest of it.
        has_capacity: bool,
    },
    /// A connection that this process opened is established.
    Connected(ConnectionId),
    /// An attempt was removed from the write buffer of a backend's connection before any of its bytes was written.
    Withdrawn {
        /// The backend's connection.
        connection: u64,
        /// The number of the attempt on that connection.
        attempt: u64,
    },
    /// A connection ended that this process did not close.
    ConnectionEnded {
        /// The connection.
        connection: ConnectionId,
        /// Why it ended.
        reason: CloseReason,
        /// Whether its write buffer still held unsent bytes.
        unsent: bool,
    },
    /// A value that was being forwarded from this connection can't be completed; the end of the connection follows.
    StreamInterrupted {
        /// The backend's connection.
        connection: ConnectionId,
        /// How far the value has come.
        stream: InterruptedStream,
    },
    /// A datagram arrived from another instance or from an unknown peer.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The datagram's payload.
        body: Vec<u8>,
    },
    /// No file descriptor is left to accept another client.
    DescriptorsExhausted,
    /// The configuration was reloaded.
    ConfigurationReloaded {
        /// Address of the list service.
        discovery: SocketAddr,
        /// Address of the counter, if there is one.
        counter: Option<SocketAddr>,
    },
    /// The operator's file was reloaded and is valid.
    OperatorFileReloaded(Box<OperatorUpdate>),
    /// The configuration could not be reloaded; the text says why.
    ReloadFailed(String),
    /// The process received SIGTERM.
    Shutdown,
}
