//! Faults of frames and records. The texts go back to the simulator.
use super::ADDRESS_BYTES;

/// A frame that is complete but can't be processed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame is shorter than its own header, bytes.
    #[error("frame length {length} is less than its header's {header}")]
    FrameLength {
        /// The length that the header announces.
        length: usize,
        /// The length of the header.
        header: usize,
    },
    /// The records do not fit into the frame.
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
        /// The code of the record.
        code: u8,
        /// What is wrong with it.
        error: RecordError,
    },
}

/// Why an event record is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// No record before it selects an instance.
    #[error("no instance was named before it")]
    NoInstance,
    /// Its instance has not started, or has stopped.
    #[error("instance {0} has not started")]
    InstanceNotStarted(u32),
    /// Its code is unknown.
    #[error("unknown code")]
    UnknownCode,
    /// It refers to bytes outside the tail of the frame.
    #[error("offset {offset} with {items} x {item_bytes} bytes lies outside the tail of {tail_bytes}")]
    OutsideTail {
        /// Offset of the first item in the tail, bytes.
        offset: usize,
        /// Number of items.
        items: usize,
        /// Size of an item, bytes.
        item_bytes: usize,
        /// Size of the tail, bytes.
        tail_bytes: usize,
    },
    /// The settings of an instance can't be used.
    #[error("{0}")]
    Settings(String),
    /// The outcome of a delivery, of a health check or of a counter call is unknown.
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
        /// The status.
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
    /// The request is unknown or over.
    #[error("invocation {0} is not held")]
    UnknownRequest(u32),
    /// The request has no such attempt.
    #[error("delivery {attempt} of {attempts}")]
    UnknownAttempt {
        /// Index of the attempt.
        attempt: usize,
        /// Number of attempts until now.
        attempts: usize,
    },
    /// The backend was never in an endpoint list.
    #[error("backend {0:?} was never listed")]
    UnknownBackend([u8; ADDRESS_BYTES]),
    /// The body of a peer's message is not gossip.
    #[error("no word of ours")]
    InvalidGossip,
}
