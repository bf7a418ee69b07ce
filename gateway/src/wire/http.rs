//! The client side of HTTP/1.1 for the counter and the list service: encodes requests and decodes complete
//! responses.
use super::{Decoded, DecodedMessage, ProtocolError};
use std::net::SocketAddr;

/// Maximum length of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a response's body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of a response as it is received, in bytes: the body, its chunks' sizes and the head.
const MAX_RESPONSE_BYTES: usize = 5 * 1024 * 1024;
/// Maximum number of header fields in a response.
const MAX_HEADERS: usize = 32;

/// An HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body, without chunked encoding.
    pub body: Vec<u8>,
    /// Whether the server closes the connection after this response.
    pub closes_connection: bool,
}

/// A request to the counter or to the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Adds units to a total of the shared counter.
    AddToCounter {
        /// Key of the total.
        key: String,
        /// Units to add.
        add: f64,
        /// Time until the total expires, in milliseconds.
        expire_ms: u64,
    },
    /// Asks for the changes to the endpoint list, which are returned as soon as there are any (long polling).
    WatchEndpoints {
        /// Version of the list that this instance has.
        since: u64,
        /// Maximum time that the service waits for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Asks for the complete endpoint list, which is returned at once.
    FetchEndpoints,
}

impl Request {
    /// Appends the encoded request to `out`.
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

/// Decodes the first final response; interim responses (1xx) are skipped.
#[inline(never)] // keeps the array of header fields out of the stack frame of every connection's coroutine
pub fn decode_response(bytes: &[u8]) -> Decoded<Response> {
    if bytes.len() > MAX_RESPONSE_BYTES {
        return Err(ProtocolError("response over 5 MiB"));
    }
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

/// Returns the length of the complete interim responses (1xx) at the beginning, which need not be kept until the final
/// one arrives.
#[inline(never)] // as above
pub fn interim_length(bytes: &[u8]) -> Result<usize, ProtocolError> {
    let mut end = 0;
    while let Some(DecodedMessage { value: response, length }) = decode_one(&bytes[end..])? {
        if !(100..200).contains(&response.status) {
            break;
        }
        end += length;
    }
    Ok(end)
}

/// The header fields of a response that determine where its body ends.
#[derive(Default)]
struct Framing {
    content_length: Option<usize>,
    chunked: bool,
    closes_connection: bool,
}

impl Framing {
    fn from_head(head: &httparse::Response) -> Result<Framing, ProtocolError> {
        let mut framing = Framing { closes_connection: head.version == Some(0), ..Framing::default() };
        for header in head.headers.iter() {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                let length =
                    value.parse::<usize>().map_err(|_| ProtocolError("Content-Length is not a number"))?;
                framing.content_length = Some(length);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.chunked = value.eq_ignore_ascii_case("chunked");
            } else if header.name.eq_ignore_ascii_case("connection") {
                framing.closes_connection = value.eq_ignore_ascii_case("close");
            }
        }
        Ok(framing)
    }

    /// Returns the length of a body without chunked encoding, in bytes.
    fn body_length(&self, status: u16) -> Result<usize, ProtocolError> {
        match self.content_length {
            Some(length) if length > MAX_BODY_BYTES => Err(ProtocolError("response body over 4 MiB")),
            Some(length) => Ok(length),
            None if status == 204 || status == 304 || status < 200 => Ok(0),
            None => Err(ProtocolError("response without Content-Length or chunked encoding")),
        }
    }
}

/// Decodes the first response, interim or final.
fn decode_one(bytes: &[u8]) -> Decoded<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
            return Err(ProtocolError("response head over 8 KiB"))
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ProtocolError("not an HTTP response")),
    };
    let status = head.code.unwrap_or(0);
    let framing = Framing::from_head(&head)?;
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

/// A body with chunked encoding.
struct ChunkedBody {
    /// The concatenated chunks.
    body: Vec<u8>,
    /// Offset of the first byte after the last chunk, from the start of the buffer.
    end: usize,
}

/// Decodes a body whose first chunk starts at `position`; returns `None` while the body is incomplete.
fn decode_chunks(bytes: &[u8], mut position: usize) -> Result<Option<ChunkedBody>, ProtocolError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[position..]) {
            Ok(httparse::Status::Complete((start, size))) => (position + start, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ProtocolError("invalid chunk size")),
        };
        if size > (MAX_BODY_BYTES - body.len()) as u64 {
            return Err(ProtocolError("response body over 4 MiB"));
        }
        let size = size as usize;
        let Some(chunk) = bytes.get(start..start + size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err(ProtocolError("chunk without CRLF at its end"));
        }
        body.extend_from_slice(&chunk[..size]);
        position = start + size + 2;
        if size == 0 {
            return Ok(Some(ChunkedBody { body, end: position }));
        }
    }
}
