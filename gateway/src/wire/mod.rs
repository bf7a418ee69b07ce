//! What is spoken: pure codecs, bytes to small typed values and back. Datagrams are `quillramp::word`.
pub mod admin;
pub mod endpoints;
pub mod http;
pub mod resp;

/// Framing that can't be followed any further, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtocolError(pub &'static str);

/// A whole message and how many bytes it took; none until more bytes have come.
pub type Decoded<T> = Result<Option<(T, usize)>, ProtocolError>;
