//! Decodes requests to the counter, the list service and the backends of a scale run, and encodes their responses.
//! Does no I/O.
use super::counter_totals::CounterTotals;
use super::endpoint_rotation::EndpointRotation;
use crate::example_servers::parse_query_number;
use quillramp_gateway::wire::resp::{self, ClientCommand};
use quillramp_gateway::wire::{Decoded, DecodedMessage, ProtocolError};
use std::time::Duration;

/// Maximum number of headers of an HTTP request.
const MAX_HEADERS: usize = 16;

/// A request to the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchRequest {
    /// Version of the list that the caller has applied.
    pub since: u64,
    /// Maximum time to wait for a newer version.
    pub wait: Duration,
}

/// Decodes the first HTTP request in `bytes`, and returns its target and its length in bytes.
fn decode_target(bytes: &[u8]) -> Decoded<String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let target = request.path.unwrap_or_default().to_owned();
            Ok(Some(DecodedMessage { value: target, length }))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ProtocolError("invalid HTTP request")),
    }
}

fn encode_response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Decodes and executes the first counter call in `bytes`, and returns the encoded response. `now` is Unix time in
/// seconds.
pub fn answer_counter_call(now: f64, totals: &mut CounterTotals, bytes: &[u8]) -> Decoded<Vec<u8>> {
    let Some(DecodedMessage { value: target, length }) = decode_target(bytes)? else { return Ok(None) };
    let path = target.split('?').next().unwrap_or_default();
    let key = path.strip_prefix("/counters/").unwrap_or_default();
    let total = totals.add(now, key, parse_query_number(&target, "by"));
    Ok(Some(DecodedMessage { value: encode_response(&total.to_string()), length }))
}

/// Decodes the first request to the list service in `bytes`.
pub fn decode_watch(bytes: &[u8]) -> Decoded<WatchRequest> {
    let Some(DecodedMessage { value: target, length }) = decode_target(bytes)? else { return Ok(None) };
    let since = parse_query_number(&target, "since") as u64;
    let wait = Duration::from_millis(parse_query_number(&target, "timeout_ms") as u64);
    Ok(Some(DecodedMessage { value: WatchRequest { since, wait }, length }))
}

/// Encodes the response of the list service to a caller that has applied version `since`.
pub fn encode_endpoints(endpoints: &EndpointRotation, since: u64) -> Vec<u8> {
    encode_response(&endpoints.response(since).to_string())
}

/// Decodes the first command in `bytes`, and returns a backend's encoded reply: the request's id, a cost of one unit
/// and no load report.
pub fn answer_command(bytes: &[u8]) -> Decoded<Vec<u8>> {
    let Some(DecodedMessage { value: command, length }) = resp::decode_command(bytes)? else {
        return Ok(None);
    };
    let reply = match command {
        ClientCommand::Request(request) => {
            format!("*3\r\n$16\r\n{:016x}\r\n$6\r\ncost=1\r\n$-1\r\n", request.id)
        }
        _ => "+PONG\r\n".to_owned(),
    };
    Ok(Some(DecodedMessage { value: reply.into_bytes(), length }))
}
