//! The servers of a simulation: counter, list service and backends.
use super::instances::LATENCY;
use super::{Port, Simulation, SimulationEvent};
use crate::scale::operating_point::BACKEND_SECONDS;
use crate::scale::server_load::Role;
use crate::scale::server_protocol::{self, WatchRequest};
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::wire::ProtocolError;
use std::sync::Arc;

/// A watch of the list that waits for a change.
pub(super) struct PendingWatch {
    /// The connection that it came on.
    pub port: Port,
    /// The version that the caller knows.
    since: u64,
    /// Unix time in seconds.
    until: f64,
}

impl Simulation {
    /// Serves the requests of these bytes. Requests leave an instance complete, in one piece, and arrive so.
    pub(super) fn serve(&mut self, port: Port, bytes: &[u8]) -> Result<(), ProtocolError> {
        let Some(role) = role(port.connection) else { return Ok(()) };
        let mut used = 0;
        while used < bytes.len() {
            let served = self.serve_first(port, role, &bytes[used..])?;
            used += served.ok_or(ProtocolError("half a request"))?;
            self.loads.of(role).count_call();
        }
        Ok(())
    }

    /// Serves the first request: how many bytes it took, none where it is not complete.
    fn serve_first(&mut self, port: Port, role: Role, bytes: &[u8]) -> Result<Option<usize>, ProtocolError> {
        match role {
            Role::Counter => {
                let answer = server_protocol::answer_count(self.events.now, &mut self.counts, bytes)?;
                Ok(answer.map(|answer| {
                    self.answer(port, role, answer.value.into(), 0.0);
                    answer.length
                }))
            }
            Role::Backend => {
                let answer = server_protocol::answer_command(bytes)?;
                Ok(answer.map(|answer| {
                    self.answer(port, role, answer.value.into(), BACKEND_SECONDS);
                    answer.length
                }))
            }
            Role::Discovery => {
                let watch = server_protocol::decode_watch(bytes)?;
                Ok(watch.map(|watch| {
                    self.watch(port, watch.value);
                    watch.length
                }))
            }
        }
    }

    fn answer(&mut self, port: Port, role: Role, bytes: Arc<[u8]>, after: f64) {
        self.loads.of(role).count_sent(bytes.len());
        self.events.push(self.events.now + after + LATENCY, SimulationEvent::Receive(port, bytes));
    }

    fn watch(&mut self, port: Port, watch: WatchRequest) {
        if watch.since < self.endpoints.version() {
            return self.answer_watch(port, watch.since);
        }
        let until = self.events.now + watch.wait.as_secs_f64();
        self.watches.push(PendingWatch { port, since: watch.since, until });
        self.events.push(until, SimulationEvent::WatchTimeout(port));
    }

    fn answer_watch(&mut self, port: Port, since: u64) {
        let encode = || server_protocol::encode_endpoints(&self.endpoints, since).into();
        let answer = self.list_answers.entry(since).or_insert_with(encode).clone();
        self.answer(port, Role::Discovery, answer, 0.0);
    }

    /// Answers a watch that has waited long enough.
    pub(super) fn end_watch(&mut self, port: Port) {
        let now = self.events.now;
        let is_over = |watch: &PendingWatch| watch.port == port && now >= watch.until;
        if let Some(index) = self.watches.iter().position(is_over) {
            let watch = self.watches.swap_remove(index);
            self.answer_watch(port, watch.since);
        }
    }

    /// Changes the list, and answers all watches.
    pub(super) fn change_list(&mut self) {
        self.endpoints.advance();
        self.list_answers.clear();
        for watch in std::mem::take(&mut self.watches) {
            self.answer_watch(watch.port, watch.since);
        }
        self.schedule_change();
    }

    pub(super) fn schedule_change(&mut self) {
        if self.point.changes > 0.0 {
            self.events.push(self.events.now + 1.0 / self.point.changes, SimulationEvent::ChangeList);
        }
    }
}

/// The role of the server that a connection leads to; none for connections to the instance.
pub(super) fn role(connection: ConnectionId) -> Option<Role> {
    match connection {
        ConnectionId::Counter(_) => Some(Role::Counter),
        ConnectionId::Discovery(_) => Some(Role::Discovery),
        ConnectionId::Backend(_) => Some(Role::Backend),
        ConnectionId::Client(_) | ConnectionId::Admin(_) => None,
    }
}
