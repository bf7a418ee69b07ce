//! Calls to the counter over a few pipelined connections.
use super::connection::{CloseReason, ConnectionId};
use super::counter_table::*;
use super::effect::Effect;
use super::reducer::Reducer;
use super::timers::TimerKind;
use crate::wire::http::{Request, Response};
use quillramp::types::*;
use std::net::SocketAddr;

/// Maximum number of connections to the counter, including unresponsive ones. The counter accepts twice as many.
const MAX_COUNTER_CONNECTIONS: usize = 16;
/// Maximum number of connections that are used for new calls at the same time.
const MAX_ACTIVE_CONNECTIONS: usize = 2;

impl Reducer {
    /// Starts a call to the counter; `counter_call_ended` handles its result.
    pub(super) fn call_counter(&mut self, now: f64, call: CounterCall) {
        let Some(address) = self.config.counter else {
            return self.engine.counter_answered(now, call.key, CounterResult::NotApplied);
        };
        self.counter.last_call += 1;
        let number = self.counter.last_call;
        let connection_id = self.select_counter_connection(now, call.key, address);
        let pending = PendingCall { number, connection: connection_id, result: None };
        self.counter.queues.entry(call.key.into()).or_default().push_back(pending);
        let timeout = TimerKind::CounterTimeout { connection: connection_id, call: number };
        let timer = self.timers.schedule(now + self.instance.counter_timeout, timeout);
        let connection =
            self.counter.connections.get_mut(&connection_id).expect("the selected connection is open");
        connection.last_used = now;
        if !connection.is_established {
            connection.queued.push(QueuedCall { call, number, timer });
            return;
        }
        let waiter = Some(CallWaiter { key: call.key, timer });
        connection.sent.push_back(SentCall { number, waiter });
        self.send_counter_request(connection_id, &call);
    }

    /// Selects the connection for a call: that of the last pending call on the same counter, so that the calls are applied
    /// in order; without one, the connection with the fewest calls, or a new connection if all are busy and more are
    /// allowed.
    fn select_counter_connection(&mut self, now: f64, key: CounterKey, address: SocketAddr) -> u64 {
        if let Some(id) = self.connection_of_last_call(key) {
            return id;
        }
        let usable = self.counter.connections.iter().filter(|(_, connection)| connection.accepts_calls());
        let least_loaded = usable.min_by_key(|(id, connection)| (connection.load(), **id));
        let load = least_loaded.map_or(0, |(_, connection)| connection.load());
        let least_loaded = least_loaded.map(|(id, _)| *id);
        let usable =
            self.counter.connections.values().filter(|connection| connection.accepts_calls()).count();
        if let Some(id) = least_loaded.filter(|_| load == 0 || usable >= MAX_ACTIVE_CONNECTIONS) {
            return id;
        }
        self.open_counter_connection(now, address)
    }

    /// Returns the connection of the last pending call on the same counter, if it still accepts calls.
    fn connection_of_last_call(&self, key: CounterKey) -> Option<u64> {
        let id = self.counter.queues.get(&key.into())?.back()?.connection;
        let connection = self.counter.connections.get(&id)?;
        connection.accepts_calls().then_some(id)
    }

    fn open_counter_connection(&mut self, now: f64, address: SocketAddr) -> u64 {
        if self.counter.connections.len() >= MAX_COUNTER_CONNECTIONS {
            let oldest = *self.counter.connections.keys().next().expect("the limit is not 0");
            self.close(ConnectionId::Counter(oldest), CloseReason::Unresponsive);
            self.counter_connection_ended(now, oldest, false, CloseReason::Unresponsive);
        }
        let id = self.next_connection_id();
        let connection = CounterConnection { last_used: now, ..CounterConnection::default() };
        self.counter.connections.insert(id, connection);
        self.effects.push(Effect::Connect { connection: ConnectionId::Counter(id), address });
        id
    }

    /// Handles the result of a call. The results of calls on one counter are delivered in the order of the calls.
    fn counter_call_ended(&mut self, now: f64, key: CounterKey, number: u64, result: CounterResult) {
        let Some(queue) = self.counter.queues.get_mut(&key.into()) else { return };
        if let Some(pending) = queue.iter_mut().find(|pending| pending.number == number) {
            pending.result = Some(result);
        }
        let mut next_calls: Vec<CounterCall> = vec![];
        while let Some(result) = queue.front().and_then(|pending| pending.result) {
            queue.pop_front();
            if let Some(membership) =
                self.membership.as_mut().filter(|membership| membership.owns_counter(key))
            {
                membership.counter_answered(now, key, result);
            } else if let Some(broker) = self.broker.as_mut().filter(|broker| broker.owns_counter(key)) {
                next_calls.extend(broker.counter_answered(now, key, result));
            } else {
                self.engine.counter_answered(now, key, result);
            }
        }
        if queue.is_empty() {
            self.counter.queues.remove(&key.into());
        }
        for call in next_calls {
            self.call_counter(now, call);
        }
    }

    fn send_counter_request(&mut self, connection: u64, call: &CounterCall) {
        let customer = self.customers.resolve(call.key.customer).copied().unwrap_or_default();
        let key = format!("{customer:x}.{}", call.key.series);
        let expire_ms = (call.lifetime * 1e3).ceil() as u64;
        let request = Request::AddToCounter { key, add: call.delta, expire_ms };
        self.effects.push(Effect::HttpRequest { connection: ConnectionId::Counter(connection), request });
    }

