//! A counter of the project's own, in the published form of the platform's: named totals with a life. Durable by a log with checksums and
//! snapshots; alone, or two or three of them that a majority of must agree on each call.
pub mod disk;
pub mod log;
pub mod member;
pub mod service;
pub mod totals;
mod wire;
