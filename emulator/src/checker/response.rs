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

/// The first response of some bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParsedResponse {
    /// What it is.
    pub kind: ResponseKind,
    /// Its bytes, the end of the last line included.
    pub length: usize,
}

/// Bytes of the end of a line.
pub(super) const LINE_END: usize = 2;
/// Bytes within which the first line of a response ends.
const MAX_FIRST_LINE: usize = 1024;
/// Bytes of a response that messages show.
const SHOWN_BYTES: usize = 60;

/// The first response, once it is complete.
pub fn parse_response(bytes: &[u8]) -> Option<ParsedResponse> {
    let line = bytes.iter().take(MAX_FIRST_LINE).position(|byte| *byte == b'\n')? + 1;
    let of_one_line = |kind| Some(ParsedResponse { kind, length: line });
    match bytes[0] {
        b'-' if bytes.starts_with(b"-BUSY") => of_one_line(ResponseKind::Busy),
        b'-' => of_one_line(ResponseKind::Error),
        b'$' => {
            let value: usize = std::str::from_utf8(&bytes[1..line - LINE_END]).ok()?.parse().ok()?;
            let length = line + value + LINE_END;
            (bytes.len() >= length).then_some(ParsedResponse { kind: ResponseKind::Value, length })
        }
        _ => of_one_line(ResponseKind::Other),
    }
}

/// The first bytes, printable.
pub(super) fn escape(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(SHOWN_BYTES)]).escape_debug().to_string()
}
