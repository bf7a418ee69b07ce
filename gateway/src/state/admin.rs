//! Operators' calls, and the state that the processes of one instance share.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::event::OperatorUpdate;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::shared_state::{AdminChange, SaveError, SharedState};
use super::timers::{TimerKey, TimerKind};
use crate::wire::admin::{AdminCall, AdminResponse};
use quillramp::types::*;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// Maximum number of open operators' connections; a further one closes the oldest. File descriptors are reserved for
/// them.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Time from an operator's connection to the complete call, in seconds.
const ADMIN_CALL_TIMEOUT: f64 = 5.0;
/// Time from the response until the operator's connection is closed, in seconds.
const ADMIN_RESPONSE_TIMEOUT: f64 = 1.0;
/// Maximum number of backend names that operators may use, including backends that are no longer listed.
const MAX_KNOWN_BACKENDS: usize = 16 * 1024;

/// The names of the backends that have ever been listed, without the oldest beyond `MAX_KNOWN_BACKENDS`.
#[derive(Default)]
pub(super) struct KnownBackends {
    names: HashSet<String>,
    by_age: VecDeque<String>,
}

impl KnownBackends {
    /// Adds a name unless it is present.
    pub fn add(&mut self, name: &str) {
        if !self.names.insert(name.to_owned()) {
            return;
        }
        self.by_age.push_back(name.to_owned());
        if self.by_age.len() > MAX_KNOWN_BACKENDS {
            if let Some(oldest) = self.by_age.pop_front() {
                self.names.remove(&oldest);
            }
        }
    }

    fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}

/// Operators' connections, and the state that operators have changed.
#[derive(Default)]
pub(super) struct AdminState {
    /// Timeouts of the open connections, by connection ID.
    connections: BTreeMap<u64, TimerKey>,
    /// State that the processes of this instance share.
    pub shared: SharedState,
    /// The backends that operators may eject or restore.
    pub known_backends: KnownBackends,
}

impl Reducer {
    /// Registers an operator's connection; closes the oldest one if there are too many.
    pub(super) fn admin_connected(&mut self, now: f64, id: u64) {
        if self.admin.connections.len() >= MAX_ADMIN_CONNECTIONS {
            let oldest = *self.admin.connections.keys().next().expect("the limit is not 0");
            self.close_admin_connection(oldest);
        }
        let timeout = self.timers.schedule(now + ADMIN_CALL_TIMEOUT, TimerKind::AdminTimeout(id));
        self.admin.connections.insert(id, timeout);
    }

    /// Closes an operator's connection if it is open.
    pub(super) fn close_admin_connection(&mut self, id: u64) {
        if let Some(timeout) = self.admin.connections.remove(&id) {
            self.timers.cancel(timeout);
            self.close(ConnectionId::Admin(id), CloseReason::AdminCallEnded);
        }
    }

    /// Removes an operator's connection that has ended.
    pub(super) fn admin_connection_ended(&mut self, id: u64) {
        if let Some(timeout) = self.admin.connections.remove(&id) {
            self.timers.cancel(timeout);
        }
    }

    /// Handles an operator's call.
    pub(super) fn admin_call(&mut self, now: f64, id: u64, call: AdminCall) {
        if !self.admin.connections.contains_key(&id) {
            return;
        }
        match call {
            AdminCall::Health if self.admin.shared.drained || self.shutdown.is_stopping => {
                self.respond_to_admin(now, id, 503, "draining\n".into());
            }
            AdminCall::Health => self.respond_to_admin(now, id, 200, "serving\n".into()),
            AdminCall::Stats => {
                let stats = self.stats_json() + "\n";
                self.respond_to_admin(now, id, 200, stats);
            }
            AdminCall::Contracts => {
                let usage = self.contract_usage() + "\n";
                self.respond_to_admin(now, id, 200, usage);
            }
            AdminCall::Invalid(status) => self.respond_to_admin(now, id, status, "no such call\n".into()),
            AdminCall::EjectBackend(name) | AdminCall::RestoreBackend(name)
                if !self.admin.known_backends.contains(&name) =>
            {
                self.respond_to_admin(now, id, 404, format!("backend {name} was never listed\n"));
            }
            AdminCall::EjectBackend(name) => {
                self.apply_admin_change(now, id, AdminChange::EjectBackend { name, since: now });
            }
            AdminCall::RestoreBackend(name) => {
                self.apply_admin_change(now, id, AdminChange::RestoreBackend(name));
            }
            AdminCall::Drain => self.apply_admin_change(now, id, AdminChange::SetDrained(true)),
            AdminCall::Undrain => self.apply_admin_change(now, id, AdminChange::SetDrained(false)),
        }
    }

