//! A shared counter: named totals with a limited lifetime, kept in a checksummed log with snapshots, on one machine or on two or
//! three of which a majority has to accept each call. It answers the counter calls that the platform publishes.
#![warn(missing_docs)]
pub mod disk;
mod error;
mod frame;
mod http;
pub mod log;
pub mod raft;
pub mod server;
pub mod totals;
pub use error::{Error, Result};
