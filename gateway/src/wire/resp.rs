//! RESP2: commands of clients, replies of backends, and what is sent to either.
use super::{Decoded, ProtocolError};
use std::ops::Range;

/// The longest value that is held whole, and the longest there is: it passes, or is a body that waits for room.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
const WORDS: usize = 16;
const LINE: usize = 1024;
/// The longest message, long bodies apart: a value, and the short words round it.
pub const MAX_MESSAGE_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + 4 * LINE;

/// An invocation as a client wrote it. The message passes on as it came, but for the time left.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCommand {
    /// By the command for what may be repeated freely.
    pub idempotent: bool,
    pub customer: u64,
    pub id: u64,
    pub units: f64,
    pub first_instance: usize,
    pub instance_count: usize,
    /// Milliseconds that the client waits.
    pub timeout_ms: f64,
    raw: Vec<u8>,
    operation: Range<usize>,
    plan: Range<usize>,
    /// The list of names and values with its length line, and the value of `d` in it.
    list: Range<usize>,
    names: usize,
    d: Range<usize>,
}

impl RequestCommand {
    pub fn operation(&self) -> &[u8] {
        &self.raw[self.operation.clone()]
    }
    pub fn plan(&self) -> &[u8] {
        &self.raw[self.plan.clone()]
    }
    /// The command for a backend, with the milliseconds that we shall wait.
    pub fn encode(&self, wait: u64, out: &mut Vec<u8>) {
        let d = wait.to_string();
        let list = self.list.end - self.names - self.d.len() + d.len() - 2;
        out.extend_from_slice(&self.raw[..self.list.start]);
        out.extend_from_slice(format!("${list}\r\n").as_bytes());
        out.extend_from_slice(&self.raw[self.names..self.d.start]);
        out.extend_from_slice(d.as_bytes());
        out.extend_from_slice(&self.raw[self.d.end..]);
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    Ping,
    /// Who the client is, by a token.
    Auth(Vec<u8>),
    Request(Box<RequestCommand>),
    /// A whole command that can't be served, and why.
    Invalid(String),
    /// A whole command that was not kept, for too much of its client waits: it is refused.
    Dropped,
    /// Nothing after it can be understood.
    ProtocolError(&'static str),
}

/// What a backend says.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendReply {
    /// With what the backend says of its load, as it says it.
    Value {
        value: Vec<u8>,
        billed: Option<f64>,
        report: Option<Vec<u8>>,
    },
    Rejected,
    Failed,
}

/// What a client hears.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientReply {
    Pong,
    Okay,
    Value(Vec<u8>),
    /// A value that has passed on its way here.
    Streamed,
    Busy {
        retry_after_ms: Option<u64>,
    },
    Error(String),
    /// Its caller is not known, or may not: with its code in front.
    Denied(String),
}

impl ClientReply {
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            ClientReply::Streamed => {}
            ClientReply::Pong => out.extend_from_slice(b"+PONG\r\n"),
            ClientReply::Okay => out.extend_from_slice(b"+OK\r\n"),
            ClientReply::Denied(why) => out.extend_from_slice(format!("-{why}\r\n").as_bytes()),
            ClientReply::Value(value) => {
                out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
                out.extend_from_slice(value);
                out.extend_from_slice(b"\r\n");
            }
            ClientReply::Busy { retry_after_ms: None } => out.extend_from_slice(b"-BUSY\r\n"),
            ClientReply::Busy { retry_after_ms: Some(ms) } => {
                out.extend_from_slice(format!("-BUSY {ms}\r\n").as_bytes())
            }
            ClientReply::Error(why) => out.extend_from_slice(format!("-ERR {why}\r\n").as_bytes()),
        }
    }
}

/// The line from `at`, and where the next one begins.
fn line(bytes: &[u8], at: usize) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    let rest = &bytes[at.min(bytes.len())..];
    match rest.iter().take(LINE).position(|b| *b == b'\n') {
        Some(n) if n > 0 && rest[n - 1] == b'\r' => Ok(Some((&rest[..n - 1], at + n + 1))),
        Some(_) => Err(ProtocolError("line without CR")),
        None if rest.len() >= LINE => Err(ProtocolError("line too long")),
        None => Ok(None),
    }
}