    /// Handles an established connection: sends the calls that are queued on it.
    pub(super) fn counter_connected(&mut self, id: u64) {
        let Some(connection) = self.counter.connections.get_mut(&id) else { return };
        connection.is_established = true;
        let queued = std::mem::take(&mut connection.queued);
        let sent = queued.iter().map(|queued| {
            let waiter = CallWaiter { key: queued.call.key, timer: queued.timer };
            SentCall { number: queued.number, waiter: Some(waiter) }
        });
        connection.sent.extend(sent);
        for QueuedCall { call, .. } in queued {
            self.send_counter_request(id, &call);
        }
    }

    /// Ends a call that has timed out: as unanswered if it was sent, otherwise as not applied.
    pub(super) fn counter_call_timed_out(&mut self, now: f64, id: u64, number: u64) {
        let Some(connection) = self.counter.connections.get_mut(&id) else { return };
        if let Some(position) = connection.queued.iter().position(|queued| queued.number == number) {
            let call = connection.queued.remove(position).call;
            if !connection.is_established && connection.queued.is_empty() {
                self.counter.connections.remove(&id);
                self.close(ConnectionId::Counter(id), CloseReason::DialTimeout);
            }
            return self.counter_call_ended(now, call.key, number, CounterResult::NotApplied);
        }
        let sent = connection.sent.iter_mut().find(|sent| sent.number == number);
        let Some(waiter) = sent.and_then(|sent| sent.waiter.take()) else { return };
        connection.is_unresponsive = true;
        self.counter_call_ended(now, waiter.key, number, CounterResult::Unanswered);
    }

    /// Handles the response to the first call on a connection.
    pub(super) fn counter_responded(&mut self, now: f64, id: u64, response: Response) {
        let Some(connection) = self.counter.connections.get_mut(&id) else { return };
        connection.is_unresponsive = false;
        let Some(call) = connection.sent.pop_front() else { return self.unexpected_counter_data(id) };
        let result = call_result(&response);
        if let Some(waiter) = call.waiter {
            self.timers.cancel(waiter.timer);
            self.counter_call_ended(now, waiter.key, call.number, result);
        }
        let is_malformed = matches!(result, CounterResult::AppliedTotalUnknown | CounterResult::Unanswered);
        if response.closes_connection || is_malformed {
            let reason = if is_malformed { CloseReason::BadFraming } else { CloseReason::Closed };
            self.close(ConnectionId::Counter(id), reason);
            self.counter_connection_ended(now, id, false, CloseReason::Closed);
        }
        self.close_if_replaced(id);
    }

    /// Closes a connection without calls on which data arrived, as that data would be taken for the response to its next
    /// call.
    pub(super) fn unexpected_counter_data(&mut self, id: u64) {
        if self.counter.connections.get(&id).is_some_and(CounterConnection::is_idle) {
            self.close_counter_connection(id, CloseReason::UnexpectedData);
        }
    }

    /// Closes and removes a connection without calls.
    pub(super) fn close_counter_connection(&mut self, id: u64, reason: CloseReason) {
        self.close(ConnectionId::Counter(id), reason);
        self.counter.connections.remove(&id);
    }

    /// Handles a new address of the counter: pending calls may still be answered on the old connections, and later calls
    /// use new ones.
    pub(super) fn counter_address_changed(&mut self) {
        for connection in self.counter.connections.values_mut() {
            connection.is_replaced = true;
        }
        for id in self.counter.connections.keys().copied().collect::<Vec<_>>() {
            self.close_if_replaced(id);
        }
    }

    fn close_if_replaced(&mut self, id: u64) {
        let connection = self.counter.connections.get(&id);
        if connection.is_some_and(|connection| connection.is_replaced && connection.is_idle()) {
            self.close_counter_connection(id, CloseReason::AddressChanged);
        }
    }

    /// Ends the calls on a connection that has ended. `unsent`: whether the write buffer still held unsent bytes.
    pub(super) fn counter_connection_ended(&mut self, now: f64, id: u64, unsent: bool, reason: CloseReason) {
        let Some(connection) = self.counter.connections.remove(&id) else { return };
        for QueuedCall { call, number, timer } in connection.queued {
            self.timers.cancel(timer);
            self.counter_call_ended(now, call.key, number, CounterResult::NotApplied);
        }
        let last = connection.sent.len().saturating_sub(1);
        for (position, SentCall { number, waiter }) in connection.sent.into_iter().enumerate() {
            let result = if unsent && position == last {
                CounterResult::NotApplied
            } else if position == 0 && reason == CloseReason::BadFraming {
                CounterResult::AppliedTotalUnknown // the counter sent a response, though a malformed one
            } else {
                CounterResult::Unanswered
            };
            if let Some(waiter) = waiter {
                self.timers.cancel(waiter.timer);
                self.counter_call_ended(now, waiter.key, number, result);
            }
        }
    }
}

/// Returns the result of a call from its response.
fn call_result(response: &Response) -> CounterResult {
    let body = std::str::from_utf8(&response.body).ok();
    let total = body.and_then(|body| body.trim().parse::<f64>().ok()).filter(|total| total.is_finite());
    match (response.status, total) {
        (200, Some(total)) => CounterResult::Total(total),
        (200, None) => CounterResult::AppliedTotalUnknown,
        (503 | 400 | 404, _) => CounterResult::NotApplied,
        _ => CounterResult::Unanswered,
    }
}
