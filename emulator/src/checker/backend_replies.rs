//! Decodes the replies of backends to determine which attempts were answered, rejected, or ended with their connection.
use super::attempts::{AttemptRef, BackendConnection};
use super::request::{AttemptOutcome, RequestEvent};
use super::response::LINE_END;
use super::Checker;
use crate::network::LinkId;
use quillramp_gateway::wire::resp;
use quillramp_gateway::wire::DecodedMessage;

/// What the bytes received on a connection start with.
enum DecodedReply {
    /// An incomplete reply.
    Incomplete,
    /// The head of a long value that has not arrived completely.
    LongValueStarted,
    /// A complete reply, and whether it is a value.
    Reply { outcome: AttemptOutcome, is_value: bool },
    /// Bytes that can't be parsed; all bytes received so far are discarded.
    Malformed,
}

impl Checker {
    /// Processes bytes of a backend that arrived at a process.
    pub fn backend_bytes_received(&mut self, now: f64, link: LinkId, bytes: &[u8]) {
        let Some(connection) = self.backends.get_mut(&link) else { return };
        connection.reply_bytes.extend_from_slice(bytes);
        loop {
            let Some(connection) = self.backends.get_mut(&link) else { return };
            let decoded = connection.take_reply();
            let oldest = connection.in_flight.front().copied();
            match decoded {
                DecodedReply::Incomplete => return,
                DecodedReply::LongValueStarted => return self.value_received(oldest),
                DecodedReply::Reply { outcome, is_value } => {
                    if is_value {
                        self.value_received(oldest);
                    }
                    self.reply_received(now, link, outcome);
                }
                DecodedReply::Malformed => return self.reply_received(now, link, AttemptOutcome::Answered),
            }
        }
    }

    /// Records that at least the head of a value has arrived for the request of an attempt.
    fn value_received(&mut self, attempt: Option<AttemptRef>) {
        if let Some(request) = attempt.and_then(|attempt| self.requests.get_mut(&attempt.request)) {
            request.value_received = true;
        }
    }

    /// Records the reply to the oldest attempt in flight on a connection.
    fn reply_received(&mut self, now: f64, link: LinkId, outcome: AttemptOutcome) {
        let connection = self.backends.get_mut(&link);
        if let Some(attempt) = connection.and_then(|connection| connection.in_flight.pop_front()) {
            self.attempt_ended(now, attempt, outcome);
        }
    }

    fn attempt_ended(&mut self, now: f64, attempt_ref: AttemptRef, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get_mut(&attempt_ref.request) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt_ref.attempt) else { return };
        attempt.outcome = attempt.outcome.or(Some(outcome));
        let backend = attempt.backend;
        request.record(now, RequestEvent::AttemptEnded { backend, outcome });
    }

    /// Records that a connection to a backend ended, and with it the attempts in flight on it. `by_gateway`: whether the process closed it
    /// without need.
    pub fn backend_disconnected(&mut self, now: f64, link: LinkId, by_gateway: bool) {
        let Some(connection) = self.backends.remove(&link) else { return };
        for attempt in connection.in_flight {
            if let Some(request) = self.requests.get_mut(&attempt.request) {
                request.connection_lost |= !by_gateway;
            }
            self.attempt_ended(now, attempt, AttemptOutcome::Ended);
        }
    }
}

impl BackendConnection {
    /// Decodes the first reply in the received bytes, and removes it if it is complete.
    fn take_reply(&mut self) -> DecodedReply {
        // The head of a long value is enough: a process may forward the value before all of it has arrived.
        let long_value = resp::decode_stream_head(&self.reply_bytes).ok().flatten();
        if let Some(head) = long_value {
            let value_end = head.length + head.value + LINE_END;
            let rest = self.reply_bytes.get(value_end..);
            let Some(Ok(Some(trailer))) = rest.map(resp::decode_trailer) else {
                return DecodedReply::LongValueStarted;
            };
            self.reply_bytes.drain(..value_end + trailer.length);
            return DecodedReply::Reply { outcome: AttemptOutcome::Answered, is_value: true };
        }
        match resp::decode_reply(&self.reply_bytes) {
            Ok(Some(DecodedMessage { value: reply, length })) => {
                self.reply_bytes.drain(..length);
                let outcome = match reply {
                    resp::BackendReply::Rejected => AttemptOutcome::Rejected,
                    resp::BackendReply::Value { .. } | resp::BackendReply::Failed => AttemptOutcome::Answered,
                };
                DecodedReply::Reply { outcome, is_value: matches!(reply, resp::BackendReply::Value { .. }) }
            }
            Ok(None) => DecodedReply::Incomplete,
            Err(_) => {
                self.reply_bytes.clear();
                DecodedReply::Malformed
            }
        }
    }
}
