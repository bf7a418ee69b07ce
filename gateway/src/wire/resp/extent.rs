//! What is known of a command before it is complete: its length, and its client's timeout.
use super::command::ARGUMENT_LIST_INDEX;
use super::framing::{array_header, bulk_length, bulk_string, is_body, max_item_bytes, Element};
use super::reply::find_number;
use super::MAX_MESSAGE_BYTES;
use crate::wire::ProtocolError;

/// The known part of a command's length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Extent {
    /// The command is complete and has this length, in bytes.
    Complete(usize),
    /// The command is incomplete by this many bytes.
    Missing(usize),
    /// The command is incomplete, and its length is not known yet.
    Unknown,
}

/// Returns the extent of the first command in a buffer, without decoding the contents of its items.
pub fn command_extent(bytes: &[u8]) -> Result<Extent, ProtocolError> {
    match bytes.first() {
        None => return Ok(Extent::Unknown),
        Some(b'*') => {}
        Some(_) => return Err(ProtocolError("expected an array of bulk strings")),
    }
    let Some(header) = array_header(bytes)? else { return Ok(Extent::Unknown) };
    let item_count = header.value.unwrap_or(0);
    let mut position = header.next;
    for index in 0..item_count {
        if position > MAX_MESSAGE_BYTES {
            return Err(ProtocolError("message over 64 KiB"));
        }
        let max_bytes = max_item_bytes(is_body(index, item_count));
        let Some(Element { value: length, next: start }) = bulk_length(bytes, position, max_bytes)? else {
            return Ok(Extent::Unknown);
        };
        let end = start + length.ok_or(ProtocolError("null in a command"))? + 2;
        if bytes.len() < end {
            let is_last = index + 1 == item_count;
            return Ok(if is_last { Extent::Missing(end - bytes.len()) } else { Extent::Unknown });
        }
        position = end;
    }
    Ok(Extent::Complete(position))
}

/// Returns whether the first command in a buffer is incomplete, and nothing but its body is missing.
pub fn has_begun_body(bytes: &[u8]) -> bool {
    let header = array_header(bytes).ok().flatten();
    let item_count = header.and_then(|header| header.value).unwrap_or(0);
    item_count > 0
        && is_body(item_count - 1, item_count)
        && matches!(command_extent(bytes), Ok(Extent::Missing(_)))
}

/// Returns the time that the client of the first command in a buffer waits, in milliseconds, if its argument list has
/// arrived. The command need not be complete or valid.
pub fn command_timeout_ms(bytes: &[u8]) -> Option<f64> {
    let mut position = array_header(bytes).ok()??.next;
    let item = |position| bulk_string(bytes, position, max_item_bytes(false)).ok()?;
    for _ in 0..ARGUMENT_LIST_INDEX {
        position = item(position)?.next;
    }
    let argument_list = item(position)?.value?;
    find_number(&bytes[argument_list], "d")
}
