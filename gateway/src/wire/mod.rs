//! The wire formats: pure codecs, from bytes to small typed values and back. Datagrams are `quillramp::gossip`.
pub mod admin;
pub mod endpoints;
pub mod http;
pub mod resp;

/// Framing that can't be followed any further, and why.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct ProtocolError(pub &'static str);

/// A complete message at the beginning of some bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedMessage<T> {
    /// The message.
    pub value: T,
    /// How many bytes it took.
    pub length: usize,
}

/// A complete message; none until more bytes have arrived.
pub type Decoded<T> = Result<Option<DecodedMessage<T>>, ProtocolError>;
