//! The drain of clients' connections, on an operator's call and before the exit of the process. A connection ends only
//! between commands, and every command that was read gets its reply before.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::TimerKind;
use quillramp::types::*;

/// Time for which clients may still connect after the first `PING` that was answered with an error, in seconds.
const DRAIN_DELAY_SECONDS: f64 = 0.5;
/// Time after the request to drain from which requests of busy clients are rejected, in seconds: a connection ends only
/// between commands, so one on which commands keep arriving would stay open.
const REJECT_AFTER_SECONDS: f64 = 1.5;
/// Time after an operator's request to drain at which the connections of clients that keep sending commands end, in
/// seconds. By 4 s after the request, no connection may hold a command of the last 2 s.
const END_BUSY_AFTER_SECONDS: f64 = 3.8;

impl Reducer {
    /// Handles an operator's request to drain this instance or to end the drain.
    pub(super) fn drain_changed(&mut self, now: f64) {
        let is_drained = self.admin.shared.drained;
        self.log(if is_drained { LogMessage::DrainStarted } else { LogMessage::DrainEnded });
        if is_drained {
            self.schedule_drain(now);
        } else if !self.shutdown.is_stopping {
            self.end_drain();
        }
    }

    /// Serves the clients whose connections are still open as before the drain.
    fn end_drain(&mut self) {
        self.shutdown.is_draining = false;
        self.shutdown.rejects_busy_clients = false;
        self.shutdown.closing_clients.clear();
        self.cancel_drain_timer();
        for client in self.clients.connections.values_mut() {
            client.rejects_requests = false;
            client.has_late_command = false;
        }
    }

    fn cancel_drain_timer(&mut self) {
        if let Some(timer) = self.shutdown.drain_timer.take() {
            self.timers.cancel(timer);
        }
    }

    pub(super) fn schedule_drain(&mut self, now: f64) {
        if self.shutdown.drain_timer.is_none() || self.shutdown.is_stopping {
            self.cancel_drain_timer();
            let timer = self.timers.schedule(now + DRAIN_DELAY_SECONDS, TimerKind::BeginDrain);
            self.shutdown.drain_timer = Some(timer);
        }
    }

    /// Closes clients' connections without a pending request now, and the others after their replies.
    pub(super) fn begin_drain(&mut self, now: f64) {
        self.shutdown.is_draining = true;
        if self.shutdown.is_stopping {
            self.effects.push(Effect::StopAccepting);
        }
        let reject_at = now + REJECT_AFTER_SECONDS - DRAIN_DELAY_SECONDS;
        self.shutdown.drain_timer = Some(self.timers.schedule(reject_at, TimerKind::RejectBusyClients));
        let hands_over = self.shutdown.hands_over_listener;
        let clients = self.clients.connections.iter();
        let closing = clients.filter(|(_, client)| match client.has_sent_command {
            true => client.is_answered(),
            false => !hands_over && client.partial_since.is_none(),
        });
        self.shutdown.closing_clients.extend(closing.map(|(id, _)| *id));
        if hands_over {
            // The next process needs the descriptors, and its own connections to backends.
            for backend in 0..self.backends.entries.len() {
                self.close_idle_connections_to(backend);
            }
        }
        self.exit_if_done();
    }

    /// Begins to reject the requests of clients that have a pending one, so that their connections end after its answer.
    pub(super) fn reject_busy_clients(&mut self, now: f64) {
        self.shutdown.rejects_busy_clients = true;
        let mut busy_clients = 0;
        for client in self.clients.connections.values_mut().filter(|client| !client.is_answered()) {
            client.rejects_requests = true;
            busy_clients += 1;
        }
        if busy_clients > 0 {
            self.log(LogMessage::BusyClientsRejected { clients: busy_clients });
        }
        if !self.shutdown.is_stopping {
            let end_at = now + END_BUSY_AFTER_SECONDS - REJECT_AFTER_SECONDS;
            self.shutdown.drain_timer = Some(self.timers.schedule(end_at, TimerKind::EndBusyClients));
        }
    }

    /// Returns whether a request that this client has just sent is rejected because the instance drains. On a connection
    /// that was not busy, the first request is forwarded, and those after it are rejected.
    pub(super) fn rejects_request_of(&mut self, id: u64) -> bool {
        let rejects_busy_clients = self.shutdown.rejects_busy_clients;
        let Some(client) = self.clients.connections.get_mut(&id) else { return false };
        if client.rejects_requests {
            return true;
        }
        client.rejects_requests = rejects_busy_clients;
        false
    }

    /// Ends the connections of clients that have kept sending commands to an instance which an operator drains: reads no
    /// more from them, and answers their pending requests now. They are closed after the replies to all that was read.
    pub(super) fn end_busy_clients(&mut self, now: f64) {
        let clients = self.clients.connections.iter();
        let mut busy_clients: Vec<u64> =
            clients.filter(|(_, client)| client.has_late_command).map(|(id, _)| *id).collect();
        if busy_clients.is_empty() {
            return;
        }
        busy_clients.sort_unstable();
        self.log(LogMessage::BusyClientsEnded { clients: busy_clients.len() });
        for id in busy_clients {
            self.end_busy_client(now, id);
        }
    }

    fn end_busy_client(&mut self, now: f64, id: u64) {
        let Some(client) = self.clients.connections.get_mut(&id) else { return };
        client.is_reading_stopped = true;
        let requests: Vec<RequestIndex> = client.requests().collect();
        self.effects.push(Effect::StopReading(id));
        self.shutdown.closing_clients.insert(id);
        for request in requests {
            self.answer_by(now, request, now);
        }
    }

    /// Closes clients' connections that are between two commands and have no unread bytes. Called after all replies of a
    /// batch.
    pub(super) fn close_drained_clients(&mut self) {
        for id in std::mem::take(&mut self.shutdown.closing_clients) {
            let Some(client) = self.clients.connections.get(&id) else { continue };
            // The rest of a command never arrives on a connection that is no longer read.
            let is_between_commands = client.partial_since.is_none() || client.is_reading_stopped;
            if client.is_answered() && is_between_commands {
                self.effects.push(Effect::CloseIfIdle { client: id, reason: self.drain_close_reason() });
            }
        }
    }

    /// Checks a client again that could not be closed before all of its output was written.
    pub(super) fn client_output_written(&mut self, id: u64) {
        if self.shutdown.is_draining || self.is_reading_stopped(id) {
            self.shutdown.closing_clients.insert(id);
        }
    }

    fn is_reading_stopped(&self, id: u64) -> bool {
        self.clients.connections.get(&id).is_some_and(|client| client.is_reading_stopped)
    }

    /// Removes a client whose connection was closed after `Effect::CloseIfIdle`.
    pub(super) fn idle_client_closed(&mut self, id: u64, reason: CloseReason) {
        if self.remove_client(id).is_some() {
            self.log_closed(ConnectionId::Client(id), reason);
            self.exit_if_done();
        }
    }

    fn drain_close_reason(&self) -> CloseReason {
        if self.shutdown.is_stopping {
            CloseReason::Stopping
        } else {
            CloseReason::Draining
        }
    }
}
