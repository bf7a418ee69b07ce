//! Errors in frames and records. Their texts are sent to the simulator.
use super::ADDRESS_BYTES;

/// Error for a frame that is complete but cannot be processed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame is shorter than its own header.
    #[error("frame length of {length} bytes is less than the header length of {header} bytes")]
    FrameLength {
        /// Length that the header announces, in bytes.
        length: usize,
        /// Length of the header, in bytes.
        header: usize,
    },
    /// The frame is too short for its records.
    #[error("header announces {announced} records, but the frame has room for {capacity}")]
    RecordCount {
        /// Number of records that the header announces.
        announced: usize,
        /// Number of records that fit.
        capacity: usize,
    },
    /// A record is invalid; the records before it were processed.
    #[error("record {index} (code {code}): {error}")]
    Record {
        /// Position of the record in its frame, counted from 0.
        index: usize,
        /// Code of the record.
        code: u8,
        /// Why the record is invalid.
        error: RecordError,
    },
}

/// Why an event record is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// No earlier record of the frame selects an instance.
    #[error("no earlier record selects an instance")]
    NoInstance,
    /// The instance has not started, or has stopped.
    #[error("instance {0} is not running")]
    InstanceNotStarted(u32),
    /// The code of the record is unknown.
    #[error("unknown event code")]
    UnknownCode,
    /// The record refers to bytes outside the tail of the frame.
    #[error("{items} items of {item_bytes} bytes at offset {offset} exceed the tail of {tail_bytes} bytes")]
    OutsideTail {
        /// Offset of the first item in the tail, in bytes.
        offset: usize,
        /// Number of items.
        items: usize,
        /// Size of an item, in bytes.
        item_bytes: usize,
        /// Size of the tail, in bytes.
        tail_bytes: usize,
    },
    /// The settings of an instance are invalid.
    #[error("{0}")]
    Settings(String),
    /// The outcome of an attempt, a health check or a counter call is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// The kind of an endpoint list is unknown.
    #[error("unknown kind of endpoint list {0}")]
    UnknownListKind(u8),
    /// The status of an endpoint is unknown.
    #[error("endpoint {entry}: unknown status {status}")]
    UnknownEndpointStatus {
        /// Position of the endpoint in its list, counted from 0.
        entry: usize,
        /// The unknown status.
        status: u8,
    },
    /// The operation is not in the settings.
    #[error("operation {operation} is out of range; the settings have {operations} operations")]
    UnknownOperation {
        /// Index of the operation.
        operation: usize,
        /// Number of operations in the settings.
        operations: usize,
    },
    /// The plan is not in the settings.
    #[error("plan {plan} is out of range; the settings have {plans} plans")]
    UnknownPlan {
        /// Index of the plan.
        plan: usize,
        /// Number of plans in the settings.
        plans: usize,
    },
    /// The units of a request are negative or not finite.
    #[error("invalid number of units {0}; expected a finite number of at least 0")]
    InvalidUnits(f64),
    /// The request is unknown, or has already ended.
    #[error("unknown request {0}")]
    UnknownRequest(u32),
    /// The request has no such attempt.
    #[error("attempt {attempt} is out of range; the request has had {attempts} attempts")]
    UnknownAttempt {
        /// Index of the attempt.
        attempt: usize,
        /// Number of attempts so far.
        attempts: usize,
    },
    /// The backend was never in an endpoint list.
    #[error("backend {0:?} was never in an endpoint list")]
    UnknownBackend([u8; ADDRESS_BYTES]),
    /// The body of a peer's message is not valid gossip.
    #[error("peer message is not valid gossip")]
    InvalidGossip,
}
