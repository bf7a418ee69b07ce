//! The answers of the counter, the list service and the backends of a scale run: bytes in, bytes out, no sockets.
use super::counts::Counts;
use super::endpoint_rotation::EndpointRotation;
use crate::example_servers::parse_query_number;
use quillramp_gateway::wire::resp::{self, ClientCommand};
use quillramp_gateway::wire::{Decoded, DecodedMessage, ProtocolError};
use std::time::Duration;

/// The most headers of a request.
const MAX_HEADERS: usize = 16;

/// A call of the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchRequest {
    /// The version that the caller knows.
    pub since: u64,
    /// How long it waits for a newer one.
    pub wait: Duration,
}

/// The target of the first HTTP request of these bytes, and how many bytes the request took.
fn decode_target(bytes: &[u8]) -> Decoded<String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let target = request.path.unwrap_or_default().to_owned();
            Ok(Some(DecodedMessage { value: target, length }))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ProtocolError("no HTTP")),
    }
}

fn encode_response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The counter's answer to the first call of these bytes; `now` is Unix time in seconds.
pub fn answer_count(now: f64, counts: &mut Counts, bytes: &[u8]) -> Decoded<Vec<u8>> {
    let Some(DecodedMessage { value: target, length }) = decode_target(bytes)? else { return Ok(None) };
    let path = target.split('?').next().unwrap_or_default();
    let name = path.strip_prefix("/counters/").unwrap_or_default();
    let total = counts.add(now, name, parse_query_number(&target, "by"));
    Ok(Some(DecodedMessage { value: encode_response(&total.to_string()), length }))
}

/// The first call of the list service of these bytes.
pub fn decode_watch(bytes: &[u8]) -> Decoded<WatchRequest> {
    let Some(DecodedMessage { value: target, length }) = decode_target(bytes)? else { return Ok(None) };
    let since = parse_query_number(&target, "since") as u64;
    let wait = Duration::from_millis(parse_query_number(&target, "timeout_ms") as u64);
    Ok(Some(DecodedMessage { value: WatchRequest { since, wait }, length }))
}

/// What the list service answers to a caller that knows a version.
pub fn encode_endpoints(endpoints: &EndpointRotation, since: u64) -> Vec<u8> {
    encode_response(&endpoints.answer(since).to_string())
}

/// A backend's answer to the first command of these bytes: the id of the request, its cost of one unit, no load report.
pub fn answer_command(bytes: &[u8]) -> Decoded<Vec<u8>> {
    let Some(DecodedMessage { value: command, length }) = resp::decode_command(bytes)? else {
        return Ok(None);
    };
    let reply = match command {
        ClientCommand::Request(call) => format!("*3\r\n$16\r\n{:016x}\r\n$6\r\ncost=1\r\n$-1\r\n", call.id),
        _ => "+PONG\r\n".to_owned(),
    };
    Ok(Some(DecodedMessage { value: reply.into_bytes(), length }))
}
