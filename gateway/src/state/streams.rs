//! Long values: not stored here, but forwarded from a backend's connection to the client's, when their turn has come there.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::reducer::Reducer;
use super::requests::AttemptId;
use super::timers::TimerKind;
use crate::wire::resp::ClientReply;
use quillramp::types::*;

/// A stream of which nothing moves for so many seconds is closed. The kernel buffers some megabytes for a slow client,
/// and reports free space only when much of that has left.
const STREAM_STALL_SECONDS: f64 = 30.0;
/// Once its client's timeout (`d`) is over, a stream is closed as soon as its backend has been silent for so many
/// seconds. It would count as lost half a second after that time (PROTOCOL.md), and the answers behind it wait for it.
const BACKEND_SILENCE_SECONDS: f64 = 0.2;

impl Reducer {
    /// A stream has begun: all other attempts of its request are cancelled, and none is retried.
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
        self.requests.get_mut(id.request).expect("its attempt is in flight").timeout = Some(timeout);
        self.forward_stream_in_turn(id.request);
    }

    /// Lets a stream flow if it has begun and its turn on the client's connection has come.
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

    /// All of the value is on its way to the client.
    pub(super) fn stream_forwarded(&mut self, now: f64, connection_id: u64) {
        let connection = self.backends.connections.get(&connection_id);
        if let Some(id) = connection.and_then(|connection| connection.front()) {
            self.answer_request(now, id.request, ClientReply::Streamed);
        }
    }

    /// What stood behind the value: its attempt has ended. `more_received`: bytes have come right behind that.
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

    /// The connection of an attempt ended. What has been streamed of its value can't be taken back, so the client's
    /// connection ends too, which notifies the client.
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

    /// The client's timeout is over: nobody waits for a stream that does not move.
    pub(super) fn close_if_stalled(&mut self, now: f64, request: RequestIndex) {
        let next_check = now + BACKEND_SILENCE_SECONDS;
        let timeout = self.timers.schedule(next_check, TimerKind::StreamStalled(request));
        let Some(pending) = self.requests.get_mut(request) else { return };
        pending.timeout = Some(timeout);
        let Some(attempt) = pending.streaming_attempt else { return };
        let Some(connection) = pending.attempts[attempt].connection else { return };
        self.effects.push(Effect::CloseIfStalled {
            connection,
            unresponsive_for: BACKEND_SILENCE_SECONDS,
            stalled_for: STREAM_STALL_SECONDS,
        });
    }
}
