//! Frames of actions.
use super::{microseconds, Malformed, ACTION_BYTES};
use crate::codes::ActionCode;

const HEADER_BYTES: usize = 8;
/// The longest time that a field holds, microseconds: 4,200 s.
const MAX_MICROSECONDS: f64 = 4_200_000_000.0;
/// Where a record that only names a part of the tail does so.
const TAIL_OFFSET: usize = 1;

/// A frame of actions in the making.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    /// The instance whose actions follow.
    instance: u32,
    /// The instance that the last [`ActionCode::Instance`] record names.
    announced: Option<u32>,
}

/// An action record in the making. Offsets are bytes from its beginning, where its code stands.
pub(crate) struct ActionRecord<'a>(&'a mut [u8]);

impl ActionRecord<'_> {
    pub fn bytes(self, offset: usize, bytes: &[u8]) -> Self {
        self.0[offset..offset + bytes.len()].copy_from_slice(bytes);
        self
    }

    /// Seconds as microseconds, rounded up, at most what the field holds.
    pub fn seconds(self, offset: usize, seconds: f64) -> Self {
        let microseconds = microseconds(seconds.max(0.0)).min(MAX_MICROSECONDS) as u32;
        self.bytes(offset, &microseconds.to_le_bytes())
    }
}

impl Reply {
    /// The whole answer to a frame that could not be read.
    pub fn of_malformed(malformed: &Malformed) -> Vec<u8> {
        let mut reply = Reply::default();
        reply.add_malformed(malformed);
        reply.into_frame()
    }

    /// The actions that follow are this instance's.
    pub(crate) fn set_instance(&mut self, instance: u32) {
        self.instance = instance;
    }

    pub(crate) fn instance(&self) -> u32 {
        self.instance
    }

    /// A record of the instance in hand, which is named where it changes.
    pub(crate) fn add(&mut self, code: ActionCode) -> ActionRecord<'_> {
        if self.announced != Some(self.instance) {
            let instance = self.instance;
            self.announced = Some(instance);
            self.add_record(ActionCode::Instance).bytes(1, &instance.to_le_bytes());
        }
        self.add_record(code)
    }

    /// A record with a part of the tail, which it names at an offset.
    pub(crate) fn add_with_tail(
        &mut self,
        code: ActionCode,
        offset: usize,
        bytes: &[u8],
    ) -> ActionRecord<'_> {
        let begin = self.tail.len() as u32;
        let length = bytes.len() as u32;
        self.tail.extend_from_slice(bytes);
        self.add(code).bytes(offset, &begin.to_le_bytes()).bytes(offset + 4, &length.to_le_bytes())
    }

    /// A record that only has a text in the tail.
    pub(crate) fn add_text(&mut self, code: ActionCode, text: &str) {
        self.add_with_tail(code, TAIL_OFFSET, text.as_bytes());
    }

    pub(crate) fn add_malformed(&mut self, malformed: &Malformed) {
        self.add_text(ActionCode::Malformed, &malformed.0);
    }

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
        let begin = self.records.len();
        self.records.resize(begin + ACTION_BYTES, 0);
        self.records[begin] = code as u8;
        ActionRecord(&mut self.records[begin..])
    }
}
