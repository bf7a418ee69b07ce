//! Event records: access to their fields.
use super::{seconds, FrameError, RecordError, ADDRESS_BYTES};

/// One event record. Offsets are bytes from its beginning; its code is at offset 0. Offsets past the end of a record panic: the
/// callers use constants.
#[derive(Clone, Copy)]
pub(crate) struct Record<'a> {
    /// Position in its frame, counted from 0.
    index: usize,
    bytes: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Record<'a> {
    /// A record of [`EVENT_BYTES`](super::EVENT_BYTES), with the tail of its frame.
    pub fn new(index: usize, bytes: &'a [u8], tail: &'a [u8]) -> Record<'a> {
        Record { index, bytes, tail }
    }

    /// The code that tells which event it is.
    pub fn code(&self) -> u8 {
        self.bytes[0]
    }

    /// An unsigned integer of one byte.
    pub fn u8(&self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    /// An unsigned integer of two bytes.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.field(offset))
    }

    /// An unsigned integer of four bytes.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.field(offset))
    }

    /// An unsigned integer of eight bytes.
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.field(offset))
    }

    /// A floating-point number of four bytes.
    pub fn f32(&self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.field(offset)))
    }

    /// A backend's address.
    pub fn address(&self, offset: usize) -> [u8; ADDRESS_BYTES] {
        self.field(offset)
    }

    /// A duration: microseconds in the record, returned as seconds.
    pub fn seconds(&self, offset: usize) -> f64 {
        seconds(u64::from(self.u32(offset)))
    }

    /// The part of the tail that a field refers to by the offset and the number of items of `item_bytes` each.
    pub fn tail(&self, offset: usize, item_bytes: usize) -> Result<&'a [u8], FrameError> {
        let begin = self.u32(offset) as usize;
        let items = self.u32(offset + 4) as usize;
        let end = items.checked_mul(item_bytes).and_then(|bytes| bytes.checked_add(begin));
        end.and_then(|end| self.tail.get(begin..end)).ok_or_else(|| {
            let tail_bytes = self.tail.len();
            self.error(RecordError::OutsideTail { offset: begin, items, item_bytes, tail_bytes })
        })
    }

    /// The error for a fault of this record.
    pub fn error(&self, error: RecordError) -> FrameError {
        FrameError::Record { index: self.index, code: self.code(), error }
    }

    fn field<const N: usize>(&self, offset: usize) -> [u8; N] {
        self.bytes[offset..offset + N].try_into().expect("fields lie inside the record")
    }
}
