//! The bytes that wait to be written to one connection, and where the messages in them lie that may still be
//! withdrawn. No socket: whoever writes the bytes (the sockets, the emulator) reports how many left.
use std::collections::VecDeque;

/// A message in the buffer, by the offsets of its first byte and of the one behind its last.
struct Message {
    number: u64,
    start: usize,
    end: usize,
    /// Some of its bytes have been written: the rest has to follow.
    is_partly_written: bool,
}

/// The output buffer of one connection.
#[derive(Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    messages: VecDeque<Message>,
}

impl WriteBuffer {
    /// What is to be written next.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The buffer itself, for messages that are never withdrawn.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Appends a message that may be withdrawn by its number, unique on this connection.
    pub fn append(&mut self, number: u64, encode: impl FnOnce(&mut Vec<u8>)) {
        let start = self.bytes.len();
        encode(&mut self.bytes);
        self.messages.push_back(Message { number, start, end: self.bytes.len(), is_partly_written: false });
    }

    /// So many bytes have been written; returns how many messages have left completely with them.
    pub fn consume(&mut self, bytes: usize) -> usize {
        self.bytes.drain(..bytes);
        let complete = self.messages.iter().take_while(|message| message.end <= bytes).count();
        self.messages.drain(..complete);
        for message in &mut self.messages {
            message.is_partly_written |= message.start < bytes;
            message.start = message.start.saturating_sub(bytes);
            message.end -= bytes;
        }
        complete
    }

    /// Takes a message out, if none of its bytes has been written; returns whether it did.
    pub fn withdraw(&mut self, number: u64) -> bool {
        let position =
            self.messages.iter().position(|message| message.number == number && !message.is_partly_written);
        let Some(message) = position.and_then(|i| self.messages.remove(i)) else { return false };
        self.bytes.drain(message.start..message.end);
        let length = message.end - message.start;
        for later in self.messages.iter_mut().filter(|later| later.start >= message.end) {
            later.start -= length;
            later.end -= length;
        }
        true
    }

    /// Drops everything that has not been written.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.messages.clear();
    }

    /// Frees memory beyond this capacity, in bytes, if nothing waits.
    pub fn shrink(&mut self, capacity: usize) {
        if self.bytes.is_empty() && self.bytes.capacity() > capacity {
            self.bytes = Vec::new();
        }
    }

    /// How many bytes wait to be written.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether all has been written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
