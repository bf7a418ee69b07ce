//! Replies of backends: decoding; and replies to clients: encoding.
use super::framing::{array_header, bulk_string, line, parse_length, DecodedElement, Element};
use super::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES};
use crate::wire::{Decoded, DecodedMessage, ProtocolError};
use std::ops::Range;

/// A value, usage figures and a load report.
const ITEMS_OF_REPLY: usize = 3;

/// A backend's reply to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendReply {
    /// A result.
    Value {
        /// Its bytes.
        value: Vec<u8>,
        /// The units that the backend billed, where it reports them.
        billed: Option<f64>,
        /// The backend's load report, as it was written.
        report: Option<Vec<u8>>,
    },
    /// The backend was too busy; nothing was executed.
    Rejected,
    /// The backend reports an error.
    Failed,
}

/// A reply to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientReply {
    /// To a ping.
    Pong,
    /// The token was accepted.
    Okay,
    /// A result.
    Value(Vec<u8>),
    /// A result that has been streamed already.
    Streamed,
    /// The request was throttled.
    Busy {
        /// When to retry, in milliseconds from now.
        retry_after_ms: Option<u64>,
    },
    /// An error, by its text.
    Error(String),
    /// The client is not known, or may not do this: the text begins with its code.
    Denied(String),
}

impl ClientReply {
    /// Appends the reply as it goes to the client.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            ClientReply::Streamed => {}
            ClientReply::Pong => out.extend_from_slice(b"+PONG\r\n"),
            ClientReply::Okay => out.extend_from_slice(b"+OK\r\n"),
            ClientReply::Denied(text) => out.extend_from_slice(format!("-{text}\r\n").as_bytes()),
            ClientReply::Value(value) => {
                out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
                out.extend_from_slice(value);
                out.extend_from_slice(b"\r\n");
            }
            ClientReply::Busy { retry_after_ms: None } => out.extend_from_slice(b"-BUSY\r\n"),
            ClientReply::Busy { retry_after_ms: Some(retry_after_ms) } => {
                out.extend_from_slice(format!("-BUSY {retry_after_ms}\r\n").as_bytes())
            }
            ClientReply::Error(text) => out.extend_from_slice(format!("-ERR {text}\r\n").as_bytes()),
        }
    }
}

/// The head of a reply whose value is too long to be buffered: the value's length in bytes.
pub fn decode_stream_head(bytes: &[u8]) -> Decoded<usize> {
    if bytes.first() != Some(&b'*') {
        return Ok(None);
    }
    let Some(Element { value: Some(ITEMS_OF_REPLY), next }) = array_header(bytes)? else { return Ok(None) };
    let Some(header) = line(bytes, next)? else { return Ok(None) };
    let length = match header.value.split_first() {
        Some((b'$', length)) => parse_length(length)?,
        _ => return Ok(None),
    };
    let streamed = MAX_BUFFERED_VALUE_BYTES as i64 + 1..=MAX_VALUE_BYTES as i64;
    Ok(streamed.contains(&length).then_some(DecodedMessage { value: length as usize, length: header.next }))
}

/// What follows the value of a reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyTrailer {
    /// The units that the backend billed, where it reports them.
    pub billed_units: Option<f64>,
    /// The backend's load report, as it was written.
    pub load_report: Option<Vec<u8>>,
}

/// What follows a value, from the line behind it.
pub fn decode_trailer(bytes: &[u8]) -> Decoded<ReplyTrailer> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let Some(usage) = optional_item(bytes, 0)? else { return Ok(None) };
    let Some(report) = optional_item(bytes, usage.next)? else { return Ok(None) };
    let billed_units = usage.value.and_then(|usage| find_number(&bytes[usage], "cost"));
    let load_report = report.value.map(|report| bytes[report].to_vec());
    let trailer = ReplyTrailer { billed_units, load_report };
    Ok(Some(DecodedMessage { value: trailer, length: report.next }))
}

/// One reply of a backend.
pub fn decode_reply(bytes: &[u8]) -> Decoded<BackendReply> {
    match bytes.first() {
        None => Ok(None),
        Some(b'*') => decode_value(bytes),
        Some(b'-') => decode_error(bytes),
        Some(_) => Err(ProtocolError("unknown type of reply")),
    }
}

fn decode_value(bytes: &[u8]) -> Decoded<BackendReply> {
    let Some(header) = array_header(bytes)? else { return Ok(None) };
    if header.value != Some(ITEMS_OF_REPLY) {
        return Err(ProtocolError("expected a value, figures on use and a report"));
    }
    let Some(element) = bulk_string(bytes, header.next, MAX_BUFFERED_VALUE_BYTES)? else { return Ok(None) };
    let value = element.value.ok_or(ProtocolError("no value"))?;
    let Some(trailer) = decode_trailer(&bytes[element.next..])? else { return Ok(None) };
    let length = element.next + trailer.length;
    let reply = BackendReply::Value {
        value: bytes[value].to_vec(),
        billed: trailer.value.billed_units,
        report: trailer.value.load_report,
    };
    Ok(Some(DecodedMessage { value: reply, length }))
}

fn decode_error(bytes: &[u8]) -> Decoded<BackendReply> {
    let Some(Element { value: text, next }) = line(bytes, 0)? else { return Ok(None) };
    let reply = match text.split(|byte| *byte == b' ').next().unwrap_or_default() {
        b"-BUSY" => BackendReply::Rejected,
        [b'-', code @ ..] if !code.is_empty() && code.iter().all(u8::is_ascii_uppercase) => {
            BackendReply::Failed
        }
        _ => return Err(ProtocolError("unknown error")),
    };
    Ok(Some(DecodedMessage { value: reply, length: next }))
}

/// An optional item after a value: one of another type counts as absent and spoils nothing.
fn optional_item(bytes: &[u8], start: usize) -> DecodedElement<Option<Range<usize>>> {
    match bytes.get(start) {
        Some(b'+' | b'-' | b':') => {
            Ok(line(bytes, start)?.map(|line| Element { value: None, next: line.next }))
        }
        _ => bulk_string(bytes, start, MAX_BUFFERED_VALUE_BYTES),
    }
}

/// The number of this name in a comma-separated list of names and values.
pub fn find_number(list: &[u8], name: &str) -> Option<f64> {
    let list = std::str::from_utf8(list).ok()?;
    let mut pairs = list.split(',').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(pair_name, _)| *pair_name == name)?.1;
    value.parse().ok().filter(|number: &f64| number.is_finite())
}
