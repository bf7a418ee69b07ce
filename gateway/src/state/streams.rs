//! Streaming of long values: they are not buffered here, but forwarded from a backend's connection to the client's once
//! all earlier replies there have been sent.
//!
//! The client's timeout holds until the head of the value. From then on no time ends it: it is forwarded until it is
//! complete, its backend or its client ends the connection, or its descriptors are needed (see [`super::descriptors`]).
use super::connection::{CloseReason, ConnectionId};
use super::log_message::{InterruptedValue, LogMessage};
use super::reducer::Reducer;
use super::requests::AttemptId;
use super::stream_progress::InterruptedStream;
use super::timers::TimerKind;
use crate::wire::resp::ClientReply;
use quillramp::types::*;

impl Reducer {
    /// Handles the beginning of a streamed response: cancels all other attempts of the request, without retries.
    pub(super) fn stream_started(&mut self, now: f64, connection_id: u64) {
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        connection.carries_stream = true;
        if connection.queue.is_empty() {
            return self.unexpected_backend_data(connection_id);
        }
        let Some(id) = connection.front() else { return self.stream_to(connection_id, None) };
        let pending = self.requests.get_open_mut(id.request);
        let Some(pending) = pending.filter(|pending| pending.streaming_attempt.is_none()) else {
            return self.stream_to(connection_id, None);
        };
        pending.streaming_attempt = Some(id.attempt);
        let attempt = &mut pending.attempts[id.attempt];
        attempt.time_to_first_byte = Some(now - attempt.sent_at);
        let attempts = pending.attempts.len();
        if let Some(timeout) = pending.timeout.take() {
            self.timers.cancel(timeout);
        }
        for attempt in (0..attempts).filter(|attempt| *attempt != id.attempt) {
            self.cancel_attempt(now, AttemptId { request: id.request, attempt }, AttemptResult::Cancelled);
        }
        self.report_ended_attempts(now);
        self.engine.response_started(now, id.request);
        self.forward_stream_in_turn(id.request);
    }

    /// Starts forwarding a request's streamed response if it is the next reply on the client's connection.
    pub(super) fn forward_stream_in_turn(&mut self, request: RequestIndex) {
        let Some(pending) = self.requests.get_open_mut(request) else { return };
        if pending.is_forwarding {
            return;
        }
        let Some(attempt) = pending.streaming_attempt else { return };
        let Some(connection_id) = pending.attempts[attempt].connection else { return };
        let next = self.clients.connections.get(&pending.client).and_then(|client| client.next_request());
        if next == Some(request) {
            pending.is_forwarding = true;
            let client = pending.client;
            self.stream_to(connection_id, Some(client));
        }
    }

    /// Completes the answer to a request whose streamed value has been forwarded. The trailer is due as long after it as
    /// any reply after its request: the attempt uses its customer's quota until then.
    pub(super) fn stream_forwarded(&mut self, now: f64, connection_id: u64) {
        let connection = self.backends.connections.get(&connection_id);
        let Some(id) = connection.and_then(|connection| connection.front()) else { return };
        self.time_out_stream_at(now + self.instance.max_client_timeout, id.request);
        self.answer_request(now, id.request, ClientReply::Streamed);
    }

    /// Limits the time of an attempt whose streamed value nobody waits for any more. The usual timeout was cancelled when
    /// the value began.
    pub(super) fn time_out_stream_at(&mut self, time: f64, request: RequestIndex) {
        let Some(pending) = self.requests.get_mut(request) else { return };
        if pending.streaming_attempt.is_some() && pending.timeout.is_none() {
            pending.timeout = Some(self.timers.schedule(time, TimerKind::RequestTimeout(request)));
        }
    }

    /// Ends the attempt of a streamed response after its trailer. `more_received`: whether more bytes were received after
    /// the trailer.
    pub(super) fn stream_trailer_received(
        &mut self,
        now: f64,
        connection_id: u64,
        billed_units: Option<f64>,
        load_report: Option<Vec<u8>>,
        more_received: bool,
    ) {
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        connection.carries_stream = false;
        let Some(front) = connection.queue.pop_front() else { return };
        if let Some(id) = front.id {
            self.attempt_succeeded(id, billed_units, load_report);
        }
        self.response_complete(now, connection_id, more_received);
    }

    /// Records how far a value has come whose backend's connection is about to end.
    pub(super) fn stream_interrupted(&mut self, connection: ConnectionId, stream: InterruptedStream) {
        let ConnectionId::Backend(id) = connection else { return };
        if let Some(connection) = self.backends.connections.get_mut(&id) {
            connection.interrupted_stream = Some(stream);
        }
    }

    /// Handles the end of a backend's connection during a stream. What has been forwarded can't be taken back, so the
    /// client's connection is closed too, which shows the client that the value is incomplete.
    pub(super) fn stream_aborted(
        &mut self,
        now: f64,
        id: AttemptId,
        reason: CloseReason,
        stream: Option<InterruptedStream>,
    ) {
        let Some(pending) = self.requests.get_open(id.request) else { return };
        if pending.streaming_attempt != Some(id.attempt) {
            return;
        }
        let interrupted = InterruptedValue {
            request: pending.command.id,
            client: pending.client,
            stream,
            overdue: now - pending.attributes.deadline,
            reason,
        };
        self.log(LogMessage::ValueInterrupted(interrupted));
        self.stats.record_interrupted_value(reason);
        let Some(pending) = self.requests.get_open_mut(id.request) else { return };
        if !pending.is_forwarding {
            return self.answer_request(now, id.request, ClientReply::Error("failed".into()));
        }
        pending.is_closed = true;
        self.stats.failed[pending.attributes.operation] += 1;
        let client = pending.client;
        self.close(ConnectionId::Client(client), CloseReason::StreamAborted);
        self.client_disconnected(now, client);
    }

    /// Returns the number of values that are being forwarded to clients.
    pub(super) fn forwarded_values(&self) -> usize {
        self.requests.slots.iter().filter(|pending| pending.is_forwarding && !pending.is_closed).count()
    }
}
