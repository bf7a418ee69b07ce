//! The list of backends: watched, and told to the decisions.
use super::event::{Conn, Effect, Why};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::http::{Request, Response};
use crate::wire::listing::{self, Listing};
use quillramp::types::*;
use std::collections::HashSet;

/// How long a watch waits for news, seconds. Nothing is learnt over a connection that has gone mute until its answer is
/// overdue, so this is the longest summand of every chain of retries in docs/list-service.md; all of them stay under 6 s.
const WATCH_WAIT: f64 = 2.0;
/// How much longer than the wait an answer may take, seconds. Then the list is asked for anew by a call that does not
/// wait, on a new connection: what a silent service learns at its return counts as told at once, so a call is always out.
const ANSWER_GRACE: f64 = 0.4;
/// The pause after a connection that was refused or ended without an answer, seconds.
const RECONNECT_PAUSE: f64 = 0.2;
/// How much longer an overdue connection is kept beside the new ones, seconds: a service that takes up to `ANSWER_GRACE`
/// and this for an answer is heard, whichever connections went mute before (docs/list-service.md).
const OVERDUE_KEPT: f64 = 2.0;

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
        self.close_overdue(Why::Moved);
        if let Some(old) = self.list.take() {
            self.close(Conn::List(old), Why::Moved);
        }
        (self.index, self.list_mute) = (None, false);
        self.watch(now);
    }

    pub(super) fn next_watch(&self) -> Request {
        let wait_ms = if self.list_mute { 1 } else { (WATCH_WAIT * 1e3) as u64 };
        self.index.map_or(Request::List, |since| Request::Watch { since, wait_ms })
    }

    pub(super) fn watch_until(&mut self, now: f64, id: u64) {
        self.timers.remove(&self.watch_ends);
        // The whole list is not waited for either.
        let waits = if self.list_mute || self.index.is_none() { 0.0 } else { WATCH_WAIT };
        self.watch_ends = self.at(now + waits + ANSWER_GRACE, Due::Watch(id));
    }

    /// No answer by when one was due, not even that nothing is new: the connection may be mute, the service be well, or
    /// be slow. So it is asked anew at once, and the overdue connection is kept a while: its answer still counts.
    pub(super) fn watch_mute(&mut self, now: f64, id: u64) {
        if self.list != Some(id) {
            return;
        }
        while let Some((mute, _)) = self.overdue.pop_front_if(|(_, until)| now >= *until) {
            self.close(Conn::List(mute), Why::Silent);
        }
        self.overdue.push_back((id, now + OVERDUE_KEPT));
        self.list_mute = true;
        self.watch(now);
    }

    /// Ends the overdue connections, whose answers would still have counted.
    fn close_overdue(&mut self, why: Why) {
        for (id, _) in std::mem::take(&mut self.overdue) {
            self.close(Conn::List(id), why);
        }
    }

    /// A connection to the list service ended.
    pub(super) fn watch_ended(&mut self, now: f64, id: u64) {
        self.overdue.retain(|(overdue, _)| *overdue != id);
        if self.list == Some(id) {
            self.list = None;
            if std::mem::replace(&mut self.list_mute, true) {
                self.timers.remove(&self.ask_again);
                self.ask_again = self.at(now + RECONNECT_PAUSE, Due::Ask);
            } else {
                self.watch(now);
            }
        }
    }

    /// Something has come from the list service, if it is for us. The first list is taken, whichever connection it comes
    /// on; the others end, for what comes there later is older.
    pub(super) fn list_says(&mut self, now: f64, id: u64, response: Response) {
        let awaited = self.list == Some(id) || self.overdue.iter().any(|(overdue, _)| *overdue == id);
        if !awaited {
            return;
        }
        match list_of(&response) {
            Ok(list) => self.list_arrived(now, id, &list, response.last),
            Err(why) => self.list_failed(now, id, why),
        }
    }

    fn list_arrived(&mut self, now: f64, id: u64, list: &Listing, last: bool) {
        self.overdue.retain(|(overdue, _)| *overdue != id);
        if let Some(asked) = self.list.replace(id).filter(|asked| *asked != id) {
            self.close(Conn::List(asked), Why::Silent);
        }
        self.close_overdue(Why::Silent);
        self.list_mute = false;
        self.listed(now, list);
        if last {
            self.close(Conn::List(id), Why::Closed);
            self.watch(now);
        } else {
            self.effects.push(Effect::Request(Conn::List(id), self.next_watch()));
            self.watch_until(now, id);
        }
    }

    /// An answer that is no list ends its own connection only: the overdue ones may still bring a list, so may the one that
    /// was asked after them.
    fn list_failed(&mut self, now: f64, id: u64, why: String) {
        self.effects.push(Effect::Log(format!("list service: {why}")));
        self.close(Conn::List(id), Why::BadFraming);
        self.overdue.retain(|(overdue, _)| *overdue != id);
        // The next call does not wait: over a mute connection a watch would add its wait to the pause.
        self.list_mute = true;
        if self.list == Some(id) {
            self.list = None;
            self.door.unlisted(now);
        }
    }
}

/// The list in a response of the list service, or why there is none.
fn list_of(response: &Response) -> Result<Listing, String> {
    if response.status == 200 {
        listing::decode(&response.body)
    } else {
        Err(format!("status {}", response.status))
    }
}
