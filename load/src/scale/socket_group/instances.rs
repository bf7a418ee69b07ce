//! The instances of a group: their requests, steps, connections and restarts.
use super::sockets::Progress;
use super::{BackendPort, Group, GroupEvent, InForce};
use crate::scale::clock::unix_now;
use crate::scale::embedded::{ConnectionCommand, EmbeddedInstance};
use crate::scale::operating_point::BACKEND_SECONDS;
use crate::scale::server_protocol;
use mio::Token;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};

/// Seconds from an instance to a backend in the same process, one way.
const LATENCY: f64 = 0.000_25;
/// Seconds that an instance is away for a restart.
const RESTART_SECONDS: f64 = 1.0;

impl Group {
    /// Calls an instance, if it is running.
    pub(super) fn with_instance(&mut self, slot: usize, action: impl FnOnce(&mut EmbeddedInstance)) {
        if let Some(instance) = &mut self.slots[slot].instance {
            action(instance);
        }
        self.wake(slot, self.events.now);
    }

    pub(super) fn stop(&mut self, slot: usize) {
        let state = &mut self.slots[slot];
        state.starts += 1;
        if let Some(instance) = state.instance.take() {
            state.earlier.add(instance.reading());
        }
        self.sockets.close_all(slot);
        self.events.push(self.events.now + RESTART_SECONDS, GroupEvent::Start(slot));
    }

    pub(super) fn start_again(&mut self, slot: usize) {
        let started = EmbeddedInstance::new(unix_now(), &self.point, self.first + slot, self.services);
        self.slots[slot].instance = started.ok(); // the same settings were read at its first start
        self.wake(slot, self.events.now);
    }

    /// Records the versions that a watch's caller has in force: all until the one that it knows.
    fn record_in_force(&mut self, slot: usize, bytes: &[u8]) {
        let Ok(Some(decoded)) = server_protocol::decode_watch(bytes) else { return };
        let watch = decoded.value;
        let instance = self.first + slot;
        let state = &mut self.slots[slot];
        if watch.since > state.version {
            let at = unix_now();
            let new = state.version + 1..=watch.since;
            self.in_force.extend(new.map(|version| InForce { instance, version, at }));
            state.version = watch.since;
        }
    }

    pub(super) fn schedule_request(&mut self, slot: usize, now: f64) {
        let gap = self.slots[slot].requests.next_gap();
        self.events.push(now + gap, GroupEvent::Request(slot));
    }

    fn wake(&mut self, slot: usize, at: f64) {
        if at < self.slots[slot].step_at {
            self.slots[slot].step_at = at;
            self.events.push(at, GroupEvent::Step(slot));
        }
    }

    pub(super) fn step(&mut self, slot: usize) {
        let now = unix_now();
        if self.slots[slot].step_at > now {
            return; // it was postponed since
        }
        self.slots[slot].step_at = f64::INFINITY;
        let Some(instance) = &mut self.slots[slot].instance else { return };
        let step = instance.step(now);
        for command in step.commands {
            self.execute(slot, command);
        }
        if let Some(next_at) = step.next_at {
            self.wake(slot, next_at);
        }
    }

    fn execute(&mut self, slot: usize, command: ConnectionCommand) {
        let now = self.events.now;
        match command {
            ConnectionCommand::Connect(connection @ ConnectionId::Backend(_), _) => {
                let port = self.backend_port(slot, connection);
                self.events.push(now + 2.0 * LATENCY, GroupEvent::Connected(port));
            }
            ConnectionCommand::Connect(connection, address) => {
                if self.sockets.connect(slot, connection, address).is_err() {
                    self.with_instance(slot, |instance| instance.ended(connection, CloseReason::Refused));
                }
            }
            ConnectionCommand::Send(connection @ ConnectionId::Backend(_), bytes) => {
                self.answer_commands(self.backend_port(slot, connection), &bytes);
            }
            ConnectionCommand::Send(connection, bytes) => {
                if matches!(connection, ConnectionId::Discovery(_)) {
                    self.record_in_force(slot, &bytes);
                }
                self.send(slot, connection, &bytes);
            }
            ConnectionCommand::Close(connection) => self.sockets.close(slot, connection),
        }
    }

    fn backend_port(&self, slot: usize, connection: ConnectionId) -> BackendPort {
        BackendPort { slot, start: self.slots[slot].starts, connection }
    }

    /// Answers commands as a backend does. An instance writes complete commands, one or more.
    fn answer_commands(&mut self, port: BackendPort, bytes: &[u8]) {
        let at = self.events.now + 2.0 * LATENCY + BACKEND_SECONDS;
        let mut rest = bytes;
        while let Ok(Some(reply)) = server_protocol::answer_command(rest) {
            self.events.push(at, GroupEvent::Receive(port, reply.value));
            rest = &rest[reply.length..];
        }
    }

    fn send(&mut self, slot: usize, connection: ConnectionId, bytes: &[u8]) {
        if let Err(token) = self.sockets.send(slot, connection, bytes) {
            self.end(token, CloseReason::Reset);
        }
    }

    /// Establishes, reads and writes a socket, as far as it goes.
    pub(super) fn socket_ready(&mut self, token: Token) {
        let Some(owner) = self.sockets.owner(token) else { return };
        match self.sockets.finish_connect(token) {
            Progress::Established => {}
            Progress::Connected => {
                self.with_instance(owner.slot, |instance| instance.connected(owner.connection));
            }
            Progress::Pending => return,
            Progress::Failed => return self.end(token, CloseReason::Refused),
        }
        let instance = &mut self.slots[owner.slot].instance;
        let received = |bytes: &[u8]| {
            instance.iter_mut().for_each(|instance| instance.received(owner.connection, bytes))
        };
        if let Some(reason) = self.sockets.exchange(token, received) {
            self.end(token, reason);
        }
        self.wake(owner.slot, self.events.now);
    }

    /// A connection ended, and the instance is notified.
    fn end(&mut self, token: Token, reason: CloseReason) {
        let Some(owner) = self.sockets.remove(token) else { return };
        self.with_instance(owner.slot, |instance| instance.ended(owner.connection, reason));
    }
}
