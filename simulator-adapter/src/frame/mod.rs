//! Frames of the wire: a header, records of a fixed size, and a tail for data of variable size. Numbers are little endian.
mod batch;
mod error;
mod record;
mod reply;
pub use batch::{read, Batch};
pub use error::{FrameError, RecordError};
pub(crate) use record::Record;
pub use reply::Reply;

/// Size of an event record, bytes.
pub const EVENT_BYTES: usize = 48;
/// Size of an action record, bytes.
pub const ACTION_BYTES: usize = 24;
/// Size of a backend's address, bytes: four of IPv4 and two of the port.
pub(crate) const ADDRESS_BYTES: usize = 6;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Microseconds as seconds.
pub(crate) fn seconds(microseconds: u64) -> f64 {
    microseconds as f64 / MICROSECONDS_PER_SECOND
}

/// Seconds as microseconds, rounded up, so that a timer never fires early.
pub(crate) fn microseconds(seconds: f64) -> f64 {
    (seconds * MICROSECONDS_PER_SECOND).ceil()
}
