//! Connections to backends: up, idle, answered on, ended.
use super::backend_table::QueuedAttempt;
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::reducer::Reducer;
use crate::wire::resp::{BackendReply, ClientReply};
use quillramp::types::*;
use std::collections::HashSet;

impl Reducer {
    /// A connection is up: the attempt that it was opened for is sent, if that may still begin.
    pub(super) fn backend_connected(&mut self, now: f64, connection_id: u64) {
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        connection.is_up = true;
        let backend = connection.backend;
        let Some(&QueuedAttempt { number, id: Some(id) }) = connection.queue.front() else {
            return self.park_if_idle(now, connection_id);
        };
        // It came up late: the request may be over by now, or the backend may be draining.
        let pending = self.requests.get_open(id.request);
        let is_in_time = pending.is_some_and(|pending| now < pending.attributes.deadline);
        if is_in_time && self.backends.entries[backend].accepts_requests() {
            return self.send_attempt(now, connection_id, number, id.request);
        }
        connection.queue.clear();
        self.attempt_failed(id, AttemptResult::NotSent);
        self.park_if_idle(now, connection_id);
    }

    /// A connection without attempts is kept for the next one, or closed where none may come.
    pub(super) fn park_if_idle(&mut self, now: f64, connection_id: u64) {
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        if !connection.queue.is_empty() {
            return;
        }
        connection.idle_since = now;
        if connection.is_ending {
            return;
        }
        let entry = &mut self.backends.entries[connection.backend];
        if entry.accepts_requests() {
            entry.idle_connections.push(connection_id);
        } else {
            self.close_backend_connection(connection_id, CloseReason::Delisted);
        }
    }

    /// What comes on a connection without attempts would be taken for the response to its next one.
    pub(super) fn unexpected_backend_data(&mut self, connection_id: u64) {
        let Some(connection) = self.backends.connections.get(&connection_id) else { return };
        if !connection.queue.is_empty() {
            return;
        }
        self.backends.entries[connection.backend].remove_idle(connection_id);
        self.close_backend_connection(connection_id, CloseReason::UnexpectedData);
    }

    /// A reply to the first attempt on a connection. `more_received`: bytes have come right behind it.
    pub(super) fn backend_replied(
        &mut self,
        now: f64,
        connection_id: u64,
        reply: BackendReply,
        more_received: bool,
    ) {
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        let Some(front) = connection.queue.pop_front() else {
            return self.unexpected_backend_data(connection_id);
        };
        if let Some(id) = front.id {
            match reply {
                BackendReply::Value { value, billed_units, load_report } => {
                    self.answer_request(now, id.request, ClientReply::Value(value));
                    self.attempt_succeeded(id, billed_units, load_report);
                }
                BackendReply::Rejected => self.attempt_failed(id, AttemptResult::Rejected),
                BackendReply::Failed => self.attempt_failed(id, AttemptResult::Errored),
            }
        }
        self.response_complete(now, connection_id, more_received);
    }

    /// The first attempt on a connection has been taken off it.
    pub(super) fn response_complete(&mut self, now: f64, connection_id: u64, more_received: bool) {
        if more_received {
            self.unexpected_backend_data(connection_id);
        }
        self.park_if_idle(now, connection_id);
    }

    /// Closes a connection on which nobody waits for anything.
    pub(super) fn close_backend_connection(&mut self, connection_id: u64, reason: CloseReason) {
        self.close(ConnectionId::Backend(connection_id), reason);
        self.backends.connections.remove(&connection_id);
    }

    /// Closes the idle connections to a backend that accepts nothing new any more.
    pub(super) fn close_idle_connections_to(&mut self, backend: BackendIndex) {
        let idle = std::mem::take(&mut self.backends.entries[backend].idle_connections);
        for connection_id in idle {
            self.close_backend_connection(connection_id, CloseReason::Delisted);
        }
    }

    /// These connections end in the batch that is about to be handled: nothing new is sent on them.
    pub(super) fn mark_ending(&mut self, connections: &HashSet<ConnectionId>) {
        for connection in connections {
            let ConnectionId::Backend(id) = connection else { continue };
            let Some(connection) = self.backends.connections.get_mut(id) else { continue };
            connection.is_ending = true;
            self.backends.entries[connection.backend].remove_idle(*id);
        }
    }

    /// A connection did not come up in time.
    pub(super) fn connect_timed_out(&mut self, now: f64, connection_id: u64) {
        let connection = self.backends.connections.get(&connection_id);
        if connection.is_some_and(|connection| !connection.is_up) {
            self.close(ConnectionId::Backend(connection_id), CloseReason::DialTimeout);
            self.backend_connection_ended(now, connection_id, true, CloseReason::DialTimeout);
        }
    }

    /// A connection broke or never came up: an attempt that had not left completely has not run. `unsent`: some of what
    /// was written to it has not left. A response that can't be read is one all the same: its backend is no worse than
    /// one that reports an error.
    pub(super) fn backend_connection_ended(
        &mut self,
        now: f64,
        connection_id: u64,
        unsent: bool,
        reason: CloseReason,
    ) {
        let Some(mut connection) = self.backends.connections.remove(&connection_id) else { return };
        if let Some(id) = connection.front() {
            self.stream_aborted(now, id);
        }
        self.backends.entries[connection.backend].remove_idle(connection_id);
        let is_malformed = reason == CloseReason::BadFraming;
        let sent_result = if is_malformed { AttemptResult::Errored } else { AttemptResult::Broken };
        // Only the last one can have left in part, and none has before the connection is up.
        let mut unsent = unsent || !connection.is_up;
        while let Some(last) = connection.queue.pop_back() {
            let result = if unsent { AttemptResult::NotConnected } else { sent_result };
            unsent = !connection.is_up;
            if let Some(id) = last.id {
                self.attempt_failed(id, result);
            }
        }
    }

    /// Forgets backends that were removed from the list and that nothing refers to any more; their indices are free.
    pub(super) fn forget_removed_backends(&mut self) {
        if !self.backends.entries.iter().any(|entry| entry.is_removed()) {
            return;
        }
        let attempts = self.requests.slots.iter().flat_map(|pending| pending.attempts.iter());
        let attempted = attempts.map(|attempt| attempt.backend);
        let connected = self.backends.connections.values().map(|connection| connection.backend);
        let in_use: HashSet<BackendIndex> = attempted.chain(connected).collect();
        for backend in 0..self.backends.entries.len() {
            if self.backends.entries[backend].is_removed() && !in_use.contains(&backend) {
                self.backends.entries[backend] = Default::default();
                self.backends.names.release(backend);
                self.engine.forget_backend(backend);
            }
        }
    }

    /// How many backends are known, or were at the most.
    pub fn backend_count(&self) -> usize {
        self.backends.entries.len()
    }

    /// Streams a response from this connection to that client, or drops it.
    pub(super) fn stream_to(&mut self, connection_id: u64, client: Option<u64>) {
        self.effects.push(Effect::Stream { connection: connection_id, client });
    }
}
