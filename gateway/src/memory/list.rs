//! The list of backends: watched, and told to the decisions.
use super::event::{Conn, Effect, Why};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::http::{Request, Response};
use crate::wire::listing::{self, Listing};
use quillramp::types::*;
use std::collections::HashSet;

/// How long a watch waits: so long at the most nothing is learnt over a connection that has gone mute, for its answer,
/// with news or without, is due by then. What a mute one misses counts as told 6 s after it fell silent.
const WATCH: f64 = 5.0;
/// How much longer an answer may take. Then it is asked anew by a call that does not wait, on a new connection: what a
/// service that was silent learns at its return counts as told at once, so a call is always out.
const OVERRUN: f64 = 0.4;
/// Where such a call's connection is refused, or ends without an answer, it is made again after this.
const SOON: f64 = 0.2;

impl Reducer {
    pub(super) fn listed(&mut self, now: f64, list: &Listing) {
        self.index = Some(list.index);
        if list.snapshot {
            self.places.iter_mut().for_each(|p| p.standing = Standing::Gone);
        }
        let mut entries = Vec::new();
        for e in &list.endpoints {
            let tgt = self.names.index(&e.name);
            if tgt == self.places.len() {
                self.places.push(Place::default());
            }
            (self.places[tgt].address, self.places[tgt].standing) = (Some(e.address), e.status);
            let zone = self.about.zones.iter().position(|z| *z == e.zone).unwrap_or(self.about.zones.len());
            let started = (e.since_ms > 0.0).then_some(e.since_ms / 1e3);
            let (standing, cell, size) = (e.status, e.group, e.weight);
            entries.push(Listed { tgt, standing, zone, cell, size, started });
        }
        self.door.listed(now, list.snapshot, &entries);
        for e in &list.endpoints {
            self.listed_names.add(&e.name);
            // An operator's word holds whatever the list says.
            if let (Some(tgt), Some(&since)) = (self.names.find(&e.name), self.shared.out.get(&e.name)) {
                self.by_hand(now, tgt, Some(since));
            }
        }
        for tgt in 0..self.places.len() {
            if !self.places[tgt].takes() {
                self.close_idle(tgt);
            }
        }
        self.withdraw_from_drained();
    }

    pub(super) fn close_idle(&mut self, tgt: Tgt) {
        for id in std::mem::take(&mut self.places[tgt].idle) {
            self.close_link(id, Why::Delisted);
        }
    }

    /// Backends that are gone and that nothing here has to do with any more are forgotten; their indices are free.
    pub(super) fn forget_gone(&mut self) {
        let gone = |p: &Place| p.standing == Standing::Gone && p.address.is_some();
        if !self.places.iter().any(gone) {
            return;
        }
        let met = self.held.iter().flat_map(|h| h.deliveries.iter().map(|d| d.tgt));
        let met: HashSet<Tgt> = met.chain(self.links.values().map(|l| l.tgt)).collect();
        for tgt in (0..self.places.len()).filter(|t| !met.contains(t)) {
            if gone(&self.places[tgt]) {
                self.places[tgt] = Place::default();
                self.names.release(tgt);
                self.door.forgotten(tgt);
            }
        }
    }

    pub(super) fn watch(&mut self, now: f64) {
        let id = self.new_conn();
        self.list = Some(id);
        self.effects.push(Effect::Connect(Conn::List(id), self.parties.list));
        self.watch_until(now, id);
    }

    /// The list service is elsewhere now: all of what it has there, then watched on.
    pub(super) fn list_moved(&mut self, now: f64) {
        self.no_patient(Why::Moved);
        if let Some(old) = self.list.take() {
            self.close(Conn::List(old), Why::Moved);
        }
        (self.index, self.list_mute) = (None, false);
        self.watch(now);
    }

    pub(super) fn next_watch(&self) -> Request {
        let wait_ms = if self.list_mute { 1 } else { (WATCH * 1e3) as u64 };
        self.index.map_or(Request::List, |since| Request::Watch { since, wait_ms })
    }

    pub(super) fn watch_until(&mut self, now: f64, id: u64) {
        self.timers.remove(&self.watch_ends);
        // The whole list is not waited for either.
        let waits = if self.list_mute || self.index.is_none() { 0.0 } else { WATCH };
        self.watch_ends = self.at(now + waits + OVERRUN, Due::Watch(id));
    }

    /// No answer by when one was due, not even that nothing is new: the connection may be mute, the service be well, or
    /// be slow. So it is asked anew at once, and one mute connection is kept a while: its answer still counts.
    pub(super) fn watch_mute(&mut self, now: f64, id: u64) {
        if self.list != Some(id) {
            return;
        }
        if self.patient.is_some_and(|(_, until)| now >= until) {
            self.no_patient(Why::Silent);
        }
        if self.patient.is_none() {
            self.patient = Some((id, now + WATCH));
        } else {
            self.close(Conn::List(id), Why::Silent);
        }
        self.list_mute = true;
        self.watch(now);
    }

    /// Ends the mute connection whose answer would still have counted.
    fn no_patient(&mut self, why: Why) {
        if let Some((id, _)) = self.patient.take() {
            self.close(Conn::List(id), why);
        }
    }

    /// A connection to the list service ended.
    pub(super) fn watch_ended(&mut self, now: f64, id: u64) {
        self.patient = self.patient.filter(|(patient, _)| *patient != id);
        if self.list == Some(id) {
            self.list = None;
            if std::mem::replace(&mut self.list_mute, true) {
                self.at(now + SOON, Due::Ask);
            } else {
                self.watch(now);
            }
        }
    }

    /// Something has come from the list service: what it is, if it is for us. The first answer is taken, whichever
    /// connection it comes on; the other one ends, for what comes there later is older.
    pub(super) fn list_says(&mut self, now: f64, id: u64, response: Response) {
        if self.patient.is_some_and(|(patient, _)| patient == id) {
            self.patient = None;
            if let Some(asked) = self.list.replace(id) {
                self.close(Conn::List(asked), Why::Silent);
            }
        }
        if self.list == Some(id) {
            self.no_patient(Why::Silent);
            self.watched(now, id, response);
        }
    }

    fn watched(&mut self, now: f64, id: u64, response: Response) {
        let list = (response.status == 200).then(|| listing::decode(&response.body));
        self.list_mute = false;
        match list {
            Some(Ok(list)) if !response.last => {
                self.listed(now, &list);
                self.effects.push(Effect::Request(Conn::List(id), self.next_watch()));
                self.watch_until(now, id);
            }
            Some(Ok(list)) => {
                self.listed(now, &list);
                self.close(Conn::List(id), Why::Closed);
                self.watch(now);
            }
            other => {
                let why =
                    other.and_then(Result::err).unwrap_or_else(|| format!("status {}", response.status));
                self.effects.push(Effect::Log(format!("list service: {why}")));
                self.close(Conn::List(id), Why::BadFraming);
                self.watch_failed(now);
            }
        }
    }

    fn watch_failed(&mut self, now: f64) {
        self.list = None;
        self.door.unlisted(now);
    }
}
