//! Frames of the wire protocol: a header, records of fixed size, and a tail for data of variable size. Numbers are little-endian.
mod batch;
mod error;
mod record;
mod reply;
pub use batch::{read, Batch};
pub use error::{FrameError, RecordError};
pub(crate) use record::Record;
pub use reply::Reply;

/// Size of an event record, in bytes.
pub const EVENT_BYTES: usize = 48;
/// Size of an action record, in bytes.
pub const ACTION_BYTES: usize = 24;
/// Size of a backend's address, in bytes: four for the IPv4 address and two for the port.
pub(crate) const ADDRESS_BYTES: usize = 6;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Converts microseconds to seconds.
pub(crate) fn seconds(microseconds: u64) -> f64 {
    microseconds as f64 / MICROSECONDS_PER_SECOND
}

/// Converts seconds to microseconds, rounded up so that a timer never fires early.
pub(crate) fn microseconds(seconds: f64) -> f64 {
    (seconds * MICROSECONDS_PER_SECOND).ceil()
}
