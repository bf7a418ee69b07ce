//! The framing primitives of RESP2: lines, lengths, bulk strings and array headers.
use super::{MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES, MAX_VALUE_BYTES};
use crate::wire::ProtocolError;
use std::ops::Range;

/// Terminator of a line and of a bulk string.
const LINE_END: &[u8] = b"\r\n";
/// Maximum number of items in an array.
pub(super) const MAX_ARRAY_ITEMS: usize = 16;

/// A part of a message that was decoded: a line, a length, a bulk string or an array header.
pub(super) struct Element<T> {
    /// The decoded value.
    pub value: T,
    /// Offset of the next element in the buffer.
    pub next: usize,
}

/// The result of decoding an element: `None` while it is incomplete.
pub(super) type DecodedElement<T> = Result<Option<Element<T>>, ProtocolError>;

/// Number of items in a command with a body.
const ITEM_COUNT_WITH_BODY: usize = 5;
/// Index of the body in a command that has one.
const BODY_INDEX: usize = 4;

/// Whether the item at this index is the command's body, which may be longer than the other items.
pub(super) fn is_body(index: usize, item_count: usize) -> bool {
    index == BODY_INDEX && item_count == ITEM_COUNT_WITH_BODY
}

/// Returns the maximum length of a command's item, in bytes.
pub(super) fn max_item_bytes(is_body: bool) -> usize {
    if is_body {
        MAX_VALUE_BYTES
    } else {
        MAX_BUFFERED_VALUE_BYTES
    }
}

/// Decodes the line at `start`, without its terminator.
pub(super) fn line(bytes: &[u8], start: usize) -> DecodedElement<&[u8]> {
    let rest = &bytes[start.min(bytes.len())..];
    match rest.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') {
        Some(line_feed) if line_feed > 0 && rest[line_feed - 1] == b'\r' => {
            Ok(Some(Element { value: &rest[..line_feed - 1], next: start + line_feed + 1 }))
        }
        Some(_) => Err(ProtocolError("line without CR")),
        None if rest.len() >= MAX_LINE_BYTES => Err(ProtocolError("line too long")),
        None => Ok(None),
    }
}

/// Parses the decimal integer of a length line.
pub(super) fn parse_length(text: &[u8]) -> Result<i64, ProtocolError> {
    let text = std::str::from_utf8(text).map_err(|_| ProtocolError("length is no number"))?;
    text.parse().map_err(|_| ProtocolError("length is no number"))
}

/// Decodes the length line at `start` of a bulk string: its length in bytes, or `None` for a null string.
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

/// Decodes the bulk string whose length line is at `start`: the range of its contents, or `None` for a null
/// string.
pub(super) fn bulk_string(
    bytes: &[u8],
    start: usize,
    max_bytes: usize,
) -> DecodedElement<Option<Range<usize>>> {
    let Some(Element { value: length, next: value_start }) = bulk_length(bytes, start, max_bytes)? else {
        return Ok(None);
    };
    let Some(length) = length else { return Ok(Some(Element { value: None, next: value_start })) };
    let value_end = value_start + length;
    let next = value_end + LINE_END.len();
    let Some(terminator) = bytes.get(value_end..next) else { return Ok(None) };
    if terminator != LINE_END {
        return Err(ProtocolError("value without its end"));
    }
    Ok(Some(Element { value: Some(value_start..value_end), next }))
}

/// Decodes the array header at the start of the buffer: the number of items, or `None` for a null array.
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
