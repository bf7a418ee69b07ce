//! The bytes that have been read from one connection and are not decoded yet.
//!
//! A client may send commands faster than they are accepted. Its connection is read nevertheless: the end of the
//! connection follows all data, and nothing should be forwarded for a client that has left. To bound the memory for
//! this, commands beyond a limit are dropped as they arrive and only counted; each of them is rejected in its turn.
use crate::wire::resp::{self, Extent};
use std::ops::Range;

/// Maximum number of dropped commands that wait for their rejection; the client's connection is closed beyond it. The
/// replies to that many commands take less than half a MiB.
pub const MAX_DROPPED_COMMANDS: usize = 65_536;

/// A buffer with this many times the capacity that it needs is shrunk.
const SHRINK_FACTOR: usize = 4;

/// The next item to reject, once all commands before it are decoded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// One dropped command.
    Command,
    /// All further input, as more than `MAX_DROPPED_COMMANDS` dropped commands wait for their rejection.
    Overflow,
}

/// What is known of an incomplete command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncompleteCommand {
    /// Number of bytes that are missing; `usize::MAX` if that is not known yet.
    pub missing_bytes: usize,
    /// Time that its client waits for the reply, in milliseconds, if that is known.
    pub timeout_ms: Option<f64>,
}

/// Progress of dropping commands as they arrive.
#[derive(Default)]
struct DropState {
    /// Length in bytes of the complete commands before the dropped ones, which are still to be decoded.
    decodable_bytes: usize,
    /// Number of commands that were dropped completely and are not rejected yet.
    pending_rejections: usize,
    /// Number of bytes still missing of the command that is being dropped.
    missing_bytes: usize,
    /// Whether the next bytes are malformed; decoding them will report the error.
    is_malformed: bool,
    /// Whether more than `MAX_DROPPED_COMMANDS` dropped commands wait for their rejection.
    has_overflowed: bool,
}

impl DropState {
    /// Returns whether every earlier command has been decoded and every dropped one rejected.
    fn is_finished(&self) -> bool {
        self.decodable_bytes == 0
            && self.pending_rejections == 0
            && self.missing_bytes == 0
            && !self.has_overflowed
    }
}

/// The undecoded bytes of one connection.
#[derive(Default)]
pub struct Backlog {
    /// The buffered bytes, behind `start` bytes that have been decoded.
    buffer: Vec<u8>,
    start: usize,
    dropping: Option<DropState>,
}

impl Backlog {
    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Returns the memory of the buffer, in bytes.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether nothing is left to decode or to reject.
    pub fn is_empty(&self) -> bool {
        self.len() == 0 && self.dropping.is_none()
    }

    /// Returns whether the buffer holds the beginning of a command that is longer than `resp::MAX_MESSAGE_BYTES`, as far
    /// as its length is known.
    pub fn holds_long_command(&self) -> bool {
        match resp::command_extent(self.bytes()) {
            Ok(Extent::Missing(missing)) => self.len() + missing > resp::MAX_MESSAGE_BYTES,
            Ok(Extent::Complete(length)) => length > resp::MAX_MESSAGE_BYTES,
            _ => self.len() > resp::MAX_MESSAGE_BYTES,
        }
    }

    /// Returns what is known of the incomplete command at the beginning of the buffer.
    pub fn incomplete_command(&self) -> IncompleteCommand {
        let missing_bytes = match resp::command_extent(self.bytes()) {
            Ok(Extent::Missing(missing)) => missing,
            _ => usize::MAX,
        };
        IncompleteCommand { missing_bytes, timeout_ms: resp::command_timeout_ms(self.bytes()) }
    }

    /// Returns whether new commands are dropped.
    pub fn is_dropping(&self) -> bool {
        self.dropping.is_some()
    }

    /// Returns the bytes that may be decoded next.
    pub fn decodable(&self) -> &[u8] {
        let end = self.dropping.as_ref().map_or(self.len(), |dropping| dropping.decodable_bytes);
        &self.bytes()[..end]
    }

