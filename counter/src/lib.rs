//! A shared counter: named totals with a limited lifetime, persisted in a checksummed log with snapshots. It runs alone or
//! replicated over two or three members, of which a majority has to accept each call. It serves the counter calls that the platform
//! publishes.
#![warn(missing_docs)]
pub mod disk;
mod error;
mod frame;
mod http;
pub mod log;
pub mod raft;
pub mod server;
pub mod totals;
pub use error::{Damage, Error, Result};
