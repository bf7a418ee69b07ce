//! What operators ask for: the figures, backends out by hand, the drain.
use super::event::{AdminChange, CloseReason, ConnectionId, Effect, SharedState};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::admin::{AdminCall, AdminResponse};
use quillramp::types::*;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// Operators' connections at once: with one more, the oldest ends. They have descriptors of their own.
pub const MOST: usize = 16;
/// How long an operator may take for a call, and to take its answer.
const CALL: f64 = 5.0;
const TAKEN: f64 = 1.0;
/// Backends that left the list are known by name to operators, so many at least.
const NAMES: usize = 16 * 1024;

/// What is counted from the start of the process, each where it happens.
#[derive(Default)]
pub struct Stats {
    pub completed: Vec<u64>,
    pub rejected: Vec<u64>,
    pub failed: Vec<u64>,
    pub written: u64,
    pub reloads: u64,
    pub reload_errors: u64,
}

/// The figures as operators read them.
#[derive(Serialize)]
struct Figures<'a> {
    completed: BTreeMap<&'a str, u64>,
    rejected: BTreeMap<&'a str, u64>,
    failed: BTreeMap<&'a str, u64>,
    upstream_requests: u64,
    pending: usize,
    members: usize,
    members_unavailable: usize,
    config_reloads: u64,
    config_reload_errors: u64,
}

/// The names of all that were ever listed, as far as there is room; those listed again are the youngest.
#[derive(Default)]
pub struct KnownBackends {
    known: HashSet<String>,
    by_age: VecDeque<String>,
}

impl KnownBackends {
    pub fn add(&mut self, name: &str) {
        if self.known.insert(name.to_owned()) {
            self.by_age.push_back(name.to_owned());
            if self.by_age.len() > NAMES {
                self.by_age.pop_front().map(|old| self.known.remove(&old));
            }
        }
    }
}

impl Reducer {
    pub(super) fn admin_connected(&mut self, now: f64, id: u64) {
        if self.admin_connections.len() >= MOST {
            let oldest = *self.admin_connections.keys().next().expect("there are some");
            self.close_admin_connection(oldest);
        }
        let ends = self.schedule(now + CALL, TimerKind::AdminTimeout(id));
        self.admin_connections.insert(id, ends);
    }

    pub(super) fn close_admin_connection(&mut self, id: u64) {
        if let Some(ends) = self.admin_connections.remove(&id) {
            self.timers.remove(&ends);
            self.close(ConnectionId::Admin(id), CloseReason::AdminCallEnded);
        }
    }

    pub(super) fn admin_call(&mut self, now: f64, id: u64, call: AdminCall) {
        if !self.admin_connections.contains_key(&id) {
            return;
        }
        match call {
            AdminCall::Health => {
                let takes = !self.shared.drained && !self.stopping;
                let (status, says) = if takes { (200, "serving\n") } else { (503, "draining\n") };
                self.respond_to_admin(now, id, status, says.into());
            }
            AdminCall::Stats => {
                let figures = self.figures() + "\n";
                self.respond_to_admin(now, id, 200, figures);
            }
            AdminCall::Contracts => {
                let usage = self.contract_usage() + "\n";
                self.respond_to_admin(now, id, 200, usage);
            }
            AdminCall::Invalid(status) => self.respond_to_admin(now, id, status, "no such call\n".into()),
            AdminCall::EjectBackend(name) | AdminCall::RestoreBackend(name)
                if !self.known_backends.known.contains(&name) =>
            {
                self.respond_to_admin(now, id, 404, format!("backend {name} was never listed\n"));
            }
            AdminCall::EjectBackend(name) => {
                self.apply_admin_change(now, id, AdminChange::EjectBackend(name, now))
            }
            AdminCall::RestoreBackend(name) => {
                self.apply_admin_change(now, id, AdminChange::RestoreBackend(name))
            }
            AdminCall::Drain => self.apply_admin_change(now, id, AdminChange::SetDrained(true)),
            AdminCall::Undrain => self.apply_admin_change(now, id, AdminChange::SetDrained(false)),
        }
    }

