//! The instances of a group: requests, steps, connections and restarts.
use super::sockets::ConnectProgress;
use super::{AppliedVersion, BackendConnection, Group, GroupEvent};
use crate::scale::clock::unix_now;
use crate::scale::embedded::{ConnectionCommand, EmbeddedInstance};
use crate::scale::operating_point::BACKEND_RESPONSE_SECONDS;
use crate::scale::server_protocol;
use mio::Token;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};

/// Simulated one-way latency in seconds between an instance and a backend.
const ONE_WAY_LATENCY_SECONDS: f64 = 0.000_25;
/// Seconds between the kill of an instance and its next start.
const RESTART_SECONDS: f64 = 1.0;

impl Group {
    /// Calls `action` with an instance if it is running, and schedules its next step.
    pub(super) fn with_instance(&mut self, slot: usize, action: impl FnOnce(&mut EmbeddedInstance)) {
        if let Some(instance) = &mut self.slots[slot].instance {
            action(instance);
        }
        self.schedule_step(slot, self.events.now);
    }

    pub(super) fn stop(&mut self, slot: usize) {
        let state = &mut self.slots[slot];
        state.generation += 1;
        if let Some(instance) = state.instance.take() {
            state.previous_processes.add(instance.reading());
        }
        self.sockets.close_all(slot);
        self.events.push(self.events.now + RESTART_SECONDS, GroupEvent::Start(slot));
    }

    pub(super) fn restart(&mut self, slot: usize) {
        let started =
            EmbeddedInstance::new(unix_now(), &self.point, self.first_instance + slot, self.services);
        self.slots[slot].instance = started.ok(); // never an error: the first start accepted the same settings
        self.schedule_step(slot, self.events.now);
    }

    /// Records the versions that a watch shows to be applied: all up to the version since which it requests changes.
    fn record_applied_versions(&mut self, slot: usize, bytes: &[u8]) {
        let Ok(Some(decoded)) = server_protocol::decode_watch(bytes) else { return };
        let watch = decoded.value;
        let instance = self.first_instance + slot;
        let state = &mut self.slots[slot];
        if watch.since > state.applied_version {
            let at = unix_now();
            let newly_applied = state.applied_version + 1..=watch.since;
            self.applied_versions.extend(newly_applied.map(|version| AppliedVersion {
                instance,
                version,
                at,
            }));
            state.applied_version = watch.since;
        }
    }

    pub(super) fn schedule_request(&mut self, slot: usize, now: f64) {
        let delay = self.slots[slot].requests.next_interarrival_seconds();
        self.events.push(now + delay, GroupEvent::Request(slot));
    }

    fn schedule_step(&mut self, slot: usize, at: f64) {
        if at < self.slots[slot].step_at {
            self.slots[slot].step_at = at;
            self.events.push(at, GroupEvent::Step(slot));
        }
    }

    pub(super) fn step(&mut self, slot: usize) {
        let now = unix_now();
        if self.slots[slot].step_at > now {
            return; // stale event: the instance ran an earlier step, and the next one is due later
        }
        self.slots[slot].step_at = f64::INFINITY;
        let Some(instance) = &mut self.slots[slot].instance else { return };
        let step = instance.step(now);
        for command in step.commands {
            self.execute(slot, command);
        }
        if let Some(next_at) = step.next_at {
            self.schedule_step(slot, next_at);
        }
    }

    fn execute(&mut self, slot: usize, command: ConnectionCommand) {
        let now = self.events.now;
        match command {
            ConnectionCommand::Connect(connection @ ConnectionId::Backend(_), _) => {
                let backend = self.backend_connection(slot, connection);
                self.events.push(now + 2.0 * ONE_WAY_LATENCY_SECONDS, GroupEvent::Connected(backend));
            }
            ConnectionCommand::Connect(connection, address) => {
                if self.sockets.connect(slot, connection, address).is_err() {
                    self.with_instance(slot, |instance| {
                        instance.connection_ended(connection, CloseReason::Refused)
                    });
                }
            }
            ConnectionCommand::Send(connection @ ConnectionId::Backend(_), bytes) => {
                self.answer_commands(self.backend_connection(slot, connection), &bytes);
            }
            ConnectionCommand::Send(connection, bytes) => {
                if matches!(connection, ConnectionId::Discovery(_)) {
                    self.record_applied_versions(slot, &bytes);
                }
                self.send(slot, connection, &bytes);
            }
            ConnectionCommand::Close(connection) => self.sockets.close(slot, connection),
        }
    }

    fn backend_connection(&self, slot: usize, connection: ConnectionId) -> BackendConnection {
        BackendConnection { slot, generation: self.slots[slot].generation, connection }
    }

    /// Schedules a backend's replies to the commands in `bytes`. An instance always writes complete commands.
    fn answer_commands(&mut self, backend: BackendConnection, bytes: &[u8]) {
        let at = self.events.now + 2.0 * ONE_WAY_LATENCY_SECONDS + BACKEND_RESPONSE_SECONDS;
        let mut rest = bytes;
        while let Ok(Some(reply)) = server_protocol::answer_command(rest) {
            self.events.push(at, GroupEvent::Receive(backend, reply.value));
            rest = &rest[reply.length..];
        }
    }

    fn send(&mut self, slot: usize, connection: ConnectionId, bytes: &[u8]) {
        if let Err(token) = self.sockets.send(slot, connection, bytes) {
            self.end_connection(token, CloseReason::Reset);
        }
    }

    /// Handles a readiness event of a socket: completes the connect, then reads and writes until it would block.
    pub(super) fn socket_ready(&mut self, token: Token) {
        let Some(owner) = self.sockets.owner(token) else { return };
        match self.sockets.finish_connect(token) {
            ConnectProgress::Established => {}
            ConnectProgress::Connected => {
                self.with_instance(owner.slot, |instance| instance.connected(owner.connection));
            }
            ConnectProgress::Pending => return,
            ConnectProgress::Failed => return self.end_connection(token, CloseReason::Refused),
        }
        let instance = &mut self.slots[owner.slot].instance;
        let received = |bytes: &[u8]| {
            instance.iter_mut().for_each(|instance| instance.received(owner.connection, bytes))
        };
        if let Some(reason) = self.sockets.read_and_write(token, received) {
            self.end_connection(token, reason);
        }
        self.schedule_step(owner.slot, self.events.now);
    }

    /// Removes a socket and notifies its instance that the connection ended.
    fn end_connection(&mut self, token: Token, reason: CloseReason) {
        let Some(owner) = self.sockets.remove(token) else { return };
        self.with_instance(owner.slot, |instance| instance.connection_ended(owner.connection, reason));
    }
}
