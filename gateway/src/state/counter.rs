//! Calls of the counter, over a few pipelined connections.
use super::event::{CloseReason, ConnectionId, Effect};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::http::{Request, Response};
use quillramp::types::*;
use std::net::SocketAddr;

/// Connections at the most, silent ones included (the counter would hold twice as many), and those in use.
const MOST: usize = 16;
const PIPES: usize = 2;

impl Reducer {
    pub(super) fn call_counter(&mut self, now: f64, call: CounterCall) {
        let Some(address) = self.config.counter else {
            return self.engine.counter_answered(now, call.key, CounterResult::NotApplied);
        };
        self.counter_calls += 1;
        let no = self.counter_calls;
        let id = self.select_counter_connection(now, call.key, address);
        let turn = PendingCall { no, link: id, result: None };
        self.counter_queues.entry((call.key.customer, call.key.series)).or_default().push_back(turn);
        let timer = self.schedule(now + self.instance.counter_timeout, TimerKind::CounterTimeout(id, no));
        let link = self.counter_connections.get_mut(&id).expect("just found");
        link.used = now;
        if link.up {
            link.calls.push_back((no, Some((call.key, timer))));
            let request = self.counter_request(&call);
            self.effects.push(Effect::HttpRequest(ConnectionId::Counter(id), request));
        } else {
            link.waits.push((call, no, timer));
        }
    }

    /// The connection for a call: that of the last one on the same name, while it is out, so that they have their
    /// turns in order; else the least used; else a new one.
    fn select_counter_connection(&mut self, now: f64, name: CounterKey, address: SocketAddr) -> u64 {
        let turns = self.counter_queues.get(&(name.customer, name.series));
        if let Some(id) = turns
            .and_then(|t| t.back())
            .map(|t| t.link)
            .filter(|id| self.counter_connections.get(id).is_some_and(CounterConnection::well))
        {
            return id;
        }
        let best = self
            .counter_connections
            .iter()
            .filter(|(_, l)| l.well())
            .min_by_key(|(id, l)| (l.calls.len() + l.waits.len(), **id));
        let (best, load) = best.map_or((None, 0), |(id, l)| (Some(*id), l.calls.len() + l.waits.len()));
        let pipes = self.counter_connections.values().filter(|l| l.well()).count();
        if let Some(id) = best.filter(|_| load == 0 || pipes >= PIPES) {
            return id;
        }
        if self.counter_connections.len() >= MOST {
            let oldest = *self.counter_connections.keys().next().expect("there are some");
            self.close(ConnectionId::Counter(oldest), CloseReason::Unresponsive);
            self.counter_connection_ended(now, oldest, false, CloseReason::Unresponsive);
        }
        let id = self.next_connection_id();
        self.counter_connections.insert(id, CounterConnection { used: now, ..CounterConnection::default() });
        self.effects.push(Effect::Connect(ConnectionId::Counter(id), address));
        id
    }

    /// What came of a call. The decisions hear of calls on one name in the order in which they made them.
    fn counter_call_ended(&mut self, now: f64, name: CounterKey, no: u64, result: CounterResult) {
        let key = (name.customer, name.series);
        let Some(turns) = self.counter_queues.get_mut(&key) else { return };
        let mut more: Vec<CounterCall> = vec![];
        if let Some(turn) = turns.iter_mut().find(|t| t.no == no) {
            turn.result = Some(result);
        }
        while let Some(result) = turns.front().and_then(|t| t.result) {
            turns.pop_front();
            if let Some(roster) = self.presence.as_mut().filter(|r| r.calls(name)) {
                roster.told(now, name, result);
            } else if let Some(broker) = self.broker.as_mut().filter(|b| b.calls(name)) {
                more.extend(broker.told(now, name, result));
            } else {
                self.engine.counter_answered(now, name, result);
            }
        }
        if turns.is_empty() {
            self.counter_queues.remove(&key);
        }
        for call in more {
            self.call_counter(now, call);
        }
    }

    pub(super) fn counter_request(&self, call: &CounterCall) -> Request {
        let customer = self.customers.resolve(call.key.customer).copied().unwrap_or_default();
        let name = format!("{customer:x}.{}", call.key.series);
        Request::AddToCounter { key: name, add: call.delta, expire_ms: (call.lifetime * 1e3).ceil() as u64 }
    }

