//! Bytes: calls over HTTP/1.1 as the platform's counter takes them, and frames between members.
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{BufRead, Error, ErrorKind, Read, Result};

const HEAD: usize = 8 * 1024;
const FRAME: usize = 256 << 20;

#[derive(Debug, PartialEq)]
pub enum Call {
    /// Name, amount, seconds that a new name lives.
    Add(Vec<u8>, f64, f64),
    /// Nothing that a counter knows.
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    Total(f64),
    /// 503: nothing was added.
    TurnedAway,
    /// 400: no such call, nothing was added.
    NoSuchCall,
    /// Nobody can say whether it was added: the connection ends without an answer.
    Unknown,
}

impl Said {
    /// Whether there is an answer; without one the connection ends.
    pub fn encode(&self, out: &mut Vec<u8>) -> bool {
        let mut say = |head: &str, body: &str| {
            let text = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            out.extend(text.as_bytes());
        };
        match self {
            Said::Total(total) => say("200 OK", &total.to_string()),
            Said::TurnedAway => say("503 Service Unavailable", ""),
            Said::NoSuchCall => say("400 Bad Request", ""),
            Said::Unknown => return false,
        }
        true
    }
}

/// The next call on a connection; none at its end. What is no HTTP is an error.
pub fn call(from: &mut impl BufRead) -> Result<Option<Call>> {
    let bad = |why: &str| Error::new(ErrorKind::InvalidData, why.to_owned());
    let mut head = vec![];
    loop {
        let before = head.len();
        if from.by_ref().take((HEAD - before) as u64).read_until(b'\n', &mut head)? == 0 {
            return if head.is_empty() { Ok(None) } else { Err(bad("head too long or cut off")) };
        }
        if head.ends_with(b"\r\n\r\n") || head.ends_with(b"\n\n") {
            break;
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    if !matches!(request.parse(&head), Ok(httparse::Status::Complete(_))) {
        return Err(bad("no HTTP"));
    }
    let length = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
    let length =
        length.and_then(|h| std::str::from_utf8(h.value).ok()?.trim().parse::<u64>().ok()).unwrap_or(0);
    if length > HEAD as u64 {
        return Err(bad("body too long"));
    }
    std::io::copy(&mut from.by_ref().take(length), &mut std::io::sink())?;
    Ok(Some(asked(request.method.unwrap_or(""), request.path.unwrap_or(""))))
}

fn asked(method: &str, path: &str) -> Call {
    let call = || {
        let (name, query) = path.strip_prefix("/counters/")?.split_once('?')?;
        let of = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        let (by, ms) = (of("by")?.parse::<f64>().ok()?, of("expire_ms")?.parse::<f64>().ok()?);
        (method == "POST" && ms >= 1.0).then(|| Call::Add(name.as_bytes().to_vec(), by, ms / 1e3))
    };
    call().unwrap_or(Call::Other)
}

/// A value behind its length and its checksum.
pub fn framed<T: Serialize>(value: &T, out: &mut Vec<u8>) {
    let body = postcard::to_stdvec(value).expect("plain values");
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
}

/// The next one; none at the end.
pub fn frame<T: DeserializeOwned>(from: &mut impl Read) -> Result<Option<T>> {
    let mut head = [0; 8];
    match from.read_exact(&mut head) {
        Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(None),
        other => other?,
    }
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let bad = |why: &str| Error::new(ErrorKind::InvalidData, why.to_owned());
    let length = word(0) as usize;
    if length > FRAME {
        return Err(bad("frame too long"));
    }
    let mut body = vec![];
    if from.by_ref().take(length as u64).read_to_end(&mut body)? < length {
        return Ok(None);
    }
    if crc32fast::hash(&body) != word(4) {
        return Err(bad("checksum"));
    }
    postcard::from_bytes(&body).map(Some).map_err(|_| bad("no message"))
}
