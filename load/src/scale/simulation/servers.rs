//! The stand-in servers of a simulation: counter, list service and backends.
use super::instances::ONE_WAY_LATENCY_SECONDS;
use super::{ConnectionKey, Simulation, SimulationEvent};
use crate::scale::operating_point::BACKEND_RESPONSE_SECONDS;
use crate::scale::server_protocol::{self, WatchRequest};
use crate::scale::server_traffic::Role;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::wire::ProtocolError;
use std::sync::Arc;

/// A watch of the endpoint list that waits for a change.
pub(super) struct PendingWatch {
    /// Connection of the caller.
    pub key: ConnectionKey,
    /// Version of the list that the caller has applied.
    since: u64,
    /// Timeout of the watch, Unix time in seconds.
    until: f64,
}

impl Simulation {
    /// Serves all requests in `bytes`. An incomplete request is an error: instances send only complete requests, and
    /// the simulation delivers each send in one piece.
    pub(super) fn serve(&mut self, key: ConnectionKey, bytes: &[u8]) -> Result<(), ProtocolError> {
        let Some(role) = server_role(key.connection) else { return Ok(()) };
        let mut consumed = 0;
        while consumed < bytes.len() {
            let served = self.serve_first(key, role, &bytes[consumed..])?;
            consumed += served.ok_or(ProtocolError("incomplete request"))?;
            self.traffic.of(role).count_call();
        }
        Ok(())
    }

    /// Serves the first request in `bytes` and returns its length; `None` if the request is incomplete.
    fn serve_first(
        &mut self,
        key: ConnectionKey,
        role: Role,
        bytes: &[u8],
    ) -> Result<Option<usize>, ProtocolError> {
        match role {
            Role::Counter => {
                let answer = server_protocol::answer_counter_call(self.events.now, &mut self.totals, bytes)?;
                Ok(answer.map(|answer| {
                    self.answer(key, role, answer.value.into(), 0.0);
                    answer.length
                }))
            }
            Role::Backend => {
                let answer = server_protocol::answer_command(bytes)?;
                Ok(answer.map(|answer| {
                    self.answer(key, role, answer.value.into(), BACKEND_RESPONSE_SECONDS);
                    answer.length
                }))
            }
            Role::Discovery => {
                let watch = server_protocol::decode_watch(bytes)?;
                Ok(watch.map(|watch| {
                    self.watch(key, watch.value);
                    watch.length
                }))
            }
        }
    }

    /// Sends a response to an instance after a service time in seconds.
    fn answer(&mut self, key: ConnectionKey, role: Role, bytes: Arc<[u8]>, service_seconds: f64) {
        self.traffic.of(role).count_sent(bytes.len());
        self.events.push(
            self.events.now + service_seconds + ONE_WAY_LATENCY_SECONDS,
            SimulationEvent::Receive(key, bytes),
        );
    }

    fn watch(&mut self, key: ConnectionKey, watch: WatchRequest) {
        if watch.since < self.endpoints.version() {
            return self.answer_watch(key, watch.since);
        }
        let until = self.events.now + watch.wait.as_secs_f64();
        self.watches.push(PendingWatch { key, since: watch.since, until });
        self.events.push(until, SimulationEvent::WatchTimeout(key));
    }

    fn answer_watch(&mut self, key: ConnectionKey, since: u64) {
        let encode = || server_protocol::encode_endpoints(&self.endpoints, since).into();
        let answer = self.list_answers.entry(since).or_insert_with(encode).clone();
        self.answer(key, Role::Discovery, answer, 0.0);
    }

    /// Answers the watch on a connection if its timeout has expired.
    pub(super) fn end_watch(&mut self, key: ConnectionKey) {
        let now = self.events.now;
        let is_expired = |watch: &PendingWatch| watch.key == key && now >= watch.until;
        if let Some(index) = self.watches.iter().position(is_expired) {
            let watch = self.watches.swap_remove(index);
            self.answer_watch(key, watch.since);
        }
    }

    /// Changes the endpoint list, answers all watches and schedules the next change.
    pub(super) fn change_list(&mut self) {
        self.endpoints.advance();
        self.list_answers.clear();
        for watch in std::mem::take(&mut self.watches) {
            self.answer_watch(watch.key, watch.since);
        }
        self.schedule_change();
    }

    pub(super) fn schedule_change(&mut self) {
        if self.point.changes > 0.0 {
            self.events.push(self.events.now + 1.0 / self.point.changes, SimulationEvent::ChangeList);
        }
    }
}

/// Returns the role of the server at the other end of a connection; `None` for incoming connections of an instance.
pub(super) fn server_role(connection: ConnectionId) -> Option<Role> {
    match connection {
        ConnectionId::Counter(_) => Some(Role::Counter),
        ConnectionId::Discovery(_) => Some(Role::Discovery),
        ConnectionId::Backend(_) => Some(Role::Backend),
        ConnectionId::Client(_) | ConnectionId::Admin(_) => None,
    }
}
