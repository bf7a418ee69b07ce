//! Decodes event records into typed values. Times are in seconds. Indices are not checked here, but against the settings where they
//! are used.
use crate::frame::{seconds, FrameError, Record, RecordError, ADDRESS_BYTES};
use quillramp::types::{AttemptResult, CounterResult, EndpointStatus};

/// Size of an entry of an endpoint list, in bytes.
const ENDPOINT_BYTES: usize = 23;

/// Id of a request on the wire.
pub(crate) type RequestId = u32;
/// Address of a backend on the wire.
pub(crate) type Address = [u8; ADDRESS_BYTES];

/// A client submitted a request.
pub(crate) struct RequestSubmitted {
    /// Id of the request.
    pub id: RequestId,
    /// Index of the first instance that the customer uses.
    pub first_instance: usize,
    /// Number of instances that the customer uses; their indices are consecutive.
    pub instances: usize,
    /// Time that the client waits for the response, in seconds.
    pub client_timeout: f64,
    /// Expected cost of the request, in units.
    pub units: f64,
    /// Id of the customer.
    pub customer: u64,
    /// Index of the plan in the settings.
    pub plan: usize,
    /// Index of the operation in the settings.
    pub operation: usize,
}

impl RequestSubmitted {
    /// Decodes a record; any bytes are valid.
    pub fn decode(record: &Record) -> RequestSubmitted {
        RequestSubmitted {
            id: record.u32(1),
            first_instance: record.f32(5) as usize,
            client_timeout: record.seconds(9),
            units: record.f32(13),
            customer: record.u64(17),
            plan: usize::from(record.u16(25)),
            operation: usize::from(record.u8(28)),
            instances: record.f32(29) as usize,
        }
    }
}

/// An attempt ended.
pub(crate) struct AttemptEnded {
    /// Index of the attempt within its request, counted from 0.
    pub attempt: usize,
    /// The backend of the attempt.
    pub address: Address,
    /// Duration of the attempt, in seconds.
    pub duration: f64,
    /// Whether the request has its final answer.
    pub is_closed: bool,
    /// Units that the backend billed; `None` if it did not report them.
    pub billed_units: Option<f64>,
    /// Number of values in the backend's load report.
    pub load_report_length: usize,
}

impl AttemptEnded {
    /// Decodes a record except for the [`result`](AttemptEnded::result) and the load report.
    pub fn decode(record: &Record) -> AttemptEnded {
        let units = record.u16(22);
        AttemptEnded {
            attempt: usize::from(record.u16(5)),
            address: record.address(7),
            duration: record.seconds(15),
            is_closed: record.u8(19) != 0,
            billed_units: (units > 0).then(|| f64::from(units)),
            load_report_length: usize::from(record.u8(24)),
        }
    }

    /// Decodes the result of the attempt; fails if it is unknown.
    pub fn result(record: &Record) -> Result<AttemptResult, FrameError> {
        attempt_result(record, 13)
    }

    /// Decodes a value of the backend's load report, by its index.
    pub fn load_report_value(record: &Record, index: usize) -> f64 {
        record.f32(25 + 4 * index)
    }
}

/// Checks that the result of a health check is valid; the policy engine does not use it.
pub(crate) fn check_probed(record: &Record) -> Result<(), FrameError> {
    attempt_result(record, 7).map(drop)
}

fn attempt_result(record: &Record, offset: usize) -> Result<AttemptResult, FrameError> {
    match record.u16(offset) {
        1 => Ok(AttemptResult::Succeeded),
        2 => Ok(AttemptResult::Errored),
        3 => Ok(AttemptResult::Rejected),
        4 => Ok(AttemptResult::TimedOut),
        5 => Ok(AttemptResult::NotConnected),
        6 => Ok(AttemptResult::Broken),
        7 => Ok(AttemptResult::Cancelled),
        8 => Ok(AttemptResult::NotSent),
        other => Err(record.frame_error(RecordError::UnknownOutcome(other))),
    }
}

