//! Graceful shutdown: a drain (see [`super::drain`]) after which the process exits.
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::{TimerKey, TimerKind};
use quillramp::types::*;
use std::collections::BTreeSet;

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

/// Progress of a drain or a shutdown.
pub(super) struct ShutdownState {
    /// Whether SIGTERM was received.
    pub is_stopping: bool,
    /// Time by which every request must be answered, in seconds; infinite unless stopping.
    pub answer_deadline: f64,
    /// Whether the time of the exit has passed, and values were still being forwarded.
    pub is_exit_overdue: bool,
    /// Whether the process is stopping while another process accepts clients.
    pub hands_over_listener: bool,
    /// Maximum number of file descriptors that this process has announced to hold during a handover.
    pub announced_descriptor_limit: Option<usize>,
    /// Whether clients' connections are closed between requests.
    pub is_draining: bool,
    /// Whether requests of busy clients are rejected. On a connection that was not busy, one more request is forwarded.
    pub rejects_busy_clients: bool,
    /// The timer for the next step of the drain.
    pub drain_timer: Option<TimerKey>,
    /// Clients whose connections may be closed after this batch of events.
    pub closing_clients: BTreeSet<u64>,
}

impl Default for ShutdownState {
    fn default() -> ShutdownState {
        ShutdownState {
            is_stopping: false,
            answer_deadline: f64::INFINITY,
            is_exit_overdue: false,
            hands_over_listener: false,
            announced_descriptor_limit: None,
            is_draining: false,
            rejects_busy_clients: false,
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
        self.shutdown.rejects_busy_clients = false;
        self.schedule_drain(now);
    }

    /// Answers all pending requests before the process is killed: attempts in flight time out, the policy engine decides
    /// once more on waiting requests, and later commands are answered at once. Streams continue until the exit.
    pub(super) fn answer_before_exit(&mut self, now: f64) {
        for request in self.requests.slots.keys().collect::<Vec<RequestIndex>>() {
            self.answer_by(now, request, self.shutdown.answer_deadline);
        }
    }

    /// Moves the deadline of an open request to `deadline`, which has passed, and answers the request. A response that
    /// is streamed goes on.
    pub(super) fn answer_by(&mut self, now: f64, request: RequestIndex, deadline: f64) {
        let Some(pending) = self.requests.get_open_mut(request) else { return };
        if pending.streaming_attempt.is_some() {
            return;
        }
        pending.attributes.deadline = pending.attributes.deadline.min(deadline);
        self.route_request(now, request);
        self.time_out_attempts(now, request);
        self.report_ended_attempts(now);
    }

    /// Returns whether the process is stopping and no client is left.
    pub fn is_done(&self) -> bool {
        self.shutdown.is_draining && self.shutdown.is_stopping && self.clients.connections.is_empty()
    }

    /// Exits shortly before the kill, unless values are being forwarded: what the process itself ends is lost, and the
    /// kill may come later.
    pub(super) fn exit_time_reached(&mut self) {
        let values = self.forwarded_values();
        if values > 0 {
            self.log(LogMessage::ExitDelayed { values });
        }
        self.shutdown.is_exit_overdue = true;
    }

    /// Exits if that is overdue and the last value has been forwarded or has broken off.
    pub(super) fn exit_if_overdue(&mut self) {
        if self.shutdown.is_exit_overdue && self.forwarded_values() == 0 {
            self.shutdown.is_exit_overdue = false;
            self.effects.push(Effect::ExitImmediately);
        }
    }

    /// Requests the exit if the process is stopping and no client is left.
    pub(super) fn exit_if_done(&mut self) {
        if self.is_done() {
            self.effects.push(Effect::Exit);
        }
    }
}
