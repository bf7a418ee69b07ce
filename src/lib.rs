//! quillramp: the decisions of a gateway that holds customers to their quotas before a shared back end.
pub mod gossip;
pub mod interner;
pub mod policy;
pub mod settings;
mod slab;
mod state;
pub mod types;
