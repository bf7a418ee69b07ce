//! What the caller of a [`LeaseClient`](super::LeaseClient) passes in and gets out.
use crate::shard_map::{PlanId, ShardId, TenantId};
use std::net::SocketAddr;

/// Identifies a request in its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request for units of one tenant, or a report of units spent without a lease.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// The tenant whose quota is used.
    pub tenant: TenantId,
    /// The tenant's plan.
    pub plan: PlanId,
    /// Units requested; 0: only a report, which may wait to be batched.
    pub requested_units: f64,
    /// Units spent without a lease since the last report; negative: unspent units that are returned.
    pub spent_units: f64,
    /// Unix time in seconds by which the outcome is needed.
    pub deadline: f64,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseOutcome {
    /// The shard applied it.
    Granted {
        /// Units that may be spent.
        units: f64,
        /// Whole units left in the tenant's bucket.
        available_units: u32,
    },
    /// It was never sent, or the shard rejected it: nothing was applied, the report included.
    NotApplied,
    /// It was sent and not answered in time, so it may have been applied. Its report must not be repeated; units that
    /// are granted later are returned by the client.
    Unconfirmed,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutput {
    /// Open a connection; report the result by `handle_connected` or `handle_disconnected`.
    Connect {
        /// The shard to connect to.
        shard: ShardId,
        /// Its address.
        address: SocketAddr,
    },
    /// Write bytes to the shard's connection.
    Send {
        /// The shard.
        shard: ShardId,
        /// Complete frames.
        bytes: Vec<u8>,
    },
    /// Close the shard's connection, or abort opening it; no `handle_disconnected` is expected.
    Close {
        /// The shard.
        shard: ShardId,
    },
    /// A request has ended.
    Completed {
        /// The request.
        request_id: RequestId,
        /// How it ended.
        outcome: LeaseOutcome,
    },
}
