//! The life of connections to backends: establishment, replies, reuse when idle, and end.
use super::backend_table::QueuedAttempt;
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::reducer::Reducer;
use crate::wire::resp::{BackendReply, ClientReply};
use quillramp::types::*;
use std::collections::HashSet;

impl Reducer {
    /// Handles an established connection: sends the attempt that it was opened for, if that is still in time.
    pub(super) fn backend_connected(&mut self, now: f64, connection_id: u64) {
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        connection.is_established = true;
        let backend = connection.backend;
        let Some(&QueuedAttempt { number, id: Some(id) }) = connection.queue.front() else {
            return self.reuse_or_close_if_idle(now, connection_id);
        };
        // The request may have ended meanwhile, or the backend may be draining.
        let pending = self.requests.get_open(id.request);
        let is_in_time = pending.is_some_and(|pending| now < pending.attributes.deadline);
        if is_in_time && self.backends.entries[backend].accepts_attempts() {
            return self.send_attempt(now, connection_id, number, id.request);
        }
        connection.queue.clear();
        self.attempt_failed(id, AttemptResult::NotSent);
        self.reuse_or_close_if_idle(now, connection_id);
    }

    /// Keeps a connection without attempts for reuse, or closes it if its backend accepts no new attempts.
    pub(super) fn reuse_or_close_if_idle(&mut self, now: f64, connection_id: u64) {
        let Some(connection) = self.backends.connections.get_mut(&connection_id) else { return };
        if !connection.queue.is_empty() {
            return;
        }
        connection.idle_since = now;
        if connection.ends_in_batch {
            return;
        }
        let entry = &mut self.backends.entries[connection.backend];
        if entry.accepts_attempts() {
            entry.idle_connections.push(connection_id);
        } else {
            self.close_backend_connection(connection_id, CloseReason::Delisted);
        }
    }

    /// Closes a connection without attempts on which data arrived, as that data would be taken for the response to its
    /// next attempt.
    pub(super) fn unexpected_backend_data(&mut self, connection_id: u64) {
        let Some(connection) = self.backends.connections.get(&connection_id) else { return };
        if !connection.queue.is_empty() {
            return;
        }
        self.backends.entries[connection.backend].remove_idle(connection_id);
        self.close_backend_connection(connection_id, CloseReason::UnexpectedData);
    }

    /// Handles the reply to the first attempt on a connection. `more_received`: whether more bytes were received after it.
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

    /// Handles the end of a response, after its attempt was removed from the connection's queue.
    pub(super) fn response_complete(&mut self, now: f64, connection_id: u64, more_received: bool) {
        if more_received {
            self.unexpected_backend_data(connection_id);
        }
        self.reuse_or_close_if_idle(now, connection_id);
    }

    /// Closes and removes a connection on which no response is wanted.
    pub(super) fn close_backend_connection(&mut self, connection_id: u64, reason: CloseReason) {
        self.close(ConnectionId::Backend(connection_id), reason);
        self.backends.connections.remove(&connection_id);
    }

    /// Closes the idle connections to a backend that accepts no new attempts.
    pub(super) fn close_idle_connections_to(&mut self, backend: BackendIndex) {
        let idle = std::mem::take(&mut self.backends.entries[backend].idle_connections);
        for connection_id in idle {
            self.close_backend_connection(connection_id, CloseReason::Delisted);
        }
    }

    /// Marks the connections whose end is reported in the batch about to be handled, so that no attempt is
    /// sent on them.
    pub(super) fn mark_connections_ending_in_batch(&mut self, connections: &HashSet<ConnectionId>) {
        for connection in connections {
            let ConnectionId::Backend(id) = connection else { continue };
            let Some(connection) = self.backends.connections.get_mut(id) else { continue };
            connection.ends_in_batch = true;
            self.backends.entries[connection.backend].remove_idle(*id);
        }
    }

    /// Closes a connection that was not established in time.
    pub(super) fn connect_timed_out(&mut self, now: f64, connection_id: u64) {
        let connection = self.backends.connections.get(&connection_id);
        if connection.is_some_and(|connection| !connection.is_established) {
            self.close(ConnectionId::Backend(connection_id), CloseReason::DialTimeout);
            self.backend_connection_ended(now, connection_id, true, CloseReason::DialTimeout);
        }
    }

    /// Ends the attempts on a connection that has ended or was never established. An attempt that was not sent
    /// completely has not run. `unsent`: whether the write buffer still held unsent bytes. A malformed response counts
    /// as an error of the backend, as the attempt did get a response.
    pub(super) fn backend_connection_ended(
        &mut self,
        now: f64,
        connection_id: u64,
        unsent: bool,
        reason: CloseReason,
    ) {
        let Some(mut connection) = self.backends.connections.remove(&connection_id) else { return };
        if let Some(id) = connection.front() {
            self.stream_aborted(now, id, reason, connection.interrupted_stream);
        }
        self.backends.entries[connection.backend].remove_idle(connection_id);
        let is_malformed = reason == CloseReason::BadFraming;
        let sent_result = if is_malformed { AttemptResult::Errored } else { AttemptResult::Broken };
        // Only the last attempt can be partly unsent, and all are unsent if the connection was never established.
        let mut unsent = unsent || !connection.is_established;
        while let Some(last) = connection.queue.pop_back() {
            let result = if unsent { AttemptResult::NotConnected } else { sent_result };
            unsent = !connection.is_established;
            if let Some(id) = last.id {
                self.attempt_failed(id, result);
            }
        }
    }

    /// Frees the indices of backends that were removed from the list and have no attempts or connections left.
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

    /// Returns the number of backend indices, in use or free.
    pub fn backend_count(&self) -> usize {
        self.backends.entries.len()
    }

    /// Streams a response from a backend's connection to a client, or discards it if the client is `None`.
    pub(super) fn stream_to(&mut self, connection_id: u64, client: Option<u64>) {
        self.effects.push(Effect::Stream { connection: connection_id, client });
    }
}
