//! What has been read from one connection and not been decoded yet.
//!
//! A client may write commands faster than they may be taken in. Its connection is read on all the same, for its end
//! lies behind what it wrote, and nothing is to be delivered for a client that has left. So that this takes a bounded
//! amount of memory, commands beyond the bound are dropped as they come and only counted; each of them is
//! refused in its turn.
use crate::wire::resp::{self, Extent};

/// So many dropped commands may wait for their refusals, which then take less than half a MiB; after that the
/// client's connection ends.
pub const MOST_DROPPED: usize = 65_536;

/// What is due once all commands before it are decoded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    /// A dropped command is to be refused.
    Refusal,
    /// More commands have been dropped than may be: nothing behind them is taken.
    TooMany,
}

/// Commands that are dropped as they come.
#[derive(Default)]
struct Dropping {
    /// The length of the whole commands before them, which are still to be decoded.
    before: usize,
    /// Commands dropped whole and not yet refused.
    dropped: usize,
    /// How many bytes of the one that is being dropped are still to come.
    rest: usize,
    /// What follows can't be understood; decoding it will say so.
    broken: bool,
    /// More have come than may be dropped.
    too_many: bool,
}

/// The undecoded bytes of one connection.
#[derive(Default)]
pub struct Backlog {
    bytes: Vec<u8>,
    dropping: Option<Dropping>,
}

impl Backlog {
    /// How many bytes it keeps.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Nothing is left to decode or to refuse.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropping.is_none()
    }

    /// New commands are dropped.
    pub fn drops(&self) -> bool {
        self.dropping.is_some()
    }

    /// What may be decoded next.
    pub fn decodable(&self) -> &[u8] {
        let end = self.dropping.as_ref().map_or(self.bytes.len(), |d| d.before);
        &self.bytes[..end]
    }

    /// So many bytes have been decoded.
    pub fn decoded(&mut self, bytes: usize) {
        self.bytes.drain(..bytes);
        if let Some(dropping) = &mut self.dropping {
            dropping.before -= bytes;
        }
    }

    /// Takes in what has been read. `step`: by so much room for a message over `resp::MESSAGE` grows.
    pub fn extend(&mut self, bytes: &[u8], step: usize) {
        let Some(dropping) = &mut self.dropping else {
            if self.bytes.len() > resp::MAX_MESSAGE_BYTES
                && self.bytes.capacity() < self.bytes.len() + bytes.len()
            {
                self.bytes.reserve_exact(step); // not by doubling
            }
            return self.bytes.extend_from_slice(bytes);
        };
        if dropping.broken || dropping.too_many {
            return;
        }
        let skipped = dropping.rest.min(bytes.len());
        if skipped > 0 {
            dropping.rest -= skipped;
            dropping.dropped += usize::from(dropping.rest == 0);
        }
        self.bytes.extend_from_slice(&bytes[skipped..]);
        self.drop_whole();
    }

    /// From now on commands are dropped, but for the whole ones that are here; until all of these are decoded and all
    /// dropped ones are refused.
    pub fn start_dropping(&mut self) {
        let mut before = 0;
        while let Ok(Extent::Complete(length)) = resp::command_extent(&self.bytes[before..]) {
            before += length;
        }
        self.dropping = Some(Dropping { before, ..Dropping::default() });
        self.drop_whole();
    }

    /// Drops the commands behind the first `before` bytes, as far as they have come.
    fn drop_whole(&mut self) {
        let Some(dropping) = &mut self.dropping else { return };
        let mut at = dropping.before;
        loop {
            match resp::command_extent(&self.bytes[at..]) {
                Ok(Extent::Complete(length)) => {
                    dropping.dropped += 1;
                    at += length;
                }
                Ok(Extent::Missing(rest)) => {
                    dropping.rest = rest;
                    at = self.bytes.len();
                    break;
                }
                Ok(Extent::Unknown) => break,
                Err(_) => {
                    dropping.broken = true;
                    break;
                }
            }
        }
        self.bytes.drain(dropping.before..at);
        dropping.too_many = dropping.dropped > MOST_DROPPED;
    }

    /// What is due next, once for each dropped command.
    pub fn next_due(&mut self) -> Option<Due> {
        let dropping = self.dropping.as_mut().filter(|d| d.before == 0)?;
        if dropping.dropped > 0 {
            dropping.dropped -= 1;
            return Some(Due::Refusal);
        }
        dropping.too_many.then_some(Due::TooMany)
    }

    /// Ends dropping once every command before is decoded or refused; whether it did.
    pub fn stops_dropping(&mut self) -> bool {
        let over = |d: &Dropping| d.before == 0 && d.dropped == 0 && d.rest == 0 && !d.too_many;
        let over = self.dropping.as_ref().is_some_and(over);
        if over {
            self.dropping = None;
        }
        over
    }

    /// Forgets all, and gives memory beyond this capacity back.
    pub fn clear(&mut self, capacity: usize) {
        self.bytes.clear();
        self.dropping = None;
        self.shrink(capacity);
    }

    /// Gives memory beyond this capacity back, if nothing is kept.
    pub fn shrink(&mut self, capacity: usize) {
        if self.bytes.is_empty() && self.bytes.capacity() > capacity {
            self.bytes = Vec::new();
        }
    }
}
