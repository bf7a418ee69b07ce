//! Frames of the wire: a header, records of a fixed size, and a tail for what has no fixed size. Numbers are little endian.
mod batch;
mod record;
mod reply;
pub use batch::{read, Batch};
pub(crate) use record::Record;
pub use reply::Reply;

/// Size of an event record, bytes.
pub const EVENT_BYTES: usize = 48;
/// Size of an action record, bytes.
pub const ACTION_BYTES: usize = 24;
/// Bytes of a backend's address: four of IPv4 and two of the port.
pub(crate) const ADDRESS_BYTES: usize = 6;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What is wrong with a frame, and where.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub(crate) String);

pub(crate) fn seconds(microseconds: u64) -> f64 {
    microseconds as f64 / MICROSECONDS_PER_SECOND
}

/// Microseconds, rounded up.
pub(crate) fn microseconds(seconds: f64) -> f64 {
    (seconds * MICROSECONDS_PER_SECOND).ceil()
}
