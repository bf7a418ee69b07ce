//! Access to the fields of event records.
use super::{seconds, FrameError, RecordError, ADDRESS_BYTES};

/// One event record. Offsets are in bytes from its start; the code is at offset 0. Reading past the end of the record panics; callers
/// pass constant offsets.
#[derive(Clone, Copy)]
pub(crate) struct Record<'a> {
    /// Position in its frame, counted from 0.
    index: usize,
    bytes: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Record<'a> {
    /// Creates a record from its [`EVENT_BYTES`](super::EVENT_BYTES) bytes and the tail of its frame.
    pub fn new(index: usize, bytes: &'a [u8], tail: &'a [u8]) -> Record<'a> {
        Record { index, bytes, tail }
    }

    /// Returns the event code.
    pub fn code(&self) -> u8 {
        self.bytes[0]
    }

    /// Reads an unsigned integer of one byte.
    pub fn u8(&self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    /// Reads an unsigned integer of two bytes.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.field(offset))
    }

    /// Reads an unsigned integer of four bytes.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.field(offset))
    }

    /// Reads an unsigned integer of eight bytes.
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.field(offset))
    }

    /// Reads a floating-point number of four bytes.
    pub fn f32(&self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.field(offset)))
    }

    /// Reads the address of a backend.
    pub fn address(&self, offset: usize) -> [u8; ADDRESS_BYTES] {
        self.field(offset)
    }

    /// Reads a duration of four bytes, which is in microseconds, and returns it in seconds.
    pub fn seconds(&self, offset: usize) -> f64 {
        seconds(u64::from(self.u32(offset)))
    }

    /// Returns the part of the tail that a field refers to. The field contains an offset in the tail and a number of items, each of
    /// `item_bytes`.
    pub fn tail(&self, offset: usize, item_bytes: usize) -> Result<&'a [u8], FrameError> {
        let start = self.u32(offset) as usize;
        let items = self.u32(offset + 4) as usize;
        let end = items.checked_mul(item_bytes).and_then(|bytes| bytes.checked_add(start));
        end.and_then(|end| self.tail.get(start..end)).ok_or_else(|| {
            let tail_bytes = self.tail.len();
            self.frame_error(RecordError::OutsideTail { offset: start, items, item_bytes, tail_bytes })
        })
    }

    /// Returns the error of the frame for an error in this record.
    pub fn frame_error(&self, error: RecordError) -> FrameError {
        FrameError::Record { index: self.index, code: self.code(), error }
    }

    fn field<const N: usize>(&self, offset: usize) -> [u8; N] {
        self.bytes[offset..offset + N].try_into().expect("each field lies inside the record")
    }
}