fn number(text: &[u8]) -> Result<i64, ProtocolError> {
    let text = std::str::from_utf8(text).map_err(|_| ProtocolError("length is no number"))?;
    text.parse().map_err(|_| ProtocolError("length is no number"))
}

/// The length line of a bulk string from `at`: its length, none if null; and where the string begins.
fn bulk_length(bytes: &[u8], at: usize, longest: usize) -> Decoded<Option<usize>> {
    let Some((head, from)) = line(bytes, at)? else { return Ok(None) };
    let Some(b'$') = head.first() else { return Err(ProtocolError("expected a bulk string")) };
    match number(&head[1..])? {
        -1 => Ok(Some((None, from))),
        n if n < 0 => Err(ProtocolError("negative length")),
        n if n > longest as i64 => Err(ProtocolError(if longest > MAX_BUFFERED_VALUE_BYTES {
            "value over 4 MiB"
        } else {
            "value over 64 KiB"
        })),
        n => Ok(Some((Some(n as usize), from))),
    }
}

/// A bulk string from `at` (its length line included): where it lies, none if null; and the next.
fn bulk(bytes: &[u8], at: usize, longest: usize) -> Decoded<Option<Range<usize>>> {
    let Some((length, from)) = bulk_length(bytes, at, longest)? else { return Ok(None) };
    let Some(length) = length else { return Ok(Some((None, from))) };
    if bytes.len() < from + length + 2 {
        return Ok(None);
    }
    if &bytes[from + length..from + length + 2] != b"\r\n" {
        return Err(ProtocolError("value without its end"));
    }
    Ok(Some((Some(from..from + length), from + length + 2)))
}

/// How many items an array holds, and where the first begins; none if null.
fn array(bytes: &[u8]) -> Decoded<Option<usize>> {
    let Some((head, from)) = line(bytes, 0)? else { return Ok(None) };
    match number(&head[1..])? {
        -1 => Ok(Some((None, from))),
        n if (0..=WORDS as i64).contains(&n) => Ok(Some((Some(n as usize), from))),
        _ => Err(ProtocolError("array too long")),
    }
}

/// How far a command reaches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Extent {
    /// It is whole, and so many bytes long.
    Complete(usize),
    /// So many bytes are still to come.
    Missing(usize),
    /// Too little of it has come to say.
    Unknown,
}

/// How far the first command of these bytes reaches, without a look at what it says.
pub fn command_extent(bytes: &[u8]) -> Result<Extent, ProtocolError> {
    match bytes.first() {
        None => return Ok(Extent::Unknown),
        Some(b'*') => {}
        Some(_) => return Err(ProtocolError("expected an array of bulk strings")),
    }
    let Some((words, mut at)) = array(bytes)? else { return Ok(Extent::Unknown) };
    let words = words.unwrap_or(0);
    for word in 0..words {
        let body = word == 4 && words == 5;
        if at > MAX_MESSAGE_BYTES {
            return Err(ProtocolError("message over 64 KiB"));
        }
        let longest = if body { MAX_VALUE_BYTES } else { MAX_BUFFERED_VALUE_BYTES };
        let Some((length, from)) = bulk_length(bytes, at, longest)? else { return Ok(Extent::Unknown) };
        let end = from + length.ok_or(ProtocolError("null in a command"))? + 2;
        if bytes.len() < end {
            let last = word + 1 == words;
            return Ok(if last { Extent::Missing(end - bytes.len()) } else { Extent::Unknown });
        }
        at = end;
    }
    Ok(Extent::Complete(at))
}

