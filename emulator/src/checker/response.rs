//! Responses to clients, as bytes.

/// What a response is, by its first bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseKind {
    /// A value of the operation.
    Value,
    /// The request was throttled.
    Busy,
    /// An error.
    Error,
    /// Another reply, such as that to a command which is not a request.
    Other,
}

/// Bytes within which the first line of a response ends.
const MAX_FIRST_LINE: usize = 1024;
/// Bytes of a response that messages show.
const SHOWN_BYTES: usize = 60;

/// The kind and the length in bytes of the first response, once it is complete.
pub fn parse_response(bytes: &[u8]) -> Option<(ResponseKind, usize)> {
    let line = bytes.iter().take(MAX_FIRST_LINE).position(|byte| *byte == b'\n')? + 1;
    match bytes[0] {
        b'-' if bytes.starts_with(b"-BUSY") => Some((ResponseKind::Busy, line)),
        b'-' => Some((ResponseKind::Error, line)),
        b'$' => {
            let value: usize = std::str::from_utf8(&bytes[1..line - 2]).ok()?.parse().ok()?;
            let length = line + value + 2;
            (bytes.len() >= length).then_some((ResponseKind::Value, length))
        }
        _ => Some((ResponseKind::Other, line)),
    }
}

/// The first bytes, printable.
pub(super) fn escape(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(SHOWN_BYTES)]).escape_debug().to_string()
}
