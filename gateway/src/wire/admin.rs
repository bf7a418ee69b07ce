//! HTTP/1.1, as far as operators use it: one call a connection, and its response.
use std::borrow::Cow;

/// The longest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body of a call, in bytes; its contents are ignored.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The most header fields that a call may have.
const MAX_HEADERS: usize = 64;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// Whether this instance is healthy.
    Health,
    /// The counters of this instance.
    Stats,
    /// What teams use of their contracts.
    Contracts,
    /// Leave this backend out.
    EjectBackend(String),
    /// Use this backend again.
    RestoreBackend(String),
    /// Drain this instance.
    Drain,
    /// End draining by hand.
    Undrain,
    /// No such call: the status that says so.
    Invalid(u16),
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminResponse {
    /// The status code.
    pub status: u16,
    /// JSON if it begins with a brace, else plain text.
    pub body: String,
}

/// The call, once all of it has arrived.
#[inline(never)] // its frame is not to be part of every connection's stack
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

/// The length of the body in bytes; none if the head has no valid one.
fn body_length(head: &httparse::Request) -> Option<usize> {
    let Some(value) = header(head, "content-length") else { return Some(0) };
    let text = std::str::from_utf8(value).unwrap_or("").trim();
    let valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    valid.then(|| text.parse().unwrap_or(usize::MAX))
}

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

/// A segment of a path with its %XX decoded; unchanged where that is not UTF-8.
fn percent_decode(segment: &str) -> Cow<'_, str> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let digits =
            after.get(..2).filter(|digits| first == b'%' && digits.iter().all(u8::is_ascii_hexdigit));
        let code = digits.and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        bytes.push(code.unwrap_or(first));
        rest = if code.is_some() { &after[2..] } else { after };
    }
    String::from_utf8(bytes).map_or(Cow::Borrowed(segment), Cow::Owned)
}

impl AdminResponse {
    /// Appends the response as it goes to the operator.
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
