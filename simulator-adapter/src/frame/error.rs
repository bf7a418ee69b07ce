//! Errors in frames and records. Their texts are sent to the simulator.
use super::ADDRESS_BYTES;

/// Error for a frame that is complete but cannot be processed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame is shorter than its own header.
    #[error("frame length {length} is less than its header's {header}")]
    FrameLength {
        /// Length that the header announces, in bytes.
        length: usize,
        /// Length of the header, in bytes.
        header: usize,
    },
    /// The frame is too short for its records.
    #[error("header tells {announced} records, the frame holds {capacity}")]
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
    #[error("no instance was named before it")]
    NoInstance,
    /// The instance has not started, or has stopped.
    #[error("instance {0} has not started")]
    InstanceNotStarted(u32),
    /// The code of the record is unknown.
    #[error("unknown code")]
    UnknownCode,
    /// The record refers to bytes outside the tail of the frame.
    #[error("offset {offset} with {items} x {item_bytes} bytes lies outside the tail of {tail_bytes}")]
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
    #[error("unknown kind of list {0}")]
    UnknownListKind(u8),
    /// The status of an endpoint is unknown.
    #[error("entry {entry}: unknown state {status}")]
    UnknownEndpointStatus {
        /// Position of the endpoint in its list, counted from 0.
        entry: usize,
        /// The unknown status.
        status: u8,
    },
    /// The operation is not in the settings.
    #[error("operation {operation} of {operations}")]
    UnknownOperation {
        /// Index of the operation.
        operation: usize,
        /// Number of operations in the settings.
        operations: usize,
    },
    /// The plan is not in the settings.
    #[error("plan {plan} of {plans}")]
    UnknownPlan {
        /// Index of the plan.
        plan: usize,
        /// Number of plans in the settings.
        plans: usize,
    },
    /// The units of a request are negative or not finite.
    #[error("{0} units")]
    InvalidUnits(f64),
    /// The request is unknown, or has already ended.
    #[error("invocation {0} is not held")]
    UnknownRequest(u32),
    /// The request has no such attempt.
    #[error("delivery {attempt} of {attempts}")]
    UnknownAttempt {
        /// Index of the attempt.
        attempt: usize,
        /// Number of attempts so far.
        attempts: usize,
    },
    /// The backend was never in an endpoint list.
    #[error("backend {0:?} was never listed")]
    UnknownBackend([u8; ADDRESS_BYTES]),
    /// The body of a peer's message is not valid gossip.
    #[error("no word of ours")]
    InvalidGossip,
}
