//! Codecs of the wire formats: pure functions between bytes and typed values. The codec of gossip datagrams
//! is `quillramp::gossip`.
pub mod admin;
pub mod endpoints;
pub mod http;
pub mod resp;

/// A violation of the framing, after which nothing more can be decoded; the text is the reason.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct ProtocolError(pub &'static str);

/// A complete message that was decoded from the beginning of a buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedMessage<T> {
    /// The message.
    pub value: T,
    /// Length of the encoded message, in bytes.
    pub length: usize,
}

/// The result of decoding a buffer: its first message, or `None` while that is incomplete.
pub type Decoded<T> = Result<Option<DecodedMessage<T>>, ProtocolError>;
