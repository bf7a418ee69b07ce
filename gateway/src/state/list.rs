//! The list of backends: watched, and told to the decisions.
use super::event::{CloseReason, ConnectionId, Effect};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::endpoints::{self, EndpointList};
use crate::wire::http::{Request, Response};
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
    pub(super) fn listed(&mut self, now: f64, list: &EndpointList) {
        self.endpoint_version = Some(list.index);
        if list.snapshot {
            self.backends.iter_mut().for_each(|p| p.standing = EndpointStatus::Removed);
        }
        let mut entries = Vec::new();
        for e in &list.endpoints {
            let tgt = self.backend_names.intern(&e.name);
            if tgt == self.backends.len() {
                self.backends.push(Place::default());
            }
            (self.backends[tgt].address, self.backends[tgt].standing) = (Some(e.address), e.status);
            let zone =
                self.instance.zones.iter().position(|z| *z == e.zone).unwrap_or(self.instance.zones.len());
            let started = (e.since_ms > 0.0).then_some(e.since_ms / 1e3);
            let (standing, cell, size) = (e.status, e.group, e.weight);
            entries.push(Endpoint {
                backend: tgt,
                status: standing,
                zone,
                cell,
                weight: size,
                started_at: started,
            });
        }
        self.engine.update_endpoints(now, list.snapshot, &entries);
        for e in &list.endpoints {
            self.known_backends.add(&e.name);
            // An operator's word holds whatever the list says.
            if let (Some(tgt), Some(&since)) =
                (self.backend_names.get(&e.name), self.shared.ejected_backends.get(&e.name))
            {
                self.by_hand(now, tgt, Some(since));
            }
        }
        for tgt in 0..self.backends.len() {
            if !self.backends[tgt].takes() {
                self.close_idle(tgt);
            }
        }
        self.withdraw_from_drained();
    }

    pub(super) fn close_idle(&mut self, tgt: BackendIndex) {
        for id in std::mem::take(&mut self.backends[tgt].idle) {
            self.close_link(id, CloseReason::Delisted);
        }
    }

    /// Backends that are gone and that nothing here has to do with any more are forgotten; their indices are free.
    pub(super) fn forget_gone(&mut self) {
        let gone = |p: &Place| p.standing == EndpointStatus::Removed && p.address.is_some();
        if !self.backends.iter().any(gone) {
            return;
        }
        let met = self.requests.iter().flat_map(|h| h.deliveries.iter().map(|d| d.tgt));
        let met: HashSet<BackendIndex> =
            met.chain(self.backend_connections.values().map(|l| l.tgt)).collect();
        for tgt in (0..self.backends.len()).filter(|t| !met.contains(t)) {
            if gone(&self.backends[tgt]) {
                self.backends[tgt] = Place::default();
                self.backend_names.release(tgt);
                self.engine.forget_backend(tgt);
            }
        }
    }

    pub(super) fn watch(&mut self, now: f64) {
        let id = self.new_conn();
        self.watch_connection = Some(id);
        self.effects.push(Effect::Connect(ConnectionId::Discovery(id), self.config.discovery));
        self.watch_until(now, id);
    }

    /// The list service is elsewhere now: all of what it has there, then watched on.
    pub(super) fn list_moved(&mut self, now: f64) {
        self.no_patient(CloseReason::AddressChanged);
        if let Some(old) = self.watch_connection.take() {
            self.close(ConnectionId::Discovery(old), CloseReason::AddressChanged);
        }
        (self.endpoint_version, self.discovery_unresponsive) = (None, false);
        self.watch(now);
    }

    pub(super) fn next_watch(&self) -> Request {
        let wait_ms = if self.discovery_unresponsive { 1 } else { (WATCH * 1e3) as u64 };
        self.endpoint_version.map_or(Request::List, |since| Request::WatchEndpoints { since, wait_ms })
    }

    pub(super) fn watch_until(&mut self, now: f64, id: u64) {
        self.timers.remove(&self.watch_timer);
        // The whole list is not waited for either.
        let waits = if self.discovery_unresponsive || self.endpoint_version.is_none() { 0.0 } else { WATCH };
        self.watch_timer = self.at(now + waits + OVERRUN, Due::Watch(id));
    }

    /// No answer by when one was due, not even that nothing is new: the connection may be mute, the service be well, or
    /// be slow. So it is asked anew at once, and one mute connection is kept a while: its answer still counts.
    pub(super) fn watch_mute(&mut self, now: f64, id: u64) {
        if self.watch_connection != Some(id) {
            return;
        }
        if self.overdue_watch.is_some_and(|(_, until)| now >= until) {
            self.no_patient(CloseReason::Unresponsive);
        }
        if self.overdue_watch.is_none() {
            self.overdue_watch = Some((id, now + WATCH));
        } else {
            self.close(ConnectionId::Discovery(id), CloseReason::Unresponsive);
        }
        self.discovery_unresponsive = true;
        self.watch(now);
    }

    /// Ends the mute connection whose answer would still have counted.
    fn no_patient(&mut self, why: CloseReason) {
        if let Some((id, _)) = self.overdue_watch.take() {
            self.close(ConnectionId::Discovery(id), why);
        }
    }

    /// A connection to the list service ended.
    pub(super) fn watch_ended(&mut self, now: f64, id: u64) {
        self.overdue_watch = self.overdue_watch.filter(|(patient, _)| *patient != id);
        if self.watch_connection == Some(id) {
            self.watch_connection = None;
            if std::mem::replace(&mut self.discovery_unresponsive, true) {
                self.at(now + SOON, Due::Ask);
            } else {
                self.watch(now);
            }
        }
    }

    /// Something has come from the list service: what it is, if it is for us. The first answer is taken, whichever
    /// connection it comes on; the other one ends, for what comes there later is older.
    pub(super) fn list_says(&mut self, now: f64, id: u64, response: Response) {
        if self.overdue_watch.is_some_and(|(patient, _)| patient == id) {
            self.overdue_watch = None;
            if let Some(asked) = self.watch_connection.replace(id) {
                self.close(ConnectionId::Discovery(asked), CloseReason::Unresponsive);
            }
        }
        if self.watch_connection == Some(id) {
            self.no_patient(CloseReason::Unresponsive);
            self.watched(now, id, response);
        }
    }

    fn watched(&mut self, now: f64, id: u64, response: Response) {
        let list = (response.status == 200).then(|| endpoints::decode(&response.body));
        self.discovery_unresponsive = false;
        match list {
            Some(Ok(list)) if !response.closes_connection => {
                self.listed(now, &list);
                self.effects.push(Effect::HttpRequest(ConnectionId::Discovery(id), self.next_watch()));
                self.watch_until(now, id);
            }
            Some(Ok(list)) => {
                self.listed(now, &list);
                self.close(ConnectionId::Discovery(id), CloseReason::Closed);
                self.watch(now);
            }
            other => {
                let why = other
                    .and_then(Result::err)
                    .map(|error| error.to_string())
                    .unwrap_or_else(|| format!("status {}", response.status));
                self.effects.push(Effect::Log(format!("list service: {why}")));
                self.close(ConnectionId::Discovery(id), CloseReason::BadFraming);
                self.watch_failed(now);
            }
        }
    }

    fn watch_failed(&mut self, now: f64) {
        self.watch_connection = None;
        self.engine.endpoint_fetch_failed(now);
    }
}
