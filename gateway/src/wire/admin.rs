//! HTTP/1.1, as far as operators speak it: one call to a connection, and its answer.
use std::borrow::Cow;

/// The longest head of a call, and the longest body; what a body says is not looked at.
const HEAD: usize = 8 * 1024;
const BODY: usize = 64 * 1024;

/// What operators ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    Health,
    Stats,
    /// What teams have of their contracts.
    Contracts,
    /// Leave a backend out, or use it again.
    EjectBackend(String),
    RestoreBackend(String),
    /// Drain this front door, or end that.
    Drain,
    Undrain,
    /// No such call: the status that says so.
    Invalid(u16),
}

#[derive(Clone, Debug, PartialEq)]
pub struct AdminResponse {
    pub status: u16,
    pub body: String,
}

/// The call, once all of it has come.
#[inline(never)] // its frame is not to be part of every connection's stack
pub fn decode_call(bytes: &[u8]) -> Option<AdminCall> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    let from = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n <= HEAD => n,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD => return None,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Some(AdminCall::Invalid(431)),
        Err(_) => return Some(AdminCall::Invalid(400)),
    };
    let (method, target) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let header =
        |name: &str| head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
    if header("transfer-encoding").is_some() {
        return Some(AdminCall::Invalid(411));
    }
    let length = match header("content-length").map(|v| std::str::from_utf8(v).unwrap_or("").trim()) {
        None => 0,
        Some(text) if !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) => {
            text.parse().unwrap_or(usize::MAX)
        }
        Some(_) => return Some(AdminCall::Invalid(400)),
    };
    match length {
        n if n > BODY => Some(AdminCall::Invalid(413)),
        n if bytes.len() < from + n => None,
        _ => Some(route(method, target)),
    }
}

fn route(method: &str, target: &str) -> AdminCall {
    let path = target.split('?').next().unwrap_or("");
    let words: Vec<&str> = path.strip_prefix('/').unwrap_or("?").split('/').collect();
    let (wants, call) = match words[..] {
        ["healthcheck"] => ("GET", AdminCall::Health),
        ["stats"] => ("GET", AdminCall::Stats),
        ["contracts"] => ("GET", AdminCall::Contracts),
        ["healthcheck", "fail"] => ("POST", AdminCall::Drain),
        ["healthcheck", "ok"] => ("POST", AdminCall::Undrain),
        ["backends", id, "maint"] if !id.is_empty() => {
            ("POST", AdminCall::EjectBackend(plain(id).into_owned()))
        }
        ["backends", id, "ready"] if !id.is_empty() => {
            ("POST", AdminCall::RestoreBackend(plain(id).into_owned()))
        }
        _ => return AdminCall::Invalid(404),
    };
    if method == wants {
        call
    } else {
        AdminCall::Invalid(405)
    }
}

/// A word of a path without its %XX; as it stands where that makes no text.
fn plain(word: &str) -> Cow<'_, str> {
    let mut bytes = Vec::with_capacity(word.len());
    let mut rest = word.as_bytes();
    while let Some((&b, after)) = rest.split_first() {
        let hex = after.get(..2).filter(|h| b == b'%' && h.iter().all(u8::is_ascii_hexdigit));
        let code = hex.and_then(|h| u8::from_str_radix(std::str::from_utf8(h).ok()?, 16).ok());
        bytes.push(code.unwrap_or(b));
        rest = if code.is_some() { &after[2..] } else { after };
    }
    String::from_utf8(bytes).map_or(Cow::Borrowed(word), Cow::Owned)
}

impl AdminResponse {
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
        let kind = if self.body.starts_with('{') { "application/json" } else { "text/plain" };
        let (status, length) = (self.status, self.body.len());
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
        );
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(self.body.as_bytes());
    }
}
