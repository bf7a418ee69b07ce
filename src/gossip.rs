//! The wire format of gossip between gateway instances. A datagram contains one message: a tag byte, then the body.
//!
//! Numbers are little-endian.
//!
//! | message | layout |
//! | --- | --- |
//! | backend recovered | tag 1, then the backend's name to the end of the datagram |
//! | counter total | tag 2, customer (5 bytes), plan (1), first instance (2), instance count (2), series (4), total (`f32`, 4) |
use crate::types::InstanceRange;

/// A gossip message on the wire. It contains names of backends and ids of customers, because indices are valid in one process
/// only.
#[derive(Clone, Debug, PartialEq)]
pub enum WireMessage {
    /// An ejected backend answers again. Contains its name on the endpoint list.
    BackendRecovered(Vec<u8>),
    /// The total of a customer's counter, just read.
    CounterTotal {
        /// Id of the customer; only the lower 40 bits are sent.
        customer: u64,
        /// The customer's plan, as an index into the plans of the settings; at most 255.
        plan: usize,
        /// The gateway instances that the customer uses; both numbers are at most 65,535.
        instances: InstanceRange,
        /// Number of the time window that the counter belongs to.
        series: u32,
        /// The total, in units; sent in single precision.
        total: f64,
    },
}

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Tag of [`WireMessage::BackendRecovered`].
const BACKEND_RECOVERED_TAG: u8 = 1;
/// Tag of [`WireMessage::CounterTotal`].
const COUNTER_TOTAL_TAG: u8 = 2;

/// Size of a customer's id, in bytes.
const CUSTOMER_BYTES: usize = 5;

// Byte offsets in the body of a counter total, which starts after the tag.
const CUSTOMER_OFFSET: usize = 0;
const PLAN_OFFSET: usize = CUSTOMER_OFFSET + CUSTOMER_BYTES;
const FIRST_INSTANCE_OFFSET: usize = PLAN_OFFSET + 1;
const INSTANCE_COUNT_OFFSET: usize = FIRST_INSTANCE_OFFSET + 2;
const SERIES_OFFSET: usize = INSTANCE_COUNT_OFFSET + 2;
const TOTAL_OFFSET: usize = SERIES_OFFSET + 4;
/// Size of the body of a counter total, in bytes.
const COUNTER_TOTAL_BYTES: usize = TOTAL_OFFSET + 4;

/// Encodes a message as a datagram.
pub fn encode(message: &WireMessage) -> Vec<u8> {
    match message {
        WireMessage::BackendRecovered(name) => encode_backend_recovered(name),
        &WireMessage::CounterTotal { customer, plan, instances, series, total } => {
            encode_counter_total(customer, plan, instances, series, total)
        }
    }
}

/// Decodes a datagram; returns `None` if it is not a valid message.
pub fn decode(datagram: &[u8]) -> Option<WireMessage> {
    let (tag, body) = datagram.split_first()?;
    match *tag {
        BACKEND_RECOVERED_TAG => decode_backend_recovered(body),
        COUNTER_TOTAL_TAG => decode_counter_total(body.try_into().ok()?),
        _ => None,
    }
}

fn encode_backend_recovered(name: &[u8]) -> Vec<u8> {
    [&[BACKEND_RECOVERED_TAG], name].concat()
}

fn decode_backend_recovered(name: &[u8]) -> Option<WireMessage> {
    (!name.is_empty()).then(|| WireMessage::BackendRecovered(name.to_vec()))
}

fn encode_counter_total(
    customer: u64,
    plan: usize,
    instances: InstanceRange,
    series: u32,
    total: f64,
) -> Vec<u8> {
    let mut datagram = vec![COUNTER_TOTAL_TAG];
    datagram.extend(&customer.to_le_bytes()[..CUSTOMER_BYTES]);
    datagram.push(plan as u8);
    datagram.extend((instances.first as u16).to_le_bytes());
    datagram.extend((instances.count as u16).to_le_bytes());
    datagram.extend(series.to_le_bytes());
    datagram.extend((total as f32).to_le_bytes());
    datagram
}

fn decode_counter_total(body: &[u8; COUNTER_TOTAL_BYTES]) -> Option<WireMessage> {
    let mut customer = [0; size_of::<u64>()];
    customer[..CUSTOMER_BYTES].copy_from_slice(&body[CUSTOMER_OFFSET..PLAN_OFFSET]);
    let first = u16::from_le_bytes(field(body, FIRST_INSTANCE_OFFSET));
    let count = u16::from_le_bytes(field(body, INSTANCE_COUNT_OFFSET));
    let total = f32::from_le_bytes(field(body, TOTAL_OFFSET));
    total.is_finite().then_some(WireMessage::CounterTotal {
        customer: u64::from_le_bytes(customer),
        plan: usize::from(body[PLAN_OFFSET]),
        instances: InstanceRange { first: usize::from(first), count: usize::from(count) },
        series: u32::from_le_bytes(field(body, SERIES_OFFSET)),
        total: f64::from(total),
    })
}

/// Returns the `N` bytes at an offset in the body of a counter total.
fn field<const N: usize>(body: &[u8; COUNTER_TOTAL_BYTES], offset: usize) -> [u8; N] {
    body[offset..offset + N].try_into().expect("each field lies inside the body")
}
