//! Values too long to be held: they pass from a backend's connection to the client's, when it is their turn there.
use super::event::{CloseReason, ConnectionId, Effect};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::resp::ClientReply;
use quillramp::types::*;

/// A value of which nothing moves for so many seconds is given up. The machine holds some megabytes for a slow client,
/// and tells of room only when much of that has gone.
const STALL: f64 = 30.0;
/// Once its client's time is up (`d`), a value is given up as soon as its backend has been silent for so many seconds. It
/// would count as lost half a second after that time (PROTOCOL.md), and the answers behind it wait for it.
const SILENCE: f64 = 0.2;

impl Reducer {
    /// A value has begun: whatever else is out for its invocation is given up, and nothing is delivered again.
    pub(super) fn stream_started(&mut self, now: f64, id: u64) {
        let Some(link) = self.backend_connections.get(&id) else { return };
        if link.carries.is_empty() {
            return self.unexpected_backend_data(id);
        }
        let Some((inv, delivery)) = link.front() else { return self.effects.push(Effect::Stream(id, None)) };
        let Some(held) = self.requests[inv].as_mut().filter(|h| !h.closed && h.begun.is_none()) else {
            return self.effects.push(Effect::Stream(id, None));
        };
        let took = now - held.deliveries[delivery].at;
        (held.begun, held.deliveries[delivery].took) = (Some(delivery), Some(took));
        let (others, ends, until) = (held.deliveries.len(), held.ends.take(), held.ask.deadline);
        ends.map(|key| self.timers.remove(&key));
        for other in (0..others).filter(|o| *o != delivery) {
            self.cancel_attempt(inv, other, AttemptResult::Cancelled);
        }
        self.report_ended_attempts(now);
        self.engine.response_started(now, inv);
        let ends = self.schedule(until.max(now), TimerKind::StreamStalled(inv));
        self.requests[inv].as_mut().expect("just found").ends = Some(ends);
        self.start_stream_in_turn(inv);
    }

    /// Lets a value pass if it has begun and it is its turn.
    pub(super) fn start_stream_in_turn(&mut self, inv: RequestIndex) {
        let Some(held) = self.requests[inv].as_mut().filter(|h| !h.closed && !h.passes) else { return };
        let link = held.begun.and_then(|d| held.deliveries[d].link);
        let front = self.clients.get(&held.client).and_then(|c| c.owed.front()).and_then(|(inv, _)| *inv);
        if let Some(id) = link.filter(|_| front == Some(inv)) {
            held.passes = true;
            self.effects.push(Effect::Stream(id, Some(held.client)));
        }
    }

    /// All of the value is on its way to the client.
    pub(super) fn stream_forwarded(&mut self, now: f64, id: u64) {
        let front = self.backend_connections.get(&id).and_then(BackendConnection::front);
        if let Some((inv, _)) = front {
            self.answer_request(now, inv, ClientReply::Streamed);
        }
    }

    /// What stood behind the value: its delivery has ended.
    pub(super) fn stream_trailer_received(
        &mut self,
        now: f64,
        id: u64,
        beside: (Option<f64>, Option<Vec<u8>>),
        more: bool,
    ) {
        let Some(front) = self.backend_connections.get_mut(&id).and_then(|l| l.carries.pop_front()) else {
            return;
        };
        if let Some((inv, delivery)) = front.delivery {
            self.attempt_succeeded(inv, delivery, beside.0, beside.1);
        }
        if more {
            self.unexpected_backend_data(id);
        }
        self.park_if_idle(now, id);
    }

    /// A backend's connection ended under a value: what has passed of it can't be taken back, so the client's
    /// connection ends too, and it can tell.
    pub(super) fn stream_aborted(&mut self, now: f64, inv: RequestIndex, delivery: usize) {
        let Some(held) = self.requests[inv].as_mut() else { return };
        if held.closed || held.begun != Some(delivery) {
            return;
        }
        if !held.passes {
            return self.answer_request(now, inv, ClientReply::Error("failed".into()));
        }
        held.closed = true;
        self.stats.failed[held.ask.operation] += 1;
        let client = held.client;
        self.close(ConnectionId::Client(client), CloseReason::StreamAborted);
        self.client_disconnected(now, client);
    }

    /// Its client's time is up, and has been for a while: nobody waits for a value that does not move.
    pub(super) fn close_if_stalled(&mut self, now: f64, inv: RequestIndex) {
        let ends = self.schedule(now + SILENCE, TimerKind::StreamStalled(inv));
        let Some(held) = self.requests[inv].as_mut() else { return };
        held.ends = Some(ends);
        let link = held.begun.and_then(|d| held.deliveries[d].link);
        let end =
            |connection| Effect::CloseIfStalled { connection, unresponsive_for: SILENCE, stalled_for: STALL };
        self.effects.extend(link.map(end));
    }
}
