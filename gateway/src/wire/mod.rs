//! What is spoken: pure codecs, bytes to small typed values and back. Datagrams are `quillramp::word`.
pub mod http;
pub mod listing;
pub mod manage;
pub mod resp;

/// Framing that can't be followed any further, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken(pub &'static str);

/// A whole message and how many bytes it took; none until more bytes have come.
pub type Decoded<T> = Result<Option<(T, usize)>, Broken>;
