//! Actions as records.
use crate::codes::ActionCode;
use crate::events::{Address, RequestId};
use crate::frame::Reply;

/// The peer that stands for all instances.
const ALL_PEERS: u16 = 0xffff;
/// What a request for the list asks for: changes from now on.
const LIST_CHANGES: u8 = 1;

pub(crate) fn deliver(reply: &mut Reply, id: RequestId, address: &Address) {
    reply.add(ActionCode::Deliver).bytes(1, &id.to_le_bytes()).bytes(5, address);
}

/// Answers a client that it may try again after so many seconds; 0 where it is not told when.
pub(crate) fn throttle(reply: &mut Reply, id: RequestId, retry_after: Option<f64>) {
    let record = reply.add(ActionCode::Throttle).bytes(1, &id.to_le_bytes());
    record.seconds(5, retry_after.unwrap_or(0.0));
}

pub(crate) fn error(reply: &mut Reply, id: RequestId) {
    reply.add(ActionCode::Error).bytes(1, &id.to_le_bytes());
}

/// Adds to a count; a new one lives for so many seconds.
pub(crate) fn counter_call(reply: &mut Reply, name: u64, amount: f64, lifetime: f64) {
    let amount = (amount as f32).to_le_bytes();
    let record = reply.add(ActionCode::CounterCall).bytes(1, &name.to_le_bytes());
    record.bytes(9, &amount).seconds(13, lifetime);
}

pub(crate) fn broadcast(reply: &mut Reply, body: &[u8]) {
    reply.add_with_tail(ActionCode::PeerMessage, 3, body).bytes(1, &ALL_PEERS.to_le_bytes());
}

pub(crate) fn send(reply: &mut Reply, peer: usize, body: &[u8]) {
    reply.add_with_tail(ActionCode::PeerMessage, 3, body).bytes(1, &(peer as u16).to_le_bytes());
}

pub(crate) fn cancel(reply: &mut Reply, id: RequestId, delivery: usize) {
    let record = reply.add(ActionCode::Cancel).bytes(1, &id.to_le_bytes());
    record.bytes(5, &(delivery as u16).to_le_bytes());
}

pub(crate) fn fetch_list(reply: &mut Reply) {
    reply.add(ActionCode::FetchList).bytes(1, &[LIST_CHANGES]);
}

pub(crate) fn log(reply: &mut Reply, line: &str) {
    reply.add_text(ActionCode::Log, line);
}

/// Sets a timer that rings after so many seconds.
pub(crate) fn set_timer(reply: &mut Reply, number: u64, seconds: f64) {
    reply.add(ActionCode::SetTimer).bytes(1, &number.to_le_bytes()).seconds(9, seconds);
}
