//! Event records as typed values. Fields that can be wrong are checked by whoever knows what they refer to.
use crate::frame::{seconds, Malformed, Record, ADDRESS_BYTES};
use quillramp::types::{AttemptResult, CounterResult, EndpointStatus};

/// Bytes of an entry of a list.
const LIST_ENTRY_BYTES: usize = 23;

/// The number of a request on the wire.
pub(crate) type RequestId = u32;
/// A backend's address on the wire.
pub(crate) type Address = [u8; ADDRESS_BYTES];

/// A client has sent a request.
pub(crate) struct Submitted {
    pub id: RequestId,
    /// The first of the instances that share the customer's quota.
    pub first_instance: usize,
    /// How many these are.
    pub instances: usize,
    /// How long its client waits, seconds.
    pub wait: f64,
    pub units: f64,
    pub customer: u64,
    pub plan: usize,
    pub operation: usize,
}

impl Submitted {
    pub fn decode(record: &Record) -> Submitted {
        Submitted {
            id: record.u32(1),
            first_instance: record.f32(5) as usize,
            wait: record.seconds(9),
            units: record.f32(13),
            customer: record.u64(17),
            plan: usize::from(record.u16(25)),
            operation: usize::from(record.u8(28)),
            instances: record.f32(29) as usize,
        }
    }
}

/// A delivery has ended.
pub(crate) struct Completed {
    /// Which of the request's deliveries, counted from 0.
    pub delivery: usize,
    pub address: Address,
    /// How long it took, seconds.
    pub took: f64,
    /// The request is answered.
    pub is_closed: bool,
    /// The units that it took, where the backend told.
    pub units: Option<f64>,
    /// How many figures of the backend's report follow.
    pub report_length: usize,
}

impl Completed {
    pub fn decode(record: &Record) -> Completed {
        let units = record.u16(22);
        Completed {
            delivery: usize::from(record.u16(5)),
            address: record.address(7),
            took: record.seconds(15),
            is_closed: record.u8(19) != 0,
            units: (units > 0).then(|| f64::from(units)),
            report_length: usize::from(record.u8(24)),
        }
    }

    /// How the delivery ended.
    pub fn ending(record: &Record) -> Result<AttemptResult, Malformed> {
        ending(record, 13)
    }

    /// A figure of the backend's report.
    pub fn report_figure(record: &Record, place: usize) -> f64 {
        record.f32(25 + 4 * place)
    }
}

/// A probe has ended; only that it can be read is checked.
pub(crate) fn check_probed(record: &Record) -> Result<(), Malformed> {
    ending(record, 7).map(drop)
}

fn ending(record: &Record, offset: usize) -> Result<AttemptResult, Malformed> {
    match record.u16(offset) {
        1 => Ok(AttemptResult::Succeeded),
        2 => Ok(AttemptResult::Errored),
        3 => Ok(AttemptResult::Rejected),
        4 => Ok(AttemptResult::TimedOut),
        5 => Ok(AttemptResult::NotConnected),
        6 => Ok(AttemptResult::Broken),
        7 => Ok(AttemptResult::Cancelled),
        8 => Ok(AttemptResult::NotSent),
        other => Err(record.malformed(format!("unknown outcome {other}"))),
    }
}

/// The number of the request that an event is about.
pub(crate) fn request_id(record: &Record) -> RequestId {
    record.u32(1)
}

/// The number of the timer that rings.
pub(crate) fn timer_number(record: &Record) -> u64 {
    record.u64(1)
}

/// The body of a message of another instance.
pub(crate) fn message_body<'a>(record: &Record<'a>) -> Result<&'a [u8], Malformed> {
    record.tail(5, 1)
}

/// A counter call has ended.
pub(crate) struct CounterReply {
    /// The name of the count.
    pub name: u64,
    pub result: CounterResult,
}

impl CounterReply {
    pub fn decode(record: &Record) -> Result<CounterReply, Malformed> {
        let result = match record.u16(13) {
            1 => CounterResult::Total(record.f32(15)),
            3 | 5 => CounterResult::NotApplied,
            4 => CounterResult::Unanswered,
            other => return Err(record.malformed(format!("unknown outcome {other}"))),
        };
        Ok(CounterReply { name: record.u64(5), result })
    }
}

/// What came of asking for the list of backends.
pub(crate) enum ListResult {
    Failed,
    /// Changes since the last list.
    Changes,
    /// All backends.
    Whole,
}

impl ListResult {
    pub fn decode(record: &Record) -> Result<ListResult, Malformed> {
        match record.u8(5) {
            0 => Ok(ListResult::Failed),
            1 => Ok(ListResult::Changes),
            2 | 3 => Ok(ListResult::Whole),
            other => Err(record.malformed(format!("unknown kind of list {other}"))),
        }
    }
}

/// A backend of a list.
pub(crate) struct ListEntry {
    pub cell: usize,
    pub zone: usize,
    pub address: Address,
    pub standing: EndpointStatus,
    /// When it started, seconds on the simulator's clock, where that is known.
    pub started: Option<f64>,
    pub size: f64,
}

impl ListEntry {
    /// All entries of a list, in their order.
    pub fn decode_all<'a>(
        record: &Record<'a>,
    ) -> Result<impl Iterator<Item = Result<ListEntry, Malformed>> + 'a, Malformed> {
        let record = *record;
        let entries = record.tail(6, LIST_ENTRY_BYTES)?.chunks_exact(LIST_ENTRY_BYTES);
        Ok(entries.enumerate().map(move |(index, bytes)| ListEntry::decode(&record, index, bytes)))
    }

    fn decode(record: &Record, index: usize, bytes: &[u8]) -> Result<ListEntry, Malformed> {
        let standing = match bytes[9] {
            0 => EndpointStatus::Removed,
            1 => EndpointStatus::Ready,
            2 => EndpointStatus::Draining,
            other => return Err(record.malformed(format!("entry {index}: unknown state {other}"))),
        };
        let started = u64::from_le_bytes(bytes[10..18].try_into().expect("eight bytes"));
        Ok(ListEntry {
            cell: usize::from(u16::from_le_bytes([bytes[0], bytes[1]])),
            zone: usize::from(bytes[2]),
            address: bytes[3..9].try_into().expect("six bytes"),
            standing,
            started: (started > 0).then(|| seconds(started)),
            size: f64::from(f32::from_le_bytes(bytes[19..23].try_into().expect("four bytes"))),
        })
    }
}
