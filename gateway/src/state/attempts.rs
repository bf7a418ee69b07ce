//! Attempts: sending them to backends, cancelling and withdrawing them, and recording how they end.
use super::backend_table::BackendConnection;
use super::connection::{AbandonedAttempt, CloseReason, ConnectionId};
use super::effect::Effect;
use super::reducer::Reducer;
use super::requests::{Attempt, AttemptId, EndedAttempt, ResponseMetadata};
use super::timers::TimerKind;
use crate::wire::resp::find_number;
use quillramp::settings;
use quillramp::types::*;
use std::net::SocketAddr;

impl Reducer {
    /// Starts an attempt on an idle connection, on a new one, or on a shared one if file descriptors are running out.
    pub(super) fn start_attempt(&mut self, now: f64, request: RequestIndex, backend: BackendIndex) {
        let idle = self.backends.entries[backend].idle_connections.pop();
        let pending =
            self.requests.get_mut(request).expect("the policy engine decides on pending requests only");
        let id = AttemptId { request, attempt: pending.attempts.len() };
        pending.attempts.push(Attempt { backend, sent_at: now, connection: idle, time_to_first_byte: None });
        if pending.timeout.is_none() {
            // Attempts still in flight at the client's deadline end as timed out.
            let deadline = pending.attributes.deadline;
            pending.timeout = Some(self.timers.schedule(deadline, TimerKind::RequestTimeout(request)));
        }
        if let Some(connection_id) = idle {
            let connection =
                self.backends.connections.get_mut(&connection_id).expect("idle connections are open");
            let number = connection.enqueue(id);
            return self.send_attempt(now, connection_id, number, request);
        }
        self.ensure_free_descriptor(now);
        if self.is_short_of_descriptors() {
            return self.share_connection(now, id, backend);
        }
        match self.backends.entries[backend].address {
            Some(address) => self.open_connection_for(now, id, backend, address),
            None => self.attempt_not_connected(id),
        }
    }

    fn open_connection_for(&mut self, now: f64, id: AttemptId, backend: BackendIndex, address: SocketAddr) {
        let connection_id = self.next_connection_id();
        self.set_connection(id, connection_id);
        let mut connection = BackendConnection::new(backend, now);
        connection.enqueue(id);
        self.backends.connections.insert(connection_id, connection);
        self.effects.push(Effect::Connect { connection: ConnectionId::Backend(connection_id), address });
        let timeout = now + self.instance.connect_timeout;
        self.timers.schedule(timeout, TimerKind::ConnectTimeout(connection_id));
    }

    /// Sends an attempt after others on the backend's connection with the fewest attempts, as no file
    /// descriptor is free for a new connection. A connection that carries a streamed value is not used.
    fn share_connection(&mut self, now: f64, id: AttemptId, backend: BackendIndex) {
        let max_attempts = self.instance.max_streams_per_connection;
        let usable = self.backends.connections.iter_mut().filter(|(_, connection)| {
            let is_usable =
                connection.is_established && !connection.ends_in_batch && !connection.carries_stream;
            connection.backend == backend && is_usable && connection.queue.len() < max_attempts
        });
        let least_loaded = usable.min_by_key(|(id, connection)| (connection.queue.len(), **id));
        let Some((&connection_id, connection)) = least_loaded else {
            return self.attempt_not_connected(id);
        };
        let number = connection.enqueue(id);
        self.set_connection(id, connection_id);
        self.send_attempt(now, connection_id, number, id.request);
    }

    fn set_connection(&mut self, id: AttemptId, connection: u64) {
        let pending = self.requests.get_mut(id.request).expect("the request of a new attempt is pending");
        pending.attempts[id.attempt].connection = Some(connection);
    }

    /// Ends an attempt that has just started, as no connection is available for it.
    fn attempt_not_connected(&mut self, id: AttemptId) {
        self.requests.ended_attempts.push(EndedAttempt {
            id,
            result: AttemptResult::NotConnected,
            metadata: ResponseMetadata::default(),
        });
    }

    /// Writes the attempt with this number to the connection.
    pub(super) fn send_attempt(&mut self, now: f64, connection: u64, number: u64, request: RequestIndex) {
        let pending = self.requests.get(request).expect("a request with an attempt in flight is pending");
        let timeout_ms = ((pending.attributes.deadline - now) * 1e3).max(1.0) as u64;
        let command = pending.command.clone();
        self.effects.push(Effect::SendAttempt { connection, attempt: number, request: command, timeout_ms });
    }

    /// Ends an attempt whose response is complete. `load_report`: the backend's load report, undecoded.
    pub(super) fn attempt_succeeded(
        &mut self,
        id: AttemptId,
        billed_units: Option<f64>,
        load_report: Option<Vec<u8>>,
    ) {
        // Values that the settings do not name are not decoded.
        let load_report = load_report.and_then(|report| {
            settings::load_report(&self.instance.load_report_fields, |_, name| find_number(&report, name))
        });
        self.end_attempt(id, AttemptResult::Succeeded, ResponseMetadata { billed_units, load_report });
    }

    /// Ends an attempt that has no usable response.
    pub(super) fn attempt_failed(&mut self, id: AttemptId, result: AttemptResult) {
        self.end_attempt(id, result, ResponseMetadata::default());
    }

