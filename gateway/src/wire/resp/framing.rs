//! The framing primitives of RESP2: lines, lengths, bulk strings and array headers.
use super::{MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES, MAX_VALUE_BYTES};
use crate::wire::ProtocolError;
use std::ops::Range;

/// What ends a line and a bulk string.
const LINE_END: &[u8] = b"\r\n";
/// The most items that an array may have.
pub(super) const MAX_ARRAY_ITEMS: usize = 16;
/// A part of a message: a line, a length, a bulk string or an array header.
pub(super) struct Element<T> {
    /// What was decoded.
    pub value: T,
    /// Where the next element begins, from the start of the same bytes.
    pub next: usize,
}

/// An element that has arrived completely; none until more bytes have arrived.
pub(super) type DecodedElement<T> = Result<Option<Element<T>>, ProtocolError>;

/// The items of a command that has a body, and the index of that body.
const ITEMS_WITH_BODY: usize = 5;
const BODY_INDEX: usize = 4;

/// Whether this item of a command is its body, which may be longer than the others.
pub(super) fn is_body(index: usize, item_count: usize) -> bool {
    index == BODY_INDEX && item_count == ITEMS_WITH_BODY
}

/// The longest that this item of a command may be, in bytes.
pub(super) fn max_item_bytes(is_body: bool) -> usize {
    if is_body {
        MAX_VALUE_BYTES
    } else {
        MAX_BUFFERED_VALUE_BYTES
    }
}

/// The line from `start`, without its end.
pub(super) fn line(bytes: &[u8], start: usize) -> DecodedElement<&[u8]> {
    let rest = &bytes[start.min(bytes.len())..];
    match rest.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') {
        Some(feed) if feed > 0 && rest[feed - 1] == b'\r' => {
            Ok(Some(Element { value: &rest[..feed - 1], next: start + feed + 1 }))
        }
        Some(_) => Err(ProtocolError("line without CR")),
        None if rest.len() >= MAX_LINE_BYTES => Err(ProtocolError("line too long")),
        None => Ok(None),
    }
}

/// The decimal integer of a length line.
pub(super) fn parse_length(text: &[u8]) -> Result<i64, ProtocolError> {
    let text = std::str::from_utf8(text).map_err(|_| ProtocolError("length is no number"))?;
    text.parse().map_err(|_| ProtocolError("length is no number"))
}

/// The length line of a bulk string from `start`: its length in bytes, none if null.
pub(super) fn bulk_length(bytes: &[u8], start: usize, max_bytes: usize) -> DecodedElement<Option<usize>> {
    let Some(Element { value: header, next }) = line(bytes, start)? else { return Ok(None) };
    let Some(b'$') = header.first() else { return Err(ProtocolError("expected a bulk string")) };
    match parse_length(&header[1..])? {
        -1 => Ok(Some(Element { value: None, next })),
        length if length < 0 => Err(ProtocolError("negative length")),
        length if length > max_bytes as i64 => Err(value_too_long(max_bytes)),
        length => Ok(Some(Element { value: Some(length as usize), next })),
    }
}

fn value_too_long(max_bytes: usize) -> ProtocolError {
    ProtocolError(if max_bytes > MAX_BUFFERED_VALUE_BYTES { "value over 4 MiB" } else { "value over 64 KiB" })
}

/// A bulk string from `start` (its length line included): the range of its contents, none if null.
pub(super) fn bulk_string(
    bytes: &[u8],
    start: usize,
    max_bytes: usize,
) -> DecodedElement<Option<Range<usize>>> {
    let Some(Element { value: length, next: body_start }) = bulk_length(bytes, start, max_bytes)? else {
        return Ok(None);
    };
    let Some(length) = length else { return Ok(Some(Element { value: None, next: body_start })) };
    let body_end = body_start + length;
    let next = body_end + LINE_END.len();
    let Some(terminator) = bytes.get(body_end..next) else { return Ok(None) };
    if terminator != LINE_END {
        return Err(ProtocolError("value without its end"));
    }
    Ok(Some(Element { value: Some(body_start..body_end), next }))
}

/// The header of an array: how many items it has, none if null.
pub(super) fn array_header(bytes: &[u8]) -> DecodedElement<Option<usize>> {
    let Some(Element { value: header, next }) = line(bytes, 0)? else { return Ok(None) };
    match parse_length(&header[1..])? {
        -1 => Ok(Some(Element { value: None, next })),
        count if (0..=MAX_ARRAY_ITEMS as i64).contains(&count) => {
            Ok(Some(Element { value: Some(count as usize), next }))
        }
        _ => Err(ProtocolError("array too long")),
    }
}
