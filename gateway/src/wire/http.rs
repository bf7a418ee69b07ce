//! HTTP/1.1, as far as the counter and the list service speak it: requests out, whole responses in.
use super::{Decoded, ProtocolError};
use std::net::SocketAddr;

const HEAD: usize = 8 * 1024;
const BODY: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// The connection ends after it.
    pub closes_connection: bool,
}

/// What is asked of the counter and of the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    AddToCounter {
        key: String,
        add: f64,
        expire_ms: u64,
    },
    WatchEndpoints {
        since: u64,
        wait_ms: u64,
    },
    /// The whole list, at once.
    List,
}

impl Request {
    pub fn encode(&self, host: SocketAddr, out: &mut Vec<u8>) {
        let text = match self {
            Request::AddToCounter { key: name, add, expire_ms: lives_ms } => {
                format!(
                    "POST /counters/{name}?by={add}&expire_ms={lives_ms} HTTP/1.1\r\n\
                     Host: {host}\r\nContent-Length: 0\r\n\r\n"
                )
            }
            Request::WatchEndpoints { since, wait_ms } => {
                format!(
                    "GET /v1/endpoints?since={since}&timeout_ms={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n"
                )
            }
            Request::List => format!("GET /v1/endpoints HTTP/1.1\r\nHost: {host}\r\n\r\n"),
        };
        out.extend_from_slice(text.as_bytes());
    }
}

/// One whole response; those that only say that it is on its way (1xx) are passed over.
#[inline(never)]
pub fn decode_response(bytes: &[u8]) -> Decoded<Response> {
    let mut at = 0;
    loop {
        match one(&bytes[at..])? {
            Some((r, n)) if (100..200).contains(&r.status) => at += n,
            other => return Ok(other.map(|(r, n)| (r, at + n))),
        }
    }
}

fn one(bytes: &[u8]) -> Decoded<Response> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let from = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() > HEAD => return Err(ProtocolError("head too long")),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ProtocolError("no HTTP")),
    };
    let status = head.code.unwrap_or(0);
    let (mut length, mut chunked, mut last) = (None, false, head.version == Some(0));
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse::<usize>().map_err(|_| ProtocolError("length is no number"))?);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if h.name.eq_ignore_ascii_case("connection") {
            last = value.eq_ignore_ascii_case("close");
        }
    }
    if chunked {
        let Some((body, end)) = chunks(bytes, from)? else { return Ok(None) };
        return Ok(Some((Response { status, body, closes_connection: last }, end)));
    }
    let length = match length {
        Some(n) => n,
        None if status == 204 || status == 304 || status < 200 => 0,
        None => return Err(ProtocolError("response without a length")),
    };
    if length > BODY {
        return Err(ProtocolError("body too long"));
    }
    let Some(body) = bytes.get(from..from + length) else { return Ok(None) };
    Ok(Some((Response { status, body: body.to_vec(), closes_connection: last }, from + length)))
}

fn chunks(bytes: &[u8], mut at: usize) -> Decoded<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let (from, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete((from, size))) => (at + from, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ProtocolError("chunk without a size")),
        };
        if size > (BODY - body.len()) as u64 {
            return Err(ProtocolError("body too long"));
        }
        let size = size as usize;
        let Some(chunk) = bytes.get(from..from + size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err(ProtocolError("chunk without its end"));
        }
        body.extend_from_slice(&chunk[..size]);
        at = from + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
