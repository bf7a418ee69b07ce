//! What front doors tell each other, as bytes: a tag, then a backend's outside name, or a customer's count.
use crate::types::InstanceRange;

/// A word with the outside names in it.
#[derive(Clone, Debug, PartialEq)]
pub enum WireMessage {
    BackendRecovered(Vec<u8>),
    CounterTotal { customer: u64, plan: usize, instances: InstanceRange, series: u32, total: f64 },
}

/// The longest that a datagram may be.
pub const MAX_DATAGRAM_BYTES: usize = 256;

const BACKEND: u8 = 1;
const COUNT: u8 = 2;
const COUNT_BYTES: usize = 19;

pub fn encode(said: &WireMessage) -> Vec<u8> {
    match said {
        WireMessage::BackendRecovered(name) => [&[BACKEND], &name[..]].concat(),
        WireMessage::CounterTotal { customer, plan, instances: of, series, total } => {
            let mut body = vec![COUNT];
            body.extend(&customer.to_le_bytes()[..5]);
            body.push(*plan as u8);
            body.extend((of.first as u16).to_le_bytes());
            body.extend((of.count as u16).to_le_bytes());
            body.extend(series.to_le_bytes());
            body.extend((*total as f32).to_le_bytes());
            body
        }
    }
}

/// None where it is no word of ours.
pub fn decode(body: &[u8]) -> Option<WireMessage> {
    let (tag, rest) = body.split_first()?;
    if *tag == BACKEND && !rest.is_empty() {
        return Some(WireMessage::BackendRecovered(rest.to_vec()));
    }
    if *tag != COUNT || body.len() != COUNT_BYTES {
        return None;
    }
    let four = |at: usize| -> Option<[u8; 4]> { rest.get(at..at + 4)?.try_into().ok() };
    let two = |at: usize| usize::from(u16::from_le_bytes([rest[at], rest[at + 1]]));
    let customer = u64::from(u32::from_le_bytes(four(0)?)) | u64::from(rest[4]) << 32;
    let of = InstanceRange { first: two(6), count: two(8) };
    let (series, total) = (u32::from_le_bytes(four(10)?), f64::from(f32::from_le_bytes(four(14)?)));
    total.is_finite().then_some(WireMessage::CounterTotal {
        customer,
        plan: usize::from(rest[5]),
        instances: of,
        series,
        total,
    })
}