    /// Ends an attempt unless it has ended already. The policy engine is notified by `report_ended_attempts`.
    fn end_attempt(&mut self, id: AttemptId, result: AttemptResult, metadata: ResponseMetadata) {
        let Some(pending) = self.requests.get_mut(id.request) else { return };
        if pending.attempts[id.attempt].connection.take().is_some() {
            self.requests.ended_attempts.push(EndedAttempt { id, result, metadata });
        }
    }

    /// Ends all attempts of the request that are still in flight as timed out.
    pub(super) fn time_out_attempts(&mut self, now: f64, request: RequestIndex) {
        let attempts = self.requests.get(request).map_or(0, |pending| pending.attempts.len());
        for attempt in 0..attempts {
            self.cancel_attempt(now, AttemptId { request, attempt }, AttemptResult::TimedOut);
        }
    }

    /// Ends an attempt whose response is no longer wanted. Its connection is closed, unless other attempts use it: then
    /// the attempt is withdrawn from the write buffer if no byte of it has been written, or its response is discarded
    /// when it arrives.
    pub(super) fn cancel_attempt(&mut self, now: f64, id: AttemptId, result: AttemptResult) {
        let Some(connection_id) = self.requests.connection_of(id) else { return };
        self.attempt_failed(id, result);
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        let queued = connection.queue.iter_mut().find(|queued| queued.id == Some(id));
        let number = queued.map(|queued| {
            queued.id = None;
            queued.number
        });
        if connection.is_abandoned() {
            return self.close_abandoned_connection(now, connection_id, id, result);
        }
        if let Some(number) = number.filter(|_| connection.is_established) {
            self.effects.push(Effect::Withdraw { connection: connection_id, attempt: number });
        }
    }

    /// Closes a connection whose last attempt has been cancelled or has timed out.
    fn close_abandoned_connection(
        &mut self,
        now: f64,
        connection_id: u64,
        id: AttemptId,
        result: AttemptResult,
    ) {
        let connection = ConnectionId::Backend(connection_id);
        let is_timed_out = result == AttemptResult::TimedOut;
        let reason = if is_timed_out { CloseReason::TimedOut } else { CloseReason::Abandoned };
        let mut closed = self.closed_connection(connection, reason);
        closed.attempt = self.requests.get(id.request).map(|pending| AbandonedAttempt {
            request: pending.command.id,
            number: id.attempt + 1,
            age: now - pending.attempts[id.attempt].sent_at,
        });
        self.effects.push(Effect::LogClosed(closed));
        self.effects.push(Effect::Close(connection));
        self.backends.connections.remove(&connection_id);
    }

    /// Cancels an attempt for the policy engine. An attempt on a shared connection is only withdrawn: the connection
    /// stays open for the others, so an attempt that was already written may still run, and ending it here could lead to
    /// a second execution elsewhere.
    pub(super) fn cancel_or_withdraw_attempt(&mut self, now: f64, id: AttemptId) {
        if self.shares_connection(id) {
            self.withdraw_attempt(id);
        } else {
            self.cancel_attempt(now, id, AttemptResult::Cancelled);
        }
    }

    /// Returns whether the request is open and the connection of this attempt carries other attempts too.
    fn shares_connection(&self, id: AttemptId) -> bool {
        if self.requests.get_open(id.request).is_none() {
            return false;
        }
        let connection_id = self.requests.connection_of(id);
        let connection = connection_id.and_then(|id| self.backends.connections.get(&id));
        let is_other = |queued: Option<AttemptId>| queued.is_some_and(|queued| queued != id);
        connection.is_some_and(|connection| connection.queue.iter().any(|queued| is_other(queued.id)))
    }

    /// Withdraws an attempt from the write buffer of its connection. `Event::Withdrawn` follows if no byte of it had been
    /// written.
    pub(super) fn withdraw_attempt(&mut self, id: AttemptId) {
        let Some(connection_id) = self.requests.connection_of(id) else { return };
        let Some(connection) = self.backends.connections.get(&connection_id) else { return };
        let queued = connection.queue.iter().find(|queued| queued.id == Some(id));
        if let Some(queued) = queued.filter(|_| connection.is_established) {
            self.effects.push(Effect::Withdraw { connection: connection_id, attempt: queued.number });
        }
    }

    /// Withdraws the unwritten attempts on connections to backends that no longer accept attempts.
    pub(super) fn withdraw_from_unavailable_backends(&mut self) {
        let mut withdrawn: Vec<(u64, u64)> = vec![];
        for (id, connection) in &self.backends.connections {
            if connection.is_established && !self.backends.entries[connection.backend].accepts_attempts() {
                withdrawn.extend(connection.queue.iter().map(|queued| (*id, queued.number)));
            }
        }
        withdrawn.sort_unstable();
        let effects = withdrawn
            .into_iter()
            .map(|(connection, number)| Effect::Withdraw { connection, attempt: number });
        self.effects.extend(effects);
    }

    /// Handles the withdrawal of an attempt from the write buffer: it has not run and may be sent to another backend.
    pub(super) fn attempt_withdrawn(&mut self, now: f64, connection_id: u64, number: u64) {
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        let Some(position) = connection.queue.iter().position(|queued| queued.number == number) else {
            return;
        };
        let queued = connection.queue.remove(position).expect("the position is within the queue");
        let is_abandoned = connection.is_abandoned();
        if let Some(id) = queued.id {
            self.attempt_failed(id, AttemptResult::NotSent);
        }
        if is_abandoned {
            return self.close_backend_connection(connection_id, CloseReason::Abandoned);
        }
        self.reuse_or_close_if_idle(now, connection_id);
    }
}
