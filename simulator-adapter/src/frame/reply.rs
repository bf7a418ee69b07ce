//! Encoding of action frames.
use super::{microseconds, FrameError, ACTION_BYTES};
use crate::codes::ActionCode;

/// Size of the header of an action frame, in bytes.
const HEADER_BYTES: usize = 8;
/// Maximum duration that is written to a field, in microseconds: 4,200 s, which fits in four bytes.
const MAX_MICROSECONDS: f64 = 4_200_000_000.0;
/// Offset of the tail reference in a record without other fields.
const TAIL_OFFSET: usize = 1;

/// Builder of an action frame.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    /// The selected instance, to which the next actions belong.
    instance: u32,
    /// The instance of the last [`ActionCode::Instance`] record; `None` before the first one.
    announced: Option<u32>,
}

/// Writes the fields of an action record. Offsets are in bytes from its start; the code is at offset 0.
pub(crate) struct ActionRecord<'a>(&'a mut [u8]);

impl ActionRecord<'_> {
    /// Writes bytes at an offset.
    pub fn bytes(self, offset: usize, bytes: &[u8]) -> Self {
        self.0[offset..offset + bytes.len()].copy_from_slice(bytes);
        self
    }

    /// Writes a duration, given in seconds, as microseconds: rounded up, and at least 0 and at most [`MAX_MICROSECONDS`].
    pub fn seconds(self, offset: usize, seconds: f64) -> Self {
        let microseconds = microseconds(seconds.max(0.0)).min(MAX_MICROSECONDS) as u32;
        self.bytes(offset, &microseconds.to_le_bytes())
    }
}

impl Reply {
    /// Returns the complete reply to a frame that could not be decoded.
    pub fn for_frame_error(error: &FrameError) -> Vec<u8> {
        let mut reply = Reply::default();
        reply.add_frame_error(error);
        reply.into_frame()
    }

    /// Selects the instance to which the next actions belong.
    pub(crate) fn set_instance(&mut self, instance: u32) {
        self.instance = instance;
    }

    /// Returns the selected instance.
    pub(crate) fn instance(&self) -> u32 {
        self.instance
    }

    /// Adds a record for the selected instance, after an [`ActionCode::Instance`] record if the instance has changed.
    pub(crate) fn add(&mut self, code: ActionCode) -> ActionRecord<'_> {
        if self.announced != Some(self.instance) {
            let instance = self.instance;
            self.announced = Some(instance);
            self.add_record(ActionCode::Instance).bytes(1, &instance.to_le_bytes());
        }
        self.add_record(code)
    }

    /// Adds a record with data in the tail. The reference to the data is at `offset` in the record.
    pub(crate) fn add_with_tail(
        &mut self,
        code: ActionCode,
        offset: usize,
        bytes: &[u8],
    ) -> ActionRecord<'_> {
        let start = self.tail.len() as u32;
        let length = bytes.len() as u32;
        self.tail.extend_from_slice(bytes);
        self.add(code).bytes(offset, &start.to_le_bytes()).bytes(offset + 4, &length.to_le_bytes())
    }

    /// Adds a record whose only field refers to a text in the tail.
    pub(crate) fn add_text(&mut self, code: ActionCode, text: &str) {
        self.add_with_tail(code, TAIL_OFFSET, text.as_bytes());
    }

    /// Adds a record that reports an error in the event frame.
    pub(crate) fn add_frame_error(&mut self, error: &FrameError) {
        self.add_text(ActionCode::Malformed, &error.to_string());
    }

    /// Returns the encoded frame.
    pub(crate) fn into_frame(self) -> Vec<u8> {
        let records = (self.records.len() / ACTION_BYTES) as u32;
        let length = (HEADER_BYTES + self.records.len() + self.tail.len()) as u32;
        let mut frame = Vec::with_capacity(length as usize);
        frame.extend_from_slice(&records.to_le_bytes());
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }

    fn add_record(&mut self, code: ActionCode) -> ActionRecord<'_> {
        let start = self.records.len();
        self.records.resize(start + ACTION_BYTES, 0);
        self.records[start] = code as u8;
        ActionRecord(&mut self.records[start..])
    }
}
