//! Streaming of long values: they are not buffered here, but forwarded from a backend's connection to the client's once
//! all earlier replies there have been sent.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::reducer::Reducer;
use super::requests::AttemptId;
use super::timers::TimerKind;
use crate::wire::resp::ClientReply;
use quillramp::types::*;

/// Interval between two checks of a stream whose client's timeout (`d`) has expired, in seconds.
const STALL_CHECK_INTERVAL: f64 = 0.1;

impl Reducer {
    /// Handles the beginning of a streamed response: cancels all other attempts of the request, without retries.
    pub(super) fn stream_started(&mut self, now: f64, connection_id: u64) {
        let Some(connection) = self.backends.connections.get(&connection_id) else { return };
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
        let deadline = pending.attributes.deadline;
        if let Some(timeout) = pending.timeout.take() {
            self.timers.cancel(timeout);
        }
        for attempt in (0..attempts).filter(|attempt| *attempt != id.attempt) {
            self.cancel_attempt(AttemptId { request: id.request, attempt }, AttemptResult::Cancelled);
        }
        self.report_ended_attempts(now);
        self.engine.response_started(now, id.request);
        let timeout = self.timers.schedule(deadline.max(now), TimerKind::StreamStalled(id.request));
        self.requests.get_mut(id.request).expect("a request with an attempt in flight is pending").timeout =
            Some(timeout);
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

    /// Completes the answer to a request whose streamed value has been forwarded.
    pub(super) fn stream_forwarded(&mut self, now: f64, connection_id: u64) {
        let connection = self.backends.connections.get(&connection_id);
        if let Some(id) = connection.and_then(|connection| connection.front()) {
            self.answer_request(now, id.request, ClientReply::Streamed);
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
        let Some(front) = connection.queue.pop_front() else { return };
        if let Some(id) = front.id {
            self.attempt_succeeded(id, billed_units, load_report);
        }
        self.response_complete(now, connection_id, more_received);
    }

    /// Handles the end of a backend's connection during a stream. What has been forwarded can't be taken back, so the
    /// client's connection is closed too, which shows the client that the value is incomplete.
    pub(super) fn stream_aborted(&mut self, now: f64, id: AttemptId) {
        let Some(pending) = self.requests.get_open_mut(id.request) else { return };
        if pending.streaming_attempt != Some(id.attempt) {
            return;
        }
        if !pending.is_forwarding {
            return self.answer_request(now, id.request, ClientReply::Error("failed".into()));
        }
        pending.is_closed = true;
        self.stats.failed[pending.attributes.operation] += 1;
        let client = pending.client;
        self.close(ConnectionId::Client(client), CloseReason::StreamAborted);
        self.client_disconnected(now, client);
    }

    /// Requests that a stream be closed if it makes no progress, and schedules the next check. Called once the client's
    /// timeout has expired.
    pub(super) fn close_if_stalled(&mut self, now: f64, request: RequestIndex) {
        let timeout = self.timers.schedule(now + STALL_CHECK_INTERVAL, TimerKind::StreamStalled(request));
        let Some(pending) = self.requests.get_mut(request) else { return };
        pending.timeout = Some(timeout);
        let Some(attempt) = pending.streaming_attempt else { return };
        let Some(connection) = pending.attempts[attempt].connection else { return };
        let overdue_for = now - pending.attributes.deadline;
        self.effects.push(Effect::CloseIfStalled { connection, overdue_for });
    }
}
