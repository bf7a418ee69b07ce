//! The bytes to be written to one connection, with the positions of the messages that may still be withdrawn. It does no
//! I/O: the caller (the sockets, the emulator) writes the bytes and reports how many.
//!
//! The body of a long request is not copied as a whole: it is taken from the request piece by piece, as earlier bytes are
//! written, so that an attempt whose backend reads slowly holds little memory.
use crate::wire::resp::RequestCommand;
use std::collections::VecDeque;
use std::sync::Arc;

/// Length from which on the rest of a request is copied piece by piece, and length of a piece, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// A message in the buffer. `start` and `end` are the offsets of its first byte and of the byte after its last.
struct Message {
    number: u64,
    start: usize,
    end: usize,
    /// Whether some of its bytes have been written, so that the rest must follow.
    is_partly_written: bool,
}

/// The rest of the last message, which is not copied yet.
struct PendingRest {
    request: Arc<RequestCommand>,
    /// Offset in the request's rest of the first byte that is not copied.
    position: usize,
}

impl PendingRest {
    fn bytes(&self) -> &[u8] {
        &self.request.rest()[self.position..]
    }
}

/// The write buffer of one connection.
#[derive(Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    messages: VecDeque<Message>,
    pending_rest: Option<PendingRest>,
}

impl WriteBuffer {
    /// Returns the bytes to write next: all of them, or those before the rest of a long request.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the buffer, to append messages that are never withdrawn.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        self.copy_rest(usize::MAX);
        &mut self.bytes
    }

    /// Appends a message that may be withdrawn by its number. The number must be unique on this connection.
    pub fn append(&mut self, number: u64, encode: impl FnOnce(&mut Vec<u8>)) {
        self.copy_rest(usize::MAX);
        let start = self.bytes.len();
        encode(&mut self.bytes);
        self.messages.push_back(Message { number, start, end: self.bytes.len(), is_partly_written: false });
    }

    /// Appends a request in the same way, with the time in milliseconds that this instance waits for the reply.
    pub fn append_request(&mut self, number: u64, request: &Arc<RequestCommand>, timeout_ms: u64) {
        self.append(number, |bytes| request.encode_start(timeout_ms, bytes));
        let rest = PendingRest { request: request.clone(), position: 0 };
        let message = self.messages.back_mut().expect("the message was just appended");
        message.end += rest.bytes().len();
        self.pending_rest = Some(rest);
        self.copy_rest(PIECE_BYTES);
    }

    /// Copies the next bytes of a long request, up to this number of bytes in the buffer.
    fn copy_rest(&mut self, max_bytes: usize) {
        let Some(rest) = &mut self.pending_rest else { return };
        let length = rest.bytes().len().min(max_bytes.saturating_sub(self.bytes.len()));
        self.bytes.extend_from_slice(&rest.bytes()[..length]);
        rest.position += length;
        if rest.bytes().is_empty() {
            self.pending_rest = None;
        }
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
        self.copy_rest(PIECE_BYTES);
        complete
    }

    /// Removes a message if none of its bytes has been written; returns whether it was removed.
    pub fn withdraw(&mut self, number: u64) -> bool {
        let position =
            self.messages.iter().position(|message| message.number == number && !message.is_partly_written);
        let Some(message) = position.and_then(|i| self.messages.remove(i)) else { return false };
        if message.end > self.bytes.len() {
            self.pending_rest = None;
        }
        self.bytes.drain(message.start..message.end.min(self.bytes.len()));
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
        self.pending_rest = None;
    }

    /// Frees the buffer if it is empty and its capacity exceeds `capacity` bytes.
    pub fn shrink(&mut self, capacity: usize) {
        if self.bytes.is_empty() && self.bytes.capacity() > capacity {
            self.bytes = Vec::new();
        }
    }

    /// Returns the number of bytes to write.
    pub fn len(&self) -> usize {
        self.bytes.len() + self.pending_rest.as_ref().map_or(0, |rest| rest.bytes().len())
    }

    /// Returns the memory of the buffer, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.pending_rest.is_none()
    }
}
