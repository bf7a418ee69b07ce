//! The drain of clients' connections, on an operator's call and before the exit of the process. A connection ends only
//! between commands.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::TimerKind;

/// Time for which clients may still connect after the first `PING` that was answered with an error, in seconds.
const DRAIN_DELAY_SECONDS: f64 = 0.5;
/// Time after the request to drain at which clients that still send commands are no longer read, in seconds. Their
/// connections must have ended, or have had no new command for 2 s, by 4 s after the request.
const STOP_READING_AFTER_SECONDS: f64 = 1.5;

impl Reducer {
    /// Handles an operator's request to drain this instance or to end the drain.
    pub(super) fn drain_changed(&mut self, now: f64) {
        let is_drained = self.admin.shared.drained;
        self.log(if is_drained { LogMessage::DrainStarted } else { LogMessage::DrainEnded });
        if is_drained {
            self.schedule_drain(now);
        } else if !self.shutdown.is_stopping {
            self.shutdown.is_draining = false;
            self.shutdown.closing_clients.clear();
            self.cancel_drain_timer();
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
        let stop_reading = now + STOP_READING_AFTER_SECONDS - DRAIN_DELAY_SECONDS;
        self.shutdown.drain_timer = Some(self.timers.schedule(stop_reading, TimerKind::StopReading));
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

    /// Stops reading clients that keep sending commands to a draining instance.
    pub(super) fn stop_reading_busy_clients(&mut self) {
        if !self.shutdown.is_draining {
            return;
        }
        let mut stopped: Vec<u64> = vec![];
        for (id, client) in &mut self.clients.connections {
            if !client.is_answered() && !client.is_reading_stopped {
                client.is_reading_stopped = true;
                stopped.push(*id);
            }
        }
        stopped.sort_unstable();
        self.effects.extend(stopped.into_iter().map(Effect::StopReading));
    }

    /// Closes clients' connections that are between two commands and have no unread bytes. Called after all replies of a
    /// batch.
    pub(super) fn close_drained_clients(&mut self) {
        for id in std::mem::take(&mut self.shutdown.closing_clients) {
            let Some(client) = self.clients.connections.get(&id) else { continue };
            if !client.is_answered() {
                continue;
            }
            if client.is_reading_stopped {
                self.disconnect_client(id, self.drain_close_reason());
                self.exit_if_done();
            } else if client.partial_since.is_none() {
                self.effects.push(Effect::CloseIfIdle { client: id, reason: self.drain_close_reason() });
            }
        }
    }

    /// Checks a client again that could not be closed before all of its output was written.
    pub(super) fn client_output_written(&mut self, id: u64) {
        if self.shutdown.is_draining {
            self.shutdown.closing_clients.insert(id);
        }
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
