//! The policy engine of a gateway that holds customers to their quotas: it decides, and does no I/O.
pub mod gossip;
pub mod interner;
pub mod policy;
pub mod settings;
mod slab;
mod state;
pub mod types;
