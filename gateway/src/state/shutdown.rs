//! Draining and graceful shutdown. A drain closes clients' connections between requests; a shutdown is a drain after
//! which the process exits.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::{TimerKey, TimerKind};
use quillramp::types::*;
use std::collections::BTreeSet;

/// Time for which clients may still connect after the first `PING` that was answered with an error, in seconds.
const DRAIN_DELAY_SECONDS: f64 = 0.5;
/// Time from SIGTERM to the kill of the process, in seconds, in addition to the longest timeout of clients, of which at
/// most `MAX_KILL_TIMEOUT_SECONDS` counts (PROTOCOL.md). With short timeouts the kill comes early, with long ones before
/// they expire.
const KILL_DELAY_SECONDS: f64 = 0.7;
/// Maximum part of the longest client timeout that delays the kill, in seconds; see `KILL_DELAY_SECONDS`.
const MAX_KILL_TIMEOUT_SECONDS: f64 = 3.0;
/// Time before the kill at which all pending requests are answered, in seconds. It covers sending the answers, and the
/// 50 ms by which the rules allow an answer to be late.
const ANSWER_BEFORE_KILL_SECONDS: f64 = 0.2;
/// Time before the kill at which the process exits, in seconds.
const EXIT_BEFORE_KILL_SECONDS: f64 = 0.1;
/// Time after the request to drain at which clients that still send commands are no longer read, in seconds. Their
/// connections must have ended, or have had no new command for 2 s, by 4 s after the request.
const STOP_READING_AFTER_SECONDS: f64 = 1.5;

/// Progress of a drain or a shutdown.
pub(super) struct ShutdownState {
    /// Whether SIGTERM was received.
    pub is_stopping: bool,
    /// Time by which every request must be answered, in seconds; infinite unless stopping.
    pub answer_deadline: f64,
    /// Whether the process is stopping while another process accepts clients.
    pub hands_over_listener: bool,
    /// Maximum number of file descriptors that this process has announced to hold during a handover.
    pub announced_descriptor_limit: Option<usize>,
    /// Whether clients' connections are closed between requests.
    pub is_draining: bool,
    /// The timer for the next step of the drain.
    drain_timer: Option<TimerKey>,
    /// Clients whose connections may be closed after this batch of events.
    pub closing_clients: BTreeSet<u64>,
}

impl Default for ShutdownState {
    fn default() -> ShutdownState {
        ShutdownState {
            is_stopping: false,
            answer_deadline: f64::INFINITY,
            hands_over_listener: false,
            announced_descriptor_limit: None,
            is_draining: false,
            drain_timer: None,
            closing_clients: BTreeSet::new(),
        }
    }
}

impl Reducer {
    /// Returns whether `PING` is answered with `PONG`. If another process takes over, the instance still accepts clients.
    pub(super) fn accepts_clients(&self) -> bool {
        !self.admin.shared.drained && (!self.shutdown.is_stopping || self.shutdown.hands_over_listener)
    }

    /// Begins a graceful shutdown after SIGTERM.
    pub(super) fn begin_shutdown(&mut self, now: f64) {
        if std::mem::replace(&mut self.shutdown.is_stopping, true) {
            return;
        }
        let kill = now + self.instance.max_client_timeout.min(MAX_KILL_TIMEOUT_SECONDS) + KILL_DELAY_SECONDS;
        self.shutdown.answer_deadline = kill - ANSWER_BEFORE_KILL_SECONDS;
        self.timers.schedule(self.shutdown.answer_deadline, TimerKind::AnswerBeforeExit);
        self.timers.schedule(kill - EXIT_BEFORE_KILL_SECONDS, TimerKind::Exit);
        // Without a newer process this is an ordinary shutdown, and the next process is expected to start soon.
        let is_handover = self.config.inherited_listener && self.admin.shared.peer_process_newer;
        self.shutdown.hands_over_listener = is_handover;
        if is_handover {
            self.log(LogMessage::ShutdownWithHandover);
            self.begin_drain(now);
            return self.announce_descriptor_limit();
        }
        self.log(LogMessage::ShutdownStarted);
        // Clients may still connect for a while, even if an operator has already drained the instance.
        self.shutdown.is_draining = false;
        self.schedule_drain(now);
    }

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

    fn schedule_drain(&mut self, now: f64) {
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

    /// Answers all pending requests before the process is killed: attempts in flight time out, the policy engine decides
    /// once more on waiting requests, and later commands are answered at once. Streams continue until the exit.
    pub(super) fn answer_before_exit(&mut self, now: f64) {
        for request in self.requests.slots.keys().collect::<Vec<RequestIndex>>() {
            let Some(pending) = self.requests.get_open_mut(request) else { continue };
            if pending.streaming_attempt.is_some() {
                continue;
            }
            pending.attributes.deadline = pending.attributes.deadline.min(self.shutdown.answer_deadline);
            self.route_request(now, request);
            self.time_out_attempts(request);
            self.report_ended_attempts(now);
        }
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

    /// Returns whether the process is stopping and no client is left.
    pub fn is_done(&self) -> bool {
        self.shutdown.is_draining && self.shutdown.is_stopping && self.clients.connections.is_empty()
    }

    /// Requests the exit if the process is stopping and no client is left.
    pub(super) fn exit_if_done(&mut self) {
        if self.is_done() {
            self.effects.push(Effect::Exit);
        }
    }
}
