//! The messages of the protocol, between gateway instances and shards and between shards.
//!
//! Each [`Frame`] travels as a length (two bytes, little-endian) and a body in postcard's format, whose integers have
//! variable lengths; the order of fields and variants is the wire format, their names are not. Amounts of units travel
//! as integer hundredths. A frame that cannot be decoded ends its connection.
mod codec;

pub use codec::{encode, FrameDecoder, WireError};

use crate::shard_map::{PlanId, ShardId, TenantId};
use serde::{Deserialize, Serialize};

/// Version of the protocol, announced in [`Frame::Hello`].
pub const PROTOCOL_VERSION: u8 = 1;
/// Hundredths in a unit. Requests cost whole units or a few tenths.
pub const HUNDREDTHS_PER_UNIT: f64 = 100.0;
/// Most entries in a batch: the largest entry takes 23 bytes, so such a batch fits into one frame.
pub const MAX_BATCH_ENTRIES: usize = 1024;
/// Most messages in a frame between shards; the largest message takes 27 bytes.
pub const MAX_PEER_MESSAGES: usize = 1024;

/// What a gateway instance requests and reports for one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchEntry {
    /// The tenant whose quota is used.
    pub tenant: TenantId,
    /// The tenant's plan.
    pub plan: PlanId,
    /// Hundredths of units spent without a lease; negative: unspent hundredths of a lease that are returned.
    pub spent_hundredths: i32,
    /// Hundredths of units requested.
    pub requested_hundredths: u32,
}

/// A shard's response to one entry of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryResponse {
    /// The entry was applied.
    Granted {
        /// Hundredths of units granted.
        granted_hundredths: u32,
        /// Whole units left in the tenant's bucket, rounded down.
        available_units: u32,
    },
    /// Under its map the shard does not own the tenant; nothing was applied.
    Moved {
        /// Epoch of the shard's map.
        epoch: u32,
    },
    /// The shard's map has no such plan; nothing was applied.
    UnknownPlan,
}

/// The process that sends a frame between shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The sending shard.
    pub shard: ShardId,
    /// Its process.
    pub incarnation: u64,
}

/// What the owners of one tenant in two regions send each other. Amounts are parts per million (ppm) of the quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is short of units and requests whatever part of the quota the receiver can spare.
    RequestTransfer {
        /// The tenant whose quota is concerned.
        tenant: TenantId,
    },
    /// The sender does not know its fraction of the quota and requests what the receiver holds.
    Reconcile {
        /// The tenant whose quota is concerned.
        tenant: TenantId,
        /// The tenant's plan.
        plan: PlanId,
    },
    /// Response to [`PeerMessage::Reconcile`].
    ReconcileResponse {
        /// The tenant whose quota is concerned.
        tenant: TenantId,
        /// What the sender holds, transfers in transit included (ppm); `None`: it does not know itself.
        allocated_ppm: Option<u32>,
        /// Incarnation of the requesting process; a response to a former process is of no use to its successor.
        requester_incarnation: u64,
    },
    /// A part of the quota that the sender has already deducted from its own fraction.
    Transfer {
        /// The tenant whose quota is concerned.
        tenant: TenantId,
        /// The tenant's plan.
        plan: PlanId,
        /// Number of the transfer, counted by the sending process.
        transfer_number: u32,
        /// The part transferred (ppm).
        amount_ppm: u32,
    },
    /// The receiver has added a transfer to its fraction.
    Acknowledge {
        /// The tenant whose quota is concerned.
        tenant: TenantId,
        /// Number of the transfer.
        transfer_number: u32,
        /// Incarnation of the process that sent the transfer.
        sender_incarnation: u64,
    },
}

impl PeerMessage {
    /// The tenant whose quota is concerned.
    pub fn tenant(&self) -> TenantId {
        match self {
            PeerMessage::RequestTransfer { tenant }
            | PeerMessage::Reconcile { tenant, .. }
            | PeerMessage::ReconcileResponse { tenant, .. }
            | PeerMessage::Transfer { tenant, .. }
            | PeerMessage::Acknowledge { tenant, .. } => *tenant,
        }
    }
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame on a gateway instance's connection.
    Hello {
        /// [`PROTOCOL_VERSION`].
        version: u8,
        /// The gateway instance.
        gateway: u64,
        /// Its process; grows with each start.
        incarnation: u64,
        /// Epoch of its shard map.
        epoch: u32,
    },
    /// A gateway instance's requests and reports.
    Batch {
        /// Counts the batches that this incarnation sends to this shard.
        sequence: u32,
        /// One entry per tenant.
        entries: Vec<BatchEntry>,
    },
    /// A shard's response to a batch.
    BatchResponse {
        /// Sequence of the batch.
        sequence: u32,
        /// One response per entry, in the order of the batch.
        responses: Vec<EntryResponse>,
    },
    /// Messages from one shard to another.
    Peer {
        /// The sending process.
        from: PeerIdentity,
        /// Epoch of the sender's shard map.
        epoch: u32,
        /// The messages, in order.
        messages: Vec<PeerMessage>,
    },
}

/// Converts units to integer hundredths and rounds up, so that what is spent or requested is never understated.
pub fn units_to_hundredths(units: f64) -> i32 {
    /// Tolerance in hundredths: 0.1 + 0.2 counts as thirty hundredths.
    const ROUNDING_TOLERANCE: f64 = 1e-6;
    (units * HUNDREDTHS_PER_UNIT - ROUNDING_TOLERANCE).ceil() as i32
}
