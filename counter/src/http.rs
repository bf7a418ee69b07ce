//! The HTTP/1.1 interface of the counter: decodes requests and encodes responses.
use std::io::{self, BufRead, Read};

/// Maximum size of the head and of the body of a request, bytes each: a call is a request line and a few headers.
const MAX_PART_BYTES: usize = 8 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 32;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The reason why no request could be read; the connection can't be used any more.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The head is not valid HTTP/1.1.
    #[error("malformed HTTP request")]
    Malformed,
    /// The head exceeds the maximum size, or the stream ended within it.
    #[error("request head too long or incomplete")]
    IncompleteHead,
    /// The declared body exceeds the maximum size.
    #[error("request body too long")]
    BodyTooLong,
}

/// A request.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// Adds to a total.
    Add {
        /// The name of the total.
        name: Vec<u8>,
        /// The amount to add; may be negative.
        amount: f64,
        /// Lifetime of the total if it is new, seconds.
        lifetime: f64,
    },
    /// A valid HTTP request that is not a call of the counter.
    Unsupported,
}

/// The response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    /// 200: the total after the call.
    Total(f64),
    /// 503: nothing was added.
    Unavailable,
    /// 400: not a call of the counter; nothing was added.
    BadRequest,
    /// Whether the amount was added is unknown: the connection is closed without a response.
    Unknown,
}

impl Response {
    /// Appends the encoded response; false if the call gets no response and the connection has to be closed.
    pub fn encode(&self, out: &mut Vec<u8>) -> bool {
        let (status, body) = match self {
            Response::Total(total) => ("200 OK", total.to_string()),
            Response::Unavailable => ("503 Service Unavailable", String::new()),
            Response::BadRequest => ("400 Bad Request", String::new()),
            Response::Unknown => return false,
        };
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        out.extend(text.as_bytes());
        true
    }
}

/// Reads the next request of a connection; `None` at the end of the stream.
pub fn read_request(reader: &mut impl BufRead) -> Result<Option<Request>, RequestError> {
    let Some(head) = read_head(reader)? else { return Ok(None) };
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    if !matches!(request.parse(&head), Ok(httparse::Status::Complete(_))) {
        return Err(RequestError::Malformed);
    }
    let length = content_length(request.headers);
    if length > MAX_PART_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    std::io::copy(&mut reader.by_ref().take(length), &mut std::io::sink())?;
    let method = request.method.unwrap_or("");
    let path = request.path.unwrap_or("");
    Ok(Some(parse_add(method, path).unwrap_or(Request::Unsupported)))
}

fn read_head(reader: &mut impl BufRead) -> Result<Option<Vec<u8>>, RequestError> {
    let mut head = vec![];
    loop {
        let remaining = (MAX_PART_BYTES - head.len()) as u64;
        if reader.by_ref().take(remaining).read_until(b'\n', &mut head)? == 0 {
            return if head.is_empty() { Ok(None) } else { Err(RequestError::IncompleteHead) };
        }
        if head.ends_with(b"\r\n\r\n") || head.ends_with(b"\n\n") {
            return Ok(Some(head));
        }
    }
}

/// Returns the length of the body, bytes; 0 if the header is missing or not a number.
fn content_length(headers: &[httparse::Header]) -> u64 {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let value = header.and_then(|header| std::str::from_utf8(header.value).ok());
    value.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
}

fn parse_add(method: &str, path: &str) -> Option<Request> {
    let (name, query) = path.strip_prefix("/counters/")?.split_once('?')?;
    let amount = query_number(query, "by")?;
    let milliseconds = query_number(query, "expire_ms")?;
    if method != "POST" || milliseconds.is_nan() || milliseconds < 1.0 {
        return None;
    }
    let lifetime = milliseconds / MILLISECONDS_PER_SECOND;
    Some(Request::Add { name: name.as_bytes().to_vec(), amount, lifetime })
}

fn query_number(query: &str, key: &str) -> Option<f64> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))?;
    value.parse().ok()
}
