//! Follows the replies of backends: which attempts were answered, rejected or lost with their connection.
use super::attempts::{AttemptRef, BackendConnection};
use super::request::{AttemptOutcome, RequestEvent};
use super::response::LINE_END;
use super::Checker;
use crate::network::LinkId;
use quillramp_gateway::wire::resp;
use quillramp_gateway::wire::DecodedMessage;

/// What the bytes of a connection begin with.
enum Decoded {
    /// No complete reply yet.
    Incomplete,
    /// The head of a long value, whose rest has not arrived.
    LongValueStarted,
    /// A reply, with whether it is a value.
    Reply { outcome: AttemptOutcome, value: bool },
    /// Bytes that are no reply: the rest can't be understood either.
    Malformed,
}

impl Checker {
    /// These bytes of a backend have arrived at a process.
    pub fn backend_bytes_received(&mut self, now: f64, link: LinkId, bytes: &[u8]) {
        let Some(connection) = self.backends.get_mut(&link) else { return };
        connection.reply_bytes.extend_from_slice(bytes);
        loop {
            let Some(connection) = self.backends.get_mut(&link) else { return };
            let decoded = connection.take_reply();
            let oldest = connection.in_flight.front().copied();
            match decoded {
                Decoded::Incomplete => return,
                Decoded::LongValueStarted => return self.value_received(oldest),
                Decoded::Reply { outcome, value } => {
                    if value {
                        self.value_received(oldest);
                    }
                    self.reply_received(now, link, outcome);
                }
                Decoded::Malformed => return self.reply_received(now, link, AttemptOutcome::Answered),
            }
        }
    }

    /// A value has begun to arrive for the request of an attempt.
    fn value_received(&mut self, attempt: Option<AttemptRef>) {
        if let Some(request) = attempt.and_then(|attempt| self.requests.get_mut(&attempt.request)) {
            request.value_received = true;
        }
    }

    /// The oldest attempt on a connection has its reply.
    fn reply_received(&mut self, now: f64, link: LinkId, outcome: AttemptOutcome) {
        let connection = self.backends.get_mut(&link);
        if let Some(attempt) = connection.and_then(|connection| connection.in_flight.pop_front()) {
            self.attempt_ended(now, attempt, outcome);
        }
    }

    fn attempt_ended(&mut self, now: f64, ended: AttemptRef, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get_mut(&ended.request) else { return };
        let Some(attempt) = request.attempts.get_mut(ended.attempt) else { return };
        attempt.outcome = attempt.outcome.or(Some(outcome));
        let backend = attempt.backend;
        request.record(now, RequestEvent::AttemptEnded { backend, outcome });
    }

    /// A connection to a backend has ended, and with it all attempts on it.
    pub fn backend_disconnected(&mut self, now: f64, link: LinkId) {
        let Some(connection) = self.backends.remove(&link) else { return };
        for attempt in connection.in_flight {
            self.attempt_ended(now, attempt, AttemptOutcome::Ended);
        }
    }
}

impl BackendConnection {
    /// Takes the first complete reply from the bytes that have arrived.
    fn take_reply(&mut self) -> Decoded {
        // A long value counts from its head on: it may be forwarded before all of it has arrived.
        let long_value = resp::decode_stream_head(&self.reply_bytes).ok().flatten();
        if let Some(head) = long_value {
            let value_end = head.length + head.value + LINE_END;
            let rest = self.reply_bytes.get(value_end..);
            let Some(Ok(Some(trailer))) = rest.map(resp::decode_trailer) else {
                return Decoded::LongValueStarted;
            };
            self.reply_bytes.drain(..value_end + trailer.length);
            return Decoded::Reply { outcome: AttemptOutcome::Answered, value: true };
        }
        match resp::decode_reply(&self.reply_bytes) {
            Ok(Some(DecodedMessage { value: reply, length })) => {
                self.reply_bytes.drain(..length);
                let outcome = match reply {
                    resp::BackendReply::Rejected => AttemptOutcome::Rejected,
                    resp::BackendReply::Value { .. } | resp::BackendReply::Failed => AttemptOutcome::Answered,
                };
                Decoded::Reply { outcome, value: matches!(reply, resp::BackendReply::Value { .. }) }
            }
            Ok(None) => Decoded::Incomplete,
            Err(_) => {
                self.reply_bytes.clear();
                Decoded::Malformed
            }
        }
    }
}
