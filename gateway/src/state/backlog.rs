//! The bytes that have been read from one connection and not decoded yet.
//!
//! A client may write commands faster than they may be accepted. Its connection is read all the same, for its end lies
//! behind what it wrote, and nothing is to be forwarded for a client that has left. So that this takes a bounded amount of
//! memory, commands beyond the bound are dropped as they come and only counted; each of them is rejected in its turn.
use crate::wire::resp::{self, Extent};

/// How many dropped commands may wait for their rejection, for which the replies take less than half a MiB; with more, the
/// client's connection is closed.
pub const MAX_DROPPED_COMMANDS: usize = 65_536;

/// What is rejected next, once all commands before it are decoded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// One dropped command.
    Command,
    /// All that follows: more commands have been dropped than `MAX_DROPPED_COMMANDS`.
    Overflow,
}

/// Commands that are dropped as they come.
#[derive(Default)]
struct DropState {
    /// The length of the complete commands before them, which are still to be decoded.
    decodable_bytes: usize,
    /// Commands that were dropped completely and not rejected yet.
    pending_rejections: usize,
    /// How many bytes of the one that is being dropped are still to come.
    missing_bytes: usize,
    /// What follows can't be decoded; the attempt to do so will report that.
    is_malformed: bool,
    /// More have come than `MAX_DROPPED_COMMANDS`.
    has_overflowed: bool,
}

impl DropState {
    /// Every command before has been decoded, and every dropped one rejected.
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
    bytes: Vec<u8>,
    dropping: Option<DropState>,
}

impl Backlog {
    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Nothing is left to decode or to reject.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropping.is_none()
    }

    /// Whether new commands are dropped.
    pub fn is_dropping(&self) -> bool {
        self.dropping.is_some()
    }

    /// What may be decoded next.
    pub fn decodable(&self) -> &[u8] {
        let end = self.dropping.as_ref().map_or(self.bytes.len(), |dropping| dropping.decodable_bytes);
        &self.bytes[..end]
    }

    /// Removes the first `length` bytes, which have been decoded.
    pub fn consume(&mut self, length: usize) {
        self.bytes.drain(..length);
        if let Some(dropping) = &mut self.dropping {
            dropping.decodable_bytes -= length;
        }
    }

    /// Adds what has been read. `growth_step`: the bytes by which the capacity grows for a message over
    /// `resp::MAX_MESSAGE_BYTES`.
    pub fn extend(&mut self, bytes: &[u8], growth_step: usize) {
        let Some(dropping) = &mut self.dropping else {
            if self.bytes.len() > resp::MAX_MESSAGE_BYTES
                && self.bytes.capacity() < self.bytes.len() + bytes.len()
            {
                self.bytes.reserve_exact(growth_step); // not by doubling
            }
            return self.bytes.extend_from_slice(bytes);
        };
        if dropping.is_malformed || dropping.has_overflowed {
            return;
        }
        let skipped = dropping.missing_bytes.min(bytes.len());
        if skipped > 0 {
            dropping.missing_bytes -= skipped;
            dropping.pending_rejections += usize::from(dropping.missing_bytes == 0);
        }
        self.bytes.extend_from_slice(&bytes[skipped..]);
        self.drop_received();
    }

    /// Drops commands from now on, except for the complete ones that are buffered, until all of these are decoded and all
    /// dropped ones are rejected.
    pub fn start_dropping(&mut self) {
        let mut decodable_bytes = 0;
        while let Ok(Extent::Complete(length)) = resp::command_extent(&self.bytes[decodable_bytes..]) {
            decodable_bytes += length;
        }
        self.dropping = Some(DropState { decodable_bytes, ..DropState::default() });
        self.drop_received();
    }

    /// Drops the commands behind the decodable bytes, as far as they have come.
    fn drop_received(&mut self) {
        let Some(dropping) = &mut self.dropping else { return };
        let mut position = dropping.decodable_bytes;
        loop {
            match resp::command_extent(&self.bytes[position..]) {
                Ok(Extent::Complete(length)) => {
                    dropping.pending_rejections += 1;
                    position += length;
                }
                Ok(Extent::Missing(missing)) => {
                    dropping.missing_bytes = missing;
                    position = self.bytes.len();
                    break;
                }
                Ok(Extent::Unknown) => break,
                Err(_) => {
                    dropping.is_malformed = true;
                    break;
                }
            }
        }
        self.bytes.drain(dropping.decodable_bytes..position);
        dropping.has_overflowed = dropping.pending_rejections > MAX_DROPPED_COMMANDS;
    }

    /// What is to be rejected next, if its turn has come; each dropped command is returned once.
    pub fn next_rejection(&mut self) -> Option<Rejection> {
        let dropping = self.dropping.as_mut().filter(|dropping| dropping.decodable_bytes == 0)?;
        if dropping.pending_rejections > 0 {
            dropping.pending_rejections -= 1;
            return Some(Rejection::Command);
        }
        dropping.has_overflowed.then_some(Rejection::Overflow)
    }

    /// Stops dropping if every command so far is decoded or rejected; returns whether it did.
    pub fn try_stop_dropping(&mut self) -> bool {
        let is_finished = self.dropping.as_ref().is_some_and(DropState::is_finished);
        if is_finished {
            self.dropping = None;
        }
        is_finished
    }

    /// Drops everything, and frees memory beyond this capacity, in bytes.
    pub fn clear(&mut self, capacity: usize) {
        self.bytes.clear();
        self.dropping = None;
        self.shrink(capacity);
    }

    /// Frees memory beyond this capacity, in bytes, if nothing is buffered.
    pub fn shrink(&mut self, capacity: usize) {
        if self.bytes.is_empty() && self.bytes.capacity() > capacity {
            self.bytes = Vec::new();
        }
    }
}
