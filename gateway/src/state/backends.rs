//! Deliveries to backends, and the connections that carry them.
use super::event::{CloseReason, ConnectionId, Effect};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::resp::{find_number, BackendReply, ClientReply};
use quillramp::settings;
use quillramp::types::*;
use std::collections::HashSet;

impl Reducer {
    pub(super) fn forward(&mut self, now: f64, inv: RequestIndex, backend: BackendIndex) {
        let held = self.requests[inv].as_mut().expect("asked about a held invocation");
        let delivery = held.deliveries.len();
        let id = self.backends[backend].idle.pop();
        held.deliveries.push(Attempt { backend, at: now, link: id, took: None });
        if held.ends.is_none() {
            // Whoever is still out when the client's time is up timed out, and the decisions hear of it.
            let until = held.ask.deadline;
            let ends = self.schedule(until, TimerKind::RequestTimeout(inv));
            self.requests[inv].as_mut().expect("held").ends = Some(ends);
        }
        if let Some(id) = id {
            let number =
                self.backend_connections.get_mut(&id).expect("idle ones are kept").carry(inv, delivery);
            return self.send_attempt(now, (id, number), inv);
        }
        self.ensure_free_descriptor(now);
        if self.is_short_of_descriptors() {
            return self.share_connection(now, inv, delivery, backend);
        }
        let Some(address) = self.backends[backend].address else {
            return self.ended_attempts.push((
                inv,
                delivery,
                AttemptResult::NotConnected,
                ResponseMetadata::default(),
            ));
        };
        let id = self.next_connection_id();
        self.requests[inv].as_mut().expect("held").deliveries[delivery].link = Some(id);
        let mut link = BackendConnection::new(backend, now);
        link.carry(inv, delivery);
        self.backend_connections.insert(id, link);
        self.effects.push(Effect::Connect(ConnectionId::Backend(id), address));
        self.schedule(now + self.instance.connect_timeout, TimerKind::ConnectTimeout(id));
    }

    /// Descriptors run short: behind another delivery on a connection that is up.
    pub(super) fn share_connection(
        &mut self,
        now: f64,
        inv: RequestIndex,
        delivery: usize,
        backend: BackendIndex,
    ) {
        let most = self.instance.max_streams_per_connection;
        let up = self
            .backend_connections
            .iter_mut()
            .filter(|(_, l)| l.backend == backend && l.up && !l.ending && l.carries.len() < most);
        let Some((&id, link)) = up.min_by_key(|(id, l)| (l.carries.len(), **id)) else {
            return self.ended_attempts.push((
                inv,
                delivery,
                AttemptResult::NotConnected,
                ResponseMetadata::default(),
            ));
        };
        let number = link.carry(inv, delivery);
        self.requests[inv].as_mut().expect("held").deliveries[delivery].link = Some(id);
        self.send_attempt(now, (id, number), inv);
    }

    /// Writes this numbered delivery of the invocation to its connection.
    fn send_attempt(&mut self, now: f64, (connection, delivery): (u64, u64), inv: RequestIndex) {
        let held = self.requests[inv].as_ref().expect("held");
        let wait_ms = ((held.ask.deadline - now) * 1e3).max(1.0) as u64;
        self.effects.push(Effect::SendAttempt {
            connection,
            delivery,
            call: held.call.clone(),
            timeout_ms: wait_ms,
        });
    }

    pub(super) fn backend_connected(&mut self, now: f64, id: u64) {
        let Some(link) = self.backend_connections.get_mut(&id) else { return };
        link.up = true;
        let backend = link.backend;
        let Some(&QueuedAttempt { number, delivery: Some((inv, delivery)) }) = link.carries.front() else {
            return self.park_if_idle(now, id);
        };
        // It came up late: the invocation may be over by now, or its backend drain.
        let open = self.requests[inv].as_ref().is_some_and(|h| !h.closed && now < h.ask.deadline);
        if open && self.backends[backend].takes() {
            return self.send_attempt(now, (id, number), inv);
        }
        link.carries.clear();
        self.end_attempt(inv, delivery, AttemptResult::NotSent, ResponseMetadata::default());
        self.park_if_idle(now, id);
    }

