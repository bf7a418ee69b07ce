//! The lease service: holds tenants to quotas that are enforced by many gateway instances and kept by a few shards.
//!
//! A [`shard`] keeps a [token bucket](token_bucket) for each tenant that it owns; which shard that is follows from the
//! [shard map](shard_map). A gateway instance's [`client`] requests units of many tenants in one batch, and reports
//! units that it spent without a lease. A quota may be split between two regions, whose owners of a tenant transfer
//! parts of its [regional quota](regional_quota) to each other. The [`wire`] module has the messages of all of them.
//!
//! All state machines are free of I/O: time is an argument (Unix time in seconds), bytes go in and outputs come out, and
//! the same events give the same outputs. The program `quillramp-lease-shard` runs a shard on sockets. The page
//! `docs/leases.md` derives the bounds that the tests check.
#![warn(missing_docs)]

pub mod client;
#[doc(hidden)]
pub mod fault_injection;
mod protocol_violation;
pub mod regional_quota;
pub mod shard;
pub mod shard_map;
pub mod token_bucket;
pub mod wire;
