//! The drain, and the stop, which is a drain that ends in an exit.
use super::event::{CloseReason, ConnectionId, Effect};
use super::kept::*;
use super::reducer::Reducer;
use quillramp::types::*;

/// How long clients keep coming after the first no.
const LINGER: f64 = 0.5;
/// The kill follows SIGTERM after the longest time that clients wait, counted as the first where it is longer, and the
/// second (PROTOCOL.md): with short times it comes early, with long ones before they are over.
const KILL: (f64, f64) = (3.0, 0.7);
/// So long before the kill what is still held is answered, and the process is gone: an answer has to leave, and to leave
/// late by the 50 ms that the rules allow for.
const LAST: f64 = 0.2;
const GONE: f64 = 0.1;
/// From then on nothing more is heard of a client that asked on and on, so that its connection can end: it must have
/// ended, or be without a new command for 2 s, 4 s after the call.
const PATIENCE: f64 = 1.5;

impl Reducer {
    /// What `PING` hears. Where another process takes over, the front door as a whole goes on.
    pub(super) fn accepts_clients(&self) -> bool {
        !self.shared.drained && (!self.stopping || self.hands_over_listener)
    }

    pub(super) fn begin_shutdown(&mut self, now: f64) {
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        let kill = now + self.instance.max_client_timeout.min(KILL.0) + KILL.1;
        self.shutdown_deadline = kill - LAST;
        self.schedule(self.shutdown_deadline, TimerKind::AnswerBeforeExit);
        self.schedule(kill - GONE, TimerKind::Exit);
        // With nobody to take over this is a stop like any other, and the next start is to come soon.
        self.hands_over_listener = self.config.inherited_listener && self.shared.peer_process_newer;
        if self.hands_over_listener {
            self.effects
                .push(Effect::Log("told to stop: the next process accepts, this one serves out".into()));
            self.begin_drain(now);
            return self.announce_descriptor_limit();
        }
        self.effects.push(Effect::Log("told to stop: serving on, then ending connections".into()));
        // One that was drained by hand serves on, too: for a while clients keep coming.
        self.draining = false;
        self.schedule_drain(now);
    }

    /// An operator drains this front door, or ends that.
    pub(super) fn drain_changed(&mut self, now: f64) {
        let drained = self.shared.drained;
        let says = if drained { "drained by hand: ending connections" } else { "the drain is over" };
        self.effects.push(Effect::Log(says.into()));
        if drained {
            self.schedule_drain(now);
        } else if !self.stopping {
            self.draining = false;
            self.closing_clients.clear();
            self.drain_timer.take().map(|key| self.timers.remove(&key));
        }
    }

    fn schedule_drain(&mut self, now: f64) {
        if self.drain_timer.is_none() || self.stopping {
            self.drain_timer.take().map(|key| self.timers.remove(&key));
            self.drain_timer = Some(self.schedule(now + LINGER, TimerKind::BeginDrain));
        }
    }

    /// Connections between invocations end; the others once they have their answers.
    pub(super) fn begin_drain(&mut self, now: f64) {
        self.draining = true;
        if self.stopping {
            self.effects.push(Effect::StopAccepting);
        }
        self.drain_timer = Some(self.schedule(now + PATIENCE - LINGER, TimerKind::StopReading));
        self.closing_clients
            .extend(self.clients.iter().filter(|(_, c)| c.owed.is_empty() && c.said).map(|(id, _)| *id));
        if !self.hands_over_listener {
            let silent = self.clients.iter().filter(|(_, c)| !c.said && c.half.is_none());
            self.closing_clients.extend(silent.map(|(id, _)| *id));
        } else {
            // The next process needs the descriptors, and its own connections to backends.
            for backend in 0..self.backends.len() {
                self.close_idle_connections_to(backend);
            }
        }
        self.exit_when_done();
    }

    /// The kill is near: nobody waits for longer. What is out has timed out, what waits is asked about once more, and what
    /// comes now is answered at once. A value on its way through goes on to the exit.
    pub(super) fn answer_before_exit(&mut self, now: f64) {
        for inv in self.requests.keys().collect::<Vec<RequestIndex>>() {
            let open = self.requests[inv].as_mut().filter(|h| !h.closed && h.begun.is_none());
            let Some(held) = open else { continue };
            held.ask.deadline = held.ask.deadline.min(self.shutdown_deadline);
            self.route_request(now, inv);
            self.time_out_attempts(inv);
            self.report_ended_attempts(now);
        }
    }

    /// Clients that ask on and on.
    pub(super) fn stop_reading_busy_clients(&mut self) {
        if self.draining {
            let busy = self.clients.iter_mut().filter(|(_, c)| !c.owed.is_empty() && !c.muted);
            let mut busy: Vec<u64> = busy.map(|(id, c)| (c.muted = true, *id).1).collect();
            busy.sort_unstable();
            self.effects.extend(busy.into_iter().map(Effect::StopReading));
        }
    }

    /// Connections that may end now: between two commands, and with nothing on them that nobody has read. Asked for
    /// after all answers of a batch.
    pub(super) fn close_drained_clients(&mut self) {
        for id in std::mem::take(&mut self.closing_clients) {
            let Some(client) = self.clients.get(&id).filter(|c| c.owed.is_empty()) else { continue };
            if client.muted {
                self.remove_client(id);
                self.close(ConnectionId::Client(id), self.drain_reason());
                self.exit_when_done();
            } else if client.half.is_none() {
                self.effects.push(Effect::CloseIfIdle(id, self.drain_reason()));
            }
        }
    }

    pub(super) fn idle_client_closed(&mut self, id: u64, why: CloseReason) {
        if self.remove_client(id).is_some() {
            self.log_closed(ConnectionId::Client(id), why);
            self.exit_when_done();
        }
    }

    fn drain_reason(&self) -> CloseReason {
        if self.stopping {
            CloseReason::Stopping
        } else {
            CloseReason::Draining
        }
    }

    /// Stopping, and no client is left.
    pub fn is_done(&self) -> bool {
        self.draining && self.stopping && self.clients.is_empty()
    }

    pub(super) fn exit_when_done(&mut self) {
        if self.is_done() {
            self.effects.push(Effect::Exit);
        }
    }
}
