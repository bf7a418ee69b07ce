//! The lease service: many front doors hold tenants to quotas that are kept by a few shards.
//!
//! A shard keeps a token bucket for each tenant that it owns; a front door asks for units of many tenants in one
//! batch. All state machines are free of I/O: time is an argument (Unix time, seconds), bytes go in and outputs come
//! out, and the same events give the same outputs. `docs/leases.md` derives the bounds that the tests check.
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