    /// A link with nothing on it waits for the next delivery, or closes where none may come.
    pub(super) fn park_if_idle(&mut self, now: f64, id: u64) {
        let Some(link) = self.backend_connections.get_mut(&id).filter(|l| l.carries.is_empty()) else {
            return;
        };
        let backend = link.backend;
        link.since = now;
        if link.ending {
            return;
        }
        if self.backends[backend].takes() {
            self.backends[backend].idle.push(id);
        } else {
            self.close_backend_connection(id, CloseReason::Delisted);
        }
    }

    /// What came on a link that waits for nothing would be taken for the answer of its next delivery.
    pub(super) fn unexpected_backend_data(&mut self, id: u64) {
        let Some(link) = self.backend_connections.get(&id).filter(|l| l.carries.is_empty()) else { return };
        self.backends[link.backend].idle.retain(|i| *i != id);
        self.close_backend_connection(id, CloseReason::UnexpectedData);
    }

    pub(super) fn backend_replied(&mut self, now: f64, id: u64, reply: BackendReply, more: bool) {
        let Some(link) = self.backend_connections.get_mut(&id) else { return };
        let Some(front) = link.carries.pop_front() else { return self.unexpected_backend_data(id) };
        if let Some((inv, delivery)) = front.delivery {
            match reply {
                BackendReply::Value { value, billed, report } => {
                    self.answer_request(now, inv, ClientReply::Value(value));
                    self.attempt_succeeded(inv, delivery, billed, report);
                }
                BackendReply::Rejected => {
                    self.end_attempt(inv, delivery, AttemptResult::Rejected, ResponseMetadata::default())
                }
                BackendReply::Failed => {
                    self.end_attempt(inv, delivery, AttemptResult::Errored, ResponseMetadata::default())
                }
            }
        }
        if more {
            self.unexpected_backend_data(id);
        }
        self.park_if_idle(now, id);
    }

    /// With what stood beside its value.
    pub(super) fn attempt_succeeded(
        &mut self,
        inv: RequestIndex,
        delivery: usize,
        billed: Option<f64>,
        report: Option<Vec<u8>>,
    ) {
        // Nothing is read where the settings name no values.
        let report = report.and_then(|r| {
            settings::load_report(&self.instance.load_report_fields, |_, name| find_number(&r, name))
        });
        self.end_attempt(inv, delivery, AttemptResult::Succeeded, ResponseMetadata { billed, report });
    }

    pub(super) fn end_attempt(
        &mut self,
        inv: RequestIndex,
        delivery: usize,
        ending: AttemptResult,
        beside: ResponseMetadata,
    ) {
        if let Some(held) = self.requests[inv].as_mut() {
            if held.deliveries[delivery].link.take().is_some() {
                self.ended_attempts.push((inv, delivery, ending, beside));
            }
        }
    }

    /// Ends a link that carries nothing any more.
    pub(super) fn close_backend_connection(&mut self, id: u64, why: CloseReason) {
        self.close(ConnectionId::Backend(id), why);
        self.backend_connections.remove(&id);
    }

    /// These connections have ended, and what came before their ends in the batch is taken first.
    pub(super) fn mark_ending(&mut self, connections: &HashSet<ConnectionId>) {
        for conn in connections {
            let ConnectionId::Backend(id) = conn else { continue };
            let Some(link) = self.backend_connections.get_mut(id) else { continue };
            link.ending = true;
            self.backends[link.backend].idle.retain(|idle| idle != id);
        }
    }

    /// A link broke or never came up: whatever had not left for it whole has not run. An answer that can't be read is
    /// one all the same: its backend is no worse than one that says it failed.
    pub(super) fn backend_connection_ended(&mut self, now: f64, id: u64, unsent: bool, why: CloseReason) {
        let Some(mut link) = self.backend_connections.remove(&id) else { return };
        if let Some((inv, delivery)) = link.front() {
            self.stream_aborted(now, inv, delivery);
        }
        self.backends[link.backend].idle.retain(|i| *i != id);
        let mut unsent = unsent || !link.up;
        while let Some(last) = link.carries.pop_back() {
            let broke =
                if why == CloseReason::BadFraming { AttemptResult::Errored } else { AttemptResult::Broken };
            let ending = if unsent { AttemptResult::NotConnected } else { broke };
            unsent = !link.up;
            if let Some((inv, delivery)) = last.delivery {
                self.end_attempt(inv, delivery, ending, ResponseMetadata::default());
            }
        }
    }

