//! Effects that the reducer requests from its caller.
use super::connection::{CloseReason, ClosedConnection, ConnectionId};
use super::log_message::LogMessage;
use super::shared_state::AdminChange;
use crate::wire::admin;
use crate::wire::http::Request;
use crate::wire::resp::{ClientReply, RequestCommand};
use std::net::SocketAddr;
use std::sync::Arc;

/// An action for the caller to carry out. Integers are connection IDs unless stated otherwise.
#[derive(Debug)]
pub enum Effect {
    /// Sends a reply to a client.
    Reply {
        /// The client's connection.
        client: u64,
        /// The reply.
        reply: ClientReply,
    },
    /// Sends a client the reason why its connection is rejected.
    Reject {
        /// The client's connection.
        client: u64,
        /// The reason, as the client reads it.
        reason: &'static str,
    },
    /// Responds to an operator's call and closes the sending side of the connection.
    AdminRespond {
        /// The operator's connection.
        connection: u64,
        /// The response.
        response: admin::AdminResponse,
    },
    /// Saves a change by an operator for the next process, and shares it with another running process of this instance.
    SaveChange {
        /// The operator's connection whose call made the change.
        call: u64,
        /// The change.
        change: AdminChange,
    },
    /// Announces the maximum number of file descriptors that this process holds from now on; the other process of this
    /// instance may use the rest.
    AnnounceDescriptorLimit(usize),
    /// Closes a client's connection unless unread bytes have arrived on it, or output is still to be written. After
    /// `StopReading`, only bytes that were read before count.
    CloseIfIdle {
        /// The client's connection.
        client: u64,
        /// Why it is closed.
        reason: CloseReason,
    },
    /// Stops reading from this client's socket. The commands that were read before, and the end of the connection, are
    /// still reported.
    StopReading(u64),
    /// Writes an attempt to a backend's connection.
    SendAttempt {
        /// The backend's connection.
        connection: u64,
        /// The number of the attempt, unique on this connection.
        attempt: u64,
        /// The request to write.
        request: Arc<RequestCommand>,
        /// Time until the response is due, in milliseconds.
        timeout_ms: u64,
    },
    /// Removes an attempt from the write buffer of its connection if none of its bytes has been written.
    Withdraw {
        /// The backend's connection.
        connection: u64,
        /// The number of the attempt on that connection.
        attempt: u64,
    },
    /// Forwards the streamed value on a backend's connection to a client, or discards it.
    Stream {
        /// The backend's connection.
        connection: u64,
        /// The client's connection; `None` to discard the value.
        client: Option<u64>,
    },
    /// Closes the backend's connection whose streamed value has not moved for the longest time, and discards what its
    /// client has not taken.
    CloseSilentStream {
        /// Minimum time for which nothing has moved, in seconds; otherwise nothing is closed.
        min_silence: f64,
    },
    /// Sends a request to the counter or to the list service.
    HttpRequest {
        /// The connection to that service.
        connection: ConnectionId,
        /// The request.
        request: Request,
    },
    /// Opens a connection.
    Connect {
        /// The new connection.
        connection: ConnectionId,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// Closes a connection; bytes already written to it are sent first.
    Close(ConnectionId),
    /// Sends a datagram to another instance or to all instances.
    SendDatagram {
        /// The address of the instance, or the broadcast address.
        to: SocketAddr,
        /// The datagram's payload.
        body: Vec<u8>,
    },
    /// Writes a message to the log.
    Log(LogMessage),
    /// Logs the end of a connection.
    LogClosed(ClosedConnection),
    /// Closes the listening socket.
    StopAccepting,
    /// Exits once all write buffers have been sent.
    Exit,
    /// Exits once clients' sockets have accepted all output.
    ExitImmediately,
}
