//! Parses the responses that processes write to clients.

/// The kind of a response, determined by its first bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseKind {
    /// The value that the operation returned.
    Value,
    /// `BUSY`: the request was throttled.
    Busy,
    /// An error response.
    Error,
    /// Any other response, such as the one to a command that is not a request.
    Other,
}

/// A complete response at the start of a buffer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParsedResponse {
    /// Kind of the response.
    pub kind: ResponseKind,
    /// Length in bytes, including the last line's terminator.
    pub length: usize,
}

/// Length of a line's terminator, in bytes.
pub(super) const LINE_END: usize = 2;
/// Maximum length of a response's first line, in bytes.
const MAX_FIRST_LINE: usize = 1024;
/// Maximum number of bytes of a response that a violation's message shows.
const SHOWN_BYTES: usize = 60;

/// Returns the first response in `bytes`, or none if it is incomplete.
pub fn parse_response(bytes: &[u8]) -> Option<ParsedResponse> {
    let line_length = bytes.iter().take(MAX_FIRST_LINE).position(|byte| *byte == b'\n')? + 1;
    let single_line = |kind| Some(ParsedResponse { kind, length: line_length });
    match bytes[0] {
        b'-' if bytes.starts_with(b"-BUSY") => single_line(ResponseKind::Busy),
        b'-' => single_line(ResponseKind::Error),
        b'$' => {
            let value_length: usize =
                std::str::from_utf8(&bytes[1..line_length - LINE_END]).ok()?.parse().ok()?;
            let length = line_length + value_length + LINE_END;
            (bytes.len() >= length).then_some(ParsedResponse { kind: ResponseKind::Value, length })
        }
        _ => single_line(ResponseKind::Other),
    }
}

/// Returns the first bytes of a response as text, with non-printable characters escaped.
pub(super) fn escape(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(SHOWN_BYTES)]).escape_debug().to_string()
}