    /// Removes the first `length` bytes, which have been decoded.
    pub fn consume(&mut self, length: usize) {
        self.start += length;
        // Moving the rest only now and then keeps the cost of decoding many small commands linear.
        if self.start >= self.len() {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        if let Some(dropping) = &mut self.dropping {
            dropping.decodable_bytes -= length;
        }
    }

    fn bytes(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Removes the bytes in this range, in terms of `bytes`.
    fn remove(&mut self, range: Range<usize>) {
        self.buffer.drain(self.start + range.start..self.start + range.end);
    }

    /// Appends bytes that have been read, or drops them. `growth_step`: number of bytes by which the capacity grows for a
    /// message longer than `resp::MAX_MESSAGE_BYTES`.
    pub fn extend(&mut self, bytes: &[u8], growth_step: usize) {
        let Some(dropping) = &mut self.dropping else {
            if self.buffer.len() > resp::MAX_MESSAGE_BYTES
                && self.buffer.capacity() < self.buffer.len() + bytes.len()
            {
                self.buffer.reserve_exact(growth_step); // avoids doubling a large buffer
            }
            return self.buffer.extend_from_slice(bytes);
        };
        if dropping.is_malformed || dropping.has_overflowed {
            return;
        }
        let skipped = dropping.missing_bytes.min(bytes.len());
        if skipped > 0 {
            dropping.missing_bytes -= skipped;
            dropping.pending_rejections += usize::from(dropping.missing_bytes == 0);
        }
        self.buffer.extend_from_slice(&bytes[skipped..]);
        self.drop_received();
    }

    /// Starts to drop commands, except for the complete ones that are already buffered. This lasts until these are
    /// decoded and all dropped ones are rejected.
    pub fn start_dropping(&mut self) {
        let mut decodable_bytes = 0;
        while let Ok(Extent::Complete(length)) = resp::command_extent(&self.bytes()[decodable_bytes..]) {
            decodable_bytes += length;
        }
        self.dropping = Some(DropState { decodable_bytes, ..DropState::default() });
        self.drop_received();
    }

    /// Drops the received bytes of commands after the decodable ones.
    fn drop_received(&mut self) {
        let Some(dropping) = &mut self.dropping else { return };
        let bytes = &self.buffer[self.start..];
        let mut position = dropping.decodable_bytes;
        loop {
            match resp::command_extent(&bytes[position..]) {
                Ok(Extent::Complete(length)) => {
                    dropping.pending_rejections += 1;
                    position += length;
                }
                Ok(Extent::Missing(missing)) => {
                    dropping.missing_bytes = missing;
                    position = bytes.len();
                    break;
                }
                Ok(Extent::Unknown) => break,
                Err(_) => {
                    dropping.is_malformed = true;
                    break;
                }
            }
        }
        dropping.has_overflowed = dropping.pending_rejections > MAX_DROPPED_COMMANDS;
        let dropped = dropping.decodable_bytes..position;
        self.remove(dropped);
    }

    /// Returns the next item to reject, if all commands before it are decoded. Returns each dropped command once.
    pub fn next_rejection(&mut self) -> Option<Rejection> {
        let dropping = self.dropping.as_mut().filter(|dropping| dropping.decodable_bytes == 0)?;
        if dropping.pending_rejections > 0 {
            dropping.pending_rejections -= 1;
            return Some(Rejection::Command);
        }
        dropping.has_overflowed.then_some(Rejection::Overflow)
    }

    /// Stops dropping if every command so far has been decoded or rejected; returns whether it stopped.
    pub fn try_stop_dropping(&mut self) -> bool {
        let is_finished = self.dropping.as_ref().is_some_and(DropState::is_finished);
        if is_finished {
            self.dropping = None;
        }
        is_finished
    }

    /// Discards everything, and frees the buffer if its capacity exceeds `capacity` bytes.
    pub fn clear(&mut self, capacity: usize) {
        self.buffer.clear();
        self.start = 0;
        self.dropping = None;
        self.shrink(capacity);
    }

    /// Frees the memory that a short rest does not need, if the buffer's capacity exceeds `capacity` bytes.
    pub fn shrink(&mut self, capacity: usize) {
        if self.buffer.is_empty() && self.buffer.capacity() > capacity {
            self.buffer = Vec::new();
        } else if self.buffer.capacity() > capacity.max(SHRINK_FACTOR * self.buffer.len()) {
            self.buffer.shrink_to(capacity);
        }
    }
}
