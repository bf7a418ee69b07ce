//! The wire formats: pure codecs, from bytes to small typed values and back. Datagrams are `quillramp::gossip`.
pub mod admin;
pub mod endpoints;
pub mod http;
pub mod resp;

/// Framing that can't be followed any further, and why.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct ProtocolError(pub &'static str);

/// A complete message and how many bytes it took; none until more bytes have arrived.
pub type Decoded<T> = Result<Option<(T, usize)>, ProtocolError>;
