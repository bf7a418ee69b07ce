//! Why a connection is closed by the side that reads from it.
use crate::wire::WireError;
use thiserror::Error;

/// What the other side of a connection did wrong. The connection is closed; the reader's state stays as it was.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum ProtocolViolation {
    /// The bytes are not a valid frame.
    #[error(transparent)]
    InvalidFrame(#[from] WireError),
    /// A frame of a kind that this side never receives.
    #[error("unexpected frame")]
    UnexpectedFrame,
    /// A gateway instance that speaks another version of the protocol.
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u8),
    /// A newer process of the gateway instance has connected already.
    #[error("incarnation {0} has been replaced by a newer one")]
    ReplacedIncarnation(u64),
    /// A batch before the `Hello` of its connection.
    #[error("batch before hello")]
    BatchBeforeHello,
    /// A batch on a connection that the gateway instance has replaced by a newer one.
    #[error("batch on a replaced connection")]
    ReplacedConnection,
    /// A response to a batch that has not been sent.
    #[error("response to batch {found}, expected at most {expected}")]
    UnknownBatch {
        /// Sequence of the batch in flight.
        expected: u32,
        /// Sequence of the response.
        found: u32,
    },
    /// The responses of a batch are not as many as its entries.
    #[error("{found} responses to {expected} entries")]
    ResponseCount {
        /// Entries of the batch.
        expected: usize,
        /// Responses received.
        found: usize,
    },
}
