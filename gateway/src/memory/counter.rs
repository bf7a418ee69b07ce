//! Calls of the counter, over a few pipelined connections.
use super::event::{Conn, Effect, Why};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::http::{Request, Response};
use quillramp::types::*;
use std::net::SocketAddr;

/// Connections at the most, silent ones included (the counter would hold twice as many), and those in use.
const MOST: usize = 16;
const PIPES: usize = 2;

impl Reducer {
    pub(super) fn count(&mut self, now: f64, call: CounterCall) {
        let Some(address) = self.parties.counter else {
            return self.door.counted(now, call.name, Counted::Unreached);
        };
        self.counter_calls += 1;
        let no = self.counter_calls;
        let id = self.counter_link(now, call.name, address);
        let turn = Turn { no, link: id, result: None };
        self.turns.entry((call.name.customer, call.name.series)).or_default().push_back(turn);
        let timer = self.at(now + self.about.counter_timeout, Due::Counter(id, no));
        let link = self.counters.get_mut(&id).expect("just found");
        link.used = now;
        if link.up {
            link.calls.push_back((no, Some((call.name, timer))));
            let request = self.request(&call);
            self.effects.push(Effect::Request(Conn::Counter(id), request));
        } else {
            link.waits.push((call, no, timer));
        }
    }

    /// The connection for a call: that of the last one on the same name, while it is out, so that they have their
    /// turns in order; else the least used; else a new one.
    fn counter_link(&mut self, now: f64, name: CountName, address: SocketAddr) -> u64 {
        let turns = self.turns.get(&(name.customer, name.series));
        if let Some(id) = turns
            .and_then(|t| t.back())
            .map(|t| t.link)
            .filter(|id| self.counters.get(id).is_some_and(CounterLink::well))
        {
            return id;
        }
        let best = self
            .counters
            .iter()
            .filter(|(_, l)| l.well())
            .min_by_key(|(id, l)| (l.calls.len() + l.waits.len(), **id));
        let (best, load) = best.map_or((None, 0), |(id, l)| (Some(*id), l.calls.len() + l.waits.len()));
        let pipes = self.counters.values().filter(|l| l.well()).count();
        if let Some(id) = best.filter(|_| load == 0 || pipes >= PIPES) {
            return id;
        }
        if self.counters.len() >= MOST {
            let oldest = *self.counters.keys().next().expect("there are some");
            self.close(Conn::Counter(oldest), Why::Silent);
            self.counter_ended(now, oldest, false, Why::Silent);
        }
        let id = self.new_conn();
        self.counters.insert(id, CounterLink { used: now, ..CounterLink::default() });
        self.effects.push(Effect::Connect(Conn::Counter(id), address));
        id
    }

    /// What came of a call. The decisions hear of calls on one name in the order in which they made them.
    fn counter_says(&mut self, now: f64, name: CountName, no: u64, result: Counted) {
        let key = (name.customer, name.series);
        let Some(turns) = self.turns.get_mut(&key) else { return };
        let mut more: Vec<CounterCall> = vec![];
        if let Some(turn) = turns.iter_mut().find(|t| t.no == no) {
            turn.result = Some(result);
        }
        while let Some(result) = turns.front().and_then(|t| t.result) {
            turns.pop_front();
            if let Some(roster) = self.roster.as_mut().filter(|r| r.calls(name)) {
                roster.told(now, name, result);
            } else if let Some(broker) = self.broker.as_mut().filter(|b| b.calls(name)) {
                more.extend(broker.told(now, name, result));
            } else {
                self.door.counted(now, name, result);
            }
        }
        if turns.is_empty() {
            self.turns.remove(&key);
        }
        for call in more {
            self.count(now, call);
        }
    }

    pub(super) fn request(&self, call: &CounterCall) -> Request {
        let customer = self.customers.name(call.name.customer).copied().unwrap_or_default();
        let name = format!("{customer:x}.{}", call.name.series);
        Request::Count { name, add: call.add, lives_ms: (call.lives * 1e3).ceil() as u64 }
    }

