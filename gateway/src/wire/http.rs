//! HTTP/1.1, as far as the counter and the list service use it: requests out, complete responses in.
use super::{Decoded, DecodedMessage, ProtocolError};
use std::net::SocketAddr;

/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The most header fields that a response may have.
const MAX_HEADERS: usize = 32;

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body, its chunks joined.
    pub body: Vec<u8>,
    /// The connection ends after it.
    pub closes_connection: bool,
}

/// A request to the counter or to the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Adds to a count of the shared counter.
    AddToCounter {
        /// The count's name.
        key: String,
        /// How much is added, in units.
        add: f64,
        /// How long the count lasts, in milliseconds.
        expire_ms: u64,
    },
    /// Waits for changes to the endpoint list.
    WatchEndpoints {
        /// The version that is known.
        since: u64,
        /// How long to wait, in milliseconds.
        wait_ms: u64,
    },
    /// The complete endpoint list, at once.
    FetchEndpoints,
}

impl Request {
    /// Appends the request as it goes to this host.
    pub fn encode(&self, host: SocketAddr, out: &mut Vec<u8>) {
        let text = match self {
            Request::AddToCounter { key, add, expire_ms } => {
                format!(
                    "POST /counters/{key}?by={add}&expire_ms={expire_ms} HTTP/1.1\r\n\
                     Host: {host}\r\nContent-Length: 0\r\n\r\n"
                )
            }
            Request::WatchEndpoints { since, wait_ms } => {
                format!(
                    "GET /v1/endpoints?since={since}&timeout_ms={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n"
                )
            }
            Request::FetchEndpoints => format!("GET /v1/endpoints HTTP/1.1\r\nHost: {host}\r\n\r\n"),
        };
        out.extend_from_slice(text.as_bytes());
    }
}

/// One complete response; interim ones (1xx) are skipped.
#[inline(never)] // the header fields are not to be part of every connection's stack
pub fn decode_response(bytes: &[u8]) -> Decoded<Response> {
    let mut start = 0;
    loop {
        let Some(DecodedMessage { value: response, length }) = decode_one(&bytes[start..])? else {
            return Ok(None);
        };
        start += length;
        if !(100..200).contains(&response.status) {
            return Ok(Some(DecodedMessage { value: response, length: start }));
        }
    }
}

/// How the head of a response frames the body.
#[derive(Default)]
struct Framing {
    content_length: Option<usize>,
    chunked: bool,
    closes_connection: bool,
}

impl Framing {
    fn read(head: &httparse::Response) -> Result<Framing, ProtocolError> {
        let mut framing = Framing { closes_connection: head.version == Some(0), ..Framing::default() };
        for header in head.headers.iter() {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                let length = value.parse::<usize>().map_err(|_| ProtocolError("length is no number"))?;
                framing.content_length = Some(length);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.chunked = value.eq_ignore_ascii_case("chunked");
            } else if header.name.eq_ignore_ascii_case("connection") {
                framing.closes_connection = value.eq_ignore_ascii_case("close");
            }
        }
        Ok(framing)
    }

    /// The length of a body that is not chunked, in bytes.
    fn body_length(&self, status: u16) -> Result<usize, ProtocolError> {
        match self.content_length {
            Some(length) if length > MAX_BODY_BYTES => Err(ProtocolError("body too long")),
            Some(length) => Ok(length),
            None if status == 204 || status == 304 || status < 200 => Ok(0),
            None => Err(ProtocolError("response without a length")),
        }
    }
}

fn decode_one(bytes: &[u8]) -> Decoded<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
            return Err(ProtocolError("head too long"))
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ProtocolError("no HTTP")),
    };
    let status = head.code.unwrap_or(0);
    let framing = Framing::read(&head)?;
    let closes_connection = framing.closes_connection;
    if framing.chunked {
        let Some(chunked) = decode_chunks(bytes, body_start)? else { return Ok(None) };
        let response = Response { status, body: chunked.body, closes_connection };
        return Ok(Some(DecodedMessage { value: response, length: chunked.end }));
    }
    let end = body_start + framing.body_length(status)?;
    let Some(body) = bytes.get(body_start..end) else { return Ok(None) };
    let response = Response { status, body: body.to_vec(), closes_connection };
    Ok(Some(DecodedMessage { value: response, length: end }))
}

/// A body that came in chunks.
struct ChunkedBody {
    /// The chunks, joined.
    body: Vec<u8>,
    /// Where the message ends.
    end: usize,
}

/// The body of which the first chunk begins at `position`; none until all of it has arrived.
fn decode_chunks(bytes: &[u8], mut position: usize) -> Result<Option<ChunkedBody>, ProtocolError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[position..]) {
            Ok(httparse::Status::Complete((start, size))) => (position + start, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ProtocolError("chunk without a size")),
        };
        if size > (MAX_BODY_BYTES - body.len()) as u64 {
            return Err(ProtocolError("body too long"));
        }
        let size = size as usize;
        let Some(chunk) = bytes.get(start..start + size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err(ProtocolError("chunk without its end"));
        }
        body.extend_from_slice(&chunk[..size]);
        position = start + size + 2;
        if size == 0 {
            return Ok(Some(ChunkedBody { body, end: position }));
        }
    }
}
