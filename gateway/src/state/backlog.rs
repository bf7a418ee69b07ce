//! The bytes that have been read from one connection and not decoded yet.
//!
//! A client may write commands faster than they may be accepted. Its connection is read all the same, for its end lies
//! behind what it wrote, and nothing is to be forwarded for a client that has left. So that this takes a bounded amount of
//! memory, commands beyond the bound are dropped as they come and only counted; each of them is rejected in its turn.
use crate::wire::resp::{self, Extent};

/// So many dropped commands may wait to be rejected, for which the replies take less than half a MiB; with more, the
/// client's connection is closed.
pub const MOST_DROPPED: usize = 65_536;

/// What is due once all commands before it are decoded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    /// A dropped command is to be rejected.
    Refusal,
    /// More commands have been dropped than may be: nothing behind them is accepted.
    TooMany,
}

/// Commands that are dropped as they come.
#[derive(Default)]
struct Dropping {
    /// The length of the complete commands before them, which are still to be decoded.
    bytes_before: usize,
    /// Commands that were dropped completely and not rejected yet.
    unrejected: usize,
    /// How many bytes of the one that is being dropped are still to come.
    bytes_missing: usize,
    /// What follows can't be understood; decoding it will report that.
    is_broken: bool,
    /// More have come than may be dropped.
    too_many: bool,
}

impl Dropping {
    /// Every command before and every dropped one has its reply.
    fn is_over(&self) -> bool {
        self.bytes_before == 0 && self.unrejected == 0 && self.bytes_missing == 0 && !self.too_many
    }
}

/// The undecoded bytes of one connection.
#[derive(Default)]
pub struct Backlog {
    bytes: Vec<u8>,
    dropping: Option<Dropping>,
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
    pub fn drops(&self) -> bool {
        self.dropping.is_some()
    }

    /// What may be decoded next.
    pub fn decodable(&self) -> &[u8] {
        let end = self.dropping.as_ref().map_or(self.bytes.len(), |dropping| dropping.bytes_before);
        &self.bytes[..end]
    }

    /// So many bytes have been decoded.
    pub fn decoded(&mut self, bytes: usize) {
        self.bytes.drain(..bytes);
        if let Some(dropping) = &mut self.dropping {
            dropping.bytes_before -= bytes;
        }
    }

    /// Adds what has been read. `step`: the bytes by which the capacity grows for a message over
    /// `resp::MAX_MESSAGE_BYTES`.
    pub fn extend(&mut self, bytes: &[u8], step: usize) {
        let Some(dropping) = &mut self.dropping else {
            if self.bytes.len() > resp::MAX_MESSAGE_BYTES
                && self.bytes.capacity() < self.bytes.len() + bytes.len()
            {
                self.bytes.reserve_exact(step); // not by doubling
            }
            return self.bytes.extend_from_slice(bytes);
        };
        if dropping.is_broken || dropping.too_many {
            return;
        }
        let skipped = dropping.bytes_missing.min(bytes.len());
        if skipped > 0 {
            dropping.bytes_missing -= skipped;
            dropping.unrejected += usize::from(dropping.bytes_missing == 0);
        }
        self.bytes.extend_from_slice(&bytes[skipped..]);
        self.drop_complete();
    }

    /// From now on commands are dropped, but for the complete ones that are here; until all of these are decoded and all
    /// dropped ones are rejected.
    pub fn start_dropping(&mut self) {
        let mut bytes_before = 0;
        while let Ok(Extent::Complete(length)) = resp::command_extent(&self.bytes[bytes_before..]) {
            bytes_before += length;
        }
        self.dropping = Some(Dropping { bytes_before, ..Dropping::default() });
        self.drop_complete();
    }

    /// Drops the commands behind the first `bytes_before` bytes, as far as they have come.
    fn drop_complete(&mut self) {
        let Some(dropping) = &mut self.dropping else { return };
        let mut at = dropping.bytes_before;
        loop {
            match resp::command_extent(&self.bytes[at..]) {
                Ok(Extent::Complete(length)) => {
                    dropping.unrejected += 1;
                    at += length;
                }
                Ok(Extent::Missing(missing)) => {
                    dropping.bytes_missing = missing;
                    at = self.bytes.len();
                    break;
                }
                Ok(Extent::Unknown) => break,
                Err(_) => {
                    dropping.is_broken = true;
                    break;
                }
            }
        }
        self.bytes.drain(dropping.bytes_before..at);
        dropping.too_many = dropping.unrejected > MOST_DROPPED;
    }

    /// What is due next, once for each dropped command.
    pub fn next_due(&mut self) -> Option<Due> {
        let dropping = self.dropping.as_mut().filter(|dropping| dropping.bytes_before == 0)?;
        if dropping.unrejected > 0 {
            dropping.unrejected -= 1;
            return Some(Due::Refusal);
        }
        dropping.too_many.then_some(Due::TooMany)
    }

    /// Ends dropping once every command before is decoded or rejected; returns whether it did.
    pub fn stops_dropping(&mut self) -> bool {
        let is_over = self.dropping.as_ref().is_some_and(Dropping::is_over);
        if is_over {
            self.dropping = None;
        }
        is_over
    }

    /// Drops everything, and frees memory beyond this capacity, in bytes.
    pub fn clear(&mut self, capacity: usize) {
        self.bytes.clear();
        self.dropping = None;
        self.shrink(capacity);
    }

    /// Frees memory beyond this capacity, in bytes, if nothing is held.
    pub fn shrink(&mut self, capacity: usize) {
        if self.bytes.is_empty() && self.bytes.capacity() > capacity {
            self.bytes = Vec::new();
        }
    }
}