    pub(super) fn counter_up(&mut self, id: u64) {
        let Some(link) = self.counters.get_mut(&id) else { return };
        link.up = true;
        let waits = std::mem::take(&mut link.waits);
        link.calls.extend(waits.iter().map(|(call, no, timer)| (*no, Some((call.name, *timer)))));
        for (call, ..) in waits {
            let request = self.request(&call);
            self.effects.push(Effect::Request(Conn::Counter(id), request));
        }
    }

    /// A call whose time is over: unanswered if it was written, else nothing was added.
    pub(super) fn counter_late(&mut self, now: f64, id: u64, no: u64) {
        let Some(link) = self.counters.get_mut(&id) else { return };
        if let Some(i) = link.waits.iter().position(|(_, n, _)| *n == no) {
            let (call, ..) = link.waits.remove(i);
            if !link.up && link.waits.is_empty() {
                self.counters.remove(&id);
                self.close(Conn::Counter(id), Why::DialTimeout);
            }
            return self.counter_says(now, call.name, no, Counted::Unreached);
        }
        let called = link.calls.iter_mut().find(|c| c.0 == no);
        let Some((name, _)) = called.and_then(|c| c.1.take()) else { return };
        link.silent = true;
        self.counter_says(now, name, no, Counted::Unanswered);
    }

    pub(super) fn counted(&mut self, now: f64, id: u64, response: Response) {
        let Some(link) = self.counters.get_mut(&id) else { return };
        link.silent = false;
        let Some((no, name)) = link.calls.pop_front() else { return self.counter_unasked(id) };
        let total = std::str::from_utf8(&response.body).ok().and_then(|t| t.trim().parse::<f64>().ok());
        let result = match (response.status, total.filter(|t| t.is_finite())) {
            (200, Some(total)) => Counted::Total(total),
            (200, None) => Counted::Added,
            (503 | 400 | 404, _) => Counted::Unreached,
            _ => Counted::Unanswered,
        };
        if let Some((name, timer)) = name {
            self.timers.remove(&timer);
            self.counter_says(now, name, no, result);
        }
        let spoilt = matches!(result, Counted::Added | Counted::Unanswered);
        if response.last || spoilt {
            self.close(Conn::Counter(id), if spoilt { Why::BadFraming } else { Why::Closed });
            self.counter_ended(now, id, false, Why::Closed);
        }
        self.leave_old(id);
    }

    /// What came on a connection that waits for nothing would be taken for the answer of its next call.
    pub(super) fn counter_unasked(&mut self, id: u64) {
        if self.counters.get(&id).is_some_and(CounterLink::idle) {
            self.close_counter(id, Why::Surplus);
        }
    }

    /// Ends a connection that carries nothing any more.
    pub(super) fn close_counter(&mut self, id: u64, why: Why) {
        self.close(Conn::Counter(id), why);
        self.counters.remove(&id);
    }

    /// The counter is elsewhere now: what is out may still be answered, the next calls go there.
    pub(super) fn counter_moved(&mut self) {
        self.counters.values_mut().for_each(|l| l.old = true);
        for id in self.counters.keys().copied().collect::<Vec<_>>() {
            self.leave_old(id);
        }
    }

    fn leave_old(&mut self, id: u64) {
        if self.counters.get(&id).is_some_and(|l| l.old && l.idle()) {
            self.close_counter(id, Why::Moved);
        }
    }

    pub(super) fn counter_ended(&mut self, now: f64, id: u64, unsent: bool, why: Why) {
        let Some(link) = self.counters.remove(&id) else { return };
        for (call, no, timer) in link.waits {
            self.timers.remove(&timer);
            self.counter_says(now, call.name, no, Counted::Unreached);
        }
        let last = link.calls.len().saturating_sub(1);
        for (i, (no, name)) in link.calls.into_iter().enumerate() {
            let result = match (unsent && i == last, i == 0 && why == Why::BadFraming) {
                (true, _) => Counted::Unreached,
                (_, true) => Counted::Added, // what can't be read is its answer all the same
                _ => Counted::Unanswered,
            };
            if let Some((name, timer)) = name {
                self.timers.remove(&timer);
                self.counter_says(now, name, no, result);
            }
        }
    }
}
