//! The server side of HTTP/1.1 for operators' calls: decodes the one call of a connection and encodes the
//! response.
use std::borrow::Cow;

/// Maximum length of a call's head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a call's body, in bytes; the body's contents are ignored.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of header fields in a call.
const MAX_HEADERS: usize = 64;

/// An operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// Reports whether this instance is healthy.
    Health,
    /// Reports the statistics of this instance.
    Stats,
    /// Reports each team's use of its contract.
    Contracts,
    /// Ejects the backend of this name.
    EjectBackend(String),
    /// Restores the ejected backend of this name.
    RestoreBackend(String),
    /// Drains this instance.
    Drain,
    /// Ends the draining of this instance that an operator started.
    Undrain,
    /// The call can't be served; the number is the status code of its response.
    Invalid(u16),
}

/// The response to an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminResponse {
    /// The status code.
    pub status: u16,
    /// The body: JSON if it starts with a brace, otherwise plain text.
    pub body: String,
}

/// Decodes the call; returns `None` while it is incomplete.
#[inline(never)] // keeps the array of header fields out of the stack frame of every connection's coroutine
pub fn decode_call(bytes: &[u8]) -> Option<AdminCall> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return None,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Some(AdminCall::Invalid(431)),
        Err(_) => return Some(AdminCall::Invalid(400)),
    };
    if header(&head, "transfer-encoding").is_some() {
        return Some(AdminCall::Invalid(411));
    }
    let Some(length) = body_length(&head) else { return Some(AdminCall::Invalid(400)) };
    if length > MAX_BODY_BYTES {
        return Some(AdminCall::Invalid(413));
    }
    if bytes.len() < body_start + length {
        return None;
    }
    Some(route(head.method.unwrap_or(""), head.path.unwrap_or("")))
}

fn header<'a>(head: &httparse::Request<'_, 'a>, name: &str) -> Option<&'a [u8]> {
    head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

/// Returns the length of the body in bytes, 0 without `Content-Length`, or `None` if that is not a number.
fn body_length(head: &httparse::Request) -> Option<usize> {
    let Some(value) = header(head, "content-length") else { return Some(0) };
    let text = std::str::from_utf8(value).unwrap_or("").trim();
    let valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    valid.then(|| text.parse().unwrap_or(usize::MAX))
}

/// Returns the call that this method and request target stand for.
fn route(method: &str, target: &str) -> AdminCall {
    let path = target.split('?').next().unwrap_or("");
    let segments: Vec<&str> = path.strip_prefix('/').unwrap_or("?").split('/').collect();
    let (expected_method, call) = match segments[..] {
        ["healthcheck"] => ("GET", AdminCall::Health),
        ["stats"] => ("GET", AdminCall::Stats),
        ["contracts"] => ("GET", AdminCall::Contracts),
        ["healthcheck", "fail"] => ("POST", AdminCall::Drain),
        ["healthcheck", "ok"] => ("POST", AdminCall::Undrain),
        ["backends", id, "maint"] if !id.is_empty() => {
            ("POST", AdminCall::EjectBackend(percent_decode(id).into_owned()))
        }
        ["backends", id, "ready"] if !id.is_empty() => {
            ("POST", AdminCall::RestoreBackend(percent_decode(id).into_owned()))
        }
        _ => return AdminCall::Invalid(404),
    };
    if method == expected_method {
        call
    } else {
        AdminCall::Invalid(405)
    }
}

/// Decodes the percent-encoded bytes of a path segment; returns the segment unchanged if the result is not
/// UTF-8.
fn percent_decode(segment: &str) -> Cow<'_, str> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let digits =
            after.get(..2).filter(|digits| first == b'%' && digits.iter().all(u8::is_ascii_hexdigit));
        let decoded =
            digits.and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        bytes.push(decoded.unwrap_or(first));
        rest = if decoded.is_some() { &after[2..] } else { after };
    }
    String::from_utf8(bytes).map_or(Cow::Borrowed(segment), Cow::Owned)
}

impl AdminResponse {
    /// Appends the encoded response to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            500 => "Internal Server Error",
            _ => "Service Unavailable",
        };
        let content_type = if self.body.starts_with('{') { "application/json" } else { "text/plain" };
        let status = self.status;
        let length = self.body.len();
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
        );
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(self.body.as_bytes());
    }
}
