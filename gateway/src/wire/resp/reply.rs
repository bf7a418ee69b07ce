//! Decoding of backends' replies, and encoding of replies to clients.
use super::framing::{array_header, bulk_string, line, parse_length, DecodedElement, Element};
use super::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES};
use crate::wire::{Decoded, DecodedMessage, ProtocolError};
use std::ops::Range;

/// Number of items in a backend's reply with a value: the value, usage figures and a load report.
const REPLY_ITEM_COUNT: usize = 3;

/// A backend's reply to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendReply {
    /// The result of the request.
    Value {
        /// The result's bytes.
        value: Vec<u8>,
        /// Units that the backend billed; `None` if it reported none.
        billed_units: Option<f64>,
        /// The backend's load report, undecoded; `None` if there is none.
        load_report: Option<Vec<u8>>,
    },
    /// The backend rejected the attempt because it is overloaded, and executed nothing.
    Rejected,
    /// The backend replied with an error.
    Failed,
}

/// A reply to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientReply {
    /// The reply to a ping.
    Pong,
    /// The client's token was accepted.
    Okay,
    /// The result of a request.
    Value(Vec<u8>),
    /// A result that was already streamed to the client; nothing more is encoded.
    Streamed,
    /// The request was throttled.
    Busy {
        /// Time after which the client may retry, in milliseconds; `None` if the reply states none.
        retry_after_ms: Option<u64>,
    },
    /// An error; the text follows the code `ERR`.
    Error(String),
    /// The client is not authenticated, or lacks permission; the text starts with the error's code.
    Denied(String),
}

impl ClientReply {
    /// Returns the reply to a throttled request, which the client may send again after `retry_after` seconds.
    pub fn busy(retry_after: Option<f64>) -> ClientReply {
        ClientReply::Busy { retry_after_ms: retry_after.map(|seconds| (seconds * 1e3).ceil() as u64) }
    }

    /// Returns the length of the value in this reply; 0 for any other reply.
    pub fn value_bytes(&self) -> usize {
        match self {
            ClientReply::Value(value) => value.len(),
            _ => 0,
        }
    }

    /// Appends the encoded reply to `out`.
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

/// Decodes the head of a reply whose value is to be streamed because it is too long to be buffered; returns
/// the value's length in bytes, or `None` for any other reply and while the head is incomplete.
pub fn decode_stream_head(bytes: &[u8]) -> Decoded<usize> {
    if bytes.first() != Some(&b'*') {
        return Ok(None);
    }
    let Some(Element { value: Some(REPLY_ITEM_COUNT), next }) = array_header(bytes)? else { return Ok(None) };
    let Some(header) = line(bytes, next)? else { return Ok(None) };
    let length = match header.value.split_first() {
        Some((b'$', length)) => parse_length(length)?,
        _ => return Ok(None),
    };
    let streamed_lengths = MAX_BUFFERED_VALUE_BYTES as i64 + 1..=MAX_VALUE_BYTES as i64;
    Ok(streamed_lengths
        .contains(&length)
        .then_some(DecodedMessage { value: length as usize, length: header.next }))
}

/// The items that follow the value in a backend's reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyTrailer {
    /// Units that the backend billed; `None` if it reported none.
    pub billed_units: Option<f64>,
    /// The backend's load report, undecoded; `None` if there is none.
    pub load_report: Option<Vec<u8>>,
}

/// Decodes the items that follow a value; the buffer starts after the value's terminator.
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

/// Decodes the first reply of a backend. A value in it must be short enough to be buffered.
pub fn decode_reply(bytes: &[u8]) -> Decoded<BackendReply> {
    match bytes.first() {
        None => Ok(None),
        Some(b'*') => decode_value(bytes),
        Some(b'-') => decode_error(bytes),
        Some(_) => Err(ProtocolError("unknown reply type")),
    }
}

fn decode_value(bytes: &[u8]) -> Decoded<BackendReply> {
    let Some(header) = array_header(bytes)? else { return Ok(None) };
    if header.value != Some(REPLY_ITEM_COUNT) {
        return Err(ProtocolError("expected a value, usage figures and a load report"));
    }
    let Some(element) = bulk_string(bytes, header.next, MAX_BUFFERED_VALUE_BYTES)? else { return Ok(None) };
    let value = element.value.ok_or(ProtocolError("null value in a reply"))?;
    let Some(trailer) = decode_trailer(&bytes[element.next..])? else { return Ok(None) };
    let length = element.next + trailer.length;
    let reply = BackendReply::Value {
        value: bytes[value].to_vec(),
        billed_units: trailer.value.billed_units,
        load_report: trailer.value.load_report,
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
        _ => return Err(ProtocolError("malformed error reply")),
    };
    Ok(Some(DecodedMessage { value: reply, length: next }))
}

/// Decodes an optional item after a value. An item of another type than a bulk string counts as absent, so
/// that the value stays usable.
fn optional_item(bytes: &[u8], start: usize) -> DecodedElement<Option<Range<usize>>> {
    match bytes.get(start) {
        Some(b'+' | b'-' | b':') => {
            Ok(line(bytes, start)?.map(|line| Element { value: None, next: line.next }))
        }
        _ => bulk_string(bytes, start, MAX_BUFFERED_VALUE_BYTES),
    }
}

/// Returns the number of this name in a comma-separated list of `name=value` pairs.
pub fn find_number(list: &[u8], name: &str) -> Option<f64> {
    let list = std::str::from_utf8(list).ok()?;
    let mut pairs = list.split(',').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(pair_name, _)| *pair_name == name)?.1;
    value.parse().ok().filter(|number: &f64| number.is_finite())
}
