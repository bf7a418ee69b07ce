//! What operators ask for: the figures, backends out by hand, the drain.
use super::event::{Change, Conn, Effect, Shared, Why};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::manage::{Call, Response};
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
pub struct Names {
    known: HashSet<String>,
    by_age: VecDeque<String>,
}

impl Names {
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
    pub(super) fn called(&mut self, now: f64, id: u64) {
        if self.operators.len() >= MOST {
            let oldest = *self.operators.keys().next().expect("there are some");
            self.end_call(oldest);
        }
        let ends = self.at(now + CALL, Due::Operator(id));
        self.operators.insert(id, ends);
    }

    pub(super) fn end_call(&mut self, id: u64) {
        if let Some(ends) = self.operators.remove(&id) {
            self.timers.remove(&ends);
            self.close(Conn::Operator(id), Why::Called);
        }
    }

    pub(super) fn call(&mut self, now: f64, id: u64, call: Call) {
        if !self.operators.contains_key(&id) {
            return;
        }
        match call {
            Call::Health => {
                let takes = !self.shared.drained && !self.stopping;
                let (status, says) = if takes { (200, "serving\n") } else { (503, "draining\n") };
                self.respond(now, id, status, says.into());
            }
            Call::Stats => {
                let figures = self.figures() + "\n";
                self.respond(now, id, 200, figures);
            }
            Call::Contracts => {
                let usage = self.usage() + "\n";
                self.respond(now, id, 200, usage);
            }
            Call::Wrong(status) => self.respond(now, id, status, "no such call\n".into()),
            Call::Out(name) | Call::Back(name) if !self.listed_names.known.contains(&name) => {
                self.respond(now, id, 404, format!("backend {name} was never listed\n"));
            }
            Call::Out(name) => self.change(now, id, Change::Out(name, now)),
            Call::Back(name) => self.change(now, id, Change::Back(name)),
            Call::Fail => self.change(now, id, Change::Drained(true)),
            Call::Ok => self.change(now, id, Change::Drained(false)),
        }
    }

    fn respond(&mut self, now: f64, id: u64, status: u16, body: String) {
        if let Some(ends) = self.operators.get(&id).copied() {
            self.timers.remove(&ends);
            let ends = self.at(now + TAKEN, Due::Operator(id));
            self.operators.insert(id, ends);
            self.effects.push(Effect::Respond(id, Response { status, body }));
        }
    }

    /// In force at once; answered when it is kept, too.
    fn change(&mut self, now: f64, id: u64, change: Change) {
        let mut shared = self.shared.clone();
        change.clone().make(&mut shared.out, &mut shared.drained);
        self.share_is(now, shared);
        if self.parties.keeps {
            return self.effects.push(Effect::Keep(id, change));
        }
        self.respond(now, id, 200, "done\n".into());
    }

    pub(super) fn kept(&mut self, now: f64, call: Option<u64>, shared: Result<Shared, String>) {
        let (status, says) = match shared {
            Ok(shared) => {
                self.share_is(now, shared);
                (200, "done\n".into())
            }
            Err(why) => {
                self.effects.push(Effect::Log(format!("in force, but not kept for the next version: {why}")));
                (500, format!("in force, but not kept: {why}\n"))
            }
        };
        if let Some(id) = call {
            self.respond(now, id, status, says);
        }
    }

    /// Takes up what is shared, as far as it differs from what was.
    pub fn share_is(&mut self, now: f64, shared: Shared) {
        let old = std::mem::replace(&mut self.shared, shared);
        let names: BTreeSet<&String> = old.out.keys().chain(self.shared.out.keys()).collect();
        let turned =
            names.into_iter().filter(|n| old.out.contains_key(*n) != self.shared.out.contains_key(*n));
        for name in turned.cloned().collect::<Vec<_>>() {
            self.listed_names.add(&name); // by this process or the one before
            let out = self.shared.out.get(&name).copied();
            let says = if out.is_some() { "left out by hand" } else { "back by hand" };
            self.effects.push(Effect::Log(format!("backend {name} {says}")));
            if let Some(tgt) = self.names.find(&name) {
                self.by_hand(now, tgt, out);
            }
        }
        if old.drained != self.shared.drained {
            self.drained(now);
        }
        if old.beside != self.shared.beside {
            self.beside(now);
        } else if old.holds != self.shared.holds {
            while self.short() && self.make_room(now) {}
        }
    }

    /// An operator's word on a backend, beside what the list says of it.
    pub(super) fn by_hand(&mut self, now: f64, tgt: Tgt, out: Option<f64>) {
        self.places[tgt].out = out.is_some();
        self.door.by_hand(now, tgt, out);
        if out.is_some() {
            self.close_idle(tgt);
            self.withdraw_from_drained();
        }
    }

    /// Another process of this front door came, or has gone: descriptors and own shares are for both.
    fn beside(&mut self, now: f64) {
        let two = self.shared.beside;
        let says = if two { "another process of this front door is there" } else { "the only process again" };
        self.effects.push(Effect::Log(says.into()));
        self.door.beside(two);
        while two && self.short() && self.make_room(now) {}
    }

    pub fn figures(&self) -> String {
        let by_class = |counts: &[u64]| {
            let named = self.about.operations.iter().zip(counts);
            named.map(|(o, n)| (o.name.as_str(), *n)).collect()
        };
        let Stats { completed, rejected, failed, written, reloads, reload_errors } = &self.stats;
        let figures = Figures {
            completed: by_class(completed),
            rejected: by_class(rejected),
            failed: by_class(failed),
            upstream_requests: *written,
            pending: self.held.iter().filter(|h| !h.closed).count(),
            members: self.places.iter().filter(|p| p.standing != Standing::Gone).count(),
            members_unavailable: self.door.avoided(),
            config_reloads: *reloads,
            config_reload_errors: *reload_errors,
        };
        serde_json::to_string(&figures).expect("plain figures")
    }
}
