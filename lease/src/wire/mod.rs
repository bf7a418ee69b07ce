//! The protocol messages between gateway instances and shards, and between shards.
//!
//! Each [`Frame`] is encoded as a length (two bytes, little-endian) and a body in the postcard format, which
//! uses variable-length integers. The order of fields and variants is part of the wire format; their names
//! are not. Amounts of units are encoded as integer hundredths. The receiver closes a connection when it
//! cannot decode a frame.
mod codec;

pub use codec::{encode, FrameDecoder, WireError};

use crate::shard_map::{PlanId, ShardId, TenantId};
use serde::{Deserialize, Serialize};

/// Version of the protocol, sent in [`Frame::Hello`].
pub const PROTOCOL_VERSION: u8 = 1;
/// Hundredths per unit. The resolution suffices, since requests cost whole units or a few tenths.
pub const HUNDREDTHS_PER_UNIT: f64 = 100.0;
/// Maximum number of entries in a batch. The largest entry takes 23 bytes, so that a full batch fits into one
/// frame.
pub const MAX_BATCH_ENTRIES: usize = 1024;
/// Maximum number of messages in a frame between shards. The largest message takes 27 bytes, so that all fit
/// into one frame.
pub const MAX_PEER_MESSAGES: usize = 1024;

/// A gateway instance's request and report for one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchEntry {
    /// Tenant whose quota is used.
    pub tenant: TenantId,
    /// The tenant's plan.
    pub plan: PlanId,
    /// Hundredths of units spent without a lease; negative to return unspent hundredths of a lease.
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
    /// The shard does not own the tenant under its active map; nothing was applied.
    Moved {
        /// Epoch of the shard's active map.
        epoch: u32,
    },
    /// The shard's map does not contain the plan; nothing was applied.
    UnknownPlan,
}

/// Process that sends a frame to another shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Id of the sending shard.
    pub shard: ShardId,
    /// Incarnation of the sending process.
    pub incarnation: u64,
}

/// Message between the two owners of a tenant in different regions. Amounts are in parts per million (ppm) of
/// the quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is short of units and requests a transfer of quota that the receiver does not need.
    RequestTransfer {
        /// Tenant whose quota is concerned.
        tenant: TenantId,
    },
    /// The sender is not reconciled, for instance after a restart, and asks for the receiver's allocation.
    Reconcile {
        /// Tenant whose quota is concerned.
        tenant: TenantId,
        /// The tenant's plan.
        plan: PlanId,
    },
    /// Response to [`PeerMessage::Reconcile`].
    ReconcileResponse {
        /// Tenant whose quota is concerned.
        tenant: TenantId,
        /// Allocation of the sender including a transfer in transit (ppm), `None` if the sender is not
        /// reconciled either.
        allocated_ppm: Option<u32>,
        /// Incarnation of the requesting process. A later process ignores the response.
        requester_incarnation: u64,
    },
    /// The sender transfers a part of the quota, which it has already deducted from its own fraction.
    Transfer {
        /// Tenant whose quota is concerned.
        tenant: TenantId,
        /// The tenant's plan.
        plan: PlanId,
        /// Number of the transfer, assigned by the sending process in ascending order.
        transfer_number: u32,
        /// Transferred part of the quota (ppm).
        amount_ppm: u32,
    },
    /// The sender has added a received transfer to its fraction.
    Acknowledge {
        /// Tenant whose quota is concerned.
        tenant: TenantId,
        /// Number of the acknowledged transfer.
        transfer_number: u32,
        /// Incarnation of the process that sent the transfer.
        sender_incarnation: u64,
    },
}

impl PeerMessage {
    /// Returns the tenant whose quota is concerned.
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

/// Unit of transmission on a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame that a gateway instance sends on a connection.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u8,
        /// Id of the gateway instance.
        gateway: u64,
        /// Incarnation of the sending process; higher for each later process of the instance.
        incarnation: u64,
        /// Epoch of the active shard map of the instance.
        epoch: u32,
    },
    /// Requests and reports of a gateway instance.
    Batch {
        /// Sequence number among the batches that this incarnation sends to this shard.
        sequence: u32,
        /// One entry per tenant.
        entries: Vec<BatchEntry>,
    },
    /// Response of a shard to a batch.
    BatchResponse {
        /// Sequence number of the batch.
        sequence: u32,
        /// One response per entry, in the order of the entries.
        responses: Vec<EntryResponse>,
    },
    /// Messages from one shard to another.
    Peer {
        /// Sending process.
        from: PeerIdentity,
        /// Epoch of the sender's active shard map.
        epoch: u32,
        /// Messages, in order.
        messages: Vec<PeerMessage>,
    },
}

/// Converts units to integer hundredths, rounded up so that spent or requested units are never understated.
pub fn units_to_hundredths(units: f64) -> i32 {
    /// Rounding tolerance in hundredths, so that 0.1 + 0.2 converts to thirty hundredths rather than 31.
    const ROUNDING_TOLERANCE: f64 = 1e-6;
    (units * HUNDREDTHS_PER_UNIT - ROUNDING_TOLERANCE).ceil() as i32
}