    fn respond_to_admin(&mut self, now: f64, id: u64, status: u16, body: String) {
        if let Some(ends) = self.admin_connections.get(&id).copied() {
            self.timers.remove(&ends);
            let ends = self.schedule(now + TAKEN, TimerKind::AdminTimeout(id));
            self.admin_connections.insert(id, ends);
            self.effects.push(Effect::AdminRespond(id, AdminResponse { status, body }));
        }
    }

    /// In force at once; answered when it is kept, too.
    fn apply_admin_change(&mut self, now: f64, id: u64, change: AdminChange) {
        let mut shared = self.shared.clone();
        change.clone().apply(&mut shared.ejected_backends, &mut shared.drained);
        self.update_shared_state(now, shared);
        if self.config.saves_changes {
            return self.effects.push(Effect::SaveChange(id, change));
        }
        self.respond_to_admin(now, id, 200, "done\n".into());
    }

    pub(super) fn shared_state_saved(
        &mut self,
        now: f64,
        call: Option<u64>,
        shared: Result<SharedState, String>,
    ) {
        let (status, says) = match shared {
            Ok(shared) => {
                self.update_shared_state(now, shared);
                (200, "done\n".into())
            }
            Err(why) => {
                self.effects.push(Effect::Log(format!("in force, but not kept for the next version: {why}")));
                (500, format!("in force, but not kept: {why}\n"))
            }
        };
        if let Some(id) = call {
            self.respond_to_admin(now, id, status, says);
        }
    }

    /// Takes up what is shared, as far as it differs from what was.
    pub fn update_shared_state(&mut self, now: f64, shared: SharedState) {
        let old = std::mem::replace(&mut self.shared, shared);
        let names: BTreeSet<&String> =
            old.ejected_backends.keys().chain(self.shared.ejected_backends.keys()).collect();
        let turned = names.into_iter().filter(|n| {
            old.ejected_backends.contains_key(*n) != self.shared.ejected_backends.contains_key(*n)
        });
        for name in turned.cloned().collect::<Vec<_>>() {
            self.known_backends.add(&name); // by this process or the one before
            let out = self.shared.ejected_backends.get(&name).copied();
            let says = if out.is_some() { "left out by hand" } else { "back by hand" };
            self.effects.push(Effect::Log(format!("backend {name} {says}")));
            if let Some(backend) = self.backend_names.get(&name) {
                self.set_manual_ejection(now, backend, out);
            }
        }
        if old.drained != self.shared.drained {
            self.drain_changed(now);
        }
        if old.peer_process_running != self.shared.peer_process_running {
            self.peer_process_changed(now);
        } else if old.peer_descriptor_limit != self.shared.peer_descriptor_limit {
            while self.is_short_of_descriptors() && self.free_descriptor(now) {}
        }
    }

    /// An operator's word on a backend, beside what the list says of it.
    pub(super) fn set_manual_ejection(&mut self, now: f64, backend: BackendIndex, out: Option<f64>) {
        self.backends[backend].out = out.is_some();
        self.engine.set_manual_ejection(now, backend, out);
        if out.is_some() {
            self.close_idle_connections_to(backend);
            self.withdraw_from_unavailable();
        }
    }

    /// Another process of this front door came, or has gone: descriptors and own shares are for both.
    fn peer_process_changed(&mut self, now: f64) {
        let two = self.shared.peer_process_running;
        let says = if two { "another process of this front door is there" } else { "the only process again" };
        self.effects.push(Effect::Log(says.into()));
        self.engine.set_peer_process(two);
        while two && self.is_short_of_descriptors() && self.free_descriptor(now) {}
    }

    pub fn figures(&self) -> String {
        let by_class = |counts: &[u64]| {
            let named = self.instance.operations.iter().zip(counts);
            named.map(|(o, n)| (o.name.as_str(), *n)).collect()
        };
        let Stats { completed, rejected, failed, written, reloads, reload_errors } = &self.stats;
        let figures = Figures {
            completed: by_class(completed),
            rejected: by_class(rejected),
            failed: by_class(failed),
            upstream_requests: *written,
            pending: self.requests.iter().filter(|h| !h.closed).count(),
            members: self.backends.iter().filter(|p| p.standing != EndpointStatus::Removed).count(),
            members_unavailable: self.engine.unavailable_backends(),
            config_reloads: *reloads,
            config_reload_errors: *reload_errors,
        };
        serde_json::to_string(&figures).expect("plain figures")
    }
}
