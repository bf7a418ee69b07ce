//! The lease service, which holds tenants to their quotas across many gateway instances.
//!
//! A [`shard`] keeps a [token bucket](token_bucket) for each tenant that it owns. The [shard map](shard_map)
//! assigns each tenant to its owner. The [`client`] of a gateway instance requests leases of units for many
//! tenants in one batch, and reports units that it spent without a lease. A quota may be split between two
//! regions; the two owners of a tenant then transfer parts of its [regional quota](regional_quota) to each
//! other. The [`wire`] module defines the messages between all of them.
//!
//! All state machines are free of I/O and deterministic: the caller passes in the time (Unix time in seconds)
//! and the received bytes, and performs the outputs. The same events produce the same outputs. The program
//! `quillramp-lease-shard` runs a shard on sockets. The page `docs/leases.md` derives the bounds that the
//! tests check.
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
