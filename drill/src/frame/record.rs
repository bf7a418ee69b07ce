//! Event records.
use super::{seconds, Malformed, ADDRESS_BYTES};
use std::fmt;

/// One event record. Offsets are bytes from its beginning, where its code stands.
#[derive(Clone, Copy)]
pub(crate) struct Record<'a> {
    index: usize,
    bytes: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Record<'a> {
    pub fn new(index: usize, bytes: &'a [u8], tail: &'a [u8]) -> Record<'a> {
        Record { index, bytes, tail }
    }

    pub fn code(&self) -> u8 {
        self.bytes[0]
    }

    pub fn u8(&self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.field(offset))
    }

    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.field(offset))
    }

    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.field(offset))
    }

    pub fn f32(&self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.field(offset)))
    }

    /// A backend's address.
    pub fn address(&self, offset: usize) -> [u8; ADDRESS_BYTES] {
        self.field(offset)
    }

    /// Microseconds in the record, as seconds.
    pub fn seconds(&self, offset: usize) -> f64 {
        seconds(u64::from(self.u32(offset)))
    }

    /// What a field says of the tail: where its items begin and how many there are, each of `item_bytes`.
    pub fn tail(&self, offset: usize, item_bytes: usize) -> Result<&'a [u8], Malformed> {
        let begin = self.u32(offset) as usize;
        let items = self.u32(offset + 4) as usize;
        let end = items.checked_mul(item_bytes).and_then(|bytes| bytes.checked_add(begin));
        end.and_then(|end| self.tail.get(begin..end)).ok_or_else(|| {
            let all = self.tail.len();
            self.malformed(format!(
                "offset {begin} with {items} x {item_bytes} bytes lies outside the tail of {all}"
            ))
        })
    }

    /// Something is wrong with this record.
    pub fn malformed(&self, reason: impl fmt::Display) -> Malformed {
        Malformed(format!("record {} (code {}): {reason}", self.index, self.code()))
    }

    fn field<const N: usize>(&self, offset: usize) -> [u8; N] {
        self.bytes[offset..offset + N].try_into().expect("fields lie inside the record")
    }
}
