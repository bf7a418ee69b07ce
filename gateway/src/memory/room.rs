//! Descriptors: what closes when they run short, and what has stood idle.
use super::event::{Conn, Why};
use super::kept::*;
use super::reducer::Reducer;

/// Descriptors kept for listening, the log, the loop and the like.
const RESERVE: usize = 32;
/// The counter closes idle connections after this, at the latest.
const COUNTER_IDLE: f64 = 10.0;

impl Reducer {
    pub(super) fn descriptors(&self) -> usize {
        self.clients.len() + self.links.len() + self.counters.len() + 1
    }

    /// No descriptor is left for one more connection.
    pub(super) fn short(&self) -> bool {
        self.descriptors() + RESERVE > self.parties.sockets
    }

    pub(super) fn room(&mut self) {
        if self.short() {
            self.make_room();
        }
    }

    /// Closes what stands idle: the backend connection that has longest, else the client's.
    pub(super) fn make_room(&mut self) {
        let idle = self.places.iter().filter_map(|p| p.idle.first()).copied();
        if let Some(id) = idle.min_by(|a, b| self.links[a].since.total_cmp(&self.links[b].since)) {
            let tgt = self.links[&id].tgt;
            self.places[tgt].idle.retain(|i| *i != id);
            return self.close_link(id, Why::Crowded);
        }
        let idle = self.clients.iter().filter(|(_, c)| c.owed.is_empty());
        if let Some(id) = idle.min_by(|a, b| a.1.used.total_cmp(&b.1.used)).map(|(id, _)| *id) {
            self.clients.remove(&id);
            self.close(Conn::Client(id), Why::Crowded);
        }
    }

    /// Connections that stood idle for half of what the other side allows end here, not there. Done again and again.
    pub(super) fn sweep(&mut self, now: f64) {
        let old = now - self.about.link_idle / 2.0;
        for tgt in 0..self.places.len() {
            let links = &self.links;
            let (stale, idle) = self.places[tgt].idle.iter().partition(|id| links[id].since < old);
            self.places[tgt].idle = idle;
            let stale: Vec<u64> = stale;
            for id in stale {
                self.close_link(id, Why::Idle);
            }
        }
        let stale = |l: &CounterLink| l.calls.is_empty() && l.waits.is_empty();
        let old = now - COUNTER_IDLE / 2.0;
        let stale = self.counters.iter().filter(|(_, l)| stale(l) && l.used < old);
        for id in stale.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.close(Conn::Counter(id), Why::Idle);
            self.counters.remove(&id);
        }
        self.at(now + self.about.link_idle / 8.0, Due::Sweep);
    }
}