    /// It can't be called off to be sent elsewhere: others' deliveries share its connection, which stays open, and a copy
    /// elsewhere would be a second one.
    pub(super) fn shares_connection(&self, inv: RequestIndex, delivery: usize) -> bool {
        let held = self.requests[inv].as_ref().filter(|h| !h.closed);
        let link =
            held.and_then(|h| h.deliveries[delivery].link).and_then(|id| self.backend_connections.get(&id));
        link.is_some_and(|l| l.carries.iter().any(|c| c.delivery.is_some_and(|d| d != (inv, delivery))))
    }

    /// Takes a delivery back that stands in its connection's buffer with no byte of it written; whether it did, an
    /// event tells.
    pub(super) fn withdraw_attempt(&mut self, inv: RequestIndex, delivery: usize) {
        let connection = self.requests[inv].as_ref().and_then(|h| h.deliveries[delivery].link);
        let Some((connection, link)) =
            connection.and_then(|id| self.backend_connections.get(&id).map(|l| (id, l)))
        else {
            return;
        };
        let own = link.carries.iter().find(|c| c.delivery == Some((inv, delivery)));
        if let Some(own) = own.filter(|_| link.up) {
            self.effects.push(Effect::Withdraw { connection, delivery: own.number });
        }
    }

    /// Takes all back that waits in buffers for backends which may get nothing new any more.
    pub(super) fn withdraw_from_unavailable(&mut self) {
        let drained =
            self.backend_connections.iter().filter(|(_, l)| l.up && !self.backends[l.backend].takes());
        let all = drained.flat_map(|(id, l)| l.carries.iter().map(|c| (*id, c.number)));
        let mut all: Vec<(u64, u64)> = all.collect();
        all.sort_unstable();
        let withdraw = |(connection, delivery)| Effect::Withdraw { connection, delivery };
        self.effects.extend(all.into_iter().map(withdraw));
    }

    /// A delivery was taken back in time: it has never run, and may go elsewhere.
    pub(super) fn attempt_withdrawn(&mut self, now: f64, connection: u64, number: u64) {
        let Some(link) = self.backend_connections.get_mut(&connection) else { return };
        let Some(position) = link.carries.iter().position(|c| c.number == number) else { return };
        let carried = link.carries.remove(position).expect("just found");
        let abandoned = link.is_abandoned();
        if let Some((inv, delivery)) = carried.delivery {
            self.end_attempt(inv, delivery, AttemptResult::NotSent, ResponseMetadata::default());
        }
        if abandoned {
            return self.close_backend_connection(connection, CloseReason::Abandoned);
        }
        self.park_if_idle(now, connection);
    }

    /// Whatever is still out of it has timed out.
    pub(super) fn time_out_attempts(&mut self, inv: RequestIndex) {
        let out = self.requests[inv].as_ref().map_or(0, |h| h.deliveries.len());
        for i in 0..out {
            self.cancel_attempt(inv, i, AttemptResult::TimedOut);
        }
    }

    pub(super) fn cancel_attempt(&mut self, inv: RequestIndex, delivery: usize, ending: AttemptResult) {
        let Some(held) = self.requests[inv].as_mut() else { return };
        let Some(id) = held.deliveries[delivery].link else { return };
        self.end_attempt(inv, delivery, ending, ResponseMetadata::default());
        let Some(link) = self.backend_connections.get_mut(&id) else { return };
        let own = link.carries.iter_mut().find(|c| c.delivery == Some((inv, delivery)));
        let number = own.map(|own| {
            own.delivery = None;
            own.number
        });
        if link.is_abandoned() {
            return self.close_backend_connection(id, CloseReason::Abandoned);
        }
        // Others on it wait for their answers: it leaves no more if nothing of it has; else its answer is dropped in
        // its turn.
        if let Some(delivery) = number.filter(|_| link.up) {
            self.effects.push(Effect::Withdraw { connection: id, delivery });
        }
    }
}
