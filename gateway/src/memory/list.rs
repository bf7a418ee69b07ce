//! The list of backends: watched, and told to the decisions.
use super::event::{Conn, Effect, Why};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::http::{Request, Response};
use crate::wire::listing::{self, Listing};
use quillramp::types::*;
use std::collections::HashSet;

/// How long a watch waits: so long at the most nothing is learnt over a connection that has gone mute, for its answer,
/// with news or without, is due by then.
const WATCH: f64 = 5.0;
/// How much longer an answer may take. What there is to tell counts as told 2 s after the wait is over: till then it is
/// asked for again, so often, by calls that do not wait.
const OVERRUN: f64 = 0.4;
const AGAIN: u32 = 4;
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
        if let Some(old) = self.list.take() {
            self.close(Conn::List(old), Why::Moved);
        }
        self.index = None;
        self.watch(now);
    }

    pub(super) fn next_watch(&self) -> Request {
        let wait_ms = if self.list_mute > 0 { 1 } else { (WATCH * 1e3) as u64 };
        self.index.map_or(Request::List, |since| Request::Watch { since, wait_ms })
    }

    pub(super) fn watch_until(&mut self, now: f64, id: u64) {
        self.timers.remove(&self.watch_ends);
        let waits = if self.list_mute > 0 { 0.0 } else { WATCH };
        self.watch_ends = self.at(now + waits + OVERRUN, Due::Watch(id));
    }

    /// No answer by when one was due, not even that nothing is new: the connection may be mute, the service be well.
    pub(super) fn watch_mute(&mut self, now: f64, id: u64) {
        if self.list != Some(id) {
            return;
        }
        self.close(Conn::List(id), Why::Silent);
        self.watch_broke(now);
    }

    /// A watch came to nothing, and what there is to tell goes on counting as told: asked for again soon, some times.
    pub(super) fn watch_broke(&mut self, now: f64) {
        self.list = None;
        self.list_mute += 1;
        match self.list_mute {
            1 => self.watch(now),
            n if n <= AGAIN => drop(self.at(now + SOON, Due::Ask)),
            _ => {
                self.list_mute = 0;
                self.watch_failed(now);
            }
        }
    }

    pub(super) fn watched(&mut self, now: f64, id: u64, response: Response) {
        let list = (response.status == 200).then(|| listing::decode(&response.body));
        self.list_mute = 0;
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

    pub(super) fn watch_failed(&mut self, now: f64) {
        self.list = None;
        self.door.unlisted(now);
    }
}
