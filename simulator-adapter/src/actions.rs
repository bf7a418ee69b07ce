//! Encodes actions as records. Durations are in seconds.
use crate::codes::ActionCode;
use crate::events::{Address, RequestId};
use crate::frame::Reply;

/// The peer number that addresses all instances.
const ALL_PEERS: u16 = 0xffff;
/// Mode of an endpoint fetch that also watches for changes.
const WATCH_CHANGES: u8 = 1;

/// Forwards a request to a backend.
pub(crate) fn deliver(reply: &mut Reply, id: RequestId, address: &Address) {
    reply.add(ActionCode::Deliver).bytes(1, &id.to_le_bytes()).bytes(5, address);
}

/// Answers that a request is throttled and may be retried after `retry_after`. On the wire, `None` is 0: no advice.
pub(crate) fn throttle(reply: &mut Reply, id: RequestId, retry_after: Option<f64>) {
    let record = reply.add(ActionCode::Throttle).bytes(1, &id.to_le_bytes());
    record.seconds(5, retry_after.unwrap_or(0.0));
}

/// Responds to a request with an error.
pub(crate) fn error(reply: &mut Reply, id: RequestId) {
    reply.add(ActionCode::Error).bytes(1, &id.to_le_bytes());
}

/// Adds `amount` to a counter; `lifetime` applies if the counter is new.
pub(crate) fn counter_call(reply: &mut Reply, name: u64, amount: f64, lifetime: f64) {
    let amount = (amount as f32).to_le_bytes();
    let record = reply.add(ActionCode::CounterCall).bytes(1, &name.to_le_bytes());
    record.bytes(9, &amount).seconds(13, lifetime);
}

/// Sends a message to all peers.
pub(crate) fn broadcast(reply: &mut Reply, body: &[u8]) {
    reply.add_with_tail(ActionCode::PeerMessage, 3, body).bytes(1, &ALL_PEERS.to_le_bytes());
}

/// Sends a message to one peer.
pub(crate) fn send(reply: &mut Reply, peer: usize, body: &[u8]) {
    reply.add_with_tail(ActionCode::PeerMessage, 3, body).bytes(1, &(peer as u16).to_le_bytes());
}

/// Cancels an attempt of a request.
pub(crate) fn cancel(reply: &mut Reply, id: RequestId, attempt: usize) {
    let record = reply.add(ActionCode::Cancel).bytes(1, &id.to_le_bytes());
    record.bytes(5, &(attempt as u16).to_le_bytes());
}

/// Fetches the endpoint list.
pub(crate) fn fetch_endpoints(reply: &mut Reply) {
    reply.add(ActionCode::FetchList).bytes(1, &[WATCH_CHANGES]);
}

/// Writes a log line.
pub(crate) fn log(reply: &mut Reply, line: &str) {
    reply.add_text(ActionCode::Log, line);
}

/// Sets a timer that fires after `seconds`.
pub(crate) fn set_timer(reply: &mut Reply, number: u64, seconds: f64) {
    reply.add(ActionCode::SetTimer).bytes(1, &number.to_le_bytes()).seconds(9, seconds);
}