/// Decodes the id of the request that an event concerns.
pub(crate) fn request_id(record: &Record) -> RequestId {
    record.u32(1)
}

/// Decodes the number of the timer that fired.
pub(crate) fn timer_number(record: &Record) -> u64 {
    record.u64(1)
}

/// Returns the body of a peer's message.
pub(crate) fn message_body<'a>(record: &Record<'a>) -> Result<&'a [u8], FrameError> {
    record.tail(5, 1)
}

/// A counter call ended.
pub(crate) struct CounterReply {
    /// Name of the counter.
    pub name: u64,
    /// Result of the call.
    pub result: CounterResult,
}

impl CounterReply {
    /// Decodes a record; fails if the outcome is unknown.
    pub fn decode(record: &Record) -> Result<CounterReply, FrameError> {
        let result = match record.u16(13) {
            1 => CounterResult::Total(record.f32(15)),
            3 | 5 => CounterResult::NotApplied,
            4 => CounterResult::Unanswered,
            other => return Err(record.frame_error(RecordError::UnknownOutcome(other))),
        };
        Ok(CounterReply { name: record.u64(5), result })
    }
}

/// The outcome of an endpoint fetch.
pub(crate) enum FetchOutcome {
    /// The fetch failed.
    Failed,
    /// The entries are changes since the last list.
    Changes,
    /// The entries are a complete list of all endpoints.
    Snapshot,
}

impl FetchOutcome {
    /// Decodes a record except for its entries; fails if the kind of list is unknown.
    pub fn decode(record: &Record) -> Result<FetchOutcome, FrameError> {
        match record.u8(5) {
            0 => Ok(FetchOutcome::Failed),
            1 => Ok(FetchOutcome::Changes),
            2 | 3 => Ok(FetchOutcome::Snapshot),
            other => Err(record.frame_error(RecordError::UnknownListKind(other))),
        }
    }
}

/// An entry of an endpoint list.
pub(crate) struct EndpointEntry {
    /// Index of the endpoint's cell.
    pub cell: usize,
    /// Index of the endpoint's zone.
    pub zone: usize,
    /// Address of the endpoint.
    pub address: Address,
    /// Status of the endpoint.
    pub status: EndpointStatus,
    /// Start of the endpoint, in seconds of the simulator's clock; `None` if unknown.
    pub started_at: Option<f64>,
    /// Capacity of the endpoint relative to other endpoints.
    pub weight: f64,
}

impl EndpointEntry {
    /// Returns all entries of a list, in order. An entry with an unknown status is returned as an error.
    pub fn decode_all<'a>(
        record: &Record<'a>,
    ) -> Result<impl Iterator<Item = Result<EndpointEntry, FrameError>> + 'a, FrameError> {
        let record = *record;
        let entries = record.tail(6, ENDPOINT_BYTES)?.chunks_exact(ENDPOINT_BYTES);
        Ok(entries.enumerate().map(move |(index, bytes)| EndpointEntry::decode(&record, index, bytes)))
    }

    fn decode(record: &Record, index: usize, bytes: &[u8]) -> Result<EndpointEntry, FrameError> {
        let status = match bytes[9] {
            0 => EndpointStatus::Removed,
            1 => EndpointStatus::Ready,
            2 => EndpointStatus::Draining,
            other => {
                return Err(
                    record.frame_error(RecordError::UnknownEndpointStatus { entry: index, status: other })
                )
            }
        };
        let started_at = u64::from_le_bytes(bytes[10..18].try_into().expect("eight bytes"));
        Ok(EndpointEntry {
            cell: usize::from(u16::from_le_bytes([bytes[0], bytes[1]])),
            zone: usize::from(bytes[2]),
            address: bytes[3..9].try_into().expect("six bytes"),
            status,
            started_at: (started_at > 0).then(|| seconds(started_at)),
            weight: f64::from(f32::from_le_bytes(bytes[19..23].try_into().expect("four bytes"))),
        })
    }
}
