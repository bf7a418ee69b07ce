//! The framing primitives of RESP2: lines, lengths, bulk strings and array headers.
use super::{MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES, MAX_VALUE_BYTES};
use crate::wire::{Decoded, ProtocolError};
use std::ops::Range;

/// The most items that an array may have.
pub(super) const MAX_ARRAY_ITEMS: usize = 16;
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

/// The line from `start`, without its end, and where the next one begins.
pub(super) fn line(bytes: &[u8], start: usize) -> Decoded<&[u8]> {
    let rest = &bytes[start.min(bytes.len())..];
    match rest.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') {
        Some(feed) if feed > 0 && rest[feed - 1] == b'\r' => Ok(Some((&rest[..feed - 1], start + feed + 1))),
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

/// The length line of a bulk string from `start`: its length in bytes, none if null; and where the string begins.
pub(super) fn bulk_length(bytes: &[u8], start: usize, max_bytes: usize) -> Decoded<Option<usize>> {
    let Some((header, body_start)) = line(bytes, start)? else { return Ok(None) };
    let Some(b'$') = header.first() else { return Err(ProtocolError("expected a bulk string")) };
    match parse_length(&header[1..])? {
        -1 => Ok(Some((None, body_start))),
        length if length < 0 => Err(ProtocolError("negative length")),
        length if length > max_bytes as i64 => Err(value_too_long(max_bytes)),
        length => Ok(Some((Some(length as usize), body_start))),
    }
}

fn value_too_long(max_bytes: usize) -> ProtocolError {
    ProtocolError(if max_bytes > MAX_BUFFERED_VALUE_BYTES { "value over 4 MiB" } else { "value over 64 KiB" })
}

/// A bulk string from `start` (its length line included): its range, none if null; and where the next item begins.
pub(super) fn bulk_string(bytes: &[u8], start: usize, max_bytes: usize) -> Decoded<Option<Range<usize>>> {
    let Some((length, body_start)) = bulk_length(bytes, start, max_bytes)? else { return Ok(None) };
    let Some(length) = length else { return Ok(Some((None, body_start))) };
    let body_end = body_start + length;
    let Some(terminator) = bytes.get(body_end..body_end + 2) else { return Ok(None) };
    if terminator != b"\r\n" {
        return Err(ProtocolError("value without its end"));
    }
    Ok(Some((Some(body_start..body_end), body_end + 2)))
}

/// How many items an array has, none if null; and where the first begins.
pub(super) fn array_header(bytes: &[u8]) -> Decoded<Option<usize>> {
    let Some((header, first_item)) = line(bytes, 0)? else { return Ok(None) };
    match parse_length(&header[1..])? {
        -1 => Ok(Some((None, first_item))),
        count if (0..=MAX_ARRAY_ITEMS as i64).contains(&count) => {
            Ok(Some((Some(count as usize), first_item)))
        }
        _ => Err(ProtocolError("array too long")),
    }
}
