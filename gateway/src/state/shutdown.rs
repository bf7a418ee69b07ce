//! Draining: clients' connections are closed between requests. A graceful shutdown is a drain that ends in the exit.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::{TimerKey, TimerKind};
use quillramp::types::*;
use std::collections::BTreeSet;

/// How long clients keep coming after the first `PING` that was answered with an error, in seconds.
const DRAIN_DELAY_SECONDS: f64 = 0.5;
/// The process is killed so many seconds after SIGTERM and the longest time that clients wait, of which no more than
/// `MAX_KILL_TIMEOUT_SECONDS` counts (PROTOCOL.md): with short timeouts the kill comes early, with long ones before they are over.
const KILL_DELAY_SECONDS: f64 = 0.7;
/// See `KILL_DELAY_SECONDS`, in seconds.
const MAX_KILL_TIMEOUT_SECONDS: f64 = 3.0;
/// So many seconds before the kill all pending requests are answered: an answer has to leave, and may be late by the 50 ms
/// that the rules allow for.
const ANSWER_BEFORE_KILL_SECONDS: f64 = 0.2;
/// So many seconds before the kill the process exits.
const EXIT_BEFORE_KILL_SECONDS: f64 = 0.1;
/// So many seconds after the drain was requested, clients that still send commands are read no more, so that their
/// connections can end: these must have ended, or be without a new command for 2 s, 4 s after the request.
const STOP_READING_AFTER_SECONDS: f64 = 1.5;

/// How far a drain or a shutdown has come.
pub(super) struct ShutdownState {
    /// SIGTERM was received.
    pub is_stopping: bool,
    /// By then every request is answered, in seconds; infinite unless stopping.
    pub answer_deadline: f64,
    /// It is stopping, and another process accepts clients.
    pub hands_over_listener: bool,
    /// How many descriptors it has announced that it will hold at the most, while it hands over.
    pub announced_descriptor_limit: Option<usize>,
    /// Clients' connections are closed between requests.
    pub is_draining: bool,
    /// For the next step of the drain.
    drain_timer: Option<TimerKey>,
    /// Clients whose connections may be closed after this batch.
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
    /// Whether `PING` is answered with `PONG`. Where another process takes over, the instance goes on accepting clients.
    pub(super) fn accepts_clients(&self) -> bool {
        !self.admin.shared.drained && (!self.shutdown.is_stopping || self.shutdown.hands_over_listener)
    }

    /// SIGTERM: a graceful shutdown begins.
    pub(super) fn begin_shutdown(&mut self, now: f64) {
        if std::mem::replace(&mut self.shutdown.is_stopping, true) {
            return;
        }
        let kill = now + self.instance.max_client_timeout.min(MAX_KILL_TIMEOUT_SECONDS) + KILL_DELAY_SECONDS;
        self.shutdown.answer_deadline = kill - ANSWER_BEFORE_KILL_SECONDS;
        self.timers.schedule(self.shutdown.answer_deadline, TimerKind::AnswerBeforeExit);
        self.timers.schedule(kill - EXIT_BEFORE_KILL_SECONDS, TimerKind::Exit);
        // With nobody to take over this is a shutdown like any other, and the next start will follow soon.
        let is_handover = self.config.inherited_listener && self.admin.shared.peer_process_newer;
        self.shutdown.hands_over_listener = is_handover;
        if is_handover {
            self.log(LogMessage::ShutdownWithHandover);
            self.begin_drain(now);
            return self.announce_descriptor_limit();
        }
        self.log(LogMessage::ShutdownStarted);
        // An instance that an operator has drained goes on, too: for a while clients keep coming.
        self.shutdown.is_draining = false;
        self.schedule_drain(now);
    }

    /// An operator drains this instance, or ends that.
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

    /// Connections without a request are closed; the others once they have their replies.
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

    /// The kill is near, and nobody waits for longer: attempts in flight have timed out, the policy engine is asked once
    /// more about requests that wait, and commands that come now are answered at once. Streams go on until the exit.
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

    /// Clients that keep sending commands to a draining instance are read no more.
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

    /// Closes connections that may end now: between two commands, and with nothing on them that nobody has read. Called
    /// after all replies of a batch.
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

    /// A client's connection was closed, as nothing unread was on it.
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

    /// Whether the process is stopping and no client is left.
    pub fn is_done(&self) -> bool {
        self.shutdown.is_draining && self.shutdown.is_stopping && self.clients.connections.is_empty()
    }

    /// Exits if no client is left.
    pub(super) fn exit_if_done(&mut self) {
        if self.is_done() {
            self.effects.push(Effect::Exit);
        }
    }
}