    fn respond_to_admin(&mut self, now: f64, id: u64, status: u16, body: String) {
        let Some(timeout) = self.admin.connections.get_mut(&id) else { return };
        self.timers.cancel(*timeout);
        *timeout = self.timers.schedule(now + ADMIN_RESPONSE_TIMEOUT, TimerKind::AdminTimeout(id));
        let response = AdminResponse { status, body };
        self.effects.push(Effect::AdminRespond { connection: id, response });
    }

    /// Applies an operator's change at once; the response is sent after the change has also been saved.
    fn apply_admin_change(&mut self, now: f64, id: u64, change: AdminChange) {
        let mut shared = self.admin.shared.clone();
        change.clone().apply(&mut shared.ejected_backends, &mut shared.drained);
        self.update_shared_state(now, shared);
        if self.config.saves_changes {
            return self.effects.push(Effect::SaveChange { call: id, change });
        }
        self.respond_to_admin(now, id, 200, "done\n".into());
    }

    /// Handles the result of saving the shared state. `call`: the operator's connection that waits for the response;
    /// `None` if another process saved it.
    pub(super) fn shared_state_saved(
        &mut self,
        now: f64,
        call: Option<u64>,
        shared: Result<SharedState, SaveError>,
    ) {
        let (status, body) = match shared {
            Ok(shared) => {
                self.update_shared_state(now, shared);
                (200, "done\n".into())
            }
            Err(error) => {
                let body = format!("in force, but not kept: {error}\n");
                self.log(LogMessage::SaveFailed { error });
                (500, body)
            }
        };
        if let Some(id) = call {
            self.respond_to_admin(now, id, status, body);
        }
    }

    /// Replaces the shared state, and acts on each difference from the previous one.
    pub fn update_shared_state(&mut self, now: f64, shared: SharedState) {
        let old = std::mem::replace(&mut self.admin.shared, shared);
        self.update_ejected_backends(now, &old.ejected_backends);
        if old.drained != self.admin.shared.drained {
            self.drain_changed(now);
        }
        if old.peer_process_running != self.admin.shared.peer_process_running {
            self.peer_process_changed(now);
        } else if old.peer_descriptor_limit != self.admin.shared.peer_descriptor_limit {
            self.free_descriptors(now);
        }
    }

    fn update_ejected_backends(&mut self, now: f64, old: &BTreeMap<String, f64>) {
        let new = &self.admin.shared.ejected_backends;
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let is_changed = |name: &&String| old.contains_key(*name) != new.contains_key(*name);
        let changed: Vec<String> = names.into_iter().filter(is_changed).cloned().collect();
        for name in changed {
            self.admin.known_backends.add(&name); // it was listed for this process or an earlier one
            let ejected_since = self.admin.shared.ejected_backends.get(&name).copied();
            let message = if ejected_since.is_some() {
                LogMessage::BackendEjected { name: name.clone() }
            } else {
                LogMessage::BackendRestored { name: name.clone() }
            };
            self.log(message);
            if let Some(backend) = self.backends.names.get(&name) {
                self.set_manual_ejection(now, backend, ejected_since);
            }
        }
    }

    /// Ejects a backend for an operator, or restores it. `since`: time of the ejection in seconds, `None` to restore.
    pub(super) fn set_manual_ejection(&mut self, now: f64, backend: BackendIndex, since: Option<f64>) {
        self.backends.entries[backend].is_manually_ejected = since.is_some();
        self.engine.set_manual_ejection(now, backend, since);
        if since.is_some() {
            self.close_idle_connections_to(backend);
            self.withdraw_from_unavailable_backends();
        }
    }

    /// Adapts to the start or the end of another process of this instance: two processes share the file descriptors and
    /// the instance's fractions of quotas.
    fn peer_process_changed(&mut self, now: f64) {
        let is_running = self.admin.shared.peer_process_running;
        self.log(if is_running { LogMessage::PeerProcessStarted } else { LogMessage::PeerProcessEnded });
        self.engine.set_peer_process(is_running);
        if is_running {
            self.free_descriptors(now);
        }
    }

    /// Applies the declarations of an operator's file. Requests that were accepted before keep the earlier ones.
    pub fn apply_operator_update(&mut self, now: f64, update: OperatorUpdate) {
        let OperatorUpdate { admission, routes, membership_interval, broker, identity } = update;
        self.set_trust(identity);
        self.set_contracts(now, broker);
        self.set_membership_interval(now, membership_interval);
        if routes != self.routes {
            self.log(LogMessage::RequestLimits { routes: routes.to_string() });
            self.routes = routes;
        }
        self.set_admission_limits(now, admission);
    }
}
