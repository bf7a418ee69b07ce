//! Frames: a length (two bytes, little-endian), then a [`Frame`] in postcard's format (variable-length integers).
//!
//! Units travel as hundredths. A frame that can't be read ends its connection.
use crate::shard_map::{PlanId, ShardId, TenantId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the protocol, told in [`Frame::Hello`].
pub const VERSION: u8 = 1;
/// Units travel as hundredths: requests cost whole units or a few tenths.
pub const UNIT: f64 = 100.0;
/// Entries in a batch at the most: with 23 bytes for the largest entry, a batch of them fits a frame.
pub const MAX_ENTRIES: usize = 1024;
/// Messages in a frame between shards at the most: 27 bytes for the largest one.
pub const MAX_PEER_MESSAGES: usize = 1024;
const LENGTH_BYTES: usize = 2;

/// What a front door asks and tells of one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Whose quota.
    pub tenant: TenantId,
    /// The tenant's plan.
    pub plan: PlanId,
    /// Hundredths spent without a lease; below 0: unspent units of a lease that are given back.
    pub spent: i32,
    /// Hundredths wanted.
    pub want: u32,
}

/// A shard's answer to one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The entry was applied.
    Granted {
        /// Hundredths.
        granted: u32,
        /// Whole units left in the tenant's bucket, rounded down.
        room: u32,
    },
    /// This shard does not own the tenant under its map of that epoch; nothing was applied.
    Moved {
        /// Epoch of the shard's map.
        epoch: u32,
    },
    /// The shard's map has no such plan; nothing was applied.
    UnknownPlan,
}

/// Who sends a frame between shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The sending shard.
    pub shard: ShardId,
    /// Its process.
    pub incarnation: u64,
}

/// What owners of one tenant in two regions tell each other; amounts are parts per million of the quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is short: whatever the receiver can spare is welcome.
    Ask {
        /// Whose quota.
        tenant: TenantId,
    },
    /// The sender does not know its share.
    Reconcile {
        /// Whose quota.
        tenant: TenantId,
        /// The tenant's plan.
        plan: PlanId,
    },
    /// Answers [`PeerMessage::Reconcile`].
    Held {
        /// Whose quota.
        tenant: TenantId,
        /// What the sender holds or has sent and not seen acknowledged; none: it does not know itself.
        amount: Option<u32>,
        /// Incarnation of the process that asked: what a former one asked tells its successor nothing.
        asker: u64,
    },
    /// A part of the quota that the sender has deducted from its own share.
    Transfer {
        /// Whose quota.
        tenant: TenantId,
        /// The tenant's plan.
        plan: PlanId,
        /// Counts the sender's transfers of this tenant.
        number: u32,
        /// Parts per million.
        amount: u32,
    },
    /// The transfer of that number was added.
    Acknowledge {
        /// Whose quota.
        tenant: TenantId,
        /// The transfer's number.
        number: u32,
        /// Incarnation of the process that made the transfer.
        sender: u64,
    },
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First on a front door's connection.
    Hello {
        /// [`VERSION`].
        version: u8,
        /// The gateway instance.
        front_door: u64,
        /// Its process; grows with each start.
        incarnation: u64,
        /// Epoch of its map.
        epoch: u32,
    },
    /// A front door asks.
    Batch {
        /// Counts the batches of this incarnation at this shard.
        sequence: u32,
        /// One for each tenant.
        entries: Vec<Entry>,
    },
    /// A shard answers.
    Grants {
        /// The batch's.
        sequence: u32,
        /// In the order of the batch's entries.
        answers: Vec<Answer>,
    },
    /// One shard to another one.
    Peer {
        /// Who sends.
        from: PeerIdentity,
        /// Epoch of the sender's map.
        epoch: u32,
        /// In order.
        messages: Vec<PeerMessage>,
    },
}

/// Why bytes are no frame.
#[derive(Debug, Error, PartialEq)]
pub enum WireError {
    /// The body can't be read.
    #[error("a frame of {0} bytes can't be read")]
    Malformed(usize),
    /// More entries or messages than a frame may hold.
    #[error("a frame holds {0} entries, more than allowed")]
    TooManyEntries(usize),
}

/// The frame's bytes, its length included.
///
/// # Panics
/// If the frame holds more than [`MAX_ENTRIES`] or [`MAX_PEER_MESSAGES`]: the state machines never build such a one.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes = postcard::to_extend(frame, bytes).expect("a vector takes all bytes");
    let length = u16::try_from(bytes.len() - LENGTH_BYTES).expect("entries are bounded");
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Hundredths of units, rounded up: what is spent or wanted is never told as less.
pub fn hundredths_up(units: f64) -> i32 {
    const ROUNDING: f64 = 1e-6; // 0.1 + 0.2 counts as thirty hundredths
    (units * UNIT - ROUNDING).ceil() as i32
}

/// Cuts a stream of bytes, in whatever pieces it comes, into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
}

impl FrameReader {
    /// Takes in bytes; call [`FrameReader::next_frame`] until it has no more.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame. After an error the stream can't be read any further.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, WireError> {
        let Some((length, rest)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = usize::from(u16::from_le_bytes(*length));
        let Some(body) = rest.get(..length) else { return Ok(None) };
        let frame = decode(body)?;
        self.buffer.drain(..LENGTH_BYTES + length);
        Ok(Some(frame))
    }
}

fn decode(body: &[u8]) -> Result<Frame, WireError> {
    let (frame, rest) =
        postcard::take_from_bytes::<Frame>(body).map_err(|_| WireError::Malformed(body.len()))?;
    if !rest.is_empty() {
        return Err(WireError::Malformed(body.len()));
    }
    let (entries, allowed) = match &frame {
        Frame::Hello { .. } => (0, 0),
        Frame::Batch { entries, .. } => (entries.len(), MAX_ENTRIES),
        Frame::Grants { answers, .. } => (answers.len(), MAX_ENTRIES),
        Frame::Peer { messages, .. } => (messages.len(), MAX_PEER_MESSAGES),
    };
    if entries > allowed {
        return Err(WireError::TooManyEntries(entries));
    }
    Ok(frame)
}