/// One command of a client.
pub fn decode_command(bytes: &[u8]) -> Decoded<ClientCommand> {
    if bytes.is_empty() {
        return Ok(None);
    }
    if bytes[0] != b'*' {
        return Err(ProtocolError("expected an array of bulk strings"));
    }
    let Some((n, mut at)) = array(bytes)? else { return Ok(None) };
    let mut words = [const { 0..0 }; WORDS];
    let mut heads = [0; WORDS];
    let n = n.unwrap_or(0);
    for i in 0..n {
        heads[i] = at;
        let body = i == 4 && n == 5;
        let Some((word, next)) =
            bulk(bytes, at, if body { MAX_VALUE_BYTES } else { MAX_BUFFERED_VALUE_BYTES })?
        else {
            let long = bytes.len() > MAX_MESSAGE_BYTES && !body;
            return if long { Err(ProtocolError("message over 64 KiB")) } else { Ok(None) };
        };
        words[i] = word.ok_or(ProtocolError("null in a command"))?;
        at = next;
    }
    if heads[n.saturating_sub(1).min(4)] > MAX_MESSAGE_BYTES || n != 5 && at > MAX_MESSAGE_BYTES {
        return Err(ProtocolError("message over 64 KiB"));
    }
    let word = |i: usize| &bytes[words[i].clone()];
    let is = |name: &str| n > 0 && word(0).eq_ignore_ascii_case(name.as_bytes());
    let command = if is("PING") {
        ClientCommand::Ping
    } else if is("CALL.GET") && n == 4 || is("CALL.POST") && n == 5 {
        match call(&bytes[..at], (n == 4, word(1), word(2)), heads[3], words[3].clone()) {
            Ok(call) => ClientCommand::Request(Box::new(call)),
            Err(why) => ClientCommand::Invalid(why),
        }
    } else if is("CALL.GET") || is("CALL.POST") {
        ClientCommand::Invalid("wrong number of arguments".into())
    } else if is("AUTH") && (n == 2 || n == 3) {
        // With a name before it, as RESP has it; the token says the name itself.
        ClientCommand::Auth(word(n - 1).to_vec())
    } else {
        ClientCommand::Invalid("unknown command".into())
    };
    Ok(Some((command, at)))
}

/// Sixteen hex digits.
fn hex(word: &[u8]) -> Option<u64> {
    let digits = word.len() == 16 && word.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(word).ok().filter(|_| digits).and_then(|t| u64::from_str_radix(t, 16).ok())
}

/// A plain decimal number: no sign, no exponent, no name of a number.
fn decimal(word: &[u8]) -> Option<f64> {
    let plain = word.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    std::str::from_utf8(word).ok().filter(|_| plain).and_then(|t| t.parse().ok())
}

fn call(
    raw: &[u8],
    (get, customer, id): (bool, &[u8], &[u8]),
    head: usize,
    names: Range<usize>,
) -> Result<RequestCommand, String> {
    let customer = hex(customer).filter(|c| *c < 1 << 33);
    let customer = customer.ok_or("customer: expected 16 hex digits, below 2^33")?;
    let id = hex(id).ok_or("id: expected 16 hex digits")?;
    let (mut operation, mut plan, mut d) = (None, None, None);
    let (mut units, mut first, mut spread) = (None, None, None);
    let mut at = names.start;
    for pair in raw[names.clone()].split(|b| *b == b',') {
        let equals = pair.iter().position(|b| *b == b'=').ok_or("expected name=value")?;
        let value = at + equals + 1..at + pair.len();
        let amount = || decimal(&raw[value.clone()]).map(|n| (n, value.clone()));
        let (place, found) = match &pair[..equals] {
            b"c" => (&mut operation, Some((0.0, value))),
            b"t" => (&mut plan, Some((0.0, value))),
            b"d" => (&mut d, amount()),
            b"units" => (&mut units, amount()),
            b"spread" => (&mut spread, amount()),
            b"first" => (&mut first, amount()),
            _ => {
                at += pair.len() + 1;
                continue;
            }
        };
        let what = || String::from_utf8_lossy(&pair[..equals]).into_owned();
        if place.is_some() {
            return Err(format!("{} stands there twice", what()));
        }
        *place = Some(found.ok_or_else(|| format!("{}: expected a number", what()))?);
        at += pair.len() + 1;
    }
    let whole = |n: Option<(f64, Range<usize>)>, what: &str| -> Result<usize, String> {
        let n = n.map(|n| n.0).filter(|n| n.fract() == 0.0 && *n < 65_536.0);
        n.map(|n| n as usize).ok_or_else(|| format!("{what}: expected a whole number"))
    };
    let (wait, d) = d.ok_or("d is missing")?;
    Ok(RequestCommand {
        idempotent: get,
        customer,
        id,
        units: units.ok_or("units is missing")?.0,
        first_instance: whole(first, "first")?,
        instance_count: whole(spread, "spread")?,
        timeout_ms: wait,
        operation: operation.ok_or("c is missing")?.1,
        plan: plan.ok_or("t is missing")?.1,
        list: head..names.end + 2,
        names: names.start,
        d,
        raw: raw.to_vec(),
    })
}

