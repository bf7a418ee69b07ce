//! The bytes to be written to one connection, with the positions of the messages that may still be withdrawn. It does no
//! I/O: the caller (the sockets, the emulator) writes the bytes and reports how many.
use std::collections::VecDeque;

/// A message in the buffer. `start` and `end` are the offsets of its first byte and of the byte after its last.
struct Message {
    number: u64,
    start: usize,
    end: usize,
    /// Whether some of its bytes have been written, so that the rest must follow.
    is_partly_written: bool,
}

/// The write buffer of one connection.
#[derive(Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    messages: VecDeque<Message>,
}

impl WriteBuffer {
    /// Returns the bytes to write next.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the buffer, to append messages that are never withdrawn.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Appends a message that may be withdrawn by its number. The number must be unique on this connection.
    pub fn append(&mut self, number: u64, encode: impl FnOnce(&mut Vec<u8>)) {
        let start = self.bytes.len();
        encode(&mut self.bytes);
        self.messages.push_back(Message { number, start, end: self.bytes.len(), is_partly_written: false });
    }

    /// Removes this number of bytes, which have been written; returns how many messages are thereby written completely.
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

    /// Removes a message if none of its bytes has been written; returns whether it was removed.
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

    /// Discards everything that has not been written.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.messages.clear();
    }

    /// Frees the buffer if it is empty and its capacity exceeds `capacity` bytes.
    pub fn shrink(&mut self, capacity: usize) {
        if self.bytes.is_empty() && self.bytes.capacity() > capacity {
            self.bytes = Vec::new();
        }
    }

    /// Returns the number of bytes to write.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the memory of the buffer, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
