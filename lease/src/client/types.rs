//! Input and output types of a [`LeaseClient`](super::LeaseClient).
use crate::shard_map::{PlanId, ShardId, TenantId};
use std::net::SocketAddr;

/// Id that links the outcome of a request to its submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Request for units of one tenant, report of units spent without a lease, or both.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Tenant whose quota is used.
    pub tenant: TenantId,
    /// Plan of the tenant.
    pub plan: PlanId,
    /// Number of units requested; 0 for a mere report, which may wait for other requests to share its batch.
    pub requested_units: f64,
    /// Units spent without a lease since the last report; negative to return unspent units.
    pub spent_units: f64,
    /// Unix time in seconds by which the outcome is needed.
    pub deadline: f64,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseOutcome {
    /// The shard applied the request.
    Granted {
        /// Units that the gateway instance may spend.
        units: f64,
        /// Whole units left in the tenant's bucket.
        available_units: u32,
    },
    /// The request was never sent, or the shard rejected it. Neither the request for units nor the report was
    /// applied.
    NotApplied,
    /// The request was sent but not answered by its deadline, so the shard may have applied it. The caller
    /// must not repeat the report. If the shard grants units later, the client returns them.
    Unconfirmed,
}

/// Action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutput {
    /// Open a connection, and report the result by `handle_connected` or `handle_disconnected`.
    Connect {
        /// Shard to connect to.
        shard: ShardId,
        /// Address of the shard.
        address: SocketAddr,
    },
    /// Write bytes to the shard's connection.
    Send {
        /// The shard.
        shard: ShardId,
        /// Encoded frames.
        bytes: Vec<u8>,
    },
    /// Close the shard's connection, or abort the attempt to connect. The caller need not call
    /// `handle_disconnected`.
    Close {
        /// The shard.
        shard: ShardId,
    },
    /// A request has been completed.
    Completed {
        /// Id of the request.
        request_id: RequestId,
        /// Outcome of the request.
        outcome: LeaseOutcome,
    },
}
