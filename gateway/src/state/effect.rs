//! Effects, which the reducer wants to be carried out.
use super::connection::{CloseReason, ClosedConnection, ConnectionId};
use super::log_message::LogMessage;
use super::shared_state::AdminChange;
use crate::wire::admin;
use crate::wire::http::Request;
use crate::wire::resp::{ClientReply, RequestCommand};
use std::net::SocketAddr;
use std::sync::Arc;

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
