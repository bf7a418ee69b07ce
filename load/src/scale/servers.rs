//! What the stand-in counter, list service and backends say: bytes in, bytes out, no sockets.
use super::counts::Counts;
use super::discovery::Discovery;
use crate::toy::number;
use quillramp_gateway::wire::resp::{self, ClientCommand};
use quillramp_gateway::wire::{Decoded, ProtocolError};
use std::time::Duration;

/// A call of the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Watch {
    /// The version that the caller knows.
    pub since: u64,
    /// How long it waits for a newer one.
    pub wait: Duration,
}

/// The target of the first HTTP request of these bytes, and how many bytes the request took.
fn target(bytes: &[u8]) -> Decoded<String> {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => Ok(Some((request.path.unwrap_or_default().to_owned(), n))),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ProtocolError("no HTTP")),
    }
}

fn response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A counter's answer to the first call of these bytes; `now` is Unix time in seconds.
pub fn count(now: f64, counts: &mut Counts, bytes: &[u8]) -> Decoded<Vec<u8>> {
    let Some((target, n)) = target(bytes)? else { return Ok(None) };
    let path = target.split('?').next().unwrap_or_default();
    let name = path.strip_prefix("/counters/").unwrap_or_default();
    let total = counts.add(now, name, number(&target, "by"));
    Ok(Some((response(&total.to_string()), n)))
}

/// The first call of the list service of these bytes.
pub fn watch(bytes: &[u8]) -> Decoded<Watch> {
    let Some((target, n)) = target(bytes)? else { return Ok(None) };
    let since = number(&target, "since") as u64;
    let wait = Duration::from_millis(number(&target, "timeout_ms") as u64);
    Ok(Some((Watch { since, wait }, n)))
}

/// What the list service answers to one who knows that version.
pub fn listing(discovery: &Discovery, since: u64) -> Vec<u8> {
    response(&discovery.answer(since).to_string())
}

/// A backend's answer to the first command of these bytes: the id of the request, its cost of one unit, no report.
pub fn invoke(bytes: &[u8]) -> Decoded<Vec<u8>> {
    let Some((command, n)) = resp::decode_command(bytes)? else { return Ok(None) };
    let reply = match command {
        ClientCommand::Request(call) => format!("*3\r\n$16\r\n{:016x}\r\n$6\r\ncost=1\r\n$-1\r\n", call.id),
        _ => "+PONG\r\n".to_owned(),
    };
    Ok(Some((reply.into_bytes(), n)))
}
