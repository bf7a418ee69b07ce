//! Decodes event records into typed values. Times are seconds. Indexes are checked where they are used, against the settings.
use crate::frame::{seconds, FrameError, Record, RecordError, ADDRESS_BYTES};
use quillramp::types::{AttemptResult, CounterResult, EndpointStatus};

/// Size of an entry of an endpoint list, bytes.
const ENDPOINT_BYTES: usize = 23;

/// The number of a request on the wire.
pub(crate) type RequestId = u32;
/// A backend's address on the wire.
pub(crate) type Address = [u8; ADDRESS_BYTES];

/// A client submitted a request.
pub(crate) struct RequestSubmitted {
    /// The id of the request on the wire.
    pub id: RequestId,
    /// The first of the instances that share the customer's quota.
    pub first_instance: usize,
    /// Number of these instances, which follow each other.
    pub instances: usize,
    /// Time that its client waits for the response, seconds.
    pub client_timeout: f64,
    /// Units that it is expected to cost.
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
    /// Duration of the attempt, seconds.
    pub duration: f64,
    /// Whether the request has its response.
    pub is_closed: bool,
    /// Units that the backend billed, if it reported them.
    pub billed_units: Option<f64>,
    /// Number of values in the backend's load report.
    pub load_report_length: usize,
}

impl AttemptEnded {
    /// Decodes a record, without the [`result`](AttemptEnded::result) and the load report.
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

    /// The result of the attempt.
    pub fn result(record: &Record) -> Result<AttemptResult, FrameError> {
        attempt_result(record, 13)
    }

    /// A value of the backend's load report, by its index.
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
        other => Err(record.error(RecordError::UnknownOutcome(other))),
    }
}

/// The id of the request that an event is about.
pub(crate) fn request_id(record: &Record) -> RequestId {
    record.u32(1)
}

/// The number of the timer that fired.
pub(crate) fn timer_number(record: &Record) -> u64 {
    record.u64(1)
}

/// The body of a peer's message.
pub(crate) fn message_body<'a>(record: &Record<'a>) -> Result<&'a [u8], FrameError> {
    record.tail(5, 1)
}

/// A counter call ended.
pub(crate) struct CounterReply {
    /// The name of the count.
    pub name: u64,
    /// The outcome of the call.
    pub result: CounterResult,
}

impl CounterReply {
    /// Decodes a record; fails on an unknown outcome.
    pub fn decode(record: &Record) -> Result<CounterReply, FrameError> {
        let result = match record.u16(13) {
            1 => CounterResult::Total(record.f32(15)),
            3 | 5 => CounterResult::NotApplied,
            4 => CounterResult::Unanswered,
            other => return Err(record.error(RecordError::UnknownOutcome(other))),
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
    /// The entries are a complete snapshot of all endpoints.
    Snapshot,
}

impl FetchOutcome {
    /// Decodes a record, without its entries; fails on an unknown kind.
    pub fn decode(record: &Record) -> Result<FetchOutcome, FrameError> {
        match record.u8(5) {
            0 => Ok(FetchOutcome::Failed),
            1 => Ok(FetchOutcome::Changes),
            2 | 3 => Ok(FetchOutcome::Snapshot),
            other => Err(record.error(RecordError::UnknownListKind(other))),
        }
    }
}

/// An entry of an endpoint list.
pub(crate) struct EndpointEntry {
    /// Index of its cell.
    pub cell: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Its address.
    pub address: Address,
    /// Its status.
    pub status: EndpointStatus,
    /// Time of its start, seconds of the simulator's clock; none if it is unknown.
    pub started_at: Option<f64>,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
}

impl EndpointEntry {
    /// All entries of a list, in order; iteration fails at an entry with an unknown status.
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
                return Err(record.error(RecordError::UnknownEndpointStatus { entry: index, status: other }))
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