/// The head of a reply whose value is too long to be held: how long it is.
pub fn decode_stream_head(bytes: &[u8]) -> Decoded<usize> {
    if bytes.first() != Some(&b'*') {
        return Ok(None);
    }
    let Some((Some(3), at)) = array(bytes)? else { return Ok(None) };
    let Some((text, from)) = line(bytes, at)? else { return Ok(None) };
    let length = match text.split_first() {
        Some((b'$', length)) => number(length)?,
        _ => return Ok(None),
    };
    Ok((MAX_BUFFERED_VALUE_BYTES as i64 + 1..=MAX_VALUE_BYTES as i64)
        .contains(&length)
        .then_some((length as usize, from)))
}

/// What stands behind a value that has passed: figures on use and a report.
pub fn decode_trailer(bytes: &[u8]) -> Decoded<(Option<f64>, Option<Vec<u8>>)> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let Some((use_of, at)) = aside(bytes, 0)? else { return Ok(None) };
    let Some((report, at)) = aside(bytes, at)? else { return Ok(None) };
    let billed = use_of.and_then(|u| find_number(&bytes[u], "cost"));
    Ok(Some(((billed, report.map(|r| bytes[r].to_vec())), at)))
}

/// One reply of a backend.
pub fn decode_reply(bytes: &[u8]) -> Decoded<BackendReply> {
    match bytes.first() {
        None => Ok(None),
        Some(b'*') => {
            let Some((n, at)) = array(bytes)? else { return Ok(None) };
            if n != Some(3) {
                return Err(ProtocolError("expected a value, figures on use and a report"));
            }
            let Some((value, at)) = bulk(bytes, at, MAX_BUFFERED_VALUE_BYTES)? else { return Ok(None) };
            let value = value.ok_or(ProtocolError("no value"))?;
            let Some(((billed, report), n)) = decode_trailer(&bytes[at..])? else { return Ok(None) };
            Ok(Some((BackendReply::Value { value: bytes[value].to_vec(), billed, report }, at + n)))
        }
        Some(b'-') => {
            let Some((text, next)) = line(bytes, 0)? else { return Ok(None) };
            match text.split(|b| *b == b' ').next().unwrap_or_default() {
                b"-BUSY" => Ok(Some((BackendReply::Rejected, next))),
                [b'-', word @ ..] if !word.is_empty() && word.iter().all(u8::is_ascii_uppercase) => {
                    Ok(Some((BackendReply::Failed, next)))
                }
                _ => Err(ProtocolError("unknown error")),
            }
        }
        Some(_) => Err(ProtocolError("unknown type of reply")),
    }
}

/// What stands beside a value, from `at`: one that can't be read says nothing, and spoils nothing.
fn aside(bytes: &[u8], at: usize) -> Decoded<Option<Range<usize>>> {
    match bytes.get(at) {
        Some(b'+' | b'-' | b':') => Ok(line(bytes, at)?.map(|(_, next)| (None, next))),
        _ => bulk(bytes, at, MAX_BUFFERED_VALUE_BYTES),
    }
}

/// A number by its name in a list of names and values.
pub fn find_number(list: &[u8], name: &str) -> Option<f64> {
    let list = std::str::from_utf8(list).ok()?;
    let value = list.split(',').find_map(|p| p.split_once('=').filter(|(n, _)| *n == name))?.1;
    value.parse().ok().filter(|n: &f64| n.is_finite())
}
