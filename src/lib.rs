//! The policy engine of a gateway that enforces customer quotas. It makes all decisions on requests and does no I/O.
pub mod gossip;
pub mod interner;
pub mod policy;
pub mod settings;
mod slab;
mod state;
pub mod types;