    pub(super) fn counter_connected(&mut self, id: u64) {
        let Some(link) = self.counter_connections.get_mut(&id) else { return };
        link.up = true;
        let waits = std::mem::take(&mut link.waits);
        link.calls.extend(waits.iter().map(|(call, no, timer)| (*no, Some((call.key, *timer)))));
        for (call, ..) in waits {
            let request = self.counter_request(&call);
            self.effects.push(Effect::HttpRequest(ConnectionId::Counter(id), request));
        }
    }

    /// A call whose time is over: unanswered if it was written, else nothing was added.
    pub(super) fn counter_call_timed_out(&mut self, now: f64, id: u64, no: u64) {
        let Some(link) = self.counter_connections.get_mut(&id) else { return };
        if let Some(i) = link.waits.iter().position(|(_, n, _)| *n == no) {
            let (call, ..) = link.waits.remove(i);
            if !link.up && link.waits.is_empty() {
                self.counter_connections.remove(&id);
                self.close(ConnectionId::Counter(id), CloseReason::DialTimeout);
            }
            return self.counter_call_ended(now, call.key, no, CounterResult::NotApplied);
        }
        let called = link.calls.iter_mut().find(|c| c.0 == no);
        let Some((name, _)) = called.and_then(|c| c.1.take()) else { return };
        link.silent = true;
        self.counter_call_ended(now, name, no, CounterResult::Unanswered);
    }

    pub(super) fn counter_responded(&mut self, now: f64, id: u64, response: Response) {
        let Some(link) = self.counter_connections.get_mut(&id) else { return };
        link.silent = false;
        let Some((no, name)) = link.calls.pop_front() else { return self.unexpected_counter_data(id) };
        let total = std::str::from_utf8(&response.body).ok().and_then(|t| t.trim().parse::<f64>().ok());
        let result = match (response.status, total.filter(|t| t.is_finite())) {
            (200, Some(total)) => CounterResult::Total(total),
            (200, None) => CounterResult::AppliedTotalUnknown,
            (503 | 400 | 404, _) => CounterResult::NotApplied,
            _ => CounterResult::Unanswered,
        };
        if let Some((name, timer)) = name {
            self.timers.remove(&timer);
            self.counter_call_ended(now, name, no, result);
        }
        let spoilt = matches!(result, CounterResult::AppliedTotalUnknown | CounterResult::Unanswered);
        if response.closes_connection || spoilt {
            self.close(
                ConnectionId::Counter(id),
                if spoilt { CloseReason::BadFraming } else { CloseReason::Closed },
            );
            self.counter_connection_ended(now, id, false, CloseReason::Closed);
        }
        self.close_if_replaced(id);
    }

    /// What came on a connection that waits for nothing would be taken for the answer of its next call.
    pub(super) fn unexpected_counter_data(&mut self, id: u64) {
        if self.counter_connections.get(&id).is_some_and(CounterConnection::idle) {
            self.close_counter_connection(id, CloseReason::UnexpectedData);
        }
    }

    /// Ends a connection that carries nothing any more.
    pub(super) fn close_counter_connection(&mut self, id: u64, why: CloseReason) {
        self.close(ConnectionId::Counter(id), why);
        self.counter_connections.remove(&id);
    }

    /// The counter is elsewhere now: what is out may still be answered, the next calls go there.
    pub(super) fn counter_address_changed(&mut self) {
        self.counter_connections.values_mut().for_each(|l| l.old = true);
        for id in self.counter_connections.keys().copied().collect::<Vec<_>>() {
            self.close_if_replaced(id);
        }
    }

    fn close_if_replaced(&mut self, id: u64) {
        if self.counter_connections.get(&id).is_some_and(|l| l.old && l.idle()) {
            self.close_counter_connection(id, CloseReason::AddressChanged);
        }
    }

    pub(super) fn counter_connection_ended(&mut self, now: f64, id: u64, unsent: bool, why: CloseReason) {
        let Some(link) = self.counter_connections.remove(&id) else { return };
        for (call, no, timer) in link.waits {
            self.timers.remove(&timer);
            self.counter_call_ended(now, call.key, no, CounterResult::NotApplied);
        }
        let last = link.calls.len().saturating_sub(1);
        for (i, (no, name)) in link.calls.into_iter().enumerate() {
            let result = match (unsent && i == last, i == 0 && why == CloseReason::BadFraming) {
                (true, _) => CounterResult::NotApplied,
                (_, true) => CounterResult::AppliedTotalUnknown, // what can't be read is its answer all the same
                _ => CounterResult::Unanswered,
            };
            if let Some((name, timer)) = name {
                self.timers.remove(&timer);
                self.counter_call_ended(now, name, no, result);
            }
        }
    }
}
