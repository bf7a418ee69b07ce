//! Protocol violations, for which the receiving side closes a connection.
use crate::wire::WireError;
use thiserror::Error;

/// Violation of the protocol by the remote side of a connection. The receiver closes the connection and
/// leaves the rest of its state unchanged.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum ProtocolViolation {
    /// The bytes are not a valid frame.
    #[error(transparent)]
    InvalidFrame(#[from] WireError),
    /// The frame is of a kind that the remote side must not send.
    #[error("received a frame of a kind that the remote side must not send")]
    UnexpectedFrame,
    /// The gateway instance uses another version of the protocol.
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u8),
    /// A newer process of the gateway instance has already connected.
    #[error("a newer process has replaced incarnation {0} of the gateway instance")]
    ReplacedIncarnation(u64),
    /// The connection carried a batch before its `Hello`.
    #[error("received a batch before the hello frame")]
    BatchBeforeHello,
    /// The gateway instance has replaced the connection of this batch by a newer one.
    #[error("received a batch on a replaced connection")]
    ReplacedConnection,
    /// The response is to a batch that has not been sent.
    #[error("expected a response to batch {expected} at most, found one to batch {found}")]
    UnknownBatch {
        /// Sequence number of the batch in flight.
        expected: u32,
        /// Sequence number in the response.
        found: u32,
    },
    /// The number of responses differs from the number of entries in the batch.
    #[error("expected {expected} responses, one per entry of the batch, found {found}")]
    ResponseCount {
        /// Number of entries in the batch.
        expected: usize,
        /// Number of responses received.
        found: usize,
    },
}
